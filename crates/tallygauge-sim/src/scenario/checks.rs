//! Checks at the end of a scenario: users must be told the status of every job, jobs must
//! start while there is capacity, and every job must reach a final status in time. Violations
//! can be injected to test these checks and those of the simulation.

use super::{CONTROLLER_COUNT, Scenario, jobs::TrackedJob};
use crate::{eventually, sleep_s};

/// Longest time that a job may remain unstarted while a machine has capacity for one of its
/// tasks, in seconds.
const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;

/// Time limit, in seconds after the last fault or the last status reply, within which some
/// controller must tell a user the status of a job.
const MAX_TIME_WITHOUT_STATUS_S: f64 = 75.0;

/// Time limit, in seconds after the last fault, for all jobs to reach a final status; the
/// minimum run time of their tasks is added to it.
const BASE_COMPLETION_TIMEOUT_S: f64 = 420.0;

/// Interval between checks, in seconds.
const CHECK_INTERVAL_S: f64 = 3.0;

/// Number of the job on which a violation is injected.
const VIOLATION_JOB_NUMBER: u32 = 99;

/// A violation that a test injects at the end of a scenario to verify that it is detected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedViolation {
    /// Nothing is injected.
    None,
    /// From now on the store refuses the requests of all controllers.
    StoreDown,
    /// A task starts on a machine while it runs on another.
    TaskRunsTwice,
    /// A user is told that a job is cancelled, but its task keeps running.
    CancelledTaskRunsOn,
    /// A user polls a job that no controller knows.
    JobLost,
    /// A job is reported done although some of its tasks never completed.
    DoneTooSoon,
    /// No placement is stored although machines have capacity.
    NothingPlaced,
}

/// Times from which the time limits of a job are counted, in seconds of simulated time. Both
/// start at the end of the faults.
#[derive(Clone, Copy)]
struct Progress {
    /// When a controller last told its user the status of the job.
    answered_at: f64,
    /// When the job last had no task that could start.
    unstartable_at: f64,
}

impl Scenario {
    pub(super) async fn inject_violation(&mut self, injected: InjectedViolation) {
        match injected {
            InjectedViolation::None => {}
            InjectedViolation::StoreDown => {
                self.run_long_job().await;
                self.simulation.set_store_down(true);
            }
            InjectedViolation::TaskRunsTwice => {
                let id = self.run_long_job().await;
                self.simulation.start_task_twice(&format!("{id}/0"));
            }
            InjectedViolation::CancelledTaskRunsOn => {
                let id = self.run_long_job().await;
                self.simulation.record_cancellation(&id);
            }
            InjectedViolation::JobLost => {
                self.jobs.push(TrackedJob::new("req-000777".into(), 1));
            }
            InjectedViolation::DoneTooSoon => {
                let id = self.submit_violating_job(1.0).await;
                let is_completed = eventually(BASE_COMPLETION_TIMEOUT_S, async || {
                    self.simulation.all_tasks_completed(&id, 1)
                });
                assert!(is_completed.await, "job to be forgotten was not completed");
                self.simulation.forget_completions(&id);
            }
            InjectedViolation::NothingPlaced => {
                self.simulation
                    .state
                    .lock()
                    .unwrap()
                    .faults
                    .hang_writes_with_prefix = Some("p/");
                self.submit_violating_job(1.0).await;
            }
        }
    }

    /// Submits a job with one long task and waits for 30 s, in which the task starts.
    /// Returns the job's id.
    async fn run_long_job(&mut self) -> String {
        let id = self.submit_violating_job(300.0).await;
        sleep_s(30.0).await;
        id
    }

    /// Submits the job on which a violation is injected. Returns its id.
    async fn submit_violating_job(&mut self, run_s: f64) -> String {
        let job = self.simulation.job(VIOLATION_JOB_NUMBER, 1, 1.0, run_s);
        self.submit_until_accepted(0, &job.body).await;
        self.jobs.push(TrackedJob::new(job.id.clone(), 1));
        job.id
    }

    /// Polls all jobs until each has a final status, a violation is found or the time limit
    /// is reached. `min_run_time_s` is the time that a single team needs at least to run all
    /// tasks within its quota.
    pub(super) async fn check_until_done(
        &mut self,
        min_run_time_s: f64,
        injected: InjectedViolation,
    ) {
        let started_at = self.simulation.now();
        let deadline_s = BASE_COMPLETION_TIMEOUT_S + min_run_time_s;
        let progress = Progress {
            answered_at: started_at,
            unstartable_at: started_at,
        };
        let mut progress = vec![progress; self.jobs.len()];
        while self.simulation.now() - started_at < deadline_s && self.violations.is_empty() {
            self.check_answers(&mut progress).await;
            self.check_starts(&mut progress, injected);
            if self.jobs.iter().all(|job| job.final_status.is_some()) {
                break;
            }
            sleep_s(CHECK_INTERVAL_S).await;
        }
    }

    /// Polls each job through all controllers, and records a violation for each job whose
    /// status no controller has reported within the time limit.
    async fn check_answers(&mut self, progress: &mut [Progress]) {
        for (job, progress) in progress.iter_mut().enumerate() {
            for controller in 0..CONTROLLER_COUNT {
                if self.poll(controller, job).await {
                    progress.answered_at = self.simulation.now();
                }
            }
            if self.simulation.now() - progress.answered_at > MAX_TIME_WITHOUT_STATUS_S {
                let id = &self.jobs[job].id;
                self.violations
                    .push(format!("{id} is forgotten: no status for too long"));
            }
        }
    }

    /// Records a violation for each job that has a startable task for longer than the time
    /// limit.
    fn check_starts(&mut self, progress: &mut [Progress], injected: InjectedViolation) {
        let now = self.simulation.now();
        for (job, progress) in self.jobs.iter().zip(progress) {
            let is_active = job.final_status.is_none()
                && !job.cancel_requested
                && injected != InjectedViolation::JobLost;
            if !is_active || !self.simulation.has_startable_task(&job.id) {
                progress.unstartable_at = now;
            }
            if now - progress.unstartable_at > MAX_WAIT_WITH_CAPACITY_S {
                self.violations.push(format!(
                    "{} is left waiting although it could start",
                    job.id
                ));
            }
        }
    }

    /// All violations: those found by the checks of the scenario, jobs without a final
    /// status, and those found by the simulation.
    pub(super) fn into_violations(self) -> Vec<String> {
        let mut violations = self.violations;
        let unfinished = self.jobs.iter().filter(|job| job.final_status.is_none());
        violations.extend(unfinished.map(|job| format!("no final status: {}", job.id)));
        let state = self.simulation.state.lock().unwrap();
        violations.extend(state.all_violations());
        if state.starts.is_empty() {
            violations.push("no task was started".into());
        }
        violations
    }
}
