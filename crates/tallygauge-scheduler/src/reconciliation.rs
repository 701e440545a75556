//! A slow look for what fell out of a list: bounded work at a time, so that in
//! the end every open job, task and machine is looked at. What differs is said
//! and mended; nothing here is needed as long as all else is right.

use crate::{cluster_state::Cluster, model::*, range_set::RangeSet};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// The next `most` names after the last one, which they move on; from the
/// beginning again when there are no more.
fn turn<T>(all: &BTreeMap<String, T>, last: &mut String, most: usize) -> Vec<String> {
    let after = (Bound::Excluded(last.clone()), Bound::Unbounded);
    let names: Vec<String> = all.range(after).take(most).map(|n| n.0.clone()).collect();
    *last = match names.last() {
        Some(name) if names.len() == most => name.clone(),
        _ => String::new(),
    };
    names
}

impl Cluster {
    /// Looks at the next `most` jobs and machines. Returns what differed, in
    /// words; it is mended.
    pub fn sweep(&mut self, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        for name in turn(&self.workers, &mut self.sweep.machine, most) {
            self.sweep_machine(&name, &mut found);
        }
        for id in turn(&self.jobs, &mut self.sweep.job, most) {
            self.sweep_job(&id, &mut found);
        }
        if !found.is_empty() {
            self.changed = true;
        }
        found
    }

    /// A machine's room against what is on it, and its jobs' notes of it.
    fn sweep_machine(&mut self, name: &str, found: &mut Vec<String>) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(t) = self.types.get(&worker.machine_type) {
            let mut free = Room::of_type(t);
            for held in worker.held.iter().filter(|h| h.occupies()) {
                free.add(&held.spec, -1.0);
            }
            let off = |a: f64, b: f64| (a - b).abs() > 1e-3;
            if off(free.cpus, worker.free.cpus)
                || off(free.gpus, worker.free.gpus)
                || off(free.memory_gb, worker.free.memory_gb)
            {
                found.push(format!(
                    "{name} had {} CPUs free, not {}",
                    free.cpus, worker.free.cpus
                ));
                worker.free = free;
            }
        }
        let mut on: BTreeMap<&str, u32> = BTreeMap::new();
        for held in &worker.held {
            *on.entry(held.spec.id.as_str()).or_default() += 1;
        }
        for (id, count) in on {
            if let Some(job) = self.jobs.get_mut(id)
                && job.on.get(name) != Some(&count)
            {
                found.push(format!("{id} did not know of {count} attempts on {name}"));
                job.on.insert(name.to_string(), count);
            }
        }
    }

    /// A job's tasks: each is done, on a machine, or waits, and an end of all
    /// is on its way to be made durable.
    fn sweep_job(&mut self, id: &str, found: &mut Vec<String>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mut holds: BTreeMap<u32, u32> = BTreeMap::new();
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        let mut gone = Vec::new();
        for name in job.on.keys() {
            let Some(worker) = self.workers.get(name) else {
                gone.push(name.clone());
                continue;
            };
            for held in worker
                .held
                .iter()
                .filter(|h| h.occupies() && h.spec.id == id)
            {
                *holds.entry(held.index).or_default() += 1;
                *zones.entry(worker.zone.clone()).or_default() += 1;
            }
        }
        for name in gone {
            found.push(format!("{id} was thought to be on {name}, which is gone"));
            job.on.remove(&name);
        }
        if holds != job.holds {
            found.push(format!(
                "{id} was thought to have {} tasks on machines, not {}",
                job.holds.len(),
                holds.len()
            ));
            job.holds = holds;
        }
        job.zones = zones;
        let waits = job.waiting.len() as usize + job.resumes.len();
        let unfinished = job.unfinished() as usize;
        let overlap = job.holds.keys().any(|n| {
            job.finished.contains(*n) || job.waiting.contains(*n) || job.resumes.contains_key(n)
        });
        let held = job
            .holds
            .keys()
            .filter(|n| !job.finished.contains(**n))
            .count();
        if waits + held != unfinished || overlap {
            let mut waiting = RangeSet::first(job.spec.tasks);
            for n in job.finished.iter().chain(job.holds.keys().copied()) {
                waiting.remove(n);
            }
            job.resumes.retain(|n, _| waiting.contains(*n));
            for n in job.resumes.keys() {
                waiting.remove(*n);
            }
            // Two attempts of a done task, while the second is being stopped,
            // are no loss.
            if waiting != job.waiting {
                found.push(format!(
                    "{id} had {} tasks that wait, not {}",
                    waiting.len(),
                    job.waiting.len()
                ));
                job.waiting = waiting;
            }
        }
        if (job.complete() || !job.dirty.is_empty()) && !self.dirty_jobs.contains(id) {
            found.push(format!(
                "the end of tasks of {id} was not on its way to be kept"
            ));
            self.dirty_jobs.insert(id.to_string());
        }
    }

    /// Ids of the open jobs in the picture.
    #[must_use]
    pub fn open_jobs(&self) -> BTreeSet<String> {
        self.jobs.keys().cloned().collect()
    }
}
