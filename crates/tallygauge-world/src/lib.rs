//! Stand-ins of state service, cloud, workers and users, in simulated time, for
//! the tests of tallygauge. They are written from the protocol, keep count of
//! what is where, and note every start that breaks a rule.
//!
//! Troubles: nodes cut from the state service, standing still, crashing and back
//! at once; workers silent, deaf, begun again; copies of reports that come late.

// What the stand-ins are made of is told by its names.
#![allow(missing_docs)]

use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Poll, Waker},
    time::Duration,
};
use tallygauge::{
    node::Node,
    settings::Settings,
    tuning::Tuning,
    users::{self, Passing, Relay, Reply},
    workers::{CheckIn, check_in},
};
use tallygauge_state::http::{Answer, Http, NoAnswer, Transport};
use tallygauge_wire::{
    state::{Transaction, Write},
    users::JobStatus,
    workers::{Command, DirectCommands, ReportAnswer},
};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};
use warp::http::{Method, StatusCode};

pub const LEASE_S: f64 = 10.0;
pub const REPORT_S: f64 = 1.0;
pub const CANCEL_S: f64 = 20.0;
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
    /// Its reports arrive; answers and commands don't reach it.
    deaf: bool,
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
    /// The state service refuses everybody.
    pub down: bool,
    /// Nodes that stand still, and what waits for them to go on.
    frozen: HashMap<String, Vec<Waker>>,
    /// Where a node will be made to stand still.
    pub freeze_at: Option<FreezeAt>,
    /// When users were told that jobs are cancelled.
    pub cancelled: HashMap<String, f64>,
    /// Tasks that were running on machines when these were returned.
    pub lost_work: u32,
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
    /// Reports that come again, late: when, which.
    copies: Vec<(f64, Vec<u8>)>,
    /// Part of the reports that come again, and after how many seconds at most.
    pub copying: (f64, f64),
    /// Deals out chance.
    chance: rand::rngs::StdRng,
    /// Where workers take direct commands, if not under their names.
    pub endpoints: HashMap<String, String>,
}

/// A place at which a node stands still: at a request of its own.
pub struct FreezeAt {
    pub node: String,
    /// What method and path begin with.
    pub request: &'static str,
    /// At the next wait after the answer was read, instead of before the request
    /// goes out.
    pub answered: bool,
}

pub struct World {
    pub inner: Mutex<Inner>,
    changed: Notify,
    thawed: Notify,
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
            let request = format!("{method} {path}");
            world.pass(&node, &request, false).await;
            let answer = match host {
                "127.0.0.1:7002" => world.state(&node, &method, path, &body).await,
                "127.0.0.1:7001" => Ok(world.cloud(&method, path, &body)),
                _ => world.orders(host, &body).await,
            };
            world.pass(&node, &request, true).await;
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
                down: false,
                frozen: HashMap::new(),
                freeze_at: None,
                cancelled: HashMap::new(),
                lost_work: 0,
                lose_answers: 0,
                hold_watches: false,
                garbled: false,
                starts: Vec::new(),
                broken: Vec::new(),
                bounced: 0,
                team_cpus: TEAM_CPUS,
                endpoints: HashMap::new(),
                copies: Vec::new(),
                copying: (0.0, 0.0),
                chance: rand::rngs::StdRng::seed_from_u64(1),
            }),
            changed: Notify::new(),
            thawed: Notify::new(),
            began: Instant::now(),
            nodes: Mutex::new(Vec::new()),
        })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Starts a controller and what it does unasked.
    pub fn node(self: &Arc<Self>, name: &str) -> (Arc<Node>, JoinHandle<()>) {
        self.node_with(name, Tuning::default())
    }

    /// Starts a controller with operators' settings.
    pub fn node_with(self: &Arc<Self>, name: &str, tuning: Tuning) -> (Arc<Node>, JoinHandle<()>) {
        let settings = json!({
            "node_name": name, "area": "a",
            "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081", "seeds": [],
            "services": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
            "deployment": {
                "count": 2, "zones": ["a"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": TEAM_CPUS}],
                "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "cancel_s": CANCEL_S},
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
        let (node, questions) = Node::new(settings, tuning, http.clone(), http);
        self.nodes.lock().unwrap().push(Some(node.clone()));
        let background = tallygauge::background(node.clone(), questions);
        let task = tokio::spawn(self.on(name, background));
        (node, task)
    }

    /// Runs something on a node: it makes no step while the node stands still,
    /// though its clocks run on.
    pub fn on<F: Future>(
        self: &Arc<Self>,
        node: &str,
        work: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        let (world, node) = (self.clone(), node.to_string());
        let mut work = Box::pin(work);
        std::future::poll_fn(move |cx| {
            if let Some(waiting) = world.inner.lock().unwrap().frozen.get_mut(&node) {
                waiting.push(cx.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(cx)
        })
    }

    /// Makes a node stand still.
    pub fn freeze(&self, node: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.frozen.entry(node.to_string()).or_default();
    }

    /// Lets a node go on.
    pub fn thaw(&self, node: &str) {
        let waiting = self.inner.lock().unwrap().frozen.remove(node);
        waiting.into_iter().flatten().for_each(Waker::wake);
        self.thawed.notify_waiters();
    }

    /// The state service refuses everybody, or serves again: then all leases
    /// get their full time back.
    pub fn set_down(&self, down: bool) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        inner.down = down;
        for lease in inner.store.leases.values_mut() {
            lease.0 = now + lease.1;
        }
    }

    /// Whether a node stands still.
    pub fn is_frozen(&self, node: &str) -> bool {
        self.inner.lock().unwrap().frozen.contains_key(node)
    }

    /// A request of a node passes here on its way out and back: while the node
    /// stands still, nothing does.
    async fn pass(&self, node: &str, request: &str, answered: bool) {
        {
            let mut inner = self.inner.lock().unwrap();
            let here = |at: &FreezeAt| {
                at.node == node && at.answered == answered && request.starts_with(at.request)
            };
            if inner.freeze_at.as_ref().is_some_and(here) {
                inner.freeze_at = None;
                inner.frozen.entry(node.to_string()).or_default();
                if answered {
                    return;
                }
            }
        }
        loop {
            let thawed = self.thawed.notified();
            if !self.is_frozen(node) {
                return;
            }
            thawed.await;
        }
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

    /// Lets a report come again some time later, as chance has it.
    fn note_copy(&self, now: f64, body: &[u8]) {
        let mut inner = self.inner.lock().unwrap();
        let (part, most) = inner.copying;
        if part > 0.0 && inner.chance.random::<f64>() < part {
            let at = now + inner.chance.random::<f64>() * most;
            inner.copies.push((at, body.to_vec()));
        }
    }

    /// Brings copies that are due to every node that is up: nobody waits for the
    /// answers.
    fn bring_copies(&self, now: f64) {
        let due: Vec<Vec<u8>> = {
            let mut inner = self.inner.lock().unwrap();
            let due = inner.copies.extract_if(.., |c| c.0 <= now);
            due.map(|c| c.1).collect()
        };
        if due.is_empty() {
            return;
        }
        let nodes: Vec<Arc<Node>> = self
            .nodes
            .lock()
            .unwrap()
            .iter()
            .flatten()
            .cloned()
            .collect();
        for node in nodes
            .iter()
            .filter(|n| !self.is_frozen(&n.settings.node_name))
        {
            for body in &due {
                let _ = check_in(node, body);
            }
        }
    }

    /// Chance follows from a seed.
    pub fn seed(&self, seed: u64) {
        self.inner.lock().unwrap().chance = rand::rngs::StdRng::seed_from_u64(seed);
    }

    /// A machine's reports go on to arrive; answers and commands don't reach it.
    pub fn deafen(&self, worker: &str, deaf: bool) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(w) = inner.workers.get_mut(worker) {
            w.deaf = deaf;
        }
    }

    /// A machine is back within a fraction of a second, all that ran there gone:
    /// its worker counts from the beginning.
    pub fn begin_again(&self, worker: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        if let Some(w) = inner.workers.get_mut(worker) {
            w.tasks.clear();
            (w.session, w.seq, w.token, w.answered) = (1, 0, 0, now);
        }
    }

    /// Starts a task on two machines, as no controller may.
    pub fn start_twice(&self, task: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        for (attempt, name) in (1..).zip(inner.names().into_iter().take(2)) {
            let task = task.to_string();
            inner.execute(now, &name, &[Command::Start { task, attempt }]);
        }
    }

    /// A user is told now that a job is cancelled.
    pub fn told_cancelled(&self, id: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        inner.cancelled.insert(id.to_string(), now);
    }

    /// Names of machines that are up.
    pub fn up(&self) -> Vec<String> {
        self.inner.lock().unwrap().names()
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
        if inner.down {
            return Ok(status(503, json!({})));
        }
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
                if !inner.down {
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
                let held = inner.down || (inner.hold_watches && prefix == "o/");
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
                let gone = inner.workers.remove(name.as_str().unwrap());
                let tasks = gone.iter().flat_map(|w| &w.tasks);
                let running = tasks.filter(|t| t.state == "running").count();
                inner.lost_work += u32::try_from(running).unwrap();
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
                Some(w) if !w.silent && !w.deaf => {
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
                if !inner.down {
                    inner.store.expire(now);
                }
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
            self.bring_copies(now);
            for (name, at, sent, body) in reports {
                self.note_copy(now, &body);
                let node = {
                    let nodes = self.nodes.lock().unwrap();
                    let node = nodes.get(at % nodes.len().max(1)).cloned().flatten();
                    node.filter(|n| !self.is_frozen(&n.settings.node_name))
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
        let Some(w) = self.workers.get_mut(name).filter(|w| !w.deaf) else {
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
    pub fn furnish(&mut self, count: u32) {
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            self.machines.insert(name, -60.0);
        }
        self.advance(0.0);
    }

    /// Machines that are up, for the load example.
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
                        deaf: false,
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
                let job = t.name.split('/').next().unwrap();
                if now - t.since >= self.runs[job].0 {
                    (t.state, t.cause) = ("ended", Some("done"));
                }
                if self
                    .cancelled
                    .get(job)
                    .is_some_and(|at| now - at > CANCEL_S)
                {
                    let name = &t.name;
                    self.broken.push(format!("{now:.1}: {name} still runs"));
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

/// What a reply says of its job.
pub fn status_of(reply: &Reply) -> Option<JobStatus> {
    match reply {
        Reply::Job(_, answer) => Some(answer.status),
        _ => None,
    }
}

/// Asks a node about a job.
pub async fn ask(node: &Node, id: &str) -> Option<JobStatus> {
    status_of(&users::status(node, id).await)
}

/// Submits a job until it is accepted.
pub async fn accepted(node: &Arc<Node>, body: &[u8]) {
    let kept = until(30.0, async || {
        matches!(users::submit(node, body).await.status(), 200 | 201)
    })
    .await;
    assert!(kept, "not accepted");
}

/// A world in play, led by its first node.
pub async fn led() -> (Arc<World>, Arc<Node>, JoinHandle<()>) {
    let world = World::new();
    tokio::spawn(world.clone().play());
    let (a, task) = world.node("n-a");
    assert!(until(30.0, async || leads(&a)).await);
    (world, a, task)
}

/// Starts so far.
pub fn started(world: &World) -> usize {
    world.inner.lock().unwrap().starts.len()
}

/// Whether a node leads and has its picture.
pub fn leads(node: &Node) -> bool {
    node.lock(&node.lead)
        .as_ref()
        .is_some_and(|l| l.cluster.is_some())
}

/// Passes requests on to one other node, as the peer service does.
pub struct To(pub Arc<Node>);

impl Relay for To {
    fn pass<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> Passing<'a> {
        Box::pin(async move {
            match users::local(&self.0, method, path, body).await? {
                Reply::Later(..) => None,
                reply => Some((reply.status(), reply.body())),
            }
        })
    }
}
