//! Connections that are open, counted.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering::Relaxed},
};

/// A count of open connections. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Open(Arc<AtomicUsize>);

impl Open {
    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Relaxed)
    }

    /// Counts one in, for as long as the answer is held.
    #[must_use]
    pub fn enter(&self) -> OneOpen {
        self.0.fetch_add(1, Relaxed);
        OneOpen(self.clone())
    }
}

/// One connection in a count.
#[derive(Debug)]
pub struct OneOpen(Open);

impl Drop for OneOpen {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Relaxed);
    }
}
