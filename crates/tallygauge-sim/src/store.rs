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
    pub fn set_store_down(&self, down: bool) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.store_down = down;
        for lease in state.store.leases.values_mut() {
            lease.0 = now + lease.1;
        }
    }

    /// Changes so far of keys that begin with a prefix.
    pub fn count_changes(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        let changes = state.store.changes.iter();
        changes.filter(|c| c.0.starts_with(prefix)).count()
    }

    /// Keys on record that begin with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        let keys = state.store.rows.keys();
        keys.filter(|k| k.starts_with(prefix)).count()
    }

    /// Answers a controller in the state service's stead.
    pub async fn handle_store_request(
        &self,
        controller: &str,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> HttpResult {
        if self.state.lock().unwrap().partitioned.contains(controller) {
            tokio::time::sleep(Duration::from_secs(3600)).await;
            return Err(RequestError::NoResponse);
        }
        if let Some(query) = path.strip_prefix("/changes?") {
            if self.state.lock().unwrap().refuses(controller) {
                return Ok(status(503, json!({})));
            }
            return Ok(self.changes(controller, query).await);
        }
        let answer = {
            let now = self.now();
            let mut state = self.state.lock().unwrap();
            if state.refuses(controller) {
                return Ok(status(503, json!({})));
            }
            let writes = path == "/multi" && String::from_utf8_lossy(body).contains("\"writes\"");
            let share = state.late_writes;
            let mut late_s = None;
            if writes && share > 0.0 && state.random.random::<f64>() < share {
                late_s = Some(state.random.random_range(2.0..12.0));
            }
            let text = String::from_utf8_lossy(body);
            let meant = |o: &mut (&str, f64)| text.contains(&format!("\"set\":\"{}", o.0));
            if let Some((_, for_s)) = state.delay_next_write.take_if(meant) {
                late_s = Some(for_s);
            }
            let hangs = |prefix| text.contains(&format!("\"set\":\"{prefix}"));
            let lost = path == "/multi" && state.lost_responses > 0.0;
            let lost = lost && state.random.random::<f64>() < state.lost_responses;
            if state.hang_writes.is_some_and(hangs) {
                None
            } else if let Some(late_s) = late_s {
                state.store.unsettled.push((now + late_s, body.to_vec()));
                None
            } else {
                state.store.expire(now);
                let answer = state.store.answer(now, method, path, body);
                let cut = writes && state.lose_next_responses > 0;
                state.lose_next_responses -= u32::from(cut);
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
    pub(crate) fn apply_late_writes(&self, now: f64) {
        let mut state = self.state.lock().unwrap();
        if state.store_down {
            return;
        }
        let mut due: Vec<_> = state
            .store
            .unsettled
            .extract_if(.., |t| t.0 <= now)
            .collect();
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, body) in &due {
            state.store.answer(now, &Method::POST, "/multi", body);
        }
        drop(state);
        if !due.is_empty() {
            self.changed.notify_waiters();
        }
    }

    async fn changes(&self, controller: &str, query: &str) -> (StatusCode, bytes::Bytes) {
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
                let mut state = self.state.lock().unwrap();
                if !state.store_down {
                    state.store.expire(now);
                }
                let changes = &state.store.changes;
                let news: Vec<Value> = changes[changes.partition_point(|c| c.2 <= since)..]
                    .iter()
                    .filter(|c| c.0.starts_with(&prefix))
                    .map(|(key, value, at)| match value {
                        Some(v) => json!({"set": key, "value": v, "stamp": at}),
                        None => json!({"remove": key, "stamp": at}),
                    })
                    .collect();
                let held = state.refuses(controller) || (state.hang_job_watches && prefix == "o/");
                if !held && (!news.is_empty() || Instant::now() >= until) {
                    return ok(json!({"epoch": state.store.revision, "news": news}));
                }
            }
            let next = Instant::now() + Duration::from_millis(100);
            let _ = tokio::time::timeout_at(next, self.changed.notified()).await;
        }
    }
}

impl SimState {
    /// Whether the state service answers a controller 503; its open watches wait.
    fn refuses(&self, controller: &str) -> bool {
        self.store_down || self.refused.contains(controller)
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
