//! Transactions in doubt: sent, not answered yet, and awaited by a caller.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;

/// The transactions that are in doubt at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndeterminateSummary {
    /// Their number.
    pub count: usize,
    /// Time since the oldest was first sent; zero if there is none.
    pub oldest_age: Duration,
}

/// The transactions in doubt of one client. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct IndeterminateWrites(Arc<Mutex<IndeterminateSet>>);

#[derive(Debug, Default)]
struct IndeterminateSet {
    next_id: u64,
    first_sent_at: BTreeMap<u64, Instant>,
}

impl IndeterminateWrites {
    /// Counts a transaction first sent at `first_sent_at` as in doubt until the
    /// guard is dropped.
    pub(crate) fn enter(&self, first_sent_at: Instant) -> IndeterminateGuard {
        let mut set = self.0.lock().expect("in-doubt lock");
        let id = set.next_id;
        set.next_id += 1;
        set.first_sent_at.insert(id, first_sent_at);
        drop(set);
        IndeterminateGuard {
            writes: self.clone(),
            id,
        }
    }

    /// The transactions in doubt now.
    pub(crate) fn summary(&self) -> IndeterminateSummary {
        let set = self.0.lock().expect("in-doubt lock");
        let oldest = set.first_sent_at.values().min();
        IndeterminateSummary {
            count: set.first_sent_at.len(),
            oldest_age: oldest.map_or(Duration::ZERO, |sent_at| sent_at.elapsed()),
        }
    }
}

/// Guard of one transaction in doubt: dropping it, also when the caller is
/// cancelled, ends the doubt.
pub(crate) struct IndeterminateGuard {
    writes: IndeterminateWrites,
    id: u64,
}

impl Drop for IndeterminateGuard {
    fn drop(&mut self) {
        let mut set = self.writes.0.lock().expect("in-doubt lock");
        set.first_sent_at.remove(&self.id);
    }
}
