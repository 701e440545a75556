//! Reserves machines for large tasks of jobs with priority.

use super::state::{PriorityClaim, Reservation};
use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A usable machine and its load by work that has no priority.
struct MachineLoad<'a> {
    worker: &'a Worker,
    /// CPU-seconds that attempts of jobs without a priority claim still take on it.
    unprioritized_cpu_s: f64,
}

impl ClusterState {
    /// Reserves machines for the selected jobs whose tasks are larger than the smallest
    /// pending task. On a shared machine, smaller tasks would take freed resources
    /// before these add up to a large task.
    ///
    /// Each class with claims may reserve up to an equal part of `machine_share`, a
    /// fraction of the usable CPUs, as far as its tasks can use it. A machine stays
    /// reserved for as long as it is needed, so that other tasks don't take the resources
    /// which have become free on it.
    pub(super) fn reserve_machines(
        &self,
        selected: &[&Job],
        claims: &HashMap<String, PriorityClaim>,
        machine_share: f64,
        now: f64,
    ) -> BTreeMap<String, Reservation> {
        let mut reserved = BTreeMap::new();
        let large_jobs = self.large_jobs_by_group(selected, claims);
        if large_jobs.is_empty() {
            return reserved;
        }
        let groups: BTreeSet<usize> = claims.values().map(|c| c.group).collect();
        let total_cpus = self.usable_cpus(now) * machine_share;
        let cpus_per_group = total_cpus / groups.len() as f64;
        let machines = self.machines_by_load(claims, now);
        for (group, jobs) in large_jobs {
            let order = self.reservation_order(&machines, group);
            self.reserve_for_group(group, &jobs, &order, cpus_per_group, &mut reserved, now);
        }
        reserved
    }

    /// The selected jobs whose pending tasks are larger than the smallest pending task
    /// of any job, by group.
    fn large_jobs_by_group<'a>(
        &self,
        selected: &[&'a Job],
        claims: &HashMap<String, PriorityClaim>,
    ) -> BTreeMap<usize, Vec<&'a Job>> {
        let smallest_cpus = self.smallest_pending_cpus();
        let mut large_jobs: BTreeMap<usize, Vec<&Job>> = BTreeMap::new();
        for job in selected.iter().filter(|j| j.has_pending_tasks()) {
            if job.spec.cpus > smallest_cpus + EPSILON {
                let group = claims[&job.spec.id].group;
                large_jobs.entry(group).or_default().push(job);
            }
        }
        large_jobs
    }

    /// Usable machines, by ascending load of work without priority.
    fn machines_by_load(
        &self,
        claims: &HashMap<String, PriorityClaim>,
        now: f64,
    ) -> Vec<MachineLoad<'_>> {
        let unprioritized_cpu_s = |worker: &Worker| {
            let attempts = worker.attempts.iter().filter(|a| a.occupies_capacity());
            attempts
                .filter(|a| !claims.contains_key(&a.spec.id))
                .map(|a| a.spec.cpus * self.attempt_remaining_s(a, now))
                .sum::<f64>()
        };
        let mut machines: Vec<MachineLoad> = self
            .usable_workers(now)
            .map(|worker| MachineLoad {
                worker,
                unprioritized_cpu_s: unprioritized_cpu_s(worker),
            })
            .collect();
        machines.sort_by(|a, b| {
            let by_load = a.unprioritized_cpu_s.total_cmp(&b.unprioritized_cpu_s);
            by_load.then(a.worker.name.cmp(&b.worker.name))
        });
        machines
    }

    /// Machines in the order in which they are reserved for a group: those already
    /// reserved for it first, then the others; each in the order of `machines`.
    fn reservation_order<'a>(&self, machines: &[MachineLoad<'a>], group: usize) -> Vec<&'a Worker> {
        let is_reserved = |worker: &Worker| {
            let reservation = self.minimum_share.reserved.get(&worker.name);
            reservation.is_some_and(|r| r.group == group)
        };
        let kept = machines.iter().filter(|m| is_reserved(m.worker));
        let new = machines.iter().filter(|m| !is_reserved(m.worker));
        kept.chain(new).map(|m| m.worker).collect()
    }

    /// Reserves machines for the jobs of a group, in the order of `machines`, until
    /// less is left of a budget of `cpus` than the smallest of their tasks needs.
    fn reserve_for_group(
        &self,
        group: usize,
        jobs: &[&Job],
        machines: &[&Worker],
        cpus: f64,
        reserved: &mut BTreeMap<String, Reservation>,
        now: f64,
    ) {
        let min_task_cpus = jobs.iter().map(|j| j.spec.cpus).fold(f64::MAX, f64::min);
        let mut cpus_left = cpus;
        for job in jobs {
            let mut tasks_left = pending_or_placed_tasks(job);
            for worker in machines {
                if tasks_left == 0 || cpus_left < min_task_cpus {
                    break;
                }
                if reserved.contains_key(&worker.name) || !job.may_use_worker(worker, now) {
                    continue;
                }
                let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
                    continue;
                };
                let whole = Room::of_type(machine_type, &self.config);
                let fitting = whole.count_takeable_tasks(&job.spec);
                if fitting == 0 {
                    continue;
                }
                tasks_left = tasks_left.saturating_sub(fitting);
                cpus_left -= machine_type.cpus;
                reserved.insert(
                    worker.name.clone(),
                    Reservation {
                        group,
                        min_task_cpus,
                    },
                );
            }
        }
    }
}

/// Number of tasks of the job that are pending or on machines.
fn pending_or_placed_tasks(job: &Job) -> u32 {
    let tasks = job.pending.len() as usize + job.resumable.len() + job.attempts_by_task.len();
    u32::try_from(tasks).unwrap_or(u32::MAX)
}
