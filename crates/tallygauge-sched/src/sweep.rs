//! A slow look for what fell out of a list: bounded work at a time, so that in
//! the end every open job, task and machine is looked at. What differs is said
//! and mended; nothing here is needed as long as all else is right.

use crate::{cluster::Cluster, model::*, ranges::RangeSet};
use std::collections::BTreeMap;

impl Cluster {
    /// Looks at the next `most` jobs and machines. Returns what differed, in
    /// words; it is mended.
    pub fn sweep(&mut self, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        let next = |after: &str| {
            (
                std::ops::Bound::Excluded(after.to_string()),
                std::ops::Bound::Unbounded,
            )
        };
        let machines = self.workers.range(next(&self.sweep.machine)).take(most);
        let machines: Vec<String> = machines.map(|w| w.0.clone()).collect();
        self.sweep.machine = match machines.last() {
            Some(last) if machines.len() == most => last.clone(),
            _ => String::new(),
        };
        for name in machines {
            self.sweep_machine(&name, &mut found);
        }
        let jobs = self.jobs.range(next(&self.sweep.job)).take(most);
        let jobs: Vec<String> = jobs.map(|j| j.0.clone()).collect();
        self.sweep.job = match jobs.last() {
            Some(last) if jobs.len() == most => last.clone(),
            _ => String::new(),
        };
        for id in jobs {
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

    /// Ids of the open jobs in the picture, with the versions of their records.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<(String, u64)> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id.clone(), job.version)).collect()
    }
}
