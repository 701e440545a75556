//! Locking of state that tasks share for a moment, never across an await.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex.
///
/// # Panics
/// When a task panicked while it held the lock: what the mutex protects may be
/// half changed, and a restart recovers it from the store.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a task that held this lock panicked")
}
