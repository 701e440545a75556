//! Utility and remaining run time of tasks, from which scheduling decisions are
//! computed.
//!
//! Utility per time (UPT) is a task's utility divided by the seconds until its expected
//! end. The utility is evaluated halfway to that end, as an average over the run.

use super::TaskGroup;
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    model::*,
};
use std::collections::HashSet;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Expected remaining run time of an attempt that has exceeded its expected run time, as
/// a fraction of its run time so far.
const OVERRUN_FRACTION: f64 = 0.5;

/// Upper bound of the packing cost for machine size and free CPUs, as a fraction of
/// `Config::min_remaining_s`.
const PACKING_WEIGHT: f64 = 0.5;

impl ClusterState {
    /// Time at which a job should be complete: the earlier of its own deadline and its
    /// class's; `None` if there is neither.
    pub(crate) fn deadline_at(&self, job: &Job) -> Option<f64> {
        let class_deadline_s = self.config.class_deadline_s.get(&job.spec.class).copied();
        let deadlines = job.spec.deadline_s.into_iter().chain(class_deadline_s);
        deadlines
            .reduce(f64::min)
            .map(|deadline_s| job.accepted_at + deadline_s)
    }

    /// Utility of a task of the job that ends at `end`: the utility of the job's priority
    /// until its deadline, and the fraction `Config::late_utility_factor` of it afterwards.
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

    /// Expected run time of a task from its beginning, in seconds: the owner's estimate
    /// times the measured ratio of actual to estimated run times of the job's class.
    pub(crate) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        spec.expected_s * self.runtime_ratio(&spec.class)
    }

    /// Remaining run time, in seconds, of a task that resumes after `checkpointed_s`
    /// seconds of saved run time.
    pub(crate) fn remaining_s(&self, job: &Job, checkpointed_s: f64) -> f64 {
        (self.expected_run_s(&job.spec) - checkpointed_s).max(self.config.min_remaining_s)
    }

    /// Remaining run time of a running attempt, in seconds. An attempt that has exceeded
    /// its expected run time is expected to run for another half of its run time so far;
    /// otherwise it would appear almost done for as long as it runs.
    pub(crate) fn attempt_remaining_s(&self, attempt: &Attempt, now: f64) -> f64 {
        let expected_s = self.expected_run_s(&attempt.spec);
        let ran_s = attempt.checkpointed_s + attempt.run_time_s(now);
        let remaining_s = expected_s - ran_s;
        if remaining_s < ran_s * OVERRUN_FRACTION && remaining_s <= 0.0 {
            (ran_s * OVERRUN_FRACTION).max(self.config.min_remaining_s)
        } else {
            remaining_s.max(self.config.min_remaining_s)
        }
    }

    /// Utility per time of a running attempt; 0 if its job is no longer open.
    pub(crate) fn running_upt(&self, attempt: &Attempt, now: f64) -> f64 {
        let remaining_s = self.attempt_remaining_s(attempt, now);
        match self.jobs.get(&attempt.spec.id) {
            Some(job) => self.utility(job, now + remaining_s * 0.5) / remaining_s,
            None => 0.0,
        }
    }

    #[cfg(test)]
    /// Seconds until a task of the group would end on a worker with these images, if it
    /// were started now.
    pub(crate) fn time_to_completion_on_s(
        &self,
        group: &TaskGroup,
        worker: &Worker,
        images: &ImageCache,
        now: f64,
    ) -> f64 {
        let fetch_gb_per_s = self
            .machine_types
            .get(&worker.machine_type)
            .map_or(f64::MAX, |t| t.fetch_gb_per_s);
        let spec = &group.job.spec;
        let fetch_s = images.fetch_s(&spec.image, spec.image_gb, fetch_gb_per_s, now);
        fetch_s + self.remaining_s(group.job, group.checkpointed_s_on(&worker.machine_type))
    }

    /// Ids of the jobs whose unfinished tasks fit into their team's guarantee together
    /// with those of all the team's jobs that were accepted earlier.
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

    /// Number of CPUs from which machines count as contended.
    ///
    /// For each pending group, take the CPUs of the smallest machine type that its tasks
    /// fit. The result is the smallest of these that is larger than the smallest machine
    /// type on offer; `f64::MAX` if all groups fit that one.
    pub(crate) fn min_contended_cpus(&self, groups: &[TaskGroup]) -> f64 {
        let min_machine_cpus = self
            .machine_types
            .values()
            .map(|t| t.cpus)
            .fold(f64::MAX, f64::min);
        let smallest_fitting = groups.iter().map(|g| self.smallest_fitting_cpus(g.job));
        smallest_fitting
            .filter(|cpus| *cpus > min_machine_cpus)
            .fold(f64::MAX, f64::min)
    }

    /// Bin-packing cost of a placement, in seconds. It decides between workers on which
    /// the task would end at about the same time:
    /// - Small machines and machines with few free CPUs are cheaper, so that large ones
    ///   stay free for large tasks and others become empty.
    /// - Machines with `min_contended_cpus` or more are penalized by the minimum remaining
    ///   time.
    /// - Surplus machines cost the most: they are penalized by the boot time of their type,
    ///   since their use may make another boot necessary.
    pub(crate) fn packing_cost_s(
        &self,
        worker: &Worker,
        machine_type: &MachineType,
        free_cpus: f64,
        max_machine_cpus: f64,
        min_contended_cpus: f64,
    ) -> f64 {
        let mut penalty_s = if worker.surplus {
            machine_type.boot_s
        } else {
            0.0
        };
        if machine_type.cpus >= min_contended_cpus {
            penalty_s += self.config.min_remaining_s;
        }
        penalty_s
            + self.config.min_remaining_s * PACKING_WEIGHT * (machine_type.cpus + free_cpus)
                / (2.0 * max_machine_cpus)
    }
}
