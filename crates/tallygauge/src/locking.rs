//! Locking of shared state. Locks are held briefly, and never across an await.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
/// Panics when another task panicked while it held the lock. The protected state may then be
/// inconsistent; a restart of the process recovers it from the store.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a task that held this lock panicked")
}
