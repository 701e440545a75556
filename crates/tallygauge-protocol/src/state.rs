//! What the state service takes and gives.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a key that does not exist, or to a transaction that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionResponse {
    /// Counts every change.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Rows in key order.
    #[serde(rename = "rows")]
    pub entries: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
    /// Revision the page was read at.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// Condition of a transaction: the key has this version (0: does not exist).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version.
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
        /// Lease to attach it to.
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

/// A transaction.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "guards")]
    pub conditions: Vec<Condition>,
    /// Writes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub writes: Vec<Write>,
}

/// Body of a 409.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictResponse {
    /// Keys whose condition failed.
    pub failed: Vec<String>,
}

/// Asks for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Its id.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// One change seen by a watch.
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
        /// Version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was removed.
    Remove {
        /// Key.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the removal.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Answer of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Go on from here.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// Changes in order.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
