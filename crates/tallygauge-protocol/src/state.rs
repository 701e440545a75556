//! Messages of the consensus-backed key-value store ("state service"), which controllers
//! call (HTTP with JSON bodies).
//!
//! The store defines the JSON names (`path`, `stamp`, `epoch`, ...), which differ from the
//! terms of this code. Only this module maps between the two, with serde attributes.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value: the response to a read, and an entry of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    pub value: Value,
    /// Version of the key: the store's revision at the key's last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a read of a key that does not exist, and to a transaction that was
/// committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionResponse {
    /// Revision of the store; increases with every change.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Entries in key order.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Condition of a transaction (compare-and-swap) on the version of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0 means that the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Set a key.
    Set {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        value: Value,
        /// Id of the lease that the key is attached to: the key is removed when the lease
        /// ends.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Remove a key.
    Remove {
        /// Key.
        #[serde(rename = "remove")]
        key: String,
    },
}

/// A transaction: if all conditions hold, all writes are applied; otherwise none is.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must hold.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// Writes to apply.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// Body of a 409 response: at least one condition of the transaction failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictResponse {
    /// Keys whose conditions failed.
    pub failed: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    Set {
        /// Key.
        #[serde(rename = "set")]
        key: String,
        /// Value.
        value: Value,
        /// Version of the key.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Remove {
        /// Key.
        #[serde(rename = "remove")]
        key: String,
        /// Store's revision at the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Response to a watch request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision from which the next watch request continues.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in the order in which they were made.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
