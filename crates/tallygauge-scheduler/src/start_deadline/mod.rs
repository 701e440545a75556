//! Start deadline: the large jobs of each class start within a set time after their
//! acceptance. Jobs that are near their start deadline hold a [`StartClaim`].
//!
//! A large job, as its start deadline comes nearer:
//!
//! - If none of its tasks has run when [`FIRST_TASK_AFTER`] of the time has passed, one
//!   of them is placed before everything else. If its team has reached its quota, freed
//!   quota is kept for that task. If no machine has enough free resources, the machine
//!   that will have them first is reserved (see [`reservations`]).
//! - Once [`ALL_TASKS_AFTER`] of the time has passed, all its tasks that never ran are
//!   placed before other tasks, on a limited share of the machines. This priority ends at
//!   the start deadline, since it can't be met any more.
//!
//! Any other job gets one task placed first if none has run when [`SMALL_JOB_AFTER`] of
//! the time has passed. While the minimum share gives jobs priority, this holds only for a
//! few of these jobs: one task of each of many jobs would keep all of them from being
//! done.
//!
//! Tasks of jobs with a start claim are not preempted until they have run for long
//! enough to count as started.

mod reservations;
pub(crate) mod state;

use crate::{cluster_state::ClusterState, model::*};
use state::StartClaim;
use std::collections::{BTreeMap, HashMap};
use tallygauge_fairness::SizeThresholds;
use tallygauge_protocol::{users::MIN_COUNTED_RUN_S, workers::TaskState};

/// Fraction of the jobs of a class that count as large, by each measure of size. It has
/// to cover the largest tenth by actual size although estimated sizes are wrong by half.
const LARGE_JOB_FRACTION: f64 = 0.2;

/// Fraction of the time to the start deadline after which the first task of a large job
/// has priority. The rest is left for resources to become free: tasks run for a minute
/// or two, and controllers may be down in that time.
const FIRST_TASK_AFTER: f64 = 0.5;

/// Fraction of the time to the start deadline after which all tasks of a large job that
/// never ran have priority.
const ALL_TASKS_AFTER: f64 = 0.7;

/// Fraction of the time to the start deadline after which the first task of a job that
/// is not large has priority.
const SMALL_JOB_AFTER: f64 = 0.85;

/// Maximum fraction of the usable CPUs up to which large jobs near their start deadline
/// get further tasks placed before those of other jobs. The first task of each job is
/// placed regardless of it.
const MAX_LARGE_JOB_SHARE: f64 = 0.1;

/// Maximum fraction of the usable CPUs for placing the first tasks of jobs that are not
/// large before other tasks, while the minimum share gives jobs priority.
const MAX_SMALL_JOB_SHARE: f64 = 0.05;

/// Minimum sizes of the jobs that count as large in a class, by group id of the class.
type LargeJobThresholds = HashMap<usize, SizeThresholds>;

fn is_large(thresholds: &LargeJobThresholds, job: &Job) -> bool {
    let threshold = thresholds.get(&job.group_ids[0]);
    threshold.is_some_and(|t| t.is_reached_by(job.size()))
}

/// Which tasks of a job have started.
struct StartedTasks {
    /// Indices of the tasks that run and have run for long enough to count as started.
    started: Vec<u32>,
    /// Whether an attempt of the job that isn't being stopped is on a machine that sends
    /// heartbeats.
    has_live_attempt: bool,
}

impl ClusterState {
    /// Finds the jobs that are near their start deadline, and replaces the start claims
    /// and the machines reserved for them. To be called about four times per heartbeat
    /// interval.
    pub fn update_start_claims(&mut self, now: f64) {
        let start_deadline_s = self.config.minimum_share.start_within_s;
        if start_deadline_s <= 0.0 {
            return;
        }
        let all_tasks_ages = start_deadline_s * ALL_TASKS_AFTER..start_deadline_s;
        let service_counts = &self.minimum_share.service_counts;
        let thresholds = service_counts.size_thresholds(LARGE_JOB_FRACTION);
        let mut small_job_cpus_left = self.small_job_cpus(now);
        let mut claims = BTreeMap::new();
        for id in self.jobs_near_start_deadline(&thresholds, now) {
            let tasks = self.started_tasks(&id, now);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let large = is_large(&thresholds, job);
            for index in &tasks.started {
                job.unstarted.remove(*index);
            }
            if job.unstarted.is_empty() || (!tasks.started.is_empty() && !large) {
                continue;
            }
            if !large {
                small_job_cpus_left -= job.spec.cpus;
                if small_job_cpus_left < 0.0 {
                    continue;
                }
            }
            let claim = StartClaim {
                order: u32::try_from(claims.len()).unwrap_or(u32::MAX),
                needs_first_start: !tasks.has_live_attempt && job.completed.is_empty(),
                large,
                prioritizes_all_tasks: large && all_tasks_ages.contains(&(now - job.accepted_at)),
                attempts_when_claimed: job.attempts_by_task.len(),
            };
            claims.insert(id, claim);
        }
        self.start_deadlines.reserved = self.reserve_for_unstarted(&claims, now);
        self.start_deadlines.claims = claims;
    }

    /// Ids of the jobs near their start deadline that have tasks which never ran, in the
    /// order of their acceptance.
    fn jobs_near_start_deadline(&self, thresholds: &LargeJobThresholds, now: f64) -> Vec<String> {
        let start_deadline_s = self.config.minimum_share.start_within_s;
        let is_near = |job: &&Job| {
            let age_s = now - job.accepted_at;
            let may_be_near =
                !job.unstarted.is_empty() && age_s > start_deadline_s * FIRST_TASK_AFTER;
            may_be_near
                && (is_large(thresholds, job)
                    || (age_s > start_deadline_s * SMALL_JOB_AFTER && job.completed.is_empty()))
        };
        let mut near: Vec<&Job> = self.jobs.values().filter(is_near).collect();
        near.sort_by(|a, b| {
            let by_age = a.accepted_at.total_cmp(&b.accepted_at);
            by_age.then(a.spec.id.cmp(&b.spec.id))
        });
        near.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// CPUs that the first tasks of jobs that are not large may use with priority.
    fn small_job_cpus(&self, now: f64) -> f64 {
        if self.minimum_share.claims.is_empty() {
            f64::INFINITY
        } else {
            self.usable_cpus(now) * MAX_SMALL_JOB_SHARE
        }
    }

    /// Whether a job is one of the large jobs of its class.
    pub fn is_large(&self, job: &Job) -> bool {
        let service_counts = &self.minimum_share.service_counts;
        service_counts.is_large(job.group_ids[0], job.size(), LARGE_JOB_FRACTION)
    }

    /// The started tasks of a job, according to the attempts on its workers.
    fn started_tasks(&self, id: &str, now: f64) -> StartedTasks {
        let mut tasks = StartedTasks {
            started: Vec::new(),
            has_live_attempt: false,
        };
        let Some(job) = self.jobs.get(id) else {
            return tasks;
        };
        let worker_names = job.attempts_by_worker.keys();
        for worker in worker_names.filter_map(|name| self.workers.get(name)) {
            let silent_s = now - worker.last_heartbeat_at.max(self.term_started_at);
            let sends_heartbeats = silent_s < self.config.heartbeat_timeout_s();
            let is_of_job = |a: &&Attempt| a.spec.id == id && a.occupies_capacity();
            for attempt in worker.attempts.iter().filter(is_of_job) {
                tasks.has_live_attempt |= sends_heartbeats && attempt.stop.is_none();
                let is_running =
                    matches!(attempt.phase, AttemptPhase::Observed(TaskState::Running));
                if is_running && attempt.run_time_s(now) >= MIN_COUNTED_RUN_S {
                    tasks.started.push(attempt.index);
                }
            }
        }
        tasks
    }

    /// Position of a job among those with a start claim, by acceptance, if its first task
    /// is overdue and has not been placed since the claim was made.
    pub(crate) fn start_claim_order(&self, id: &str) -> Option<u32> {
        let claims = &self.start_deadlines.claims;
        let claim = claims.get(id).filter(|c| c.needs_first_start)?;
        // One task placed since the claim was made is enough.
        let has_new_attempt =
            self.jobs.get(id)?.attempts_by_task.len() > claim.attempts_when_claimed;
        (!has_new_attempt).then_some(claim.order)
    }

    /// Whether an attempt must not be preempted because its job has a start claim and its
    /// task has not run for long enough to count as started.
    pub(crate) fn is_protected_start(&self, attempt: &Attempt) -> bool {
        let id = &attempt.spec.id;
        self.start_deadlines.claims.contains_key(id)
            && self
                .jobs
                .get(id)
                .is_some_and(|j| j.unstarted.contains(attempt.index))
    }

    /// CPUs that further tasks of large jobs near their start deadline may use with
    /// priority: [`MAX_LARGE_JOB_SHARE`] of `total_cpus`, minus the CPUs that the attempts of
    /// all jobs with a start claim already use.
    pub(crate) fn cpus_left_for_unstarted(&self, total_cpus: f64) -> f64 {
        let ids = self.start_deadlines.claims.keys();
        let jobs = ids.filter_map(|id| self.jobs.get(id));
        let used_cpus = jobs.map(|j| j.spec.cpus * j.attempts_by_task.len() as f64);
        total_cpus * MAX_LARGE_JOB_SHARE - used_cpus.sum::<f64>()
    }

    /// Of the open jobs that have not started, the one accepted first.
    #[must_use]
    pub fn oldest_unstarted_job(&self) -> Option<&Job> {
        let unstarted = self.jobs.values().filter(|j| !j.started);
        unstarted.min_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at))
    }

    /// Number of jobs that hold a start claim.
    #[must_use]
    pub fn start_claims(&self) -> usize {
        self.start_deadlines.claims.len()
    }

    /// Seconds since the acceptance of the oldest open job that has not started; 0 if all
    /// have.
    #[must_use]
    pub fn oldest_unstarted_s(&self, now: f64) -> f64 {
        let unstarted = self.jobs.values().filter(|j| !j.started);
        let ages = unstarted.map(|j| now - j.accepted_at);
        ages.fold(0.0, f64::max)
    }
}
