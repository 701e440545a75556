//! Data of the simulated key-value store: keys with revisions, leases, and conditional
//! transactions. Requests are handled according to the store's protocol.

use crate::transport::{Response, ok, status};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tallygauge_protocol::state::{Transaction, Write};
use warp::http::Method;

/// Request path of transactions.
pub(crate) const TRANSACTION_PATH: &str = "/multi";

/// Maximum number of writes in a transaction.
const MAX_WRITES: usize = 16;

/// Maximum number of conditions in a transaction.
const MAX_CONDITIONS: usize = 64;

/// Maximum size of a transaction's body, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 8_192;

/// Prefix of the keys of placement batches; it is followed by the leader's term and a `-`.
const BATCH_PREFIX: &str = "p/";

/// Key of the current leader's term.
const TERM_KEY: &str = "t/term";

/// The value of a key and its metadata.
struct Row {
    value: Value,
    /// Revision of the last write to the key.
    version: u64,
    /// The lease that the key is attached to, if any; the key is deleted when it ends.
    lease: Option<u64>,
}

/// A lease that keys can be attached to.
struct Lease {
    /// When it expires, in seconds of simulated time.
    expires_at: f64,
    ttl_s: f64,
}

/// A change of a key, as returned by watches.
pub(crate) struct Change {
    pub(crate) key: String,
    /// The new value; `None` if the key was deleted.
    pub(crate) value: Option<Value>,
    pub(crate) revision: u64,
}

/// A transaction that got no response and is executed late.
pub(crate) struct LateWrite {
    /// When it is executed, in seconds of simulated time.
    pub(crate) due_at: f64,
    /// Body of the transaction request.
    pub(crate) body: Vec<u8>,
}

/// The keys, the leases and the history of changes.
#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    revision: u64,
    /// All changes so far, in order of their revisions.
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    /// Id of the last lease granted.
    last_lease: u64,
    /// Transactions that are still to be executed late.
    pub(crate) late_writes: Vec<LateWrite>,
    /// The first value written for each placement batch, by key.
    batches: BTreeMap<String, Value>,
    /// Descriptions of placement batches that were written again with another value, or
    /// whose key does not contain the current term.
    pub(crate) invalid_batches: Vec<String>,
}

impl Store {
    /// Handles a request other than a watch.
    pub(crate) fn handle_request(
        &mut self,
        now: f64,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Response {
        if let Some(query) = path.strip_prefix("/store?") {
            return self.list(query_parameter(query, "starts=").unwrap());
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return self.get(key);
        }
        if path == "/leases" {
            return self.grant_lease(now, body);
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
            if method == Method::DELETE {
                self.revoke_lease(id);
                return ok(json!({}));
            }
            return self.renew_lease(now, id);
        }
        self.transact(body)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// All changes after a revision.
    pub(crate) fn changes_after(&self, revision: u64) -> &[Change] {
        let first = self
            .changes
            .partition_point(|change| change.revision <= revision);
        &self.changes[first..]
    }

    /// Keys that begin with a prefix.
    pub(crate) fn keys(&self, prefix: &str) -> impl Iterator<Item = &String> {
        self.rows.keys().filter(move |key| key.starts_with(prefix))
    }

    /// Deletes the keys of expired leases.
    pub(crate) fn expire_leases(&mut self, now: f64) {
        let is_expired = |(_, lease): &(&u64, &Lease)| lease.expires_at <= now;
        let expired = self.leases.iter().filter(is_expired);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Renews all leases for their full duration from now on, as the store does after an
    /// outage.
    pub(crate) fn renew_all_leases(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    fn list(&self, prefix: &str) -> Response {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        let rows: Vec<Value> = rows
            .map(|(key, row)| json!({"path": key, "value": row.value, "stamp": row.version}))
            .collect();
        ok(json!({"rows": rows, "hasNext": false, "epoch": self.revision}))
    }

    fn get(&self, key: &str) -> Response {
        match self.rows.get(key) {
            Some(row) => ok(json!({"path": key, "value": row.value, "stamp": row.version})),
            None => status(404, json!({"epoch": self.revision})),
        }
    }

    fn grant_lease(&mut self, now: f64, body: &[u8]) -> Response {
        let request: Value = serde_json::from_slice(body).unwrap();
        let ttl_s = request["ttlMs"].as_f64().unwrap() / 1000.0;
        self.last_lease += 1;
        let lease = Lease {
            expires_at: now + ttl_s,
            ttl_s,
        };
        self.leases.insert(self.last_lease, lease);
        ok(json!({"permit": self.last_lease}))
    }

    fn renew_lease(&mut self, now: f64, id: u64) -> Response {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl_s;
                ok(json!({}))
            }
            None => status(404, json!({})),
        }
    }

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let is_held = |(_, row): &(&String, &Row)| row.lease == Some(id);
        let keys = self.rows.iter().filter(is_held);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(key);
        }
    }

    /// Executes a transaction if all its conditions hold and the leases of its writes exist.
    fn transact(&mut self, body: &[u8]) -> Response {
        let transaction: Transaction = serde_json::from_slice(body).unwrap();
        assert!(transaction.writes.len() <= MAX_WRITES);
        assert!(transaction.conditions.len() <= MAX_CONDITIONS && body.len() <= MAX_BODY_BYTES);
        let mut conditions = transaction.conditions.iter();
        if let Some(failed) = conditions.find(|c| self.version(&c.key) != c.version) {
            // Only the first failed condition is returned, as the protocol does not guarantee
            // that all are.
            return status(409, json!({"failed": [failed.key], "epoch": self.revision}));
        }
        if transaction.writes.iter().any(|w| self.has_expired_lease(w)) {
            return status(400, json!({"error": "no such lease"}));
        }
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        for write in transaction.writes {
            match write {
                Write::Set { key, value, lease } => self.set(key, value, lease),
                Write::Remove { key } => self.delete(key),
            }
        }
        ok(json!({"epoch": self.revision}))
    }

    /// Revision of the last write to a key; 0 if it does not exist.
    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    /// Whether a write is attached to a lease that no longer exists.
    fn has_expired_lease(&self, write: &Write) -> bool {
        match write {
            Write::Set { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Remove { .. } => false,
        }
    }

    /// Sets a key, with the current revision as its version.
    fn set(&mut self, key: String, value: Value, lease: Option<u64>) {
        assert!(value.to_string().len() <= MAX_VALUE_BYTES);
        self.check_batch(&key, &value);
        let version = self.revision;
        self.changes.push(Change {
            key: key.clone(),
            value: Some(value.clone()),
            revision: version,
        });
        let row = Row {
            value,
            version,
            lease,
        };
        self.rows.insert(key, row);
    }

    /// Deletes a key, if it exists, and records the change at the current revision.
    fn delete(&mut self, key: String) {
        if self.rows.remove(&key).is_some() {
            self.changes.push(Change {
                key,
                value: None,
                revision: self.revision,
            });
        }
    }

    /// Records a violation if a placement batch is written again with another value, or if
    /// the term in its key is not the current term.
    fn check_batch(&mut self, key: &str, value: &Value) {
        let Some(batch) = key.strip_prefix(BATCH_PREFIX) else {
            return;
        };
        let term = batch.split('-').next().unwrap_or_default();
        let current_term = &self.rows[TERM_KEY].value["term"];
        if current_term.as_u64() != term.parse().ok() {
            let violation = format!("{key} is written in term {current_term}");
            self.invalid_batches.push(violation);
        }
        let first_value = self.batches.entry(key.to_string());
        if first_value.or_insert_with(|| value.clone()) != value {
            self.invalid_batches.push(key.to_string());
        }
    }
}

/// Value of a query parameter. `name` includes the equals sign.
pub(crate) fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name))
}
