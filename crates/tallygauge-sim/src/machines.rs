//! Simulated machines and their workers: booting, hangs, lease expiry and the completion of
//! tasks, and queries about them for tests.

use crate::{
    CANCEL_TIMEOUT_S, JobShape, LEASE_S, Simulation,
    state::{DEFAULT_MACHINE_TYPE, RentedMachine, SimState},
};

/// CPUs of each machine.
const MACHINE_CPUS: f64 = 8.0;

/// Rental time of machines that a test adds as already booted, in seconds of simulated time:
/// far enough before the start for them to have booted.
const PAST_RENTAL_AT: f64 = -60.0;

/// State of a task on a worker, as heartbeats report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task is running.
    Running,
    /// The task has run to completion.
    Completed,
    /// The task was stopped by a command.
    Stopped,
    /// The task has ended with an error.
    Failed,
    /// The start was refused: the job has no such task.
    Refused,
}

impl TaskState {
    /// The task's status as written in a heartbeat.
    pub(crate) fn status(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed | Self::Stopped | Self::Failed | Self::Refused => "ended",
        }
    }

    /// Why the task ended, as written in a heartbeat; `None` while it runs.
    pub(crate) fn cause(self) -> Option<&'static str> {
        match self {
            Self::Running => None,
            Self::Completed => Some("done"),
            Self::Stopped => Some("halted"),
            Self::Failed => Some("error"),
            Self::Refused => Some("no_such"),
        }
    }
}

/// An attempt of a task on a worker.
pub(crate) struct SimTask {
    pub(crate) name: String,
    pub(crate) attempt: u64,
    pub(crate) state: TaskState,
    /// When it started, in seconds of simulated time, moved forward by the time for which
    /// its machine has hung since.
    pub(crate) started_at: f64,
}

impl SimTask {
    pub(crate) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Whether this is the given attempt of the given task.
    pub(crate) fn is_attempt(&self, task: &str, attempt: u64) -> bool {
        self.name == task && self.attempt == attempt
    }

    /// Id of the job that the task belongs to.
    pub(crate) fn job(&self) -> &str {
        job_of_task(&self.name)
    }
}

/// The worker on a booted machine.
pub(crate) struct SimWorker {
    pub(crate) zone: String,
    /// Incarnation of the agent: incremented when the lease expires, 1 after a restart.
    pub(crate) incarnation: u64,
    /// Sequence number of the last message that it sent.
    pub(crate) sequence: u64,
    /// Highest fencing token that it has seen.
    pub(crate) fencing_token: u64,
    /// When the last heartbeat that got an accepted response was sent, in seconds of
    /// simulated time; the lease runs from then.
    pub(crate) lease_renewed_at: f64,
    pub(crate) tasks: Vec<SimTask>,
    /// Whether its tasks, its incarnation or its fencing token have changed since its last
    /// heartbeat, so that it sends the next one early.
    pub(crate) has_news: bool,
    /// Number of the heartbeat whose response it waits for, if any. It sends no other meanwhile.
    pub(crate) heartbeat_in_flight: Option<u64>,
    /// Partitioned from all controllers: neither sends heartbeats nor receives commands, but
    /// keeps running its tasks.
    pub(crate) partitioned: bool,
    /// Its heartbeats arrive, but responses and direct commands do not reach it.
    pub(crate) inbound_blocked: bool,
    /// Its heartbeats do not arrive, but direct commands reach it.
    pub(crate) outbound_blocked: bool,
    /// Index of the controller to which it sends heartbeats, modulo the number of
    /// controllers.
    pub(crate) controller_index: usize,
    /// While the machine hangs: the time up to which the hang is already added to the start
    /// times of its tasks, in seconds of simulated time.
    pub(crate) hung_since: Option<f64>,
}

impl SimWorker {
    /// Creates the worker of a machine that has just booted.
    fn new(zone: String, now: f64) -> Self {
        Self {
            zone,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            tasks: Vec::new(),
            has_news: false,
            heartbeat_in_flight: None,
            partitioned: false,
            inbound_blocked: false,
            outbound_blocked: false,
            controller_index: 0,
            hung_since: None,
        }
    }

    /// Restarts the agent: its tasks are lost, and its incarnation, sequence number and
    /// fencing token are reset.
    pub(crate) fn restart(&mut self, now: f64) {
        self.tasks.clear();
        self.incarnation = 1;
        self.sequence = 0;
        self.fencing_token = 0;
        self.lease_renewed_at = now;
        self.has_news = true;
        self.heartbeat_in_flight = None;
    }

    /// Accepts the fencing token of a message.
    pub(crate) fn accept_token(&mut self, token: u64) {
        self.has_news |= token > self.fencing_token;
        self.fencing_token = token;
    }

    /// Whether the machine is hung.
    pub(crate) fn is_hung(&self) -> bool {
        self.hung_since.is_some()
    }

    /// Whether its heartbeats can reach controllers.
    pub(crate) fn can_send(&self) -> bool {
        !self.partitioned && !self.outbound_blocked && !self.is_hung()
    }

    /// Whether messages to and from it are delivered.
    fn is_connected(&self) -> bool {
        self.can_send() && !self.inbound_blocked
    }

    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = &SimTask> {
        self.tasks.iter().filter(|task| task.is_running())
    }

    /// Moves the start times of all tasks forward by the time for which the machine has
    /// hung, as they make no progress meanwhile.
    fn account_for_hang(&mut self, now: f64) {
        if let Some(accounted_until) = &mut self.hung_since {
            for task in &mut self.tasks {
                task.started_at += now - *accounted_until;
            }
            *accounted_until = now;
        }
    }

    /// If the lease has expired, ends all tasks and starts a new incarnation.
    fn expire_lease(&mut self, now: f64) {
        if now - self.lease_renewed_at > LEASE_S {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_renewed_at = now;
            self.has_news = true;
            self.heartbeat_in_flight = None;
        }
    }
}

/// Id of the job that the task with this name belongs to.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Simulation {
    /// Names of all machines that have booted.
    pub fn booted_machines(&self) -> Vec<String> {
        self.state.lock().unwrap().worker_names()
    }

    /// Whether all tasks of a job have completed; `tasks` is their number.
    pub fn all_tasks_completed(&self, id: &str, tasks: u32) -> bool {
        let state = self.state.lock().unwrap();
        (0..tasks).all(|n| state.completed_tasks.contains(&format!("{id}/{n}")))
    }

    /// Number of running tasks of a job.
    pub fn running_task_count(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .running_tasks()
            .filter(|(_, task)| task.job() == id)
            .count()
    }

    /// Names of the machines on which tasks of a job were started, in the order of the starts.
    pub fn machines_of_starts(&self, id: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let starts = state.starts.iter();
        starts
            .filter(|start| job_of_task(&start.task) == id)
            .map(|start| start.worker.clone())
            .collect()
    }

    /// Whether a task of a job could start now: none of the job's tasks is running, its
    /// team's quota allows it, and a connected machine in an allowed zone has capacity.
    pub fn has_startable_task(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let shape = state.job_shapes[id];
        let has_no_running_task = !state.running_tasks().any(|(_, task)| task.job() == id);
        let is_under_quota = state.team_usage(shape.team) + shape.cpus <= state.team_quota_cpus;
        has_no_running_task
            && is_under_quota
            && state
                .workers
                .values()
                .any(|worker| state.has_capacity(worker, &shape))
    }
}

impl SimState {
    /// Adds machines that have already booted.
    pub fn add_booted_machines(&mut self, count: u32) {
        for _ in 0..count {
            let name = self.next_machine_name();
            let machine = RentedMachine {
                rented_at: PAST_RENTAL_AT,
                machine_type: DEFAULT_MACHINE_TYPE.into(),
                zone: "a".into(),
            };
            self.machines.insert(name, machine);
        }
        self.advance(0.0);
    }

    /// Names of all workers. A worker has the name of its machine.
    pub fn worker_names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Advances all machines to the given time: machines boot, leases expire and tasks
    /// complete. Records a violation for each attempt that is still running
    /// [`CANCEL_TIMEOUT_S`] after a user was told that its job is cancelled.
    pub fn advance(&mut self, now: f64) {
        self.boot_machines(now);
        for worker in self.workers.values_mut() {
            worker.account_for_hang(now);
            worker.expire_lease(now);
            for task in worker.tasks.iter_mut().filter(|task| task.is_running()) {
                let job = job_of_task(&task.name);
                let cancelled_at = self.cancelled_at.get(job);
                let shape = &self.job_shapes[job];
                if now - task.started_at >= shape.run_s {
                    worker.has_news = true;
                    if shape.fails {
                        task.state = TaskState::Failed;
                    } else {
                        task.state = TaskState::Completed;
                        self.completed_tasks.insert(task.name.clone());
                    }
                }
                if cancelled_at.is_some_and(|at| now - at > CANCEL_TIMEOUT_S) {
                    // Each attempt is recorded only once.
                    let violation = format!(
                        "{} (attempt {}) still runs after its cancellation",
                        task.name, task.attempt
                    );
                    if !self.violations.contains(&violation) {
                        self.violations.push(violation);
                    }
                }
            }
        }
    }

    /// Adds the workers of machines that have booted.
    fn boot_machines(&mut self, now: f64) {
        for (name, machine) in &self.machines {
            let has_booted = now - machine.rented_at > self.boot_time_s;
            if has_booted && !self.workers.contains_key(name) {
                let worker = SimWorker::new(machine.zone.clone(), now);
                self.workers.insert(name.clone(), worker);
            }
        }
    }

    /// All running tasks with their workers.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = (&SimWorker, &SimTask)> {
        let workers = self.workers.values();
        workers.flat_map(|worker| worker.running_tasks().map(move |task| (worker, task)))
    }

    /// Total CPUs of a team's running tasks.
    pub(crate) fn team_usage(&self, team: &str) -> f64 {
        self.running_tasks()
            .map(|(_, task)| self.job_shapes[task.job()])
            .filter(|shape| shape.team == team)
            .map(|shape| shape.cpus)
            .sum()
    }

    /// Whether a worker is connected, in a zone that the job allows, and has capacity for
    /// one of the job's tasks.
    fn has_capacity(&self, worker: &SimWorker, shape: &JobShape) -> bool {
        let tasks = worker.running_tasks();
        let used: f64 = tasks.map(|task| self.job_shapes[task.job()].cpus).sum();
        let is_allowed_zone = shape.zone.is_none_or(|zone| zone == worker.zone);
        worker.is_connected() && is_allowed_zone && used + shape.cpus <= MACHINE_CPUS
    }
}
