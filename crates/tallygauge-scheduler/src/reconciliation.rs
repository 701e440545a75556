//! Reconciliation of derived state.
//!
//! Counts and sets that every event updates are compared with the state from which they
//! are derived. Each call checks a bounded number of jobs and machines and continues
//! where the last one stopped, so that all are checked in turn. Differences are reported
//! and repaired; any difference is caused by a fault elsewhere.

pub(crate) mod state;

use crate::{cluster_state::ClusterState, model::*, range_set::RangeSet};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Largest difference of two amounts of a resource that is taken for a rounding error, in
/// CPUs, GPUs or GB.
const MAX_ROUNDING_ERROR: f64 = 1e-3;

/// Returns up to `limit` names that follow `last`, and sets `last` to the last of them.
/// Clears it if there are fewer than `limit`, so that the next call starts again from
/// the beginning.
fn next_names<T>(all: &BTreeMap<String, T>, last: &mut String, limit: usize) -> Vec<String> {
    let after = (Bound::Excluded(last.clone()), Bound::Unbounded);
    let names: Vec<String> = all.range(after).take(limit).map(|n| n.0.clone()).collect();
    *last = match names.last() {
        Some(name) if names.len() == limit => name.clone(),
        _ => String::new(),
    };
    names
}

impl ClusterState {
    /// Checks the next `limit` jobs and `limit` machines, and repairs the differences.
    /// Returns their descriptions.
    pub fn reconcile(&mut self, limit: usize) -> Vec<String> {
        let mut differences = Vec::new();
        for name in next_names(&self.workers, &mut self.reconciliation.last_machine, limit) {
            self.reconcile_machine(&name, &mut differences);
        }
        for id in next_names(&self.jobs, &mut self.reconciliation.last_job, limit) {
            self.reconcile_job(&id, &mut differences);
        }
        if !differences.is_empty() {
            self.needs_scheduling = true;
        }
        differences
    }

    /// Checks a machine's free resources, and the counts that jobs have of their attempts
    /// on it, against the attempts on the machine.
    fn reconcile_machine(&mut self, machine: &str, differences: &mut Vec<String>) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if let Some(machine_type) = self.machine_types.get(&worker.machine_type) {
            let mut free = Resources::of_type(machine_type);
            for attempt in worker.attempts.iter().filter(|a| a.occupies_capacity()) {
                free.add_scaled(&attempt.spec, -1.0);
            }
            let recorded = worker.free_resources;
            if differs(free.cpus, recorded.cpus)
                || differs(free.gpus, recorded.gpus)
                || differs(free.memory_gb, recorded.memory_gb)
            {
                differences.push(format!(
                    "{machine}: free resources differ from those left by its attempts: \
                     {} CPUs are free, {} were recorded",
                    free.cpus, recorded.cpus
                ));
                worker.free_resources = free;
            }
        }
        let mut attempts_by_job: BTreeMap<&str, u32> = BTreeMap::new();
        for attempt in &worker.attempts {
            *attempts_by_job.entry(attempt.spec.id.as_str()).or_default() += 1;
        }
        for (job_id, count) in attempts_by_job {
            if let Some(job) = self.jobs.get_mut(job_id)
                && job.attempts_by_worker.get(machine) != Some(&count)
            {
                differences.push(format!(
                    "{job_id}: recorded count of attempts on {machine} was not {count}"
                ));
                job.attempts_by_worker.insert(machine.to_string(), count);
            }
        }
    }

    /// Checks that each task of a job is completed, on a machine, or pending, and that
    /// progress that is not durable yet is scheduled to be saved.
    fn reconcile_job(&mut self, job_id: &str, differences: &mut Vec<String>) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        reconcile_attempt_counts(job, &self.workers, differences);
        reconcile_pending_tasks(job, differences);
        let has_unsaved_progress = job.is_complete() || !job.unsaved_chunks.is_empty();
        if has_unsaved_progress && !self.jobs_with_unsaved_progress.contains(job_id) {
            differences.push(format!(
                "{job_id}: completed tasks were not scheduled to be saved"
            ));
            self.jobs_with_unsaved_progress.insert(job_id.to_string());
        }
    }

    /// Ids of the active jobs.
    #[must_use]
    pub fn active_job_ids(&self) -> BTreeSet<String> {
        self.jobs.keys().cloned().collect()
    }
}

/// Whether two amounts differ by more than the rounding error of sums of decimal amounts.
fn differs(a: f64, b: f64) -> bool {
    (a - b).abs() > MAX_ROUNDING_ERROR
}

/// Checks a job's counts of attempts against the attempts on the workers where it is
/// recorded to have some.
fn reconcile_attempt_counts(
    job: &mut Job,
    workers: &BTreeMap<String, Worker>,
    differences: &mut Vec<String>,
) {
    let job_id = job.spec.id.as_str();
    let mut attempts_by_task: BTreeMap<u32, u32> = BTreeMap::new();
    let mut attempts_by_zone: BTreeMap<String, u32> = BTreeMap::new();
    let mut missing_machines = Vec::new();
    for machine in job.attempts_by_worker.keys() {
        let Some(worker) = workers.get(machine) else {
            missing_machines.push(machine.clone());
            continue;
        };
        for attempt in &worker.attempts {
            if attempt.occupies_capacity() && attempt.spec.id == job_id {
                *attempts_by_task.entry(attempt.index).or_default() += 1;
                *attempts_by_zone.entry(worker.zone.clone()).or_default() += 1;
            }
        }
    }
    for machine in missing_machines {
        differences.push(format!(
            "{job_id}: attempts were recorded on {machine}, which is not registered"
        ));
        job.attempts_by_worker.remove(&machine);
    }
    if attempts_by_task != job.attempts_by_task {
        differences.push(format!(
            "{job_id}: {} tasks were recorded on machines, {} have attempts on machines",
            job.attempts_by_task.len(),
            attempts_by_task.len()
        ));
        job.attempts_by_task = attempts_by_task;
    }
    job.attempts_by_zone = attempts_by_zone;
}

/// Checks that exactly those tasks of a job are pending or resumable that are neither
/// completed nor on a machine.
fn reconcile_pending_tasks(job: &mut Job, differences: &mut Vec<String>) {
    let pending_or_resumable = job.pending.len() as usize + job.resumable.len();
    let placed = job
        .attempts_by_task
        .keys()
        .filter(|task| !job.completed.contains(**task))
        .count();
    let overlaps = job.attempts_by_task.keys().any(|task| {
        job.completed.contains(*task)
            || job.pending.contains(*task)
            || job.resumable.contains_key(task)
    });
    if pending_or_resumable + placed == job.unfinished() as usize && !overlaps {
        return;
    }
    let mut pending = RangeSet::first(job.spec.tasks);
    let placed_tasks = job.attempts_by_task.keys().copied();
    for task in job.completed.iter().chain(placed_tasks) {
        pending.remove(task);
    }
    job.resumable.retain(|task, _| pending.contains(*task));
    for task in job.resumable.keys() {
        pending.remove(*task);
    }
    // A completed task may still have another attempt that is being stopped: that is no
    // inconsistency.
    if pending != job.pending {
        differences.push(format!(
            "{}: {} tasks are pending, {} were recorded",
            job.spec.id,
            pending.len(),
            job.pending.len()
        ));
        job.pending = pending;
    }
}
