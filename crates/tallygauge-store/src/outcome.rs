//! What the key-value store answers to transactions and watches.

use tallygauge_protocol::state::WatchResponse;

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

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome {
    /// Events in order of revision; there may be none.
    Events(WatchResponse),
    /// The store has compacted the revisions asked for: list again.
    Compacted,
}
