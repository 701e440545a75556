//! A stand-in of the state service. It has a port for each controller, so that one of them can be
//! refused, left without answers, or answered late.

use crate::{
    http::{self, Answer, Request},
    json::Json,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// What happens to the requests of one controller.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Serve,
    /// 503, and open watches wait.
    Refuse,
    /// The network holds everything: no answer, nothing is executed.
    Cut,
}

struct Entry {
    value: Json,
    stamp: u64,
    permit: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Entry>,
    epoch: u64,
    /// Stamp, key and the value that was set, `None` if it was removed.
    log: Vec<(u64, String, Option<Json>)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    outage_since: Option<Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    modes: Mutex<Vec<Mode>>,
    /// Transactions that get no answer and are executed late, of 1000, and the delay in ms.
    pub late_per_mille: AtomicU64,
    /// Of 1000 transactions, those that are executed at once and whose answer is lost.
    pub lost_answers_per_mille: AtomicU64,
    /// Delay of every answer, in ms.
    pub delay_ms: AtomicU64,
    random: AtomicU64,
}

impl Store {
    /// Starts a store with a port for each of `count` controllers.
    pub fn start(count: usize) -> (Arc<Store>, Vec<SocketAddr>) {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                epoch: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            modes: Mutex::new(vec![Mode::Serve; count]),
            late_per_mille: AtomicU64::new(0),
            lost_answers_per_mille: AtomicU64::new(0),
            delay_ms: AtomicU64::new(2),
            random: AtomicU64::new(0x9e3779b97f4a7c15),
        });
        let ports = (0..count)
            .map(|node| {
                let store = store.clone();
                http::serve(move |request| store.answer(node, request))
            })
            .collect();
        let ticker = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                ticker.end_leases();
            }
        });
        (store, ports)
    }

    pub fn set_mode(&self, node: usize, mode: Mode) {
        self.modes.lock().unwrap()[node] = mode;
        self.changed.notify_all();
    }

    fn mode(&self, node: usize) -> Mode {
        self.modes.lock().unwrap()[node]
    }

    pub fn set_outage(&self, is_out: bool) {
        let mut state = self.state.lock().unwrap();
        if is_out {
            state.outage_since = Some(Instant::now());
        } else if state.outage_since.take().is_some() {
            let now = Instant::now();
            for lease in state.leases.values_mut() {
                lease.ends = now + lease.ttl;
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        state.rows.get(key).map(|entry| entry.value.clone())
    }

    fn chance(&self, per_mille: u64) -> bool {
        let mut x = self.random.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.store(x, Ordering::Relaxed);
        x % 1000 < per_mille
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.outage_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            remove_lease(&mut state, id);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(self: &Arc<Self>, node: usize, request: Request) -> Answer {
        std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
        match self.mode(node) {
            Mode::Cut => {
                while self.mode(node) == Mode::Cut {
                    std::thread::sleep(Duration::from_millis(50));
                }
                return None;
            }
            Mode::Refuse => return Some((503, "{\"error\":\"unavailable\"}".into())),
            Mode::Serve => {}
        }
        if self.state.lock().unwrap().outage_since.is_some() {
            return Some((503, "{\"error\":\"unavailable\"}".into()));
        }
        let answer = self.execute(node, &request);
        // A cut that began meanwhile takes the answer.
        (self.mode(node) != Mode::Cut).then_some(answer)?
    }

    fn execute(self: &Arc<Self>, node: usize, request: &Request) -> Answer {
        let path = request.path.trim_start_matches('/');
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["store"]) => Some(self.list(request)),
            ("GET", ["store", ..]) => Some(self.read(&path["store/".len()..])),
            ("POST", ["multi"]) => {
                let body = Json::parse(&request.body)?;
                if self.chance(self.late_per_mille.load(Ordering::Relaxed)) {
                    let store = self.clone();
                    let wait =
                        Duration::from_millis(2000 + store.random.load(Ordering::Relaxed) % 10_000);
                    std::thread::spawn(move || {
                        std::thread::sleep(wait);
                        store.commit(&body);
                    });
                    std::thread::sleep(Duration::from_secs(5));
                    return None;
                }
                let answer = self.commit(&body);
                if self.chance(self.lost_answers_per_mille.load(Ordering::Relaxed)) {
                    std::thread::sleep(Duration::from_secs(5));
                    return None;
                }
                Some(answer)
            }
            ("POST", ["leases"]) => {
                let ttl = Duration::from_millis(Json::parse(&request.body)?.get("ttlMs").int());
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                let id = state.last_lease;
                let ends = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends });
                Some((200, format!("{{\"permit\":{id}}}")))
            }
            ("POST", ["leases", id, "touch"]) => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id.parse().ok()?) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        Some((200, "{}".into()))
                    }
                    None => Some((404, "{}".into())),
                }
            }
            ("DELETE", ["leases", id]) => {
                remove_lease(&mut self.state.lock().unwrap(), id.parse().ok()?);
                self.changed.notify_all();
                Some((200, "{}".into()))
            }
            ("GET", ["changes"]) => self.watch(node, request),
            _ => Some((400, "{\"error\":\"malformed\"}".into())),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.rows.get(key) {
            Some(entry) => (200, row(key, entry)),
            None => (404, format!("{{\"epoch\":{}}}", state.epoch)),
        }
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let (prefix, since) = (request.param("starts"), request.param("since"));
        let page: usize = request.param("page").parse().unwrap_or(1000);
        let state = self.state.lock().unwrap();
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_next = false;
        for (key, entry) in &state.rows {
            if !key.starts_with(prefix) || key.as_str() <= since {
                continue;
            }
            let text = row(key, entry);
            if rows.len() >= page.min(1000) || bytes + text.len() > 512 * 1024 {
                has_next = true;
                break;
            }
            bytes += text.len();
            rows.push(text);
        }
        let body = format!(
            "{{\"rows\":[{}],\"hasNext\":{has_next},\"epoch\":{}}}",
            rows.join(","),
            state.epoch
        );
        (200, body)
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let failed: Vec<Json> = body
            .get("guards")
            .items()
            .iter()
            .filter(|guard| {
                let stamp = state
                    .rows
                    .get(guard.get("path").str())
                    .map_or(0, |e| e.stamp);
                stamp != guard.get("stamp").int()
            })
            .map(|guard| guard.get("path").clone())
            .collect();
        let writes = body.get("writes").items();
        let is_dead =
            |permit: &Json| !permit.is_null() && !state.leases.contains_key(&permit.int());
        if writes.iter().any(|write| is_dead(write.get("permit"))) {
            return (400, "{\"error\":\"no such lease\"}".into());
        }
        if !failed.is_empty() {
            let body = format!(
                "{{\"failed\":{},\"epoch\":{}}}",
                Json::Arr(failed),
                state.epoch
            );
            return (409, body);
        }
        if !writes.is_empty() {
            state.epoch += 1;
        }
        let stamp = state.epoch;
        for write in writes {
            if write.get("set").is_null() {
                let key = write.get("remove").str().to_string();
                if state.rows.remove(&key).is_some() {
                    state.log.push((stamp, key, None));
                }
            } else {
                let (key, value) = (
                    write.get("set").str().to_string(),
                    write.get("value").clone(),
                );
                let permit = write.get("permit");
                let permit = (!permit.is_null()).then(|| permit.int());
                state.log.push((stamp, key.clone(), Some(value.clone())));
                state.rows.insert(
                    key,
                    Entry {
                        value,
                        stamp,
                        permit,
                    },
                );
            }
        }
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"epoch\":{stamp}}}"))
    }

    fn watch(&self, node: usize, request: &Request) -> Answer {
        let prefix = request.param("starts");
        let since: u64 = request.param("since").parse().unwrap_or(0);
        let block: u64 = request.param("blockMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(block);
        let mut state = self.state.lock().unwrap();
        loop {
            let is_waiting = state.outage_since.is_some() || self.mode(node) != Mode::Serve;
            if !is_waiting {
                let news: Vec<String> = state
                    .log
                    .iter()
                    .filter(|(stamp, key, _)| *stamp > since && key.starts_with(prefix))
                    .map(|(stamp, key, value)| match value {
                        Some(value) => format!(
                            "{{\"set\":{},\"value\":{value},\"stamp\":{stamp}}}",
                            Json::Str(key.clone())
                        ),
                        None => format!(
                            "{{\"remove\":{},\"stamp\":{stamp}}}",
                            Json::Str(key.clone())
                        ),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() >= deadline {
                    let body = format!(
                        "{{\"epoch\":{},\"news\":[{}]}}",
                        state.epoch,
                        news.join(",")
                    );
                    return Some((200, body));
                }
            }
            let (next, _) = self
                .changed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap();
            state = next;
        }
    }
}

fn row(key: &str, entry: &Entry) -> String {
    let permit = entry.permit.map_or("null".to_string(), |id| id.to_string());
    format!(
        "{{\"path\":{},\"value\":{},\"stamp\":{},\"permit\":{permit}}}",
        Json::Str(key.to_string()),
        entry.value,
        entry.stamp
    )
}

fn remove_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_none() {
        return;
    }
    let keys: Vec<String> = state
        .rows
        .iter()
        .filter(|(_, entry)| entry.permit == Some(id))
        .map(|(key, _)| key.clone())
        .collect();
    if keys.is_empty() {
        return;
    }
    state.epoch += 1;
    let stamp = state.epoch;
    for key in keys {
        state.rows.remove(&key);
        state.log.push((stamp, key, None));
    }
}
