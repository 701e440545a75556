//! What the key-value store answers to transactions and watches.

use tallygauge_protocol::state::{KeyValue, WatchResponse};

/// Outcome of a transaction that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: conditions failed.
    Conflict {
        /// Keys whose version was not the expected one; empty if the store's answer
        /// does not say.
        failed_keys: Vec<String>,
    },
    /// Not committed: a lease that a write refers to has expired.
    LeaseExpired,
}

/// All keys with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The keys with their values and versions, in the order of the keys.
    pub entries: Vec<KeyValue>,
    /// Revision of the store from which on changes must be watched: that of the first
    /// page.
    pub revision: u64,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome {
    /// Events in order of revision; there may be none.
    Events(WatchResponse),
    /// The store has compacted the revisions asked for: list again.
    Compacted,
}
