//! Reserves machines for the first tasks of large jobs.

use super::state::StartClaim;
use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeMap;

/// Maximum fraction of the usable machines that may be reserved.
const MAX_RESERVED_SHARE: f64 = 0.25;

/// Maximum number of jobs for which machines are reserved at a time, since each job
/// needs a scan of all machines.
const MAX_RESERVING_JOBS: usize = 32;

/// The expected end of an attempt.
struct ExpectedEnd<'a> {
    /// Seconds until then.
    after_s: f64,
    attempt: &'a Attempt,
}

/// A usable machine and its attempts, by expected end.
struct MachineWithEnds<'a> {
    worker: &'a Worker,
    ends: Vec<ExpectedEnd<'a>>,
}

/// A machine that could be reserved for the first task of a job.
struct ReservationCandidate<'a> {
    /// Seconds until the task fits.
    after_s: f64,
    /// Whether this would be a new reservation: the machine is not yet reserved for a first
    /// task.
    newly_reserved: bool,
    name: &'a str,
}

impl ClusterState {
    /// Reserves machines for the overdue first tasks of large jobs that are larger than
    /// the smallest pending task: for each, the machine on which it will fit first.
    /// Returns the reservations: for each name of a machine, the CPUs of the smallest task
    /// that may start on it.
    pub(super) fn reserve_for_unstarted(
        &self,
        claims: &BTreeMap<String, StartClaim>,
        now: f64,
    ) -> BTreeMap<String, f64> {
        let mut reserved = BTreeMap::new();
        let jobs = self.jobs_to_reserve_for(claims);
        if jobs.is_empty() {
            return reserved;
        }
        let machines = self.machines_with_ends(now);
        let max_reserved = (machines.len() as f64 * MAX_RESERVED_SHARE).ceil() as usize;
        // Resources promised to jobs earlier in the order, by machine.
        let mut promised: BTreeMap<&str, Resources> = BTreeMap::new();
        for job in jobs {
            if reserved.len() >= max_reserved {
                break;
            }
            let Some(name) = self.best_machine_to_reserve(&machines, &promised, job, now) else {
                continue;
            };
            promised.entry(name).or_default().add_scaled(&job.spec, 1.0);
            let min_task_cpus = reserved.entry(name.to_string()).or_insert(f64::MAX);
            *min_task_cpus = min_task_cpus.min(job.spec.cpus);
        }
        reserved
    }

    /// Large jobs whose first task is overdue and larger than the smallest pending task,
    /// in the order of their acceptance; at most [`MAX_RESERVING_JOBS`].
    fn jobs_to_reserve_for(&self, claims: &BTreeMap<String, StartClaim>) -> Vec<&Job> {
        let mut jobs: Vec<(u32, &Job)> = claims
            .iter()
            .filter(|(_, claim)| claim.needs_first_start && claim.large)
            .filter_map(|(id, claim)| Some((claim.order, self.jobs.get(id)?)))
            .collect();
        if jobs.is_empty() {
            return Vec::new();
        }
        jobs.sort_by_key(|(order, _)| *order);
        let smallest_cpus = self.smallest_pending_cpus();
        jobs.into_iter()
            .map(|(_, job)| job)
            .filter(|job| job.spec.cpus > smallest_cpus + EPSILON)
            .take(MAX_RESERVING_JOBS)
            .collect()
    }

    /// The usable machines with the expected ends of their attempts.
    fn machines_with_ends(&self, now: f64) -> Vec<MachineWithEnds<'_>> {
        self.usable_workers(now)
            .map(|worker| MachineWithEnds {
                worker,
                ends: self.attempts_by_end(worker, now),
            })
            .collect()
    }

    /// Expected ends of the attempts that occupy capacity of a worker, earliest first.
    fn attempts_by_end<'a>(&self, worker: &'a Worker, now: f64) -> Vec<ExpectedEnd<'a>> {
        let attempts = worker.attempts.iter().filter(|a| a.occupies_capacity());
        let mut ends: Vec<ExpectedEnd> = attempts
            .map(|attempt| ExpectedEnd {
                after_s: self.attempt_remaining_s(attempt, now),
                attempt,
            })
            .collect();
        ends.sort_by(|a, b| {
            let by_end = a.after_s.total_cmp(&b.after_s);
            by_end.then(a.attempt.number.cmp(&b.attempt.number))
        });
        ends
    }

    /// Name of the machine on which a task of the job will fit first. Of machines with
    /// equal times, one that is already reserved comes first, then by name.
    fn best_machine_to_reserve<'a>(
        &self,
        machines: &[MachineWithEnds<'a>],
        promised: &BTreeMap<&str, Resources>,
        job: &Job,
        now: f64,
    ) -> Option<&'a str> {
        let candidates = machines
            .iter()
            .filter(|machine| {
                let worker = machine.worker;
                job.may_use_worker(worker, now)
            })
            .filter_map(|machine| {
                let name = machine.worker.name.as_str();
                let promised = promised.get(name).copied().unwrap_or_default();
                Some(ReservationCandidate {
                    after_s: self.time_until_fit(machine, promised, job)?,
                    newly_reserved: !self.is_reserved_for_start(machine.worker),
                    name,
                })
            });
        let best = candidates.min_by(|a, b| {
            a.after_s
                .total_cmp(&b.after_s)
                .then((a.newly_reserved, a.name).cmp(&(b.newly_reserved, b.name)))
        });
        best.map(|b| b.name)
    }

    /// Whether the worker's machine is reserved for a first task already.
    fn is_reserved_for_start(&self, worker: &Worker) -> bool {
        self.start_deadlines.reserved.contains_key(&worker.name)
    }

    /// Seconds until a task of the job fits a machine, without the resources `promised`
    /// to other jobs on it; `None` if it never does. For a machine that is already reserved,
    /// a heartbeat interval is subtracted, so that the reservation doesn't move to another
    /// machine and other tasks don't take the resources that have become free on this one.
    fn time_until_fit(
        &self,
        machine: &MachineWithEnds,
        promised: Resources,
        job: &Job,
    ) -> Option<f64> {
        let worker = machine.worker;
        let advantage_s = if self.is_reserved_for_start(worker) {
            self.config.heartbeat_interval_s
        } else {
            0.0
        };
        let mut free = subtract(worker.free_resources, promised);
        if free.can_fit(&job.spec) {
            return Some(-advantage_s);
        }
        let whole = Resources::of_type(self.machine_types.get(&worker.machine_type)?);
        if !subtract(whole, promised).can_fit(&job.spec) {
            return None;
        }
        for end in &machine.ends {
            free.add_scaled(&end.attempt.spec, 1.0);
            if free.can_fit(&job.spec) {
                return Some(end.after_s - advantage_s);
            }
        }
        None
    }
}

fn subtract(resources: Resources, other: Resources) -> Resources {
    Resources {
        cpus: resources.cpus - other.cpus,
        gpus: resources.gpus - other.gpus,
        memory_gb: resources.memory_gb - other.memory_gb,
    }
}
