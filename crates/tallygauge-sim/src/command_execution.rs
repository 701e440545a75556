//! Execution of commands by simulated workers, and the invariant checks at every task start.

use crate::{
    CANCEL_TIMEOUT_S, SimState, TaskStart,
    machines::{SimTask, SimWorker, TaskState, job_of_task},
};
use tallygauge_protocol::workers::{Command, parse_task_name};

/// Tolerance of the quota check for rounding errors, in CPUs.
const QUOTA_TOLERANCE_CPUS: f64 = 1e-6;

impl SimState {
    /// Executes commands on a worker; panics if it does not exist and there are commands.
    pub(crate) fn execute_commands(&mut self, now: f64, worker: &str, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start_task(now, worker, task, *attempt),
                Command::Stop { task, attempt, .. } => self.stop_task(worker, task, *attempt),
                Command::Clear { task, attempt } => self.clear_task(worker, task, *attempt),
            }
        }
    }

    /// Starts an attempt of a task and checks the invariants. Does nothing if the worker
    /// already has this attempt, and refuses a task that no job has.
    fn start_task(&mut self, now: f64, worker: &str, task: &str, attempt: u64) {
        let mut tasks = self.workers[worker].tasks.iter();
        if tasks.any(|t| t.is_attempt(task, attempt)) {
            return;
        }
        self.worker_mut(worker).has_news = true;
        if !self.is_task_of_a_job(task) {
            self.worker_mut(worker).tasks.push(SimTask {
                name: task.to_string(),
                attempt,
                state: TaskState::Refused,
                started_at: now,
            });
            return;
        }
        self.check_single_start(now, worker, task, attempt);
        self.check_not_cancelled(now, task, attempt);
        tracing::debug!(task, attempt, worker, "started task");
        self.starts.push(TaskStart {
            started_at: now,
            task: task.to_string(),
            worker: worker.to_string(),
        });
        self.worker_mut(worker).tasks.push(SimTask {
            name: task.to_string(),
            attempt,
            state: TaskState::Running,
            started_at: now,
        });
        self.check_zone(now, task, worker);
        self.check_team_quota(now, self.job_shapes[job_of_task(task)].team);
    }

    /// Stops an attempt of a task, if it is running.
    fn stop_task(&mut self, worker: &str, task: &str, attempt: u64) {
        let worker = self.worker_mut(worker);
        let tasks = worker.tasks.iter_mut();
        for running in tasks.filter(|t| t.is_attempt(task, attempt) && t.is_running()) {
            running.state = TaskState::Stopped;
            worker.has_news = true;
        }
    }

    /// Removes an attempt of a task from the worker, if it has ended.
    fn clear_task(&mut self, worker: &str, task: &str, attempt: u64) {
        let worker = self.worker_mut(worker);
        let count_before = worker.tasks.len();
        let is_kept = |t: &SimTask| !t.is_attempt(task, attempt) || t.is_running();
        worker.tasks.retain(is_kept);
        worker.has_news |= worker.tasks.len() < count_before;
    }

    /// Whether the name is that of a task of a job.
    pub(crate) fn is_task_of_a_job(&self, task: &str) -> bool {
        parse_task_name(task).is_some_and(|(job, number)| {
            let shape = self.job_shapes.get(job);
            shape.is_some_and(|shape| number < shape.tasks)
        })
    }

    fn worker_mut(&mut self, name: &str) -> &mut SimWorker {
        self.workers.get_mut(name).unwrap()
    }

    /// Records a violation if the task is already running, or if the attempt was already
    /// started on another worker.
    fn check_single_start(&mut self, now: f64, worker: &str, task: &str, attempt: u64) {
        if self
            .running_tasks()
            .any(|(_, running)| running.name == task)
        {
            self.violations.push(format!(
                "{now:.1}: {task} starts twice: it is already running"
            ));
        }
        // The start of an attempt may be sent repeatedly, but only to the same worker.
        let first_worker = self.attempt_workers.entry((task.to_string(), attempt));
        if first_worker.or_insert_with(|| worker.to_string()) != worker {
            self.violations.push(format!(
                "{now:.1}: attempt {attempt} of {task} starts on a second worker"
            ));
        }
    }

    /// Records a violation if the attempt starts more than [`CANCEL_TIMEOUT_S`] after a user
    /// was told that its job is cancelled, however soon it is stopped again.
    fn check_not_cancelled(&mut self, now: f64, task: &str, attempt: u64) {
        let cancelled_at = self.cancelled_at.get(job_of_task(task));
        if cancelled_at.is_some_and(|at| now - at > CANCEL_TIMEOUT_S) {
            self.violations.push(format!(
                "{now:.1}: {task} (attempt {attempt}) starts after its cancellation"
            ));
        }
    }

    /// Records a violation if the job does not allow the zone of the started task, or if the
    /// job must run in one zone and already runs in another.
    fn check_zone(&mut self, now: f64, task: &str, worker: &str) {
        let job = job_of_task(task);
        let shape = self.job_shapes[job];
        let zone = &self.workers[worker].zone;
        let is_allowed = shape.zone.is_none_or(|allowed| allowed == zone);
        let is_split = shape.one_zone
            && self
                .running_tasks()
                .any(|(other, running)| running.job() == job && other.zone != *zone);
        if !is_allowed || is_split {
            let violation =
                format!("{now:.1}: {task} starts in zone {zone}, which its job does not allow");
            self.violations.push(violation);
        }
    }

    /// Records a violation if the running tasks of a team exceed its quota.
    fn check_team_quota(&mut self, now: f64, team: &str) {
        let used = self.team_usage(team);
        if used > self.team_quota_cpus + QUOTA_TOLERANCE_CPUS {
            let violation = format!("{now:.1}: team {team} exceeds its quota with {used} CPUs");
            self.violations.push(violation);
        }
    }
}
