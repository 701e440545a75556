//! Stand-ins of the cloud and of the workers on its machines.

use crate::{
    http::{self, Answer, Request},
    json::Json,
    record::Record,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub cores: f64,
    pub mem_gb: f64,
    pub boot: Duration,
}

/// What the workers are told of a job: users upload it.
#[derive(Clone)]
pub struct JobInfo {
    pub team: String,
    pub pieces: u64,
    pub cores: f64,
    pub mem_gb: f64,
    pub run: Duration,
    /// The task fails after its run time.
    pub fails: bool,
    pub one_zone: bool,
    pub spread: bool,
    pub standing: bool,
    /// It may use spot machines.
    pub borrowed: bool,
    /// When its user was told that it is cancelled, in seconds of the record.
    pub cancelled_at: Option<f64>,
}

pub struct Limits {
    pub report: Duration,
    pub lease: Duration,
    pub cancel_s: f64,
    pub list_lag: Duration,
    /// Limit of each team in CPUs.
    pub teams: Vec<(&'static str, f64)>,
}

/// All that the stand-ins of machines and users share, and the rules that they check.
pub struct World {
    pub record: Arc<Record>,
    pub limits: Limits,
    pub jobs: Mutex<HashMap<String, JobInfo>>,
    /// Tasks on machines: name of the task, machines.
    started: Mutex<std::collections::BTreeSet<String>>,
    on_machine: Mutex<BTreeMap<String, Vec<(String, &'static str)>>>,
    /// Of 1000 reports, those of which a copy arrives late, at any controller.
    pub late_reports: AtomicU64,
    /// Of 1000 direct commands, those that are held up and executed once, unanswered.
    pub late_commands: AtomicU64,
    random: AtomicU64,
    pub broken: Mutex<Vec<String>>,
    /// Tasks that completed.
    pub done: Mutex<std::collections::BTreeSet<String>>,
    pub starts: Mutex<u64>,
    pub nodes: Mutex<Vec<(String, SocketAddr)>>,
}

impl World {
    pub fn new(record: Arc<Record>, limits: Limits) -> Arc<World> {
        Arc::new(World {
            record,
            limits,
            jobs: Mutex::default(),
            started: Mutex::default(),
            on_machine: Mutex::default(),
            late_reports: AtomicU64::new(0),
            late_commands: AtomicU64::new(0),
            random: AtomicU64::new(0x9e3779b97f4a7c15),
            broken: Mutex::default(),
            done: Mutex::default(),
            starts: Mutex::default(),
            nodes: Mutex::default(),
        })
    }

    pub fn break_rule(&self, text: String) {
        self.record.line(format!("RULE BROKEN {text}"));
        self.broken.lock().unwrap().push(text);
    }

    fn below(&self, limit: u64) -> u64 {
        let mut x = self.random.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.store(x, Ordering::Relaxed);
        (x >> 11) % limit
    }

    fn task_begins(&self, task: &str, machine: &str, site: &'static str, borrowed: bool) {
        *self.starts.lock().unwrap() += 1;
        self.record.line(format!("task {task} is on {machine}"));
        if let Some((id, _)) = task.split_once('/') {
            self.started.lock().unwrap().insert(id.to_string());
        }
        let mut on_machine = self.on_machine.lock().unwrap();
        let machines = on_machine.entry(task.to_string()).or_default();
        machines.push((machine.to_string(), site));
        if machines.len() > 1 {
            self.break_rule(format!("ran_twice: {task} on {machines:?}"));
        }
        let jobs = self.jobs.lock().unwrap();
        let Some((id, _)) = task.split_once('/') else {
            return;
        };
        let Some(job) = jobs.get(id) else {
            self.break_rule(format!("unknown job: {task}"));
            return;
        };
        if let Some(at) = job.cancelled_at
            && self.record.now() - at > self.limits.cancel_s
        {
            self.break_rule(format!("ran_cancelled: {task} starts"));
        }
        let prefix = format!("{id}/");
        let sites: Vec<&str> = on_machine
            .iter()
            .filter(|(name, _)| name.starts_with(&prefix))
            .flat_map(|(_, machines)| machines.iter().map(|machine| machine.1))
            .collect();
        let here = sites.iter().filter(|other| **other == site).count() as u64;
        if job.one_zone && here < sites.len() as u64
            || job.spread && here > job.pieces.div_ceil(2)
            || borrowed && !job.borrowed
        {
            self.break_rule(format!(
                "wrong_place: {task} on {machine} in {site}, job is in {sites:?}"
            ));
        }
        let used: f64 = on_machine
            .iter()
            .filter_map(|(name, machines)| {
                let other = jobs.get(name.split_once('/')?.0)?;
                (other.team == job.team).then_some(other.cores * machines.len() as f64)
            })
            .sum();
        let limit = self.limits.teams.iter().find(|team| team.0 == job.team);
        if limit.is_some_and(|team| used > team.1 + 1e-6) {
            self.break_rule(format!("quota: {} uses {used}", job.team));
        }
    }

    fn task_ends(&self, task: &str, machine: &str, why: &str) {
        self.record
            .line(format!("task {task} is off {machine}: {why}"));
        if why == "done" {
            self.done.lock().unwrap().insert(task.to_string());
        }
        let mut on_machine = self.on_machine.lock().unwrap();
        if let Some(machines) = on_machine.get_mut(task) {
            if let Some(at) = machines.iter().position(|other| other.0 == machine) {
                machines.remove(at);
            }
            if machines.is_empty() {
                on_machine.remove(task);
            }
        }
    }

    /// Whether a task of the job was ever on a machine.
    pub fn has_started(&self, id: &str) -> bool {
        self.started.lock().unwrap().contains(id)
    }

    /// Checks that no task of a cancelled job is on a machine after `cancel_s`.
    pub fn check_cancelled(&self) {
        let on_machine = self.on_machine.lock().unwrap();
        let jobs = self.jobs.lock().unwrap();
        for (task, machines) in on_machine.iter() {
            let job = task.split_once('/').and_then(|(id, _)| jobs.get(id));
            if let Some(at) = job.and_then(|job| job.cancelled_at)
                && self.record.now() - at > self.limits.cancel_s + 0.2
            {
                self.break_rule(format!("ran_cancelled: {task} is on {machines:?}"));
            }
        }
    }
}

struct Task {
    attempt: u64,
    state: &'static str,
    cause: &'static str,
    /// When the image is there.
    ready: Instant,
    ends: Instant,
    standing: bool,
}

struct Agent {
    shift: u64,
    tick: u64,
    baton: u64,
    began: Instant,
    /// When the last answered report of this session was sent.
    renewed: Instant,
    tasks: BTreeMap<String, Task>,
    done: Vec<String>,
    changed: bool,
    /// Number of the process: an answer to an earlier one is lost.
    process: u64,
    /// The machine hangs until then.
    hangs: Option<Instant>,
    node: usize,
    recall_at: Option<Instant>,
}

/// Which messages of a machine are lost.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Loss {
    /// It reaches no controller.
    pub mute: bool,
    /// Answers and direct commands to it are lost.
    pub deaf: bool,
}

pub struct Machine {
    pub name: String,
    pub kind: Kind,
    pub site: &'static str,
    pub borrowed: bool,
    rented: Instant,
    up: Instant,
    endpoint: Mutex<Option<SocketAddr>>,
    agent: Mutex<Agent>,
    pub loss: Mutex<Loss>,
    gone: Mutex<Option<Instant>>,
    world: Arc<World>,
}

impl Machine {
    fn start(
        world: &Arc<World>,
        name: String,
        kind: Kind,
        site: &'static str,
        borrowed: bool,
        boot: Duration,
    ) -> Arc<Machine> {
        let now = Instant::now();
        let machine = Arc::new(Machine {
            name,
            site,
            borrowed,
            rented: now,
            up: now + boot,
            kind,
            endpoint: Mutex::new(None),
            agent: Mutex::new(new_agent(1)),
            loss: Mutex::default(),
            gone: Mutex::default(),
            world: world.clone(),
        });
        let copy = machine.clone();
        std::thread::spawn(move || copy.run());
        machine
    }

    fn is_gone(&self) -> bool {
        self.gone.lock().unwrap().is_some()
    }

    /// The machine and everything on it is gone.
    pub fn end(&self) {
        *self.gone.lock().unwrap() = Some(Instant::now());
        let mut agent = self.agent.lock().unwrap();
        self.drop_tasks(&mut agent, "machine gone");
    }

    /// Everything on the machine ends; its worker is back at once as a new process.
    pub fn restart(&self) {
        let mut agent = self.agent.lock().unwrap();
        self.drop_tasks(&mut agent, "machine restarted");
        let done = std::mem::take(&mut agent.done);
        let process = agent.process + 1;
        *agent = new_agent(process);
        agent.done = done;
    }

    /// The machine executes nothing for a while. What is on it is over when its lease has run out.
    pub fn hang(self: &Arc<Self>, time: Duration) {
        let mut agent = self.agent.lock().unwrap();
        let until = Instant::now() + time;
        agent.hangs = Some(until);
        let (machine, process) = (self.clone(), agent.process);
        let lease_ends = agent.renewed + self.world.limits.lease;
        std::thread::spawn(move || {
            std::thread::sleep(lease_ends.saturating_duration_since(Instant::now()));
            let mut agent = machine.agent.lock().unwrap();
            if agent.process == process && agent.hangs == Some(until) && Instant::now() < until {
                machine.drop_tasks(&mut agent, "lease ran out while the machine hangs");
            }
        });
        // A hanging machine does not execute its tasks.
        for task in agent.tasks.values_mut() {
            task.ends += time;
            task.ready += time;
        }
    }

    pub fn recall(&self, after: Duration) {
        let mut agent = self.agent.lock().unwrap();
        agent.recall_at = Some(Instant::now() + after);
        agent.changed = true;
    }

    fn drop_tasks(&self, agent: &mut Agent, why: &str) {
        for (name, task) in std::mem::take(&mut agent.tasks) {
            if task.state == "running" {
                self.world.task_ends(&name, &self.name, why);
            }
        }
    }

    /// The agent's state as of now; `None` while the machine hangs.
    fn wake(&self) -> Option<MutexGuard<'_, Agent>> {
        let mut agent = self.agent.lock().unwrap();
        let now = Instant::now();
        if agent.hangs.is_some_and(|until| now < until) {
            return None;
        }
        agent.hangs = None;
        self.advance(&mut agent, now);
        Some(agent)
    }

    fn advance(&self, agent: &mut Agent, now: Instant) {
        if now > agent.renewed + self.world.limits.lease {
            self.world.record.line(format!(
                "{}: lease of session {} expired",
                self.name, agent.shift
            ));
            self.drop_tasks(agent, "lease expired");
            agent.shift += 1;
            agent.tick = 0;
            agent.began = now;
            agent.renewed = now;
            agent.changed = true;
        }
        let jobs = self.world.jobs.lock().unwrap();
        let mut began = Vec::new();
        let mut ended = Vec::new();
        for (name, task) in &mut agent.tasks {
            let fails = name
                .split_once('/')
                .and_then(|(id, _)| jobs.get(id))
                .is_some_and(|job| job.fails);
            if task.state == "fetching" && now >= task.ready {
                task.state = "running";
                agent.changed = true;
                began.push(name.clone());
            }
            if task.state == "running" && now >= task.ends && !task.standing {
                task.state = "ended";
                task.cause = if fails { "error" } else { "done" };
                agent.changed = true;
                ended.push((name.clone(), task.cause));
            }
        }
        drop(jobs);
        for name in began {
            self.world
                .task_begins(&name, &self.name, self.site, self.borrowed);
        }
        for (name, cause) in ended {
            self.world.task_ends(&name, &self.name, cause);
            if cause == "done" {
                agent.done.push(name);
            }
        }
    }

    fn report(&self, agent: &mut Agent) -> String {
        agent.tick += 1;
        let pieces: Vec<String> = agent
            .tasks
            .iter()
            .map(|(name, task)| {
                let cause = if task.cause.is_empty() {
                    String::new()
                } else {
                    format!(",\"cause\":\"{}\"", task.cause)
                };
                let name = name.split_once('#').map_or(name.as_str(), |parts| parts.0);
                format!(
                    "{{\"piece\":\"{name}\",\"try\":{},\"status\":\"{}\"{cause}}}",
                    task.attempt, task.state
                )
            })
            .collect();
        let recall = agent.recall_at.map_or("null".into(), |at| {
            at.saturating_duration_since(Instant::now())
                .as_secs_f64()
                .to_string()
        });
        format!(
            "{{\"bench\":\"{}\",\"endpoint\":\"{}\",\"build\":\"{}\",\"site\":\"{}\",\"borrowed\":{},\"shift\":{},\"tick\":{},\"baton\":{},\"recallS\":{recall},\"pieces\":[{}]}}",
            self.name,
            self.endpoint
                .lock()
                .unwrap()
                .map_or(String::new(), |a| a.to_string()),
            self.kind.name,
            self.site,
            self.borrowed,
            agent.shift,
            agent.tick,
            agent.baton,
            pieces.join(",")
        )
    }

    fn execute(&self, agent: &mut Agent, orders: &[Json]) {
        for order in orders {
            let (verb, piece) = (
                order.get("verb").str(),
                order.get("piece").str().to_string(),
            );
            let attempt = order.get("try").int();
            self.world.record.line(format!(
                "{} executes {verb} {piece} try {attempt}",
                self.name
            ));
            let known = agent
                .tasks
                .iter()
                .find(|(name, task)| {
                    name.split('#').next() == Some(&piece) && task.attempt == attempt
                })
                .map(|(name, _)| name.clone());
            match verb {
                "start" if known.is_none() => self.execute_start(agent, piece, attempt),
                "kill" => {
                    if let Some(name) = known
                        && let Some(task) = agent.tasks.get_mut(&name)
                        && task.state != "ended"
                    {
                        let was_running = task.state == "running";
                        task.state = "ended";
                        task.cause = "halted";
                        agent.changed = true;
                        if was_running {
                            self.world.task_ends(&piece, &self.name, "killed");
                        }
                    }
                }
                "clear" => {
                    if let Some(name) = known
                        && agent.tasks[&name].state == "ended"
                    {
                        agent.tasks.remove(&name);
                        agent.changed = true;
                    }
                }
                _ => {}
            }
        }
        let now = Instant::now();
        self.advance(agent, now);
    }

    fn execute_start(&self, agent: &mut Agent, piece: String, attempt: u64) {
        let now = Instant::now();
        agent.changed = true;
        let job = piece
            .split_once('/')
            .and_then(|(id, index)| Some((id, index.parse::<u64>().ok()?)))
            .and_then(|(id, index)| {
                let jobs = self.world.jobs.lock().unwrap();
                jobs.get(id).filter(|job| index < job.pieces).cloned()
            });
        let refused = |cause| Task {
            attempt,
            state: "ended",
            cause,
            ready: now,
            ends: now,
            standing: false,
        };
        let Some(job) = job else {
            agent
                .tasks
                .insert(format!("{piece}#{attempt}"), refused("no_such"));
            return;
        };
        if agent.tasks.contains_key(&piece) {
            agent
                .tasks
                .insert(format!("{piece}#{attempt}"), refused("busy"));
            return;
        }
        let jobs = self.world.jobs.lock().unwrap();
        let used: f64 = agent
            .tasks
            .iter()
            .filter(|(_, task)| task.state != "ended")
            .filter_map(|(name, _)| Some(jobs.get(name.split_once('/')?.0)?.cores))
            .sum();
        drop(jobs);
        if used + job.cores > self.kind.cores + 1e-6 {
            agent
                .tasks
                .insert(format!("{piece}#{attempt}"), refused("no_room"));
            return;
        }
        let ready = now + Duration::from_millis(300);
        let run = if agent.done.contains(&piece) {
            Duration::ZERO
        } else {
            job.run
        };
        agent.tasks.insert(
            piece,
            Task {
                attempt,
                state: "fetching",
                cause: "",
                ready,
                ends: ready + run,
                standing: job.standing,
            },
        );
    }

    fn orders(&self, request: Request) -> Answer {
        let is_late = request.method == "POST"
            && self.world.below(1000) < self.world.late_commands.load(Ordering::Relaxed);
        if is_late {
            std::thread::sleep(Duration::from_millis(2000 + self.world.below(14_000)));
            self.world
                .record
                .line(format!("{}: late command {}", self.name, request.body));
        }
        loop {
            if self.is_gone() {
                return None;
            }
            if self.loss.lock().unwrap().deaf {
                std::thread::sleep(Duration::from_secs(5));
                return None;
            }
            if let Some(mut agent) = self.wake() {
                if request.method == "GET" {
                    return Some((200, self.report(&mut agent)));
                }
                let body = Json::parse(&request.body)?;
                if body.get("baton").is_null() || body.get("shift").is_null() {
                    return Some((400, "{}".into()));
                }
                let (baton, shift) = (body.get("baton").int(), body.get("shift").int());
                if baton < agent.baton || shift != agent.shift {
                    let report = self.report(&mut agent);
                    return Some((409, report));
                }
                if baton > agent.baton {
                    agent.baton = baton;
                    agent.changed = true;
                }
                self.execute(&mut agent, body.get("orders").items());
                return Some((200, self.report(&mut agent)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn run(self: Arc<Self>) {
        std::thread::sleep(self.up.saturating_duration_since(Instant::now()));
        let copy = self.clone();
        *self.endpoint.lock().unwrap() = Some(http::serve(move |request| copy.orders(request)));
        {
            let mut agent = self.agent.lock().unwrap();
            agent.began = Instant::now();
            agent.renewed = agent.began;
        }
        let mut last = Instant::now() - Duration::from_secs(60);
        while !self.is_gone() {
            std::thread::sleep(Duration::from_millis(10));
            let due = {
                let Some(mut agent) = self.wake() else {
                    continue;
                };
                let since = last.elapsed();
                if !(since >= self.world.limits.report
                    || agent.changed && since >= Duration::from_millis(500))
                {
                    continue;
                }
                agent.changed = false;
                let nodes = self.world.nodes.lock().unwrap();
                if nodes.is_empty() {
                    continue;
                }
                let node = agent.node % nodes.len();
                let address = nodes[node].1;
                (self.report(&mut agent), address, agent.shift, agent.process)
            };
            last = Instant::now();
            self.send(due, last);
        }
    }

    fn send(
        &self,
        (report, address, shift, process): (String, SocketAddr, u64, u64),
        sent: Instant,
    ) {
        let loss = *self.loss.lock().unwrap();
        if self.world.below(1000) < self.world.late_reports.load(Ordering::Relaxed) {
            let (world, copy) = (self.world.clone(), report.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(2000 + world.below(40_000)));
                let nodes: Vec<SocketAddr> =
                    world.nodes.lock().unwrap().iter().map(|n| n.1).collect();
                for node in nodes {
                    let _ = http::call(node, "POST", "/checkin", &copy, Duration::from_millis(300));
                }
            });
        }
        let answer = if loss.mute {
            std::thread::sleep(Duration::from_secs(4));
            None
        } else {
            let answer = http::call(address, "POST", "/checkin", &report, Duration::from_secs(4));
            let is_deaf = loss.deaf || self.loss.lock().unwrap().deaf;
            if is_deaf {
                std::thread::sleep(Duration::from_secs(4).saturating_sub(sent.elapsed()));
            }
            answer.filter(|_| !is_deaf)
        };
        // A hanging machine looks at the answer when it goes on.
        let mut agent = loop {
            if self.is_gone() {
                return;
            }
            if let Some(agent) = self.wake() {
                break agent;
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        if agent.process != process {
            return;
        }
        match answer {
            Some((200, body)) if sent.elapsed() <= Duration::from_secs(4) => {
                let Some(body) = Json::parse(&body) else {
                    return;
                };
                let baton = body.get("baton").int();
                if body.get("baton").is_null() || baton < agent.baton || agent.shift != shift {
                    return;
                }
                if baton > agent.baton {
                    agent.baton = baton;
                    agent.changed = true;
                }
                agent.renewed = agent.renewed.max(sent);
                self.execute(&mut agent, body.get("orders").items());
            }
            Some((421, body)) => {
                let body = Json::parse(&body).unwrap_or(Json::Null);
                let nodes = self.world.nodes.lock().unwrap();
                let found = nodes
                    .iter()
                    .position(|node| node.0 == body.get("foreman").str());
                match found {
                    Some(node) if node != agent.node % nodes.len() => {
                        agent.node = node;
                        agent.changed = true;
                    }
                    _ => {
                        agent.node += 1;
                        drop(nodes);
                        drop(agent);
                        std::thread::sleep(Duration::from_secs(1));
                        self.agent.lock().unwrap().changed = true;
                    }
                }
            }
            _ => {
                agent.node += 1;
                drop(agent);
                std::thread::sleep(Duration::from_secs(1));
                self.agent.lock().unwrap().changed = true;
            }
        }
    }

    /// Session, highest token and tasks that have not ended.
    pub fn status(&self) -> (u64, u64, Vec<String>) {
        let agent = self.agent.lock().unwrap();
        let tasks = agent.tasks.iter().filter(|(_, task)| task.state != "ended");
        (
            agent.shift,
            agent.baton,
            tasks.map(|(name, _)| name.clone()).collect(),
        )
    }
}

fn new_agent(process: u64) -> Agent {
    let now = Instant::now();
    Agent {
        shift: 1,
        tick: 0,
        baton: 0,
        began: now,
        renewed: now,
        tasks: BTreeMap::new(),
        done: Vec::new(),
        changed: true,
        process,
        hangs: None,
        node: process as usize,
        recall_at: None,
    }
}

/// A rental request as the cloud received it.
#[derive(Clone)]
pub struct Booking {
    pub name: String,
    pub rented: Vec<String>,
}

/// The cloud, with a port for each controller.
pub struct Cloud {
    pub world: Arc<World>,
    pub kinds: Vec<Kind>,
    pub sites: Vec<&'static str>,
    pub machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    /// Machines that can still be rented.
    pub room: Mutex<usize>,
    pub bookings: Mutex<Vec<Booking>>,
    next: Mutex<u64>,
    pub is_out: Mutex<bool>,
}

impl Cloud {
    pub fn start(
        world: &Arc<World>,
        kinds: Vec<Kind>,
        sites: Vec<&'static str>,
        count: usize,
    ) -> (Arc<Cloud>, Vec<SocketAddr>) {
        let cloud = Arc::new(Cloud {
            world: world.clone(),
            kinds,
            sites,
            machines: Mutex::default(),
            room: Mutex::new(0),
            bookings: Mutex::default(),
            next: Mutex::new(0),
            is_out: Mutex::new(false),
        });
        let ports = (0..count)
            .map(|node| {
                let cloud = cloud.clone();
                http::serve(move |request| cloud.answer(node, request))
            })
            .collect();
        (cloud, ports)
    }

    pub fn add_machine(
        &self,
        kind: &str,
        site: &'static str,
        borrowed: bool,
        boot: Duration,
    ) -> String {
        let mut next = self.next.lock().unwrap();
        *next += 1;
        let name = format!("host-{:06}", *next);
        let kind = self
            .kinds
            .iter()
            .find(|k| k.name == kind)
            .expect("kind")
            .clone();
        let machine = Machine::start(&self.world, name.clone(), kind, site, borrowed, boot);
        self.machines.lock().unwrap().insert(name.clone(), machine);
        name
    }

    pub fn machine(&self, name: &str) -> Arc<Machine> {
        self.machines.lock().unwrap()[name].clone()
    }

    fn answer(&self, node: usize, request: Request) -> Answer {
        std::thread::sleep(Duration::from_millis(30));
        if *self.is_out.lock().unwrap() {
            return Some((503, "{\"error\":\"trouble\"}".into()));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => Some((200, self.catalog())),
            ("GET", "/machines") => Some((200, self.list(&request))),
            ("POST", "/machines") => self.rent(node, &Json::parse(&request.body)?),
            ("POST", "/machines/return") => {
                let body = Json::parse(&request.body)?;
                for name in body.get("benches").items() {
                    self.world
                        .record
                        .line(format!("controller {node} returns {}", name.str()));
                    if let Some(machine) = self.machines.lock().unwrap().get(name.str())
                        && !machine.is_gone()
                    {
                        machine.end();
                        *self.room.lock().unwrap() += 1;
                    }
                }
                Some((200, "{}".into()))
            }
            _ => Some((400, "{}".into())),
        }
    }

    fn catalog(&self) -> String {
        let sites: Vec<String> = self
            .sites
            .iter()
            .map(|site| format!("\"{site}\""))
            .collect();
        let builds: Vec<String> = self
            .kinds
            .iter()
            .map(|kind| {
                format!(
                    "{{\"name\":\"{}\",\"cores\":{},\"gpus\":0,\"memGb\":{},\"cacheGb\":80,\"pullGbPerS\":0.8,\"rate\":0.31,\"lowPrice\":0.11,\"readyS\":{},\"sites\":[{}]}}",
                    kind.name,
                    kind.cores,
                    kind.mem_gb,
                    kind.boot.as_secs_f64(),
                    sites.join(",")
                )
            })
            .collect();
        format!("{{\"builds\":[{}]}}", builds.join(","))
    }

    fn list(&self, request: &Request) -> String {
        let since = request.param("since");
        let lag = self.world.limits.list_lag;
        let machines = self.machines.lock().unwrap();
        let Some(as_of) = Instant::now().checked_sub(lag) else {
            return "{\"benches\":[],\"hasNext\":false}".into();
        };
        let benches: Vec<String> = machines
            .values()
            .filter(|m| m.name.as_str() > since && m.rented <= as_of)
            .filter(|m| m.gone.lock().unwrap().is_none_or(|gone| gone > as_of))
            .map(|m| {
                let status = if m.up <= as_of { "running" } else { "booting" };
                let endpoint = m.endpoint.lock().unwrap();
                format!(
                    "{{\"nameId\":\"{}\",\"endpoint\":\"{}\",\"build\":\"{}\",\"site\":\"{}\",\"borrowed\":{},\"status\":\"{status}\",\"ageS\":{}}}",
                    m.name,
                    endpoint.map_or(String::new(), |a| a.to_string()),
                    m.kind.name,
                    m.site,
                    m.borrowed,
                    (as_of - m.rented).as_secs_f64()
                )
            })
            .collect();
        format!("{{\"benches\":[{}],\"hasNext\":false}}", benches.join(","))
    }

    fn rent(&self, node: usize, body: &Json) -> Answer {
        let booking = body.get("booking").str().to_string();
        let earlier = self
            .bookings
            .lock()
            .unwrap()
            .iter()
            .find(|b| b.name == booking && !b.rented.is_empty())
            .cloned();
        let names = match earlier {
            Some(earlier) => earlier.rented,
            None => {
                let mut room = self.room.lock().unwrap();
                let count = (body.get("howMany").int() as usize).min(*room);
                *room -= count;
                drop(room);
                let site = self
                    .sites
                    .iter()
                    .find(|site| **site == body.get("site").str())?;
                let kind = body.get("build").str().to_string();
                let boot = self.kinds.iter().find(|k| k.name == kind)?.boot;
                let borrowed = *body.get("borrowed") == Json::Bool(true);
                let names: Vec<String> = (0..count)
                    .map(|_| self.add_machine(&kind, site, borrowed, boot))
                    .collect();
                self.bookings.lock().unwrap().push(Booking {
                    name: booking.clone(),
                    rented: names.clone(),
                });
                names
            }
        };
        self.world.record.line(format!(
            "controller {node} books {booking}: {} asked, rented {names:?}",
            body.get("howMany").int()
        ));
        if names.is_empty() {
            return Some((503, "{\"error\":\"no capacity\"}".into()));
        }
        let names: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
        Some((200, format!("{{\"benches\":[{}]}}", names.join(","))))
    }
}
