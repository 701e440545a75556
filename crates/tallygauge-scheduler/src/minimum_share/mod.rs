//! Minimum share: under overload, every class of jobs and every team still gets at
//! least a configured share of its jobs done.
//!
//! - [`backlog`] estimates how long all open work takes.
//! - [`selection`] runs periodically. It uses that estimate to find the underserved
//!   classes and teams, and selects jobs of theirs that get priority.
//! - [`reservations`] reserves machines for those of the selected jobs whose tasks are
//!   larger than other pending tasks.
//! - [`group_status`] reports to operators how each class and team is served.

mod backlog;
mod group_status;
mod reservations;
mod selection;
pub(crate) mod state;

pub use group_status::GroupStatus;

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_fairness::{GroupIds, GroupKind, JobEnd, JobSize, ServiceCountsRecord};

/// Service deadline of a job that has no deadline of its own and whose class has no
/// service-level objective, as a multiple of the longest boot time plus the job's
/// expected run time.
const DEFAULT_DEADLINE_FACTOR: f64 = 4.0;

/// Fraction of its run time that a running task still has ahead of it, on average.
const RUNNING_TASK_REMAINING_FRACTION: f64 = 0.5;

impl Job {
    /// Size of the job by each measure: number of tasks, total CPU-seconds, and CPUs
    /// per task.
    pub(crate) fn size(&self) -> JobSize {
        let tasks = f64::from(self.spec.tasks);
        let cpu_s_per_task = self.spec.cpus * self.spec.expected_s;
        [tasks, tasks * cpu_s_per_task, self.spec.cpus]
    }

    /// The groups that the job counts for regardless of its size: its class and its
    /// team.
    pub(crate) fn groups(&self) -> GroupIds {
        let [class, team] = self.group_ids;
        GroupIds {
            class,
            team,
            largest: None,
        }
    }
}

impl ClusterState {
    /// Sets the Unix time at `now` of the monotonic clock, so that the time windows of
    /// service counts match those of other leaders.
    pub fn set_unix_time(&mut self, now: f64, unix_time_s: f64) {
        self.minimum_share.unix_time_offset_s = unix_time_s - now;
    }

    /// Unix time at `now` of the monotonic clock, in seconds.
    pub(crate) fn unix_time_s(&self, now: f64) -> f64 {
        now + self.minimum_share.unix_time_offset_s
    }

    /// Restores the service counts that an earlier leader recorded. Returns `false`
    /// if the format of the record is unknown to this version.
    pub fn restore_service_counts(&mut self, record: ServiceCountsRecord) -> bool {
        self.minimum_share.service_counts.restore(record)
    }

    /// A record of the service counts, of at most `max_bytes`.
    #[must_use]
    pub fn service_counts_record(&self, max_bytes: usize) -> ServiceCountsRecord {
        self.minimum_share.service_counts.to_record(max_bytes)
    }

    /// Group ids in the service counts: of the class, then of the team.
    pub(crate) fn group_ids(&mut self, class: &str, team: &str) -> [usize; 2] {
        let service_counts = &mut self.minimum_share.service_counts;
        [
            service_counts.group_id(GroupKind::Class, class),
            service_counts.group_id(GroupKind::Team, team),
        ]
    }

    /// Counts a job that is being removed, as done or cancelled, and drops its priority
    /// claim and its start claim.
    pub(crate) fn record_job_end(&mut self, job: &Job, now: f64) {
        let end = if job.is_complete() {
            let late = now - job.accepted_at > self.service_deadline_s(job);
            JobEnd::Done { late }
        } else {
            JobEnd::Cancelled {
                started: job.started,
            }
        };
        let unix_time_s = self.unix_time_s(now);
        let class = job.group_ids[0];
        let size = job.size();
        let service_counts = &mut self.minimum_share.service_counts;
        let groups = GroupIds {
            largest: service_counts.largest_group_of_job(class, size),
            ..job.groups()
        };
        service_counts.record_closed(class, size);
        service_counts.record_end(groups, end, unix_time_s);
        self.minimum_share.claims.remove(&job.spec.id);
        self.start_deadlines.claims.remove(&job.spec.id);
    }

    /// Service deadline of a job: the seconds after its acceptance within which it
    /// counts as served in time. The loosest of its own deadline and the objective of
    /// its class applies.
    pub(crate) fn service_deadline_s(&self, job: &Job) -> f64 {
        let objective = self.config.objectives.get(&job.spec.class);
        let deadline_factor = objective.and_then(|o| o.deadline_factor).unwrap_or(1.0);
        let job_deadline_s = job.spec.deadline_s.map(|d| d * deadline_factor);
        let class_objective_s = objective.and_then(|o| o.within_s);
        job_deadline_s
            .into_iter()
            .chain(class_objective_s)
            .reduce(f64::max)
            .unwrap_or_else(|| {
                let run_s = job.spec.expected_s.max(self.config.min_remaining_s);
                (self.max_boot_s() + run_s) * DEFAULT_DEADLINE_FACTOR
            })
    }

    /// Estimated CPU-seconds of work that is left until the last task of a job is done.
    pub(crate) fn remaining_cpu_s(&self, job: &Job) -> f64 {
        let run_s = self.remaining_s(job, 0.0);
        let resumable_s: f64 = job
            .resumable
            .values()
            .map(|r| self.remaining_s(job, r.checkpointed_s))
            .sum();
        let attempt_count = u32::try_from(job.attempts_by_task.len()).unwrap_or(u32::MAX);
        let attempts_s = f64::from(attempt_count) * run_s * RUNNING_TASK_REMAINING_FRACTION;
        (f64::from(job.pending.len()) * run_s + resumable_s + attempts_s) * job.spec.cpus
    }

    /// CPUs of the smallest pending task; `f64::MAX` if no task is pending.
    pub(crate) fn smallest_pending_cpus(&self) -> f64 {
        let pending = self.jobs.values().filter(|j| j.has_pending_tasks());
        pending.map(|j| j.spec.cpus).fold(f64::MAX, f64::min)
    }
}
