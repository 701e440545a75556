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
    pub(crate) inbound_blocked: bool,
    /// Its reports don't arrive; direct commands reach it.
    pub(crate) outbound_blocked: bool,
    pub(crate) zone: String,
    pub(crate) controller_index: usize,
    /// Since when it does nothing at all: what reaches it waits.
    pub(crate) hung_since: Option<f64>,
}

/// CPUs of a machine.
const MACHINE_CPUS: f64 = 8.0;

/// The job that a task belongs to.
fn job_with_shape(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Simulation {
    /// Names of machines that are up.
    pub fn booted_machines(&self) -> Vec<String> {
        self.state.lock().unwrap().worker_names()
    }

    /// Whether all tasks of a job were completed.
    pub fn all_tasks_completed(&self, id: &str, tasks: u32) -> bool {
        let state = self.state.lock().unwrap();
        (0..tasks).all(|n| state.ended.contains(&format!("{id}/{n}")))
    }

    /// Tasks of a job that are on machines.
    pub fn running_task_count(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        let tasks = state.workers.values().flat_map(|w| &w.tasks);
        let of_job = |t: &&SimTask| t.state != "ended" && job_with_shape(&t.name) == id;
        tasks.filter(of_job).count()
    }

    /// Whether a task of a job could start now: none of it is on a machine, its team
    /// is under its limit, and a machine that it may use is up, speaks and has room.
    pub fn has_startable_task(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let shape = state.runs[id];
        let of_team = |t: &SimTask| state.runs[job_with_shape(&t.name)].team == shape.team;
        let used: f64 = state
            .tasks_on_machines()
            .filter(|(_, t)| of_team(t))
            .map(|(_, t)| state.runs[job_with_shape(&t.name)].cpus)
            .sum();
        let waits = !state
            .tasks_on_machines()
            .any(|(_, t)| job_with_shape(&t.name) == id);
        let room = |w: &SimWorker| {
            let on = w.tasks.iter().filter(|t| t.state != "ended");
            let cpus: f64 = on.map(|t| state.runs[job_with_shape(&t.name)].cpus).sum();
            let speaks =
                !w.silent && !w.inbound_blocked && !w.outbound_blocked && w.hung_since.is_none();
            let here = shape.zone.is_none_or(|z| z == w.zone);
            speaks && here && cpus + shape.cpus <= MACHINE_CPUS
        };
        waits && used + shape.cpus <= state.team_cpus && state.workers.values().any(room)
    }

    /// Tasks of a job count as never completed, as if it were called done too
    /// soon.
    pub fn forget_completions(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.ended.retain(|task| job_with_shape(task) != id);
    }

    /// Answers a direct message in a worker's stead; one that is held back is
    /// taken later, when nobody waits for the answer any more.
    pub async fn deliver_direct_commands(
        &self,
        controller: &str,
        worker: &str,
        body: &[u8],
    ) -> HttpResult {
        let answer = {
            let mut state = self.state.lock().unwrap();
            let reached = state
                .exclusive_links
                .get(worker)
                .is_none_or(|n| n == controller);
            let (share, most_s) = state.delayed_commands;
            let held = share > 0.0 && state.random.random::<f64>() < share;
            let hung_since = state
                .workers
                .get(worker)
                .is_some_and(|w| w.hung_since.is_some());
            if !reached {
                None
            } else if held || hung_since {
                let wait = if held {
                    state.random.random_range(0.5..most_s)
                } else {
                    0.0
                };
                let due = self.now() + wait;
                state
                    .delayed_messages
                    .push((due, worker.to_string(), body.to_vec()));
                None
            } else {
                state.apply_direct_commands(self.now(), worker, body)
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
    fn deliver_delayed_commands(&self, now: f64) {
        let mut state = self.state.lock().unwrap();
        let waiting = std::mem::take(&mut state.delayed_messages);
        for (due, worker, body) in waiting {
            let hung_since = state
                .workers
                .get(&worker)
                .is_some_and(|w| w.hung_since.is_some());
            if due > now || hung_since {
                state.delayed_messages.push((due, worker, body));
            } else {
                state.apply_direct_commands(now, &worker, &body);
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
                let mut state = self.state.lock().unwrap();
                if !state.store_down {
                    state.store.expire(now);
                }
                state.advance(now);
                let speaking: Vec<String> = state
                    .workers
                    .iter()
                    .filter(|(n, w)| {
                        !w.silent
                            && !w.outbound_blocked
                            && w.hung_since.is_none()
                            && due.get(*n).is_none_or(|t| *t <= now)
                    })
                    .map(|(n, _)| n.clone())
                    .collect();
                speaking
                    .into_iter()
                    .map(|name| {
                        due.insert(name.clone(), now + HEARTBEAT_INTERVAL_S);
                        let at = state.workers[&name].controller_index;
                        let report = state.next_heartbeat(&name).unwrap();
                        (name, at, now, report.to_string().into_bytes())
                    })
                    .collect()
            };
            self.apply_late_writes(now);
            self.deliver_delayed_commands(now);
            self.deliver_delayed_heartbeats(now);
            for (name, at, sent, body) in reports {
                self.schedule_duplicate(now, &body);
                let controller = {
                    let controllers = self.controllers.lock().unwrap();
                    let controller = controllers
                        .get(at % controllers.len().max(1))
                        .cloned()
                        .flatten();
                    let apart = self
                        .state
                        .lock()
                        .unwrap()
                        .exclusive_links
                        .get(&name)
                        .cloned();
                    let reached = |n: &Arc<Controller>| {
                        let controller = &n.settings.node_name;
                        !self.is_paused(controller)
                            && apart.as_ref().is_none_or(|only| only == controller)
                    };
                    controller.filter(reached)
                };
                let answer = controller.map(|n| self.send_heartbeat(&n, &name, &body));
                let mut state = self.state.lock().unwrap();
                match answer {
                    Some(HeartbeatReply::Accepted(answer)) => {
                        state.apply_heartbeat_response(sent, &name, &answer)
                    }
                    _ => {
                        if let Some(w) = state.workers.get_mut(&name) {
                            w.controller_index += 1;
                        }
                    }
                }
            }
        }
    }
}

impl SimState {
    /// A worker takes a direct message, if it reaches it.
    fn apply_direct_commands(
        &mut self,
        now: f64,
        worker: &str,
        body: &[u8],
    ) -> Option<(StatusCode, bytes::Bytes)> {
        let request: DirectCommands = serde_json::from_slice(body).unwrap();
        self.advance(now);
        let w = self.workers.get_mut(worker)?;
        if w.silent || w.inbound_blocked {
            return None;
        }
        w.sequence += 1;
        if request.token < w.fencing_token || request.session != w.incarnation {
            self.rejected_commands += 1;
            return Some(status(409, self.heartbeat(worker)));
        }
        w.fencing_token = request.token;
        self.execute_commands(now, worker, &request.commands);
        Some(ok(self.heartbeat(worker)))
    }

    /// A worker takes the answer to a report that it sent.
    pub fn apply_heartbeat_response(&mut self, sent: f64, name: &str, answer: &HeartbeatResponse) {
        let Some(w) = self.workers.get_mut(name).filter(|w| !w.inbound_blocked) else {
            return;
        };
        if answer.token < w.fencing_token {
            return;
        }
        w.fencing_token = answer.token;
        w.answered = w.answered.max(sent);
        self.execute_commands(sent, name, &answer.commands);
    }

    /// A worker's report.
    pub fn heartbeat(&self, name: &str) -> Value {
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
    pub fn next_heartbeat(&mut self, name: &str) -> Option<Value> {
        let w = self.workers.get_mut(name).filter(|w| !w.silent)?;
        w.sequence += 1;
        Some(self.heartbeat(name))
    }

    /// Adds machines that were rented long ago, for the load example.
    pub fn add_booted_machines(&mut self, count: u32) {
        for _ in 0..count {
            let name = format!("host-{:06}", self.next_machine);
            self.next_machine += 1;
            self.machines.insert(name, (-60.0, "a".into()));
        }
        self.advance(0.0);
    }

    /// Machines that are up, for the load example.
    pub fn worker_names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    pub(crate) fn execute_commands(&mut self, now: f64, name: &str, commands: &[Command]) {
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
                    self.check_zone(now, task, name);
                    self.check_team_limit(now, self.runs[job_with_shape(task)].team);
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
    fn tasks_on_machines(&self) -> impl Iterator<Item = (&SimWorker, &SimTask)> {
        let all = self.workers.values();
        let all = all.flat_map(|w| w.tasks.iter().map(move |t| (w, t)));
        all.filter(|(_, t)| t.state != "ended")
    }

    /// Notes a start in a zone that the job does not allow.
    fn check_zone(&mut self, now: f64, task: &str, worker: &str) {
        let job = job_with_shape(task);
        let (shape, zone) = (self.runs[job], &self.workers[worker].zone);
        let named = shape.zone.is_none_or(|z| z == zone);
        let elsewhere =
            |(w, t): (&SimWorker, &SimTask)| job_with_shape(&t.name) == job && w.zone != *zone;
        let together = !shape.one_zone || !self.tasks_on_machines().any(elsewhere);
        if !named || !together {
            let text = format!("{now:.1}: {task} starts in a wrong place, {zone}");
            self.violations.push(text);
        }
    }

    /// Notes a team whose tasks use more than its limit.
    fn check_team_limit(&mut self, now: f64, team: &str) {
        let shapes = self
            .tasks_on_machines()
            .map(|(_, t)| self.runs[job_with_shape(&t.name)]);
        let used: f64 = shapes.filter(|s| s.team == team).map(|s| s.cpus).sum();
        if used > self.team_cpus + 1e-6 {
            let text = format!("{now:.1}: the team {team} uses {used} CPUs");
            self.violations.push(text);
        }
    }

    /// Lets machines boot, tasks end and leases run out.
    pub fn advance(&mut self, now: f64) {
        for (name, (rented, zone)) in &self.machines {
            if now - rented > self.boot_time_s && !self.workers.contains_key(name) {
                self.workers.insert(
                    name.clone(),
                    SimWorker {
                        incarnation: 1,
                        sequence: 0,
                        fencing_token: 0,
                        answered: now,
                        tasks: Vec::new(),
                        silent: false,
                        inbound_blocked: false,
                        outbound_blocked: false,
                        zone: zone.clone(),
                        controller_index: 0,
                        hung_since: None,
                    },
                );
            }
        }
        for w in self.workers.values_mut() {
            if let Some(since) = w.hung_since.replace(now) {
                // Nothing goes on there meanwhile.
                w.tasks.iter_mut().for_each(|t| t.since += now - since);
            } else {
                w.hung_since = None;
            }
            if now - w.answered > LEASE_S {
                w.tasks.clear();
                w.incarnation += 1;
                w.answered = now;
            }
            for t in w.tasks.iter_mut().filter(|t| t.state == "running") {
                let job = job_with_shape(&t.name);
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
