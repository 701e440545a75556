//! The lifecycle of machines and their workers: booting, hanging, lease expiry and the
//! completion of tasks; and what tests ask about them.

use crate::{
    CANCEL_TIMEOUT_S, JobShape, LEASE_S, Simulation,
    state::{RentedMachine, SimState},
};

/// CPUs of a machine.
const MACHINE_CPUS: f64 = 8.0;

/// When machines that a test adds were rented, so that they have booted already.
const LONG_AGO_S: f64 = -60.0;

/// State of a task as a worker's heartbeat names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// The task runs.
    Running,
    /// The task has completed.
    Completed,
    /// The task was stopped by a command.
    Stopped,
}

impl TaskState {
    /// The state's word in a heartbeat.
    pub(crate) fn status(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed | Self::Stopped => "ended",
        }
    }

    /// Why the task ended, in the words of a heartbeat.
    pub(crate) fn cause(self) -> Option<&'static str> {
        match self {
            Self::Running => None,
            Self::Completed => Some("done"),
            Self::Stopped => Some("halted"),
        }
    }
}

/// An attempt of a task on a worker.
pub(crate) struct SimTask {
    pub(crate) name: String,
    pub(crate) attempt: u64,
    pub(crate) state: TaskState,
    /// When it started, moved forward by the time for which its machine hung.
    pub(crate) started_at: f64,
}

impl SimTask {
    /// Whether the task runs.
    pub(crate) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Whether this is the attempt of the task given.
    pub(crate) fn is_attempt(&self, task: &str, attempt: u64) -> bool {
        self.name == task && self.attempt == attempt
    }

    /// The job that the task belongs to.
    pub(crate) fn job(&self) -> &str {
        job_of_task(&self.name)
    }
}

/// The worker on a booted machine.
pub(crate) struct SimWorker {
    pub(crate) zone: String,
    /// Agent incarnation: counts up when the lease expires.
    pub(crate) incarnation: u64,
    /// Number of the last message that it sent.
    pub(crate) sequence: u64,
    /// Highest fencing token that it has seen.
    pub(crate) fencing_token: u64,
    /// When the last heartbeat that was answered was sent; the lease counts from there.
    pub(crate) lease_renewed_at: f64,
    pub(crate) tasks: Vec<SimTask>,
    /// Neither sends heartbeats nor accepts commands, but runs its tasks.
    pub(crate) partitioned: bool,
    /// Its heartbeats arrive; answers and direct commands don't reach it.
    pub(crate) inbound_blocked: bool,
    /// Its heartbeats don't arrive; direct commands reach it.
    pub(crate) outbound_blocked: bool,
    /// Index, modulo their number, of the controller to which it sends heartbeats.
    pub(crate) controller_index: usize,
    /// Until when its hang is accounted for in its tasks, if the machine hangs.
    pub(crate) hung_since: Option<f64>,
}

impl SimWorker {
    /// The worker of a machine that has just booted.
    fn new(zone: String, now: f64) -> Self {
        Self {
            zone,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_at: now,
            tasks: Vec::new(),
            partitioned: false,
            inbound_blocked: false,
            outbound_blocked: false,
            controller_index: 0,
            hung_since: None,
        }
    }

    /// Restarts the agent: its tasks are gone and it counts from the beginning.
    pub(crate) fn restart(&mut self, now: f64) {
        self.tasks.clear();
        self.incarnation = 1;
        self.sequence = 0;
        self.fencing_token = 0;
        self.lease_renewed_at = now;
    }

    /// Whether the machine hangs.
    pub(crate) fn is_hung(&self) -> bool {
        self.hung_since.is_some()
    }

    /// Whether its heartbeats reach controllers.
    pub(crate) fn can_send(&self) -> bool {
        !self.partitioned && !self.outbound_blocked && !self.is_hung()
    }

    /// Whether nothing blocks messages to or from it.
    fn is_connected(&self) -> bool {
        self.can_send() && !self.inbound_blocked
    }

    /// Tasks that run.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = &SimTask> {
        self.tasks.iter().filter(|task| task.is_running())
    }

    /// Adds the time for which the machine hung to its tasks: they make no progress.
    fn account_for_hang(&mut self, now: f64) {
        if let Some(hung_since) = &mut self.hung_since {
            for task in &mut self.tasks {
                task.started_at += now - *hung_since;
            }
            *hung_since = now;
        }
    }

    /// Ends the incarnation with all tasks if the lease has expired.
    fn expire_lease(&mut self, now: f64) {
        if now - self.lease_renewed_at > LEASE_S {
            self.tasks.clear();
            self.incarnation += 1;
            self.lease_renewed_at = now;
        }
    }
}

/// The job that a task belongs to, by its name.
pub(crate) fn job_of_task(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Simulation {
    /// Names of machines that have booted.
    pub fn booted_machines(&self) -> Vec<String> {
        self.state.lock().unwrap().worker_names()
    }

    /// Whether all tasks of a job completed.
    pub fn all_tasks_completed(&self, id: &str, tasks: u32) -> bool {
        let state = self.state.lock().unwrap();
        (0..tasks).all(|n| state.completed_tasks.contains(&format!("{id}/{n}")))
    }

    /// How many tasks of a job run.
    pub fn running_task_count(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state
            .running_tasks()
            .filter(|(_, task)| task.job() == id)
            .count()
    }

    /// Whether a task of a job could start now: none of its tasks runs, its team is under
    /// its quota, and a connected machine in an allowed zone has capacity.
    pub fn has_startable_task(&self, id: &str) -> bool {
        let state = self.state.lock().unwrap();
        let shape = state.job_shapes[id];
        let is_waiting = !state.running_tasks().any(|(_, task)| task.job() == id);
        let is_under_quota = state.team_usage(shape.team) + shape.cpus <= state.team_quota_cpus;
        is_waiting
            && is_under_quota
            && state
                .workers
                .values()
                .any(|w| state.has_capacity(w, &shape))
    }
}

impl SimState {
    /// Adds machines that were rented long ago and have booted.
    pub fn add_booted_machines(&mut self, count: u32) {
        for _ in 0..count {
            let name = self.next_machine_name();
            let machine = RentedMachine {
                rented_at: LONG_AGO_S,
                zone: "a".into(),
            };
            self.machines.insert(name, machine);
        }
        self.advance(0.0);
    }

    /// Names of workers, which are those of their machines.
    pub fn worker_names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Advances machines to a time: they boot, leases expire and tasks complete. Records a
    /// violation for each attempt that runs on after its job's cancellation timeout.
    pub fn advance(&mut self, now: f64) {
        self.boot_machines(now);
        for worker in self.workers.values_mut() {
            worker.account_for_hang(now);
            worker.expire_lease(now);
            for task in worker.tasks.iter_mut().filter(|task| task.is_running()) {
                let job = job_of_task(&task.name);
                let cancelled_at = self.cancelled_at.get(job);
                if now - task.started_at >= self.job_shapes[job].run_s {
                    task.state = TaskState::Completed;
                    self.completed_tasks.insert(task.name.clone());
                }
                if cancelled_at.is_some_and(|at| now - at > CANCEL_TIMEOUT_S) {
                    // Recorded once for each attempt.
                    let violation = format!("{}#{} still runs", task.name, task.attempt);
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

    /// Tasks that run, and their workers.
    pub(crate) fn running_tasks(&self) -> impl Iterator<Item = (&SimWorker, &SimTask)> {
        let workers = self.workers.values();
        workers.flat_map(|worker| worker.running_tasks().map(move |task| (worker, task)))
    }

    /// CPUs that the tasks of a team use.
    pub(crate) fn team_usage(&self, team: &str) -> f64 {
        self.running_tasks()
            .map(|(_, task)| self.job_shapes[task.job()])
            .filter(|shape| shape.team == team)
            .map(|shape| shape.cpus)
            .sum()
    }

    /// Whether a worker is connected and has capacity for a task of this shape.
    fn has_capacity(&self, worker: &SimWorker, shape: &JobShape) -> bool {
        let tasks = worker.running_tasks();
        let used: f64 = tasks.map(|task| self.job_shapes[task.job()].cpus).sum();
        let is_allowed_zone = shape.zone.is_none_or(|zone| zone == worker.zone);
        worker.is_connected() && is_allowed_zone && used + shape.cpus <= MACHINE_CPUS
    }
}
