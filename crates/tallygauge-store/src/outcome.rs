//! Results of transactions, listings and watches.

use tallygauge_protocol::state::{KeyValue, WatchResponse};

/// Outcome of a transaction, as reported by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: at least one condition failed.
    Conflict {
        /// Keys whose version was not the expected one; empty if the store's response
        /// does not name them.
        failed_keys: Vec<String>,
    },
    /// Not committed: a lease that a write is attached to has expired.
    LeaseExpired,
}

/// All keys with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Listing {
    /// The keys with their values and versions, in ascending order of the keys.
    pub entries: Vec<KeyValue>,
    /// Revision of the store at which the first page was read. A watch that continues
    /// the listing has to start from this revision.
    pub revision: u64,
}

/// Outcome of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome {
    /// Events in ascending order of revision; may be empty.
    Events(WatchResponse),
    /// The store has compacted the requested revisions: the caller has to list again.
    Compacted,
}
