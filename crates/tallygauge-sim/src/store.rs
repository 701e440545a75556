//! The data of the key-value store's stand-in: keys with revisions, leases, and
//! transactions on conditions. It answers requests as the store's protocol says.

use crate::transport::{Response, ok, status};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tallygauge_protocol::state::{Transaction, Write};
use warp::http::Method;

/// Path of transactions.
pub(crate) const TRANSACTION_PATH: &str = "/multi";

/// Most writes of a transaction.
const MAX_WRITES: usize = 16;

/// Most conditions of a transaction.
const MAX_CONDITIONS: usize = 64;

/// Largest body of a transaction, in bytes.
const MAX_BODY_BYTES: usize = 65_536;

/// Largest value of a key, in bytes.
const MAX_VALUE_BYTES: usize = 8_192;

/// Prefix of the keys of placement batches; the leader's term follows it.
const BATCH_PREFIX: &str = "p/";

/// Key of the leader's term.
const TERM_KEY: &str = "t/term";

/// A key's value.
struct Row {
    value: Value,
    /// Revision of the last write to the key.
    version: u64,
    /// Lease with which the key is deleted, if any.
    lease: Option<u64>,
}

/// A lease.
struct Lease {
    /// When it expires, in seconds of simulated time.
    expires_at: f64,
    ttl_s: f64,
}

/// A change of a key, as watches see it.
pub(crate) struct Change {
    pub(crate) key: String,
    /// The new value; `None` if the key was deleted.
    pub(crate) value: Option<Value>,
    pub(crate) revision: u64,
}

/// A transaction that was not answered and is executed later.
pub(crate) struct LateWrite {
    /// When it is executed, in seconds of simulated time.
    pub(crate) due_at: f64,
    /// The transaction.
    pub(crate) body: Vec<u8>,
}

/// Keys, leases and changes.
#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    revision: u64,
    /// All changes so far, in order of their revisions.
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Transactions to be executed late.
    pub(crate) late_writes: Vec<LateWrite>,
    /// The first value of each placement batch.
    batches: BTreeMap<String, Value>,
    /// Placement batches that were written again with another value, or under the term of
    /// another leader.
    pub(crate) reused_keys: Vec<String>,
}

impl Store {
    /// Answers a request other than a watch.
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

    /// The current revision.
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

    /// Gives all leases their full time from now on, as after an outage.
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

    /// Executes a transaction, if its conditions and leases hold.
    fn transact(&mut self, body: &[u8]) -> Response {
        let transaction: Transaction = serde_json::from_slice(body).unwrap();
        assert!(transaction.writes.len() <= MAX_WRITES);
        assert!(transaction.conditions.len() <= MAX_CONDITIONS && body.len() <= MAX_BODY_BYTES);
        let mut conditions = transaction.conditions.iter();
        if let Some(failed) = conditions.find(|c| self.version(&c.key) != c.version) {
            // Only the first is named, as the protocol does not promise all.
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

    /// Whether a write is bound to a lease that does not exist any more.
    fn has_expired_lease(&self, write: &Write) -> bool {
        match write {
            Write::Set { lease, .. } => lease.is_some_and(|id| !self.leases.contains_key(&id)),
            Write::Remove { .. } => false,
        }
    }

    /// Sets a key at the current revision.
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

    /// Deletes a key, if it exists, at the current revision.
    fn delete(&mut self, key: String) {
        if self.rows.remove(&key).is_some() {
            self.changes.push(Change {
                key,
                value: None,
                revision: self.revision,
            });
        }
    }

    /// Records a placement batch whose key is used again, or that is written under another
    /// term than its key names.
    fn check_batch(&mut self, key: &str, value: &Value) {
        let Some(batch) = key.strip_prefix(BATCH_PREFIX) else {
            return;
        };
        let term = batch.split('-').next().unwrap_or_default();
        let current_term = &self.rows[TERM_KEY].value["term"];
        if current_term.as_u64() != term.parse().ok() {
            let violation = format!("{key}, in term {current_term},");
            self.reused_keys.push(violation);
        }
        let first = self.batches.entry(key.to_string());
        if first.or_insert_with(|| value.clone()) != value {
            self.reused_keys.push(key.to_string());
        }
    }
}

/// The value of a query's parameter; `name` includes the equals sign.
pub(crate) fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|parameter| parameter.strip_prefix(name))
}
