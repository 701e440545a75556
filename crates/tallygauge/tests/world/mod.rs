//! Stand-ins of state service, cloud and workers, in simulated time. They are
//! written from the protocol, keep count of what is where, and note every
//! start that breaks a rule.

use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge::{
    node::Node,
    settings::Settings,
    tuning::Tuning,
    workers::{CheckIn, check_in},
};
use tallygauge_state::http::{Answer, Http, NoAnswer, Transport};
use tallygauge_wire::{
    state::{Transaction, Write},
    workers::{Command, DirectCommands, ReportAnswer},
};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};
use warp::http::{Method, StatusCode};

pub const LEASE_S: f64 = 10.0;
pub const REPORT_S: f64 = 1.0;
pub const TEAM_CPUS: f64 = 16.0;

struct SimTask {
    name: String,
    attempt: u64,
    state: &'static str,
    cause: Option<&'static str>,
    since: f64,
}

struct SimWorker {
    session: u64,
    seq: u64,
    token: u64,
    answered: f64,
    tasks: Vec<SimTask>,
    /// Neither reports nor takes commands, but runs its tasks.
    silent: bool,
    at_node: usize,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, (Value, u64, Option<u64>)>,
    revision: u64,
    changes: Vec<(String, Option<Value>, u64)>,
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
}

pub struct Inner {
    store: Store,
    machines: BTreeMap<String, f64>,
    workers: BTreeMap<String, SimWorker>,
    /// Run time of each job's tasks, and CPUs.
    runs: HashMap<String, (f64, f64)>,
    bookings: HashMap<String, Vec<String>>,
    next_machine: u32,
    /// Nodes that can't reach the state service.
    pub cut: BTreeSet<String>,
    /// Transactions that are made but whose answer is lost.
    pub lose_answers: u32,
    /// Answers of state service and cloud are cut short.
    pub garbled: bool,
    /// Watches of jobs hang.
    pub hold_watches: bool,
    /// Starts, with time, task and worker.
    pub starts: Vec<(f64, String, String)>,
    /// Rules broken.
    pub broken: Vec<String>,
    /// Direct commands that were turned away.
    pub bounced: u32,
    /// What the team's tasks may use.
    pub team_cpus: f64,
    /// Where workers take direct commands, if not under their names.
    pub endpoints: HashMap<String, String>,
}

pub struct World {
    pub inner: Mutex<Inner>,
    changed: Notify,
    began: Instant,
    pub nodes: Mutex<Vec<Option<Arc<Node>>>>,
}

struct Link {
    world: Arc<World>,
    node: String,
}

impl Transport for Link {
    fn carry(
        &self,
        method: Method,
        url: String,
        body: bytes::Bytes,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
        let (world, node) = (self.world.clone(), self.node.clone());
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(3)).await;
            let rest = url.strip_prefix("http://").unwrap_or_default();
            let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
            let answer = match host {
                "127.0.0.1:7002" => world.state(&node, &method, path, &body).await,
                "127.0.0.1:7001" => Ok(world.cloud(&method, path, &body)),
                _ => world.orders(host, &body).await,
            };
            let garbled = world.inner.lock().unwrap().garbled;
            answer.map(|(code, body)| {
                let keep = if garbled { body.len() / 2 } else { body.len() };
                (code, body.slice(..keep))
            })
        })
    }
}

fn ok(body: Value) -> (StatusCode, bytes::Bytes) {
    status(200, body)
}

fn status(code: u16, body: Value) -> (StatusCode, bytes::Bytes) {
    (
        StatusCode::from_u16(code).unwrap(),
        body.to_string().into_bytes().into(),
    )
}

impl World {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                store: Store::default(),
                machines: BTreeMap::new(),
                workers: BTreeMap::new(),
                runs: HashMap::new(),
                bookings: HashMap::new(),
                next_machine: 0,
                cut: BTreeSet::new(),
                lose_answers: 0,
                hold_watches: false,
                garbled: false,
                starts: Vec::new(),
                broken: Vec::new(),
                bounced: 0,
                team_cpus: TEAM_CPUS,
                endpoints: HashMap::new(),
            }),
            changed: Notify::new(),
            began: Instant::now(),
            nodes: Mutex::new(Vec::new()),
        })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Starts a controller and what it does unasked.
    pub fn node(self: &Arc<Self>, name: &str) -> (Arc<Node>, JoinHandle<()>) {
        let settings = json!({
            "node_name": name, "area": "a",
            "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081", "seeds": [],
            "services": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
            "deployment": {
                "count": 2, "zones": ["a"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": TEAM_CPUS}],
                "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "cancel_s": 20.0},
                "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 16},
                "cloud": {"rps": 8.0, "list_lag_s": 1.0},
                "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": 100}
            }
        });
        let http = Http::over(Arc::new(Link {
            world: self.clone(),
            node: name.into(),
        }));
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let (node, questions) = Node::new(settings, Tuning::default(), http.clone(), http);
        self.nodes.lock().unwrap().push(Some(node.clone()));
        let task = tokio::spawn(tallygauge::background(node.clone(), questions));
        (node, task)
    }

    /// Takes a node off the network of the workers, as when it crashes.
    pub fn forget_node(&self, name: &str) {
        for slot in self.nodes.lock().unwrap().iter_mut() {
            if slot.as_ref().is_some_and(|n| n.settings.node_name == name) {
                *slot = None;
            }
        }
    }

    /// What the user submits; its tasks will run for `run_s`.
    pub fn job(&self, number: u32, tasks: u32, cpus: f64, run_s: f64) -> (String, Vec<u8>) {
        let id = format!("req-{number:06}");
        self.inner
            .lock()
            .unwrap()
            .runs
            .insert(id.clone(), (run_s, cpus));
        let body = json!({
            "nameId": id, "workload": "w", "owner": "t", "shape": "array", "urgency": "normal",
            "pieces": tasks, "cores": cpus, "gpus": 0.0, "memGb": 1.0, "bundle": "i", "pullGb": 1.0,
            "oneZone": false, "spread": false, "borrowed": false,
            "expectedS": run_s, "snapshotEveryS": 0.0, "snapshotS": 0.0
        });
        (id, body.to_string().into_bytes())
    }

    pub fn silence(&self, worker: &str, silent: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.workers.get_mut(worker).unwrap().silent = silent;
    }

    pub fn assert_rules(&self) {
        let inner = self.inner.lock().unwrap();
        assert!(inner.broken.is_empty(), "{:?}", inner.broken);
        assert!(!inner.starts.is_empty(), "nothing ran");
    }

    /// Answers a node in the state service's stead.
    pub async fn state(&self, node: &str, method: &Method, path: &str, body: &[u8]) -> Answer {
        if self.inner.lock().unwrap().cut.contains(node) {
            tokio::time::sleep(Duration::from_secs(3600)).await;
            return Err(NoAnswer::Lost);
        }
        if let Some(query) = path.strip_prefix("/changes?") {
            return Ok(self.changes(query).await);
        }
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        inner.store.expire(now);
        let answer = inner.store.answer(now, method, path, body);
        let writes = path == "/multi" && String::from_utf8_lossy(body).contains("\"writes\"");
        let lost = writes && inner.lose_answers > 0;
        inner.lose_answers -= u32::from(lost);
        drop(inner);
        if lost {
            self.changed.notify_waiters();
            return Err(NoAnswer::Lost);
        }
        self.changed.notify_waiters();
        Ok(answer)
    }

    async fn changes(&self, query: &str) -> (StatusCode, bytes::Bytes) {
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
                let mut inner = self.inner.lock().unwrap();
                inner.store.expire(now);
                let news: Vec<Value> = inner
                    .store
                    .changes
                    .iter()
                    .filter(|c| c.2 > since && c.0.starts_with(&prefix))
                    .map(|(key, value, at)| match value {
                        Some(v) => json!({"set": key, "value": v, "stamp": at}),
                        None => json!({"remove": key, "stamp": at}),
                    })
                    .collect();
                let held = inner.hold_watches && prefix == "o/";
                if !held && (!news.is_empty() || Instant::now() >= until) {
                    return ok(json!({"epoch": inner.store.revision, "news": news}));
                }
            }
            let next = Instant::now() + Duration::from_millis(100);
            let _ = tokio::time::timeout_at(next, self.changed.notified()).await;
        }
    }

    /// Answers in the cloud's stead.
    pub fn cloud(&self, method: &Method, path: &str, body: &[u8]) -> (StatusCode, bytes::Bytes) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        if path == "/catalog" {
            return ok(
                json!({"builds": [{"name": "c8", "cores": 8, "gpus": 0, "memGb": 32,
                "cacheGb": 20, "pullGbPerS": 10.0, "rate": 1.0, "lowPrice": 0.4, "readyS": 2.0, "sites": ["a"]}]}),
            );
        }
        if method == Method::GET {
            let list: Vec<Value> = inner
                .machines
                .iter()
                .map(|(name, at)| {
                    json!({"nameId": name, "endpoint": inner.endpoint(name), "build": "c8", "site": "a", "borrowed": false,
                        "status": if inner.workers.contains_key(name) {"running"} else {"booting"}, "ageS": now - at})
                })
                .collect();
            return ok(json!({"benches": list, "hasNext": false}));
        }
        let request: Value = serde_json::from_slice(body).unwrap();
        if path == "/machines/return" {
            for name in request["benches"].as_array().unwrap() {
                inner.machines.remove(name.as_str().unwrap());
                inner.workers.remove(name.as_str().unwrap());
            }
            return ok(json!({"benches": []}));
        }
        let booking = request["booking"].as_str().unwrap().to_string();
        if !inner.bookings.contains_key(&booking) {
            let mut names = Vec::new();
            for _ in 0..request["howMany"].as_u64().unwrap() {
                let name = format!("host-{:06}", inner.next_machine);
                inner.next_machine += 1;
                inner.machines.insert(name.clone(), now);
                names.push(name);
            }
            inner.bookings.insert(booking.clone(), names);
        }
        ok(json!({"benches": inner.bookings[&booking]}))
    }

    /// Answers a direct message in a worker's stead.
    pub async fn orders(&self, worker: &str, body: &[u8]) -> Answer {
        let now = self.now();
        let request: DirectCommands = serde_json::from_slice(body).unwrap();
        let answer = {
            let mut inner = self.inner.lock().unwrap();
            inner.advance(now);
            match inner.workers.get_mut(worker) {
                Some(w) if !w.silent => {
                    w.seq += 1;
                    if request.token < w.token || request.session != w.session {
                        inner.bounced += 1;
                        Some(status(409, inner.report(worker)))
                    } else {
                        w.token = request.token;
                        inner.execute(now, worker, &request.commands);
                        Some(ok(inner.report(worker)))
                    }
                }
                _ => None,
            }
        };
        match answer {
            Some(answer) => Ok(answer),
            None => {
                tokio::time::sleep(Duration::from_secs(3600)).await;
                Err(NoAnswer::Lost)
            }
        }
    }

    /// Lets machines boot, tasks run and workers report, for ever.
    pub async fn play(self: Arc<Self>) {
        let mut due: HashMap<String, f64> = HashMap::new();
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let now = self.now();
            let reports: Vec<(String, usize, f64, Vec<u8>)> = {
                let mut inner = self.inner.lock().unwrap();
                inner.store.expire(now);
                inner.advance(now);
                let speaking: Vec<String> = inner
                    .workers
                    .iter()
                    .filter(|(n, w)| !w.silent && due.get(*n).is_none_or(|t| *t <= now))
                    .map(|(n, _)| n.clone())
                    .collect();
                speaking
                    .into_iter()
                    .map(|name| {
                        due.insert(name.clone(), now + REPORT_S);
                        let at = inner.workers[&name].at_node;
                        let report = inner.next_report(&name).unwrap();
                        (name, at, now, report.to_string().into_bytes())
                    })
                    .collect()
            };
            for (name, at, sent, body) in reports {
                let node = {
                    let nodes = self.nodes.lock().unwrap();
                    nodes.get(at % nodes.len().max(1)).cloned().flatten()
                };
                let answer = node.map(|n| check_in(&n, &body));
                let mut inner = self.inner.lock().unwrap();
                match answer {
                    Some(CheckIn::Take(answer)) => inner.answered(sent, &name, &answer),
                    _ => {
                        if let Some(w) = inner.workers.get_mut(&name) {
                            w.at_node += 1;
                        }
                    }
                }
            }
        }
    }
}

impl Inner {
    /// A worker takes the answer to a report that it sent.
    pub fn answered(&mut self, sent: f64, name: &str, answer: &ReportAnswer) {
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if answer.token < w.token {
            return;
        }
        w.token = answer.token;
        w.answered = w.answered.max(sent);
        self.execute(sent, name, &answer.commands);
    }

    /// A worker's report.
    pub fn report(&self, name: &str) -> Value {
        let w = &self.workers[name];
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(
                |t| json!({"piece": t.name, "try": t.attempt, "status": t.state, "cause": t.cause}),
            )
            .collect();
        json!({"bench": name, "endpoint": self.endpoint(name), "build": "c8", "site": "a", "borrowed": false,
            "shift": w.session, "tick": w.seq, "baton": w.token, "recallS": null, "pieces": tasks})
    }

    fn endpoint<'a>(&'a self, name: &'a str) -> &'a str {
        self.endpoints.get(name).map_or(name, String::as_str)
    }

    /// The next report of a worker that speaks.
    pub fn next_report(&mut self, name: &str) -> Option<Value> {
        let w = self.workers.get_mut(name).filter(|w| !w.silent)?;
        w.seq += 1;
        Some(self.report(name))
    }

    /// Adds machines that were rented long ago, for the load example.
    #[allow(dead_code)]
    pub fn furnish(&mut self, count: u32) {
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            self.machines.insert(name, -60.0);
        }
        self.advance(0.0);
    }

    /// Machines that are up, for the load example.
    #[allow(dead_code)]
    pub fn names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    fn execute(&mut self, now: f64, name: &str, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let there = self.workers[name]
                        .tasks
                        .iter()
                        .any(|t| t.name == *task && t.attempt == *attempt);
                    if there {
                        continue;
                    }
                    let on = |w: &SimWorker| {
                        w.tasks
                            .iter()
                            .any(|t| t.name == *task && t.state != "ended")
                    };
                    if self.workers.values().any(on) {
                        self.broken.push(format!("{now:.1}: {task} starts twice"));
                    }
                    self.starts.push((now, task.clone(), name.to_string()));
                    self.workers.get_mut(name).unwrap().tasks.push(SimTask {
                        name: task.clone(),
                        attempt: *attempt,
                        state: "running",
                        cause: None,
                        since: now,
                    });
                    let used: f64 = self
                        .workers
                        .values()
                        .flat_map(|w| &w.tasks)
                        .filter(|t| t.state != "ended")
                        .map(|t| self.runs[t.name.split('/').next().unwrap()].1)
                        .sum();
                    if used > self.team_cpus + 1e-6 {
                        self.broken
                            .push(format!("{now:.1}: the team uses {used} CPUs"));
                    }
                }
                Command::Stop { task, attempt, .. } => {
                    let w = self.workers.get_mut(name).unwrap();
                    for t in w
                        .tasks
                        .iter_mut()
                        .filter(|t| t.name == *task && t.attempt == *attempt)
                    {
                        if t.state != "ended" {
                            (t.state, t.cause) = ("ended", Some("halted"));
                        }
                    }
                }
                Command::Clear { task, attempt } => {
                    let w = self.workers.get_mut(name).unwrap();
                    w.tasks
                        .retain(|t| t.name != *task || t.attempt != *attempt || t.state != "ended");
                }
            }
        }
    }

    /// Lets machines boot, tasks end and leases run out.
    pub fn advance(&mut self, now: f64) {
        for (name, rented) in &self.machines {
            if now - rented > 2.0 && !self.workers.contains_key(name) {
                self.workers.insert(
                    name.clone(),
                    SimWorker {
                        session: 1,
                        seq: 0,
                        token: 0,
                        answered: now,
                        tasks: Vec::new(),
                        silent: false,
                        at_node: 0,
                    },
                );
            }
        }
        for w in self.workers.values_mut() {
            if now - w.answered > LEASE_S {
                w.tasks.clear();
                w.session += 1;
                w.answered = now;
            }
            for t in w.tasks.iter_mut().filter(|t| t.state == "running") {
                let run = self.runs[t.name.split('/').next().unwrap()].0;
                if now - t.since >= run {
                    (t.state, t.cause) = ("ended", Some("done"));
                }
            }
        }
    }
}

impl Store {
    fn expire(&mut self, now: f64) {
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
        assert!(txn.writes.len() <= 16 && txn.guards.len() <= 64 && body.len() <= 65536);
        let failed: Vec<&String> = txn
            .guards
            .iter()
            .filter(|g| self.version(&g.key) != g.version)
            .map(|g| &g.key)
            .collect();
        if let Some(first) = failed.first() {
            // Only the first is named, as the protocol does not promise all.
            return status(409, json!({"failed": [first], "epoch": self.revision}));
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in txn.writes {
            match write {
                Write::Set { key, value, lease } => {
                    assert!(value.to_string().len() <= 8192);
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

/// Waits until something holds, for simulated seconds at most.
pub async fn until(seconds: f64, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
