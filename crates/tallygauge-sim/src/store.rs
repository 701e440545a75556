//! The state service's stand-in: keys, leases, watches and transactions, and what
//! may go wrong with them.

use crate::{SimState, Simulation, ok, status};
use rand::RngExt;
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Duration};
use tallygauge_protocol::state::{Transaction, Write};
use tallygauge_store::http::{HttpResult, RequestError};
use tokio::time::Instant;
use warp::http::{Method, StatusCode};

#[derive(Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    changes: Vec<(String, Option<Value>, u64)>,
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
    /// Transactions that were not answered and are carried out later: when, which.
    unsettled: Vec<(f64, Vec<u8>)>,
    /// What was written under each batch's name; and batches that were written with
    /// something else later, or in the term of another leader.
    batches: BTreeMap<String, Value>,
    pub(crate) repeated: Vec<String>,
}

impl Simulation {
    /// The state service refuses everybody, or serves again: then all leases
    /// get their full time back.
    pub fn set_down(&self, down: bool) {
        let now = self.now();
        let mut inner = self.state.lock().unwrap();
        inner.store_down = down;
        for lease in inner.store.leases.values_mut() {
            lease.0 = now + lease.1;
        }
    }

    /// Changes so far of keys that begin with a prefix.
    pub fn changes_of(&self, prefix: &str) -> usize {
        let inner = self.state.lock().unwrap();
        let changes = inner.store.changes.iter();
        changes.filter(|c| c.0.starts_with(prefix)).count()
    }

    /// Keys on record that begin with a prefix.
    pub fn rows_of(&self, prefix: &str) -> usize {
        let inner = self.state.lock().unwrap();
        let keys = inner.store.rows.keys();
        keys.filter(|k| k.starts_with(prefix)).count()
    }

    /// Answers a node in the state service's stead.
    pub async fn state(&self, node: &str, method: &Method, path: &str, body: &[u8]) -> HttpResult {
        if self.state.lock().unwrap().partitioned.contains(node) {
            tokio::time::sleep(Duration::from_secs(3600)).await;
            return Err(RequestError::NoResponse);
        }
        if let Some(query) = path.strip_prefix("/changes?") {
            if self.state.lock().unwrap().refuses(node) {
                return Ok(status(503, json!({})));
            }
            return Ok(self.changes(node, query).await);
        }
        let answer = {
            let now = self.now();
            let mut inner = self.state.lock().unwrap();
            if inner.refuses(node) {
                return Ok(status(503, json!({})));
            }
            let writes = path == "/multi" && String::from_utf8_lossy(body).contains("\"writes\"");
            let share = inner.late_writes;
            let mut late_s = None;
            if writes && share > 0.0 && inner.random.random::<f64>() < share {
                late_s = Some(inner.random.random_range(2.0..12.0));
            }
            let text = String::from_utf8_lossy(body);
            let meant = |o: &mut (&str, f64)| text.contains(&format!("\"set\":\"{}", o.0));
            if let Some((_, for_s)) = inner.delay_next_write.take_if(meant) {
                late_s = Some(for_s);
            }
            let hangs = |prefix| text.contains(&format!("\"set\":\"{prefix}"));
            let lost = path == "/multi" && inner.lost_answers > 0.0;
            let lost = lost && inner.random.random::<f64>() < inner.lost_answers;
            if inner.hang_writes.is_some_and(hangs) {
                None
            } else if let Some(late_s) = late_s {
                inner.store.unsettled.push((now + late_s, body.to_vec()));
                None
            } else {
                inner.store.expire(now);
                let answer = inner.store.answer(now, method, path, body);
                let cut = writes && inner.lose_answers > 0;
                inner.lose_answers -= u32::from(cut);
                match (cut, lost) {
                    (true, _) => Some(Err(RequestError::NoResponse)),
                    (false, true) => None,
                    (false, false) => Some(Ok(answer)),
                }
            }
        };
        self.changed.notify_waiters();
        if let Some(answer) = answer {
            return answer;
        }
        tokio::time::sleep(Duration::from_secs(3600)).await;
        Err(RequestError::NoResponse)
    }

    /// Carries out what was held back, in the order in which it is due.
    pub(crate) fn settle(&self, now: f64) {
        let mut inner = self.state.lock().unwrap();
        if inner.store_down {
            return;
        }
        let mut due: Vec<_> = inner
            .store
            .unsettled
            .extract_if(.., |t| t.0 <= now)
            .collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, body) in &due {
            inner.store.answer(now, &Method::POST, "/multi", body);
        }
        drop(inner);
        if !due.is_empty() {
            self.changed.notify_waiters();
        }
    }

    async fn changes(&self, node: &str, query: &str) -> (StatusCode, bytes::Bytes) {
        let get = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name))
                .unwrap_or_default()
                .to_string()
        };
        let (prefix, since) = (get("starts="), get("since=").parse::<u64>().unwrap());
        let until = Instant::now() + Duration::from_millis(get("blockMs=").parse().unwrap());
        loop {
            {
                let now = self.now();
                let mut inner = self.state.lock().unwrap();
                if !inner.store_down {
                    inner.store.expire(now);
                }
                let changes = &inner.store.changes;
                let news: Vec<Value> = changes[changes.partition_point(|c| c.2 <= since)..]
                    .iter()
                    .filter(|c| c.0.starts_with(&prefix))
                    .map(|(key, value, at)| match value {
                        Some(v) => json!({"set": key, "value": v, "stamp": at}),
                        None => json!({"remove": key, "stamp": at}),
                    })
                    .collect();
                let held = inner.refuses(node) || (inner.hold_watches && prefix == "o/");
                if !held && (!news.is_empty() || Instant::now() >= until) {
                    return ok(json!({"epoch": inner.store.revision, "news": news}));
                }
            }
            let next = Instant::now() + Duration::from_millis(100);
            let _ = tokio::time::timeout_at(next, self.changed.notified()).await;
        }
    }
}

impl SimState {
    /// Whether the state service answers a node 503; its open watches wait.
    fn refuses(&self, node: &str) -> bool {
        self.store_down || self.refused.contains(node)
    }
}

impl Store {
    pub(crate) fn expire(&mut self, now: f64) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.0 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end(id);
        }
    }

    fn end(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, r)| r.2 == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.rows.remove(&key);
            self.changes.push((key, None, self.revision));
        }
    }

    pub fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |r| r.1)
    }

    fn answer(
        &mut self,
        now: f64,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> (StatusCode, bytes::Bytes) {
        if let Some(query) = path.strip_prefix("/store?") {
            let prefix = query
                .split('&')
                .find_map(|p| p.strip_prefix("starts="))
                .unwrap();
            let rows: Vec<Value> = self
                .rows
                .iter()
                .filter(|(k, _)| k.starts_with(prefix))
                .map(|(k, r)| json!({"path": k, "value": r.0, "stamp": r.1}))
                .collect();
            return ok(json!({"rows": rows, "hasNext": false, "epoch": self.revision}));
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.rows.get(key) {
                Some(r) => ok(json!({"path": key, "value": r.0, "stamp": r.1})),
                None => status(404, json!({"epoch": self.revision})),
            };
        }
        if path == "/leases" {
            let ttl: Value = serde_json::from_slice(body).unwrap();
            let ttl = ttl["ttlMs"].as_f64().unwrap() / 1000.0;
            self.next_lease += 1;
            self.leases.insert(self.next_lease, (now + ttl, ttl));
            return ok(json!({"permit": self.next_lease}));
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let id: u64 = rest.split('/').next().unwrap().parse().unwrap();
            if method == Method::DELETE {
                self.end(id);
                return ok(json!({}));
            }
            return match self.leases.get_mut(&id) {
                Some(lease) => {
                    lease.0 = now + lease.1;
                    ok(json!({}))
                }
                None => status(404, json!({})),
            };
        }
        let txn: Transaction = serde_json::from_slice(body).unwrap();
        assert!(txn.writes.len() <= 16 && txn.conditions.len() <= 64 && body.len() <= 65536);
        let failed: Vec<&String> = txn
            .conditions
            .iter()
            .filter(|g| self.version(&g.key) != g.version)
            .map(|g| &g.key)
            .collect();
        if let Some(first) = failed.first() {
            // Only the first is named, as the protocol does not promise all.
            return status(409, json!({"failed": [first], "epoch": self.revision}));
        }
        let ended = |w: &Write| match w {
            Write::Set { lease, .. } => lease.is_some_and(|l| !self.leases.contains_key(&l)),
            Write::Remove { .. } => false,
        };
        if txn.writes.iter().any(ended) {
            return status(400, json!({"error": "no such lease"}));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in txn.writes {
            match write {
                Write::Set { key, value, lease } => {
                    assert!(value.to_string().len() <= 8192);
                    if let Some(term) = key.strip_prefix("p/").and_then(|k| k.split('-').next()) {
                        let now = &self.rows["t/term"].0["term"];
                        if now.as_u64() != term.parse().ok() {
                            let text = format!("{key}, in term {now},");
                            self.repeated.push(text);
                        }
                        let first = self.batches.entry(key.clone());
                        if *first.or_insert_with(|| value.clone()) != value {
                            self.repeated.push(key.clone());
                        }
                    }
                    self.changes
                        .push((key.clone(), Some(value.clone()), self.revision));
                    self.rows.insert(key, (value, self.revision, lease));
                }
                Write::Remove { key } => {
                    if self.rows.remove(&key).is_some() {
                        self.changes.push((key, None, self.revision));
                    }
                }
            }
        }
        ok(json!({"epoch": self.revision}))
    }
}
