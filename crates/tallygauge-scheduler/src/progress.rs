//! Progress of jobs that is to be made durable.

use crate::{
    cluster_state::ClusterState,
    completion_pages::{ChunkId, PageFlush},
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
    /// Completed tasks of each changed chunk, as the pages have them.
    chunks: Vec<(ChunkId, RangeSet)>,
}

impl ClusterState {
    /// Jobs whose end is not durable, but for those whose record is being
    /// written.
    #[must_use]
    pub fn completions(&self, most: usize, sent: &BTreeSet<String>) -> Vec<Completion> {
        let jobs = self
            .jobs_with_unsaved_progress
            .iter()
            .filter_map(|id| self.jobs.get(id));
        jobs.filter(|j| j.is_complete() && !sent.contains(&j.spec.id))
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
    pub fn next_flush(&mut self, most: usize, bytes: usize) -> Option<Flush> {
        let mut changed: Vec<ChunkId> = Vec::new();
        for id in &self.jobs_with_unsaved_progress {
            if let Some(job) = self.jobs.get(id).filter(|j| !j.is_complete()) {
                changed.extend(job.unsaved_chunks.iter().map(|chunk| ChunkId {
                    job: id.clone(),
                    chunk: *chunk,
                }));
            }
        }
        if changed.is_empty() {
            return None;
        }
        let (jobs, tasks_per_chunk) = (&self.jobs, self.tasks_per_chunk);
        let content = |id: &ChunkId| match jobs.get(&id.job) {
            Some(job) => {
                let first = id.chunk * tasks_per_chunk;
                job.completed.within(first, first + tasks_per_chunk)
            }
            None => RangeSet::default(),
        };
        let pages = self
            .completion_pages
            .prepare_flush(&changed, most, bytes, content);
        let chunks: Vec<(ChunkId, RangeSet)> = pages
            .chunks
            .iter()
            .map(|id| (id.clone(), content(id)))
            .collect();
        Some(Flush { pages, chunks })
    }

    /// A flush was made at `revision`: its tasks may be cleared.
    pub fn record_flushed(&mut self, flush: &Flush, revision: u64) {
        for write in &flush.pages.writes {
            self.completion_pages.mark_written(write, revision);
        }
        let mut ends = Vec::new();
        for (ChunkId { job: id, chunk }, written) in &flush.chunks {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let low = chunk * self.tasks_per_chunk;
            if job.completed.within(low, low + self.tasks_per_chunk) == *written {
                job.unsaved_chunks.remove(chunk);
            }
            let saved = job
                .unsaved_completions
                .extract_if(.., |u| written.contains(u.index));
            ends.extend(saved.map(|completion| (id.as_str(), completion)));
            if job.unsaved_chunks.is_empty() && !job.is_complete() {
                self.jobs_with_unsaved_progress.remove(id);
            }
        }
        for (id, completion) in ends {
            self.mark_end_durable(id, completion.index, &completion.worker);
        }
    }

    fn mark_end_durable(&mut self, id: &str, index: u32, worker: &str) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        for held in &mut worker.attempts {
            if !held.occupies_capacity() && held.index == index && held.spec.id == id {
                held.end_durable = true;
            }
        }
    }
}
