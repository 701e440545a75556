//! Machines and their workers: what runs where, what they report, how they take
//! commands, and which rules are broken by it.

use crate::{CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, LEASE_S, SimState, Simulation, ok, status};
use rand::RngExt;
use serde_json::{Value, json};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tallygauge::{controller::Controller, worker_api::HeartbeatReply};
use tallygauge_protocol::workers::{Command, DirectCommands, HeartbeatResponse};
use tallygauge_store::http::{HttpResult, RequestError};
use warp::http::StatusCode;

pub(crate) struct SimTask {
    pub(crate) name: String,
    pub(crate) attempt: u64,
    pub(crate) state: &'static str,
    pub(crate) cause: Option<&'static str>,
    pub(crate) since: f64,
}

pub(crate) struct SimWorker {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: u64,
    pub(crate) answered: f64,
    pub(crate) tasks: Vec<SimTask>,
    /// Neither reports nor takes commands, but runs its tasks.
    pub(crate) silent: bool,
    /// Its reports arrive; answers and commands don't reach it.
    pub(crate) deaf: bool,
    /// Its reports don't arrive; direct commands reach it.
    pub(crate) mute: bool,
    pub(crate) zone: String,
    pub(crate) at_node: usize,
    /// Since when it does nothing at all: what reaches it waits.
    pub(crate) hung: Option<f64>,
}

/// CPUs of a machine.
const MACHINE_CPUS: f64 = 8.0;

/// The job that a task belongs to.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Simulation {
    /// Names of machines that are up.
    pub fn up(&self) -> Vec<String> {
        self.state.lock().unwrap().names()
    }

    /// Whether all tasks of a job were completed.
    pub fn all_ended(&self, id: &str, tasks: u32) -> bool {
        let inner = self.state.lock().unwrap();
        (0..tasks).all(|n| inner.ended.contains(&format!("{id}/{n}")))
    }

    /// Tasks of a job that are on machines.
    pub fn running(&self, id: &str) -> usize {
        let inner = self.state.lock().unwrap();
        let tasks = inner.workers.values().flat_map(|w| &w.tasks);
        let of_job = |t: &&SimTask| t.state != "ended" && job_of(&t.name) == id;
        tasks.filter(of_job).count()
    }

    /// Whether a task of a job could start now: none of it is on a machine, its team
    /// is under its limit, and a machine that it may use is up, speaks and has room.
    pub fn could_start(&self, id: &str) -> bool {
        let inner = self.state.lock().unwrap();
        let shape = inner.runs[id];
        let of_team = |t: &SimTask| inner.runs[job_of(&t.name)].team == shape.team;
        let used: f64 = inner
            .on_machines()
            .filter(|(_, t)| of_team(t))
            .map(|(_, t)| inner.runs[job_of(&t.name)].cpus)
            .sum();
        let waits = !inner.on_machines().any(|(_, t)| job_of(&t.name) == id);
        let room = |w: &SimWorker| {
            let on = w.tasks.iter().filter(|t| t.state != "ended");
            let cpus: f64 = on.map(|t| inner.runs[job_of(&t.name)].cpus).sum();
            let speaks = !w.silent && !w.deaf && !w.mute && w.hung.is_none();
            let here = shape.zone.is_none_or(|z| z == w.zone);
            speaks && here && cpus + shape.cpus <= MACHINE_CPUS
        };
        waits && used + shape.cpus <= inner.team_cpus && inner.workers.values().any(room)
    }

    /// Tasks of a job count as never completed, as if it were called done too
    /// soon.
    pub fn forget_end(&self, id: &str) {
        let mut inner = self.state.lock().unwrap();
        inner.ended.retain(|task| job_of(task) != id);
    }

    /// Answers a direct message in a worker's stead; one that is held back is
    /// taken later, when nobody waits for the answer any more.
    pub async fn orders(&self, node: &str, worker: &str, body: &[u8]) -> HttpResult {
        let answer = {
            let mut inner = self.state.lock().unwrap();
            let reached = inner.exclusive_links.get(worker).is_none_or(|n| n == node);
            let (share, most_s) = inner.delayed_commands;
            let held = share > 0.0 && inner.random.random::<f64>() < share;
            let hung = inner.workers.get(worker).is_some_and(|w| w.hung.is_some());
            if !reached {
                None
            } else if held || hung {
                let wait = if held {
                    inner.random.random_range(0.5..most_s)
                } else {
                    0.0
                };
                let due = self.now() + wait;
                inner
                    .delayed_messages
                    .push((due, worker.to_string(), body.to_vec()));
                None
            } else {
                inner.take_orders(self.now(), worker, body)
            }
        };
        match answer {
            Some(answer) => Ok(answer),
            None => {
                tokio::time::sleep(Duration::from_secs(3600)).await;
                Err(RequestError::NoResponse)
            }
        }
    }

    /// Brings direct messages that were held back, except to machines that hang.
    fn bring_orders(&self, now: f64) {
        let mut inner = self.state.lock().unwrap();
        let waiting = std::mem::take(&mut inner.delayed_messages);
        for (due, worker, body) in waiting {
            let hung = inner.workers.get(&worker).is_some_and(|w| w.hung.is_some());
            if due > now || hung {
                inner.delayed_messages.push((due, worker, body));
            } else {
                inner.take_orders(now, &worker, &body);
            }
        }
    }

    /// Lets machines boot, tasks run and workers report, for ever.
    pub async fn run_workers(self: Arc<Self>) {
        let mut due: HashMap<String, f64> = HashMap::new();
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let now = self.now();
            let reports: Vec<(String, usize, f64, Vec<u8>)> = {
                let mut inner = self.state.lock().unwrap();
                if !inner.store_down {
                    inner.store.expire(now);
                }
                inner.advance(now);
                let speaking: Vec<String> = inner
                    .workers
                    .iter()
                    .filter(|(n, w)| {
                        !w.silent
                            && !w.mute
                            && w.hung.is_none()
                            && due.get(*n).is_none_or(|t| *t <= now)
                    })
                    .map(|(n, _)| n.clone())
                    .collect();
                speaking
                    .into_iter()
                    .map(|name| {
                        due.insert(name.clone(), now + HEARTBEAT_INTERVAL_S);
                        let at = inner.workers[&name].at_node;
                        let report = inner.next_report(&name).unwrap();
                        (name, at, now, report.to_string().into_bytes())
                    })
                    .collect()
            };
            self.settle(now);
            self.bring_orders(now);
            self.deliver_delayed_heartbeats(now);
            for (name, at, sent, body) in reports {
                self.schedule_duplicate(now, &body);
                let node = {
                    let nodes = self.controllers.lock().unwrap();
                    let node = nodes.get(at % nodes.len().max(1)).cloned().flatten();
                    let apart = self
                        .state
                        .lock()
                        .unwrap()
                        .exclusive_links
                        .get(&name)
                        .cloned();
                    let reached = |n: &Arc<Controller>| {
                        let node = &n.settings.node_name;
                        !self.is_paused(node) && apart.as_ref().is_none_or(|only| only == node)
                    };
                    node.filter(reached)
                };
                let answer = node.map(|n| self.report_to(&n, &name, &body));
                let mut inner = self.state.lock().unwrap();
                match answer {
                    Some(HeartbeatReply::Accepted(answer)) => inner.answered(sent, &name, &answer),
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

impl SimState {
    /// A worker takes a direct message, if it reaches it.
    fn take_orders(
        &mut self,
        now: f64,
        worker: &str,
        body: &[u8],
    ) -> Option<(StatusCode, bytes::Bytes)> {
        let request: DirectCommands = serde_json::from_slice(body).unwrap();
        self.advance(now);
        let w = self.workers.get_mut(worker)?;
        if w.silent || w.deaf {
            return None;
        }
        w.sequence += 1;
        if request.token < w.fencing_token || request.incarnation != w.incarnation {
            self.rejected_commands += 1;
            return Some(status(409, self.report(worker)));
        }
        w.fencing_token = request.token;
        self.execute(now, worker, &request.commands);
        Some(ok(self.report(worker)))
    }

    /// A worker takes the answer to a report that it sent.
    pub fn answered(&mut self, sent: f64, name: &str, answer: &HeartbeatResponse) {
        let Some(w) = self.workers.get_mut(name).filter(|w| !w.deaf) else {
            return;
        };
        if answer.token < w.fencing_token {
            return;
        }
        w.fencing_token = answer.token;
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
        json!({"bench": name, "endpoint": self.endpoint(name), "build": "c8", "site": w.zone, "borrowed": false,
            "shift": w.incarnation, "tick": w.sequence, "baton": w.fencing_token, "recallS": null, "pieces": tasks})
    }

    pub(crate) fn endpoint<'a>(&'a self, name: &'a str) -> &'a str {
        self.endpoints.get(name).map_or(name, String::as_str)
    }

    /// The next report of a worker that speaks.
    pub fn next_report(&mut self, name: &str) -> Option<Value> {
        let w = self.workers.get_mut(name).filter(|w| !w.silent)?;
        w.sequence += 1;
        Some(self.report(name))
    }

    /// Adds machines that were rented long ago, for the load example.
    pub fn furnish(&mut self, count: u32) {
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            self.machines.insert(name, (-60.0, "a".into()));
        }
        self.advance(0.0);
    }

    /// Machines that are up, for the load example.
    pub fn names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    pub(crate) fn execute(&mut self, now: f64, name: &str, commands: &[Command]) {
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
                        self.violations
                            .push(format!("{now:.1}: {task} starts twice"));
                    }
                    // A start of an attempt that went out twice reaches one worker.
                    let first = self.attempts.entry((task.clone(), *attempt));
                    let first = first.or_insert_with(|| name.to_string());
                    if first != name {
                        let text = format!("{now:.1}: attempt {attempt} of {task} repeats");
                        self.violations.push(text);
                    }
                    tracing::debug!(task, attempt, worker = name, "starts");
                    self.starts.push((now, task.clone(), name.to_string()));
                    self.workers.get_mut(name).unwrap().tasks.push(SimTask {
                        name: task.clone(),
                        attempt: *attempt,
                        state: "running",
                        cause: None,
                        since: now,
                    });
                    self.check_place(now, task, name);
                    self.check_limit(now, self.runs[job_of(task)].team);
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

    /// Tasks that are on machines, and where.
    fn on_machines(&self) -> impl Iterator<Item = (&SimWorker, &SimTask)> {
        let all = self.workers.values();
        let all = all.flat_map(|w| w.tasks.iter().map(move |t| (w, t)));
        all.filter(|(_, t)| t.state != "ended")
    }

    /// Notes a start in a zone that the job does not allow.
    fn check_place(&mut self, now: f64, task: &str, worker: &str) {
        let job = job_of(task);
        let (shape, zone) = (self.runs[job], &self.workers[worker].zone);
        let named = shape.zone.is_none_or(|z| z == zone);
        let elsewhere = |(w, t): (&SimWorker, &SimTask)| job_of(&t.name) == job && w.zone != *zone;
        let together = !shape.one_zone || !self.on_machines().any(elsewhere);
        if !named || !together {
            let text = format!("{now:.1}: {task} starts in a wrong place, {zone}");
            self.violations.push(text);
        }
    }

    /// Notes a team whose tasks use more than its limit.
    fn check_limit(&mut self, now: f64, team: &str) {
        let shapes = self.on_machines().map(|(_, t)| self.runs[job_of(&t.name)]);
        let used: f64 = shapes.filter(|s| s.team == team).map(|s| s.cpus).sum();
        if used > self.team_cpus + 1e-6 {
            let text = format!("{now:.1}: the team {team} uses {used} CPUs");
            self.violations.push(text);
        }
    }

    /// Lets machines boot, tasks end and leases run out.
    pub fn advance(&mut self, now: f64) {
        for (name, (rented, zone)) in &self.machines {
            if now - rented > self.boot_s && !self.workers.contains_key(name) {
                self.workers.insert(
                    name.clone(),
                    SimWorker {
                        incarnation: 1,
                        sequence: 0,
                        fencing_token: 0,
                        answered: now,
                        tasks: Vec::new(),
                        silent: false,
                        deaf: false,
                        mute: false,
                        zone: zone.clone(),
                        at_node: 0,
                        hung: None,
                    },
                );
            }
        }
        for w in self.workers.values_mut() {
            if let Some(since) = w.hung.replace(now) {
                // Nothing goes on there meanwhile.
                w.tasks.iter_mut().for_each(|t| t.since += now - since);
            } else {
                w.hung = None;
            }
            if now - w.answered > LEASE_S {
                w.tasks.clear();
                w.incarnation += 1;
                w.answered = now;
            }
            for t in w.tasks.iter_mut().filter(|t| t.state == "running") {
                let job = job_of(&t.name);
                if now - t.since >= self.runs[job].run_s {
                    (t.state, t.cause) = ("ended", Some("done"));
                    self.ended.insert(t.name.clone());
                }
                if self
                    .cancelled
                    .get(job)
                    .is_some_and(|at| now - at > CANCEL_TIMEOUT_S)
                {
                    // Said once for each attempt.
                    let text = format!("{}#{} still runs", t.name, t.attempt);
                    if !self.violations.contains(&text) {
                        self.violations.push(text);
                    }
                }
            }
        }
    }
}
