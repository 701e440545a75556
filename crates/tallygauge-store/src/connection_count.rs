//! Connections that are open, counted.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// A count of open connections. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// How many there are.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Relaxed)
    }

    /// Counts one in, for as long as the answer is held.
    #[must_use]
    pub fn acquire(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Relaxed);
        ConnectionGuard(self.clone())
    }
}

/// One connection in a count.
#[derive(Debug)]
pub struct ConnectionGuard(ConnectionCount);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Relaxed);
    }
}
