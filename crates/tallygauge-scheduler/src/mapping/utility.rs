//! Utility and remaining run time of tasks, the terms that scheduling decisions
//! are computed from.
//!
//! Utility per time (UPT) is a task's utility divided by the seconds until its
//! expected end. The utility is taken at half of that time, as an average over
//! the run.

use super::TaskGroup;
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    model::*,
};
use std::collections::HashSet;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Part of its run time so far that an attempt which exceeded its expected run
/// time is expected to run on.
const OVERRUN_FRACTION: f64 = 0.5;

/// Packing may outweigh at most this many times the minimum remaining time.
const PACKING_WEIGHT: f64 = 0.5;

impl ClusterState {
    /// When a job should be complete: the earlier of its own deadline and its
    /// class's.
    pub(crate) fn deadline_at(&self, job: &Job) -> Option<f64> {
        let class_deadline_s = self.config.class_deadline_s.get(&job.spec.class).copied();
        let deadlines = job.spec.deadline_s.into_iter().chain(class_deadline_s);
        deadlines
            .reduce(f64::min)
            .map(|deadline_s| job.accepted_at + deadline_s)
    }

    /// Utility of a job's tasks that end at `end`: that of its priority until the
    /// deadline, a small part of it afterwards.
    pub(crate) fn utility(&self, job: &Job, end: f64) -> f64 {
        let full = self.config.utility_by_priority[priority_index(job.spec.priority)];
        let Some(deadline) = self.deadline_at(job) else {
            return full;
        };
        if end > deadline {
            full * self.config.late_utility_factor
        } else {
            full
        }
    }

    /// Expected run time of a whole task: its owner's estimate, corrected by what
    /// tasks of its class were measured to take.
    pub(crate) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        spec.expected_s * self.runtime_ratio(&spec.class)
    }

    /// Remaining run time of a task that resumes from a checkpoint at
    /// `checkpointed_s`.
    pub(crate) fn remaining_s(&self, job: &Job, checkpointed_s: f64) -> f64 {
        (self.expected_run_s(&job.spec) - checkpointed_s).max(self.config.min_remaining_s)
    }

    /// Remaining run time of a running attempt. One that exceeds its expected run
    /// time is expected to run on for half of the time it has run, so that it
    /// does not look almost done for ever.
    pub(crate) fn remaining_running_s(&self, attempt: &Attempt, now: f64) -> f64 {
        let expected_s = self.expected_run_s(&attempt.spec);
        let ran_s = attempt.checkpointed_s + attempt.run_time_s(now);
        let remaining_s = expected_s - ran_s;
        if remaining_s < ran_s * OVERRUN_FRACTION && remaining_s <= 0.0 {
            (ran_s * OVERRUN_FRACTION).max(self.config.min_remaining_s)
        } else {
            remaining_s.max(self.config.min_remaining_s)
        }
    }

    /// Utility per time of a running attempt; 0 if its job is not open.
    pub(crate) fn upt_running(&self, attempt: &Attempt, now: f64) -> f64 {
        let remaining_s = self.remaining_running_s(attempt, now);
        match self.jobs.get(&attempt.spec.id) {
            Some(job) => self.utility(job, now + remaining_s * 0.5) / remaining_s,
            None => 0.0,
        }
    }

    #[cfg(test)]
    /// Time until a task of the group would end on a worker with these images,
    /// were it started now.
    pub(crate) fn completion_time_on(
        &self,
        group: &TaskGroup,
        worker: &Worker,
        images: &ImageCache,
        now: f64,
    ) -> f64 {
        let rate = self
            .machine_types
            .get(&worker.machine_type)
            .map_or(f64::MAX, |t| t.fetch_gb_per_s);
        let spec = &group.job.spec;
        let fetch_s = images.fetch_s(&spec.image, spec.image_gb, rate, now);
        fetch_s + self.remaining_s(group.job, group.checkpoint_on(&worker.machine_type))
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished jobs.
    pub(crate) fn jobs_within_guarantee(&self) -> HashSet<&str> {
        let mut jobs: Vec<&Job> = self.jobs.values().collect();
        jobs.sort_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at));
        let mut demand_by_team = vec![QuotaUsage::default(); self.config.teams.len()];
        let mut within_guarantee = HashSet::new();
        for job in jobs {
            let team = &self.config.teams[job.team];
            let demand = &mut demand_by_team[job.team];
            demand.add_scaled(&job.spec, f64::from(job.unfinished()));
            if demand.cpus <= team.guaranteed_cpus + EPSILON
                && demand.gpus <= team.guaranteed_gpus + EPSILON
            {
                within_guarantee.insert(job.spec.id.as_str());
            }
        }
        within_guarantee
    }

    /// CPUs from which on machines are contended: the smallest machine size, above
    /// the smallest of all, that some pending task needs at least.
    pub(crate) fn contended_cpus(&self, groups: &[TaskGroup]) -> f64 {
        let min_machine_cpus = self
            .machine_types
            .values()
            .map(|t| t.cpus)
            .fold(f64::MAX, f64::min);
        let needs = groups.iter().map(|g| self.smallest_fitting_cpus(g.job));
        needs
            .filter(|cpus| *cpus > min_machine_cpus)
            .fold(f64::MAX, f64::min)
    }

    /// Bin-packing cost of a placement, in seconds; it decides between workers
    /// that are otherwise about as good. Small and full machines are cheaper, so
    /// that large ones stay free for large tasks and machines fall empty.
    /// Machines of `contended_cpus` or more cost more, and surplus ones most:
    /// their use may cost another boot.
    pub(crate) fn packing_cost_s(
        &self,
        worker: &Worker,
        machine_type: &MachineType,
        free_cpus: f64,
        largest_cpus: f64,
        contended_cpus: f64,
    ) -> f64 {
        let mut penalty_s = if worker.surplus {
            machine_type.boot_s
        } else {
            0.0
        };
        if machine_type.cpus >= contended_cpus {
            penalty_s += self.config.min_remaining_s;
        }
        penalty_s
            + self.config.min_remaining_s * PACKING_WEIGHT * (machine_type.cpus + free_cpus)
                / (2.0 * largest_cpus)
    }
}
