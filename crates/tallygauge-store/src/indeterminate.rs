//! Transactions with an indeterminate outcome: sent, without a conclusive
//! response so far, and still awaited by a caller.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;

/// Number and age of the transactions whose outcome is indeterminate at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndeterminateSummary {
    /// Number of transactions.
    pub count: usize,
    /// Time since the first attempt of the oldest one was sent; zero if there is none.
    pub oldest_age: Duration,
}

/// Registry of one client's transactions with an indeterminate outcome. Clones share
/// it.
#[derive(Debug, Clone, Default)]
pub(crate) struct IndeterminateWrites(Arc<Mutex<IndeterminateSet>>);

#[derive(Debug, Default)]
struct IndeterminateSet {
    next_id: u64,
    first_sent_at: BTreeMap<u64, Instant>,
}

impl IndeterminateWrites {
    /// Registers a transaction whose first attempt was sent at `first_sent_at`, until
    /// the guard is dropped.
    pub(crate) fn register(&self, first_sent_at: Instant) -> IndeterminateGuard {
        let mut set = self.0.lock().expect("indeterminate writes lock");
        let id = set.next_id;
        set.next_id += 1;
        set.first_sent_at.insert(id, first_sent_at);
        drop(set);
        IndeterminateGuard {
            writes: self.clone(),
            id,
        }
    }

    /// Number and age of the transactions that are registered now.
    pub(crate) fn summary(&self) -> IndeterminateSummary {
        let set = self.0.lock().expect("indeterminate writes lock");
        let oldest = set.first_sent_at.values().min();
        IndeterminateSummary {
            count: set.first_sent_at.len(),
            oldest_age: oldest.map_or(Duration::ZERO, |sent_at| sent_at.elapsed()),
        }
    }
}

/// Registration of one transaction. Dropping it removes the transaction from the
/// registry, also when the caller's future is cancelled.
pub(crate) struct IndeterminateGuard {
    writes: IndeterminateWrites,
    id: u64,
}

impl Drop for IndeterminateGuard {
    fn drop(&mut self) {
        let mut set = self.writes.0.lock().expect("indeterminate writes lock");
        set.first_sent_at.remove(&self.id);
    }
}
