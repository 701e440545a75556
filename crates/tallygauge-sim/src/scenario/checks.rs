//! The end of a scenario: every job must be answered for, started while there is capacity
//! and done in time; and violations that are injected to test these checks.

use super::{CONTROLLERS, Scenario, jobs::TrackedJob};
use crate::sleep_s;

/// Seconds for which a task may wait while a machine has capacity for it.
const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;

/// Seconds after the last fault, or the last answer, by which a user must be told the
/// status of a job.
const MAX_UNANSWERED_S: f64 = 75.0;

/// Seconds that jobs may take after the last fault beyond the time that their tasks need.
const COMPLETION_TIMEOUT_S: f64 = 420.0;

/// Seconds between two checks.
const CHECK_INTERVAL_S: f64 = 3.0;

/// Number of the job on which a violation is injected.
const VIOLATING_JOB: u32 = 99;

/// A violation that is injected at the end of a scenario, so that tests see the checkers
/// find it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedViolation {
    /// Nothing is injected.
    None,
    /// The store refuses everybody from here on.
    StoreDown,
    /// A task starts on a machine while it runs on another.
    TaskRunsTwice,
    /// A user is told that a job is cancelled, but its task runs on.
    CancelledTaskRunsOn,
    /// A user waits for a job that no controller knows.
    JobLost,
    /// A job is called done of which a task never completed.
    DoneTooSoon,
    /// No placement is ever stored, while machines have capacity.
    NothingPlaced,
}

/// When a job was last seen to make progress, in seconds of simulated time.
#[derive(Clone, Copy)]
struct Progress {
    /// When its user was last told its status.
    answered_at: f64,
    /// When it last had no task that could be started.
    unstartable_at: f64,
}

impl Scenario {
    /// Injects a violation.
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
            InjectedViolation::DoneTooSoon => self.simulation.forget_completions("req-000001"),
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

    /// Submits a job with a long task and waits until that runs. Returns the job's id.
    async fn run_long_job(&mut self) -> String {
        let id = self.submit_violating_job(300.0).await;
        sleep_s(30.0).await;
        id
    }

    /// Submits the job on which a violation is injected. Returns its id.
    async fn submit_violating_job(&mut self, run_s: f64) -> String {
        let job = self.simulation.job(VIOLATING_JOB, 1, 1.0, run_s);
        self.submit_until_accepted(0, &job.body).await;
        self.jobs.push(TrackedJob::new(job.id.clone(), 1));
        job.id
    }

    /// Polls all jobs until each has a final status, a violation is found or the time is
    /// over; `work_s` is how long their team needs for all tasks at least.
    pub(super) async fn check_until_done(&mut self, work_s: f64, injected: InjectedViolation) {
        let started_at = self.simulation.now();
        let deadline_s = COMPLETION_TIMEOUT_S + work_s;
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

    /// Polls each job through all controllers, and records a violation for each that has
    /// not been answered for in time.
    async fn check_answers(&mut self, progress: &mut [Progress]) {
        for (job, progress) in progress.iter_mut().enumerate() {
            for controller in 0..CONTROLLERS {
                if self.poll(controller, job).await {
                    progress.answered_at = self.simulation.now();
                }
            }
            if self.simulation.now() - progress.answered_at > MAX_UNANSWERED_S {
                let id = &self.jobs[job].id;
                self.violations.push(format!("{id} is forgotten"));
            }
        }
    }

    /// Records a violation for each job that waits too long while there is capacity.
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
                self.violations
                    .push(format!("{} is left waiting beside room", job.id));
            }
        }
    }

    /// All violations, those of the simulation and jobs without a final status included.
    pub(super) fn into_violations(self) -> Vec<String> {
        let mut violations = self.violations;
        let unfinished = self.jobs.iter().filter(|job| job.final_status.is_none());
        violations.extend(unfinished.map(|job| format!("never done: {}", job.id)));
        let state = self.simulation.state.lock().unwrap();
        violations.extend(state.all_violations());
        if state.starts.is_empty() {
            violations.push("nothing ran".into());
        }
        violations
    }
}
