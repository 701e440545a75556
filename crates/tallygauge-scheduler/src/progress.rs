//! Progress of jobs that is to be made durable.

use crate::{
    cluster_state::Cluster,
    completion_pages::{PageFlush, Part},
    range_set::RangeSet,
};
use std::collections::BTreeSet;

/// A job whose tasks are all done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// Job.
    pub job: String,
    /// Version of its record.
    pub version: u64,
    /// Tasks.
    pub tasks: u32,
}

/// Finished tasks to be made durable in one transaction.
#[derive(Debug, Clone)]
pub struct Flush {
    /// Pages to be written.
    pub pages: PageFlush,
    /// What of each changed part they hold.
    parts: Vec<(Part, RangeSet)>,
}

impl Cluster {
    /// Jobs whose end is not durable, but for those whose record is being
    /// written.
    #[must_use]
    pub fn completions(&self, most: usize, sent: &BTreeSet<String>) -> Vec<Completion> {
        let jobs = self.dirty_jobs.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| j.complete() && !sent.contains(&j.spec.id))
            .take(most)
            .map(|j| Completion {
                job: j.spec.id.clone(),
                version: j.version,
                tasks: j.spec.tasks,
            })
            .collect()
    }

    /// Progress of jobs that are not complete, as much as fits `most` pages and
    /// `bytes`.
    pub fn flush(&mut self, most: usize, bytes: usize) -> Option<Flush> {
        let mut changed: Vec<Part> = Vec::new();
        for id in &self.dirty_jobs {
            if let Some(job) = self.jobs.get(id).filter(|j| !j.complete()) {
                changed.extend(job.dirty.iter().map(|c| (id.clone(), *c)));
            }
        }
        if changed.is_empty() {
            return None;
        }
        let (jobs, chunk) = (&self.jobs, self.chunk);
        let content = |part: &Part| match jobs.get(&part.0) {
            Some(job) => job.finished.within(part.1 * chunk, (part.1 + 1) * chunk),
            None => RangeSet::default(),
        };
        let pages = self.pages.write(&changed, most, bytes, content);
        let parts: Vec<(Part, RangeSet)> = pages
            .parts
            .iter()
            .map(|p| (p.clone(), content(p)))
            .collect();
        Some(Flush { pages, parts })
    }

    /// A flush was made at `revision`: its tasks may be cleared.
    pub fn flushed(&mut self, flush: &Flush, revision: u64) {
        for write in &flush.pages.writes {
            self.pages.written(write, revision);
        }
        let mut ends = Vec::new();
        for ((id, number), written) in &flush.parts {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let low = number * self.chunk;
            if job.finished.within(low, low + self.chunk) == *written {
                job.dirty.remove(number);
            }
            let saved = job.unsaved.extract_if(.., |u| written.contains(u.0));
            ends.extend(saved.map(|(index, worker)| (id.as_str(), index, worker)));
            if job.dirty.is_empty() && !job.complete() {
                self.dirty_jobs.remove(id);
            }
        }
        for (id, index, worker) in ends {
            self.end_is_durable(id, index, &worker);
        }
    }

    fn end_is_durable(&mut self, id: &str, index: u32, worker: &str) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        for held in &mut worker.held {
            if !held.occupies() && held.index == index && held.spec.id == id {
                held.end_durable = true;
            }
        }
    }
}
