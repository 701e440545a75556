//! Counter of open connections.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Counter of open connections. Clones share the same counter.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Number of connections that are open now.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.load(Relaxed)
    }

    /// Counts a connection as open until the guard is dropped.
    #[must_use]
    pub fn acquire(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Relaxed);
        ConnectionGuard(self.clone())
    }
}

/// One counted connection. Dropping the guard counts the connection as closed.
#[derive(Debug)]
pub struct ConnectionGuard(ConnectionCount);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Relaxed);
    }
}
