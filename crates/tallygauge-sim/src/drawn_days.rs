//! Days drawn from a seed: controllers that fail, with every fault the stand-ins
//! know, one over the other.

use crate::{
    CANCEL_TIMEOUT_S, FaultPoint, JobShape, LEASE_S, Simulation, TEAM_CPUS, eventually,
    is_active_leader, reply_status,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::Value;
use std::{
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tallygauge::{controller::Controller, user_api::Reply};
use tallygauge_protocol::users::{JobStatus, POLL_TIMEOUT_S};
use tokio::task::JoinHandle;

const CONTROLLERS: usize = 3;

/// Kinds of faults that are drawn.
const TROUBLES: u32 = 29;

/// Steps of controllers at which something befalls them.
const STEPS: [&str; 10] = [
    "POST /multi",
    "POST /orders",
    "POST /leases",
    "POST /machines",
    "GET /machines",
    "GET /changes?starts=o/",
    "GET /changes?starts=t/",
    "GET /store?starts=o/",
    "GET /store?starts=p/",
    "GET /store?starts=t/",
];

/// Seconds for which no job may be left waiting beside room, once faults are over.
const NEGLECTED_S: f64 = 90.0;

/// Seconds after the last fault by which a job must have been answered for.
const FORGOTTEN_S: f64 = 75.0;

struct Site {
    simulation: Arc<Simulation>,
    controllers: Vec<(Arc<Controller>, JoinHandle<()>)>,
    jobs: Vec<Accepted>,
    /// What was wrong so far with what users were told.
    wrong: Vec<String>,
}

impl Site {
    fn name(n: usize) -> String {
        format!("n-{n}")
    }

    fn leader(&self) -> Option<usize> {
        (0..CONTROLLERS).find(|n| is_active_leader(&self.controllers[*n].0))
    }

    fn ids(&self) -> Vec<String> {
        self.jobs.iter().map(|j| j.id.clone()).collect()
    }

    fn restart(&mut self, n: usize) {
        self.controllers[n] = self.simulation.start_controller(&Self::name(n));
    }

    fn crash(&mut self, n: usize) {
        self.simulation
            .crash_controller(&Self::name(n), &self.controllers[n].1);
    }

    /// A user submits a job through one controller until it is accepted.
    async fn submit_until_accepted(&self, controller: usize, body: &[u8]) {
        let controller = &self.controllers[controller].0;
        let kept = eventually(30.0, async || {
            matches!(
                self.simulation.submit(controller, body).await.status(),
                200 | 201
            )
        })
        .await;
        assert!(kept, "not accepted");
    }

    /// A user cancels a job through one controller, and may be told so.
    async fn cancel(&mut self, controller: usize, id: &str) {
        let reply = self
            .simulation
            .request_cancellation(&self.controllers[controller].0, id);
        let reply = self.simulation.run_on(&Self::name(controller), reply);
        let reply = tokio::time::timeout(Duration::from_secs(5), reply).await;
        if let Some(job) = self.jobs.iter_mut().find(|j| j.id == id) {
            // Who has asked may find it cancelled though nobody has answered.
            job.cancelled = true;
            if let Ok(reply) = reply {
                self.wrong.extend(job.told(&self.simulation, &reply));
            }
        }
    }

    /// Users send what can't run, lacks a field, or was sent before.
    async fn odd_requests(&mut self, controller: usize, body: &[u8]) {
        let job: Value = serde_json::from_slice(body).unwrap();
        let changed = |field: &str, value: Value| {
            let mut odd = job.clone();
            odd["nameId"] = "req-900000".into();
            odd[field] = value;
            odd
        };
        let mut lacking = changed("cores", 1.0.into());
        lacking.as_object_mut().unwrap().remove("bundle");
        for (odd, fits) in [
            (changed("cores", 900.0.into()), &[422, 503][..]),
            (changed("owner", "nobody".into()), &[422, 503]),
            (changed("site", "nowhere".into()), &[422, 503]),
            (changed("pieces", 0.into()), &[400, 503]),
            (lacking, &[400, 503]),
            (job.clone(), &[200, 201, 503]),
        ] {
            let body = odd.to_string().into_bytes();
            let reply = self
                .simulation
                .submit(&self.controllers[controller].0, &body);
            let reply = self.simulation.run_on(&Self::name(controller), reply);
            let reply = tokio::time::timeout(Duration::from_secs(5), reply).await;
            if let Ok(reply) = reply
                && !fits.contains(&reply.status())
            {
                let text = format!("{odd} is answered {}", reply.status());
                self.wrong.push(text);
            }
        }
    }

    /// A user polls through one controller. Returns whether that was answered.
    async fn poll(&mut self, controller: usize, job: usize) -> bool {
        let id = self.jobs[job].id.clone();
        let reply = self
            .simulation
            .request_status(&self.controllers[controller].0, &id);
        let reply = self.simulation.run_on(&Self::name(controller), reply);
        let patience = Duration::from_secs_f64(POLL_TIMEOUT_S);
        let Ok(reply) = tokio::time::timeout(patience, reply).await else {
            return false;
        };
        self.wrong
            .extend(self.jobs[job].told(&self.simulation, &reply));
        reply_status(&reply).is_some()
    }
}

/// A job, and what its user has done and heard.
struct Accepted {
    id: String,
    tasks: u32,
    cancelled: bool,
    over: Option<JobStatus>,
}

impl Accepted {
    fn new(id: String, tasks: u32) -> Self {
        Self {
            id,
            tasks,
            cancelled: false,
            over: None,
        }
    }

    /// Its user is told something. Returns what is wrong with that.
    fn told(&mut self, simulation: &Simulation, reply: &Reply) -> Option<String> {
        let id = &self.id;
        if reply.status() == 404 {
            return Some(format!("{id} is forgotten: 404"));
        }
        let status = reply_status(reply)?;
        if self.over.is_some_and(|over| over != status) {
            return Some(format!("{id} went back from {:?} to {status:?}", self.over));
        }
        match status {
            JobStatus::Cancelled if !self.cancelled => {
                return Some(format!("{id} is called cancelled"));
            }
            JobStatus::Cancelled if self.over.is_none() => simulation.record_cancellation(id),
            JobStatus::Done if !simulation.all_tasks_completed(id, self.tasks) => {
                return Some(format!("{id} is not done"));
            }
            _ => {}
        }
        if matches!(status, JobStatus::Done | JobStatus::Cancelled) {
            self.over = Some(status);
        }
        None
    }
}

/// Something wrong that is planted, so that the checkers are seen to find it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Plant {
    Nothing,
    /// Nobody is served any more.
    NobodyServed,
    /// A task starts on a machine while it is on another.
    RanTwice,
    /// A user is told that a job is cancelled, and it runs on.
    RunsOn,
    /// A job is lost from record and picture.
    Lost,
    /// A job is called done of which a task never ended.
    NotDone,
    /// No placement is ever made, while machines have room.
    NothingPlaced,
}

/// One day; returns what was wrong with it.
pub async fn day(seed: u64, plant: Plant) -> Vec<String> {
    day_in(Simulation::new(), seed, plant).await
}

/// Digest of all that is exchanged on one day, and how many requests there are.
pub async fn digest_of_day(seed: u64) -> (String, u64) {
    let simulation = Simulation::new();
    simulation.record_exchanges(false);
    day_in(simulation.clone(), seed, Plant::Nothing).await;
    simulation
        .exchange_digest()
        .expect("exchanges are recorded")
}

/// Every message that is exchanged on one day, as text.
pub async fn messages_of_day(seed: u64) -> Vec<String> {
    let simulation = Simulation::new();
    simulation.record_exchanges(true);
    day_in(simulation.clone(), seed, Plant::Nothing).await;
    simulation.exchanged_text()
}

/// Plays something for each seed, each on a runtime of its own in simulated time,
/// so many at once. Returns what came of it, in the order of the seeds.
pub fn play_each<T: Send, F: Future<Output = T>>(
    seeds: RangeInclusive<u64>,
    threads: usize,
    play: impl Fn(u64) -> F + Sync,
) -> Vec<(u64, T)> {
    let next = AtomicU64::new(*seeds.start());
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) {
                        return;
                    }
                    let runtime = tokio::runtime::Builder::new_current_thread()
                        .enable_all()
                        .start_paused(true)
                        .build()
                        .unwrap();
                    let result = runtime.block_on(play(seed));
                    results.lock().unwrap().push((seed, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(seed, _)| *seed);
    results
}

/// One day in a simulation of its own; returns what was wrong with it.
async fn day_in(simulation: Arc<Simulation>, seed: u64, plant: Plant) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    simulation.seed(seed);
    simulation.state.lock().unwrap().zones = vec!["a", "b"];
    tokio::spawn(simulation.clone().run_workers());
    let controllers = (0..CONTROLLERS)
        .map(|n| simulation.start_controller(&Site::name(n)))
        .collect();
    let mut site = Site {
        simulation,
        controllers,
        jobs: Vec::new(),
        wrong: Vec::new(),
    };
    tokio::time::sleep(Duration::from_secs(5)).await;
    // How long all work takes its team at least, were it all to be done again.
    let mut work_s = 0.0;
    for n in 1..=14u32 {
        let tasks = random.random_range(1..5);
        // Some outlast an outage.
        let most_s = if random.random_range(0..4) == 0 {
            CANCEL_TIMEOUT_S * 4.0
        } else {
            15.0
        };
        let run_s = random.random_range(2.0..most_s);
        let cpus = [1.0, 2.0, 4.0, 8.0][random.random_range(0..4)];
        work_s += f64::from(tasks) * run_s * cpus / TEAM_CPUS;
        let shape = JobShape {
            tasks,
            cpus,
            run_s,
            team: ["t", "u"][random.random_range(0..2)],
            zone: [None, None, Some("a"), Some("b")][random.random_range(0..4)],
            one_zone: random.random_range(0..4) == 0,
            ..JobShape::default()
        };
        let (id, body) = site.simulation.job_with_shape(n, shape);
        // Some controller takes it.
        let at = random.random_range(0..CONTROLLERS);
        let kept = tokio::time::timeout(
            Duration::from_secs(25),
            site.submit_until_accepted(at, &body),
        );
        if kept.await.is_ok() {
            site.jobs.push(Accepted::new(id.clone(), tasks));
        }
        // Faults meet: one may begin at once after another.
        let most_s = [0.2, 5.0][random.random_range(0..2)];
        tokio::time::sleep(Duration::from_secs_f64(random.random_range(0.0..most_s))).await;
        let machines = site.simulation.booted_machines();
        let machine = (!machines.is_empty())
            .then(|| machines[random.random_range(0..machines.len())].clone());
        let mut controller = random.random_range(0..CONTROLLERS);
        // Half of the faults of controllers are the leader's.
        if random.random()
            && let Some(leader) = site.leader()
        {
            controller = leader;
        }
        let trouble = random.random_range(0..TROUBLES);
        tracing::info!(trouble, controller, machine, "befalls");
        match (trouble, machine) {
            (0, _) => {
                site.crash(controller);
                tokio::time::sleep(Duration::from_millis(random.random_range(10..900))).await;
                site.restart(controller);
            }
            (1, _) => {
                (0..CONTROLLERS).for_each(|n| site.crash(n));
                tokio::time::sleep(Duration::from_secs_f64(random.random_range(0.01..9.0))).await;
                (0..CONTROLLERS).for_each(|n| site.restart(n));
            }
            (2, _) => {
                site.simulation
                    .set_store_partitioned(&Site::name(controller), true);
            }
            (3, _) => site.simulation.state.lock().unwrap().partitioned.clear(),
            (4, _) => {
                site.simulation.set_store_down(true);
                tokio::time::sleep(Duration::from_secs_f64(random.random_range(1.0..8.0))).await;
                site.simulation.set_store_down(false);
            }
            (5, Some(machine)) => site.simulation.set_inbound_blocked(&machine, true),
            (6, Some(machine)) => site.simulation.set_inbound_blocked(&machine, false),
            (7, Some(machine)) => site.simulation.restart_agent(&machine),
            (8, Some(machine)) => site.simulation.set_silent(&machine, true),
            (9, _) => site.simulation.state.lock().unwrap().lose_next_responses = 1,
            (10, _) => {
                site.simulation.state.lock().unwrap().duplicated_heartbeats = (0.3, LEASE_S * 2.0)
            }
            (11, _) if n > 3 => site.cancel(controller, &id).await,
            (12, _) => site
                .simulation
                .set_store_refuses(&Site::name(controller), true),
            (13, _) => site.simulation.state.lock().unwrap().refused.clear(),
            (14, _) => site.simulation.state.lock().unwrap().late_writes = 0.3,
            (15, _) => site.simulation.state.lock().unwrap().late_writes = 0.0,
            (16, _) => site.simulation.state.lock().unwrap().delayed_commands = (0.5, 8.0),
            (17, Some(machine)) => {
                site.simulation.set_hung(&machine, true);
                let most_s = LEASE_S * 1.5;
                tokio::time::sleep(Duration::from_secs_f64(random.random_range(0.5..most_s))).await;
                site.simulation.set_hung(&machine, false);
            }
            (18, _) => {
                // The leader alone is refused; jobs are cancelled through others;
                // then nobody is served for longer than a cancellation has.
                let leader = site.leader().unwrap_or(controller);
                site.simulation.set_store_refuses(&Site::name(leader), true);
                let alone_s = random.random_range(0.1..4.0);
                tokio::time::sleep(Duration::from_secs_f64(alone_s)).await;
                for id in site.ids() {
                    if random.random::<bool>() {
                        let other = (leader + 1) % CONTROLLERS;
                        site.cancel(other, &id).await;
                    }
                }
                site.simulation.set_store_down(true);
                site.simulation
                    .set_store_refuses(&Site::name(leader), random.random());
                let down_s = CANCEL_TIMEOUT_S * random.random_range(0.5..1.5);
                tokio::time::sleep(Duration::from_secs_f64(down_s)).await;
                site.simulation.set_store_down(false);
            }
            (19, _) => {
                site.simulation.pause(&Site::name(controller));
                tokio::time::sleep(Duration::from_secs_f64(random.random_range(1.0..20.0))).await;
                site.simulation.resume(&Site::name(controller));
            }
            (20, _) => {
                // Just before or after a step of a controller, it stands still, or the
                // state service serves nobody any more.
                let at = Some(FaultPoint {
                    controller: Site::name(controller),
                    request: STEPS[random.random_range(0..STEPS.len())],
                    answered: random.random(),
                });
                let down = random.random();
                {
                    let mut state = site.simulation.state.lock().unwrap();
                    if down {
                        state.store_down_at = at;
                    } else {
                        state.pause_at = at;
                    }
                }
                if random.random() {
                    let leader = site.leader().unwrap_or(controller);
                    site.crash(leader);
                    site.restart(leader);
                }
                let for_s = random.random_range(0.5..CANCEL_TIMEOUT_S * 1.5);
                tokio::time::sleep(Duration::from_secs_f64(for_s)).await;
                {
                    let mut state = site.simulation.state.lock().unwrap();
                    (state.store_down_at, state.pause_at) = (None, None);
                }
                if down {
                    site.simulation.set_store_down(false);
                } else {
                    site.simulation.resume(&Site::name(controller));
                }
            }
            (21, _) if n > 3 => {
                for id in site.ids() {
                    if random.random_range(0..3) == 0 {
                        site.cancel(controller, &id).await;
                    }
                }
            }
            (22, _) => site.simulation.state.lock().unwrap().lost_responses = 0.4,
            (23, _) => site.simulation.state.lock().unwrap().lost_responses = 0.0,
            (24, Some(machine)) => site.simulation.set_outbound_blocked(&machine, true),
            (25, Some(machine)) => site.simulation.set_outbound_blocked(&machine, false),
            (26, _) => {
                // Copies are kept until the next leader begins.
                site.simulation.state.lock().unwrap().capture_heartbeats = true;
                tokio::time::sleep(Duration::from_secs_f64(random.random_range(1.0..12.0))).await;
                site.simulation.state.lock().unwrap().capture_heartbeats = false;
                let leader = site.leader().unwrap_or(controller);
                site.crash(leader);
                let wait_s = random.random_range(0.0..3.0);
                tokio::time::sleep(Duration::from_secs_f64(wait_s)).await;
                site.simulation.replay_captured_heartbeats();
                site.restart(leader);
            }
            (27, Some(machine)) => site.simulation.destroy(&machine),
            (28, _) => {
                let boots = [0.1, 2.0][random.random_range(0..2)];
                site.simulation.state.lock().unwrap().boot_time_s = boots;
                site.odd_requests(controller, &body).await;
            }
            _ => {}
        }
        for job in 0..site.jobs.len() {
            if random.random_range(0..3) == 0 {
                site.poll(random.random_range(0..CONTROLLERS), job).await;
            }
        }
    }
    // All faults are over.
    {
        let machines = site.simulation.booted_machines();
        let mut state = site.simulation.state.lock().unwrap();
        state.partitioned.clear();
        state.refused.clear();
        state.late_writes = 0.0;
        state.delayed_commands = (0.0, 0.0);
        state.duplicated_heartbeats = (0.0, 0.0);
        state.lose_next_responses = 0;
        state.lost_responses = 0.0;
        drop(state);
        for machine in &machines {
            site.simulation.set_inbound_blocked(machine, false);
            site.simulation.set_outbound_blocked(machine, false);
        }
    }
    // What is planted is planted on a job that runs.
    let planted = match plant {
        Plant::NobodyServed | Plant::RanTwice | Plant::RunsOn => {
            let (id, body) = site.simulation.job(99, 1, 1.0, 300.0);
            site.submit_until_accepted(0, &body).await;
            tokio::time::sleep(Duration::from_secs(30)).await;
            site.jobs.push(Accepted::new(id.clone(), 1));
            id
        }
        Plant::NothingPlaced => {
            site.simulation.state.lock().unwrap().hang_writes = Some("p/");
            let (id, body) = site.simulation.job(99, 1, 1.0, 1.0);
            site.submit_until_accepted(0, &body).await;
            site.jobs.push(Accepted::new(id.clone(), 1));
            id
        }
        Plant::Nothing | Plant::Lost | Plant::NotDone => String::new(),
    };
    match plant {
        Plant::Nothing | Plant::NothingPlaced => {}
        Plant::NobodyServed => site.simulation.set_store_down(true),
        Plant::RanTwice => site.simulation.start_task_twice(&format!("{planted}/0")),
        Plant::RunsOn => site.simulation.record_cancellation(&planted),
        Plant::Lost => site.jobs.push(Accepted::new("req-000777".into(), 1)),
        Plant::NotDone => site.simulation.forget_completions("req-000001"),
    }
    let over = site.simulation.now();
    let mut answered = vec![over; site.jobs.len()];
    let mut served = vec![over; site.jobs.len()];
    while site.simulation.now() - over < 420.0 + work_s && site.wrong.is_empty() {
        for (job, answered) in answered.iter_mut().enumerate() {
            for controller in 0..CONTROLLERS {
                if site.poll(controller, job).await {
                    *answered = site.simulation.now();
                }
            }
            if site.simulation.now() - *answered > FORGOTTEN_S {
                let id = &site.jobs[job].id;
                site.wrong.push(format!("{id} is forgotten"));
            }
        }
        let now = site.simulation.now();
        for (job, served) in site.jobs.iter().zip(&mut served) {
            let open = job.over.is_none() && !job.cancelled && plant != Plant::Lost;
            if !open || !site.simulation.has_startable_task(&job.id) {
                *served = now;
            }
            if now - *served > NEGLECTED_S {
                site.wrong
                    .push(format!("{} is left waiting beside room", job.id));
            }
        }
        if site.jobs.iter().all(|j| j.over.is_some()) {
            break;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let mut wrong = site.wrong;
    let never = site.jobs.iter().filter(|j| j.over.is_none());
    wrong.extend(never.map(|j| format!("never done: {}", j.id)));
    let state = site.simulation.state.lock().unwrap();
    wrong.extend(state.all_violations());
    if state.starts.is_empty() {
        wrong.push("nothing ran".into());
    }
    wrong
}
