//! A slow look for what fell out of a list: bounded work at a time, so that in
//! the end every open job, task and machine is looked at. What differs is said
//! and mended; nothing here is needed as long as all else is right.

pub(crate) mod state;

use crate::{cluster_state::ClusterState, model::*, range_set::RangeSet};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// The next `most` names after the last one, which they move on; from the
/// beginning again when there are no more.
fn next_names<T>(all: &BTreeMap<String, T>, last: &mut String, most: usize) -> Vec<String> {
    let after = (Bound::Excluded(last.clone()), Bound::Unbounded);
    let names: Vec<String> = all.range(after).take(most).map(|n| n.0.clone()).collect();
    *last = match names.last() {
        Some(name) if names.len() == most => name.clone(),
        _ => String::new(),
    };
    names
}

impl ClusterState {
    /// Looks at the next `most` jobs and machines. Returns what differed, in
    /// words; it is mended.
    pub fn reconcile(&mut self, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        for name in next_names(&self.workers, &mut self.reconciliation.last_machine, most) {
            self.reconcile_machine(&name, &mut found);
        }
        for id in next_names(&self.jobs, &mut self.reconciliation.last_job, most) {
            self.reconcile_job(&id, &mut found);
        }
        if !found.is_empty() {
            self.needs_scheduling = true;
        }
        found
    }

    /// A machine's room against what is on it, and its jobs' notes of it.
    fn reconcile_machine(&mut self, name: &str, found: &mut Vec<String>) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(t) = self.machine_types.get(&worker.machine_type) {
            let mut free = Resources::of_type(t);
            for held in worker.attempts.iter().filter(|h| h.occupies_capacity()) {
                free.add_scaled(&held.spec, -1.0);
            }
            let off = |a: f64, b: f64| (a - b).abs() > 1e-3;
            if off(free.cpus, worker.free_resources.cpus)
                || off(free.gpus, worker.free_resources.gpus)
                || off(free.memory_gb, worker.free_resources.memory_gb)
            {
                found.push(format!(
                    "{name} had {} CPUs free, not {}",
                    free.cpus, worker.free_resources.cpus
                ));
                worker.free_resources = free;
            }
        }
        let mut on: BTreeMap<&str, u32> = BTreeMap::new();
        for held in &worker.attempts {
            *on.entry(held.spec.id.as_str()).or_default() += 1;
        }
        for (id, count) in on {
            if let Some(job) = self.jobs.get_mut(id)
                && job.attempts_by_worker.get(name) != Some(&count)
            {
                found.push(format!("{id} did not know of {count} attempts on {name}"));
                job.attempts_by_worker.insert(name.to_string(), count);
            }
        }
    }

    /// A job's tasks: each is done, on a machine, or waits, and an end of all
    /// is on its way to be made durable.
    fn reconcile_job(&mut self, id: &str, found: &mut Vec<String>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut holds: BTreeMap<u32, u32> = BTreeMap::new();
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut gone = Vec::new();
        for name in job.attempts_by_worker.keys() {
            let Some(worker) = self.workers.get(name) else {
                gone.push(name.clone());
                continue;
            };
            for held in worker
                .attempts
                .iter()
                .filter(|h| h.occupies_capacity() && h.spec.id == id)
            {
                *holds.entry(held.index).or_default() += 1;
                *zones.entry(worker.zone.clone()).or_default() += 1;
            }
        }
        for name in gone {
            found.push(format!("{id} was thought to be on {name}, which is gone"));
            job.attempts_by_worker.remove(&name);
        }
        if holds != job.attempts_by_task {
            found.push(format!(
                "{id} was thought to have {} tasks on machines, not {}",
                job.attempts_by_task.len(),
                holds.len()
            ));
            job.attempts_by_task = holds;
        }
        job.attempts_by_zone = zones;
        let waits = job.pending.len() as usize + job.resumable.len();
        let unfinished = job.unfinished() as usize;
        let overlap = job.attempts_by_task.keys().any(|n| {
            job.completed.contains(*n) || job.pending.contains(*n) || job.resumable.contains_key(n)
        });
        let held = job
            .attempts_by_task
            .keys()
            .filter(|n| !job.completed.contains(**n))
            .count();
        if waits + held != unfinished || overlap {
            let mut waiting = RangeSet::first(job.spec.tasks);
            for n in job
                .completed
                .iter()
                .chain(job.attempts_by_task.keys().copied())
            {
                waiting.remove(n);
            }
            job.resumable.retain(|n, _| waiting.contains(*n));
            for n in job.resumable.keys() {
                waiting.remove(*n);
            }
            // Two attempts of a done task, while the second is being stopped,
            // are no loss.
            if waiting != job.pending {
                found.push(format!(
                    "{id} had {} tasks that wait, not {}",
                    waiting.len(),
                    job.pending.len()
                ));
                job.pending = waiting;
            }
        }
        if (job.is_complete() || !job.unsaved_chunks.is_empty())
            && !self.jobs_with_unsaved_progress.contains(id)
        {
            found.push(format!(
                "the end of tasks of {id} was not on its way to be kept"
            ));
            self.jobs_with_unsaved_progress.insert(id.to_string());
        }
    }

    /// Ids of the open jobs in the picture.
    #[must_use]
    pub fn active_job_ids(&self) -> BTreeSet<String> {
        self.jobs.keys().cloned().collect()
    }
}
