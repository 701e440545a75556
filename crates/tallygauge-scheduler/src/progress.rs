//! Progress of jobs that has to be made durable: completed tasks and completed jobs.

use crate::{
    cluster_state::ClusterState,
    completion_pages::{ChunkId, PageFlush},
    range_set::RangeSet,
};
use std::collections::BTreeSet;

/// A job whose tasks are all completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobCompletion {
    /// Id of the job.
    pub job: String,
    /// Version of the job's record.
    pub version: u64,
    /// Number of tasks of the job.
    pub tasks: u32,
}

/// Completed tasks to be made durable in one transaction.
#[derive(Debug, Clone)]
pub struct ProgressFlush {
    /// Pages to write.
    pub pages: PageFlush,
    /// Completed tasks of each changed chunk, as written in the pages.
    chunks: Vec<(ChunkId, RangeSet)>,
}

impl ClusterState {
    /// At most `limit` completed jobs whose completion is not durable. Skips the jobs
    /// `in_flight`, whose record is being written.
    #[must_use]
    pub fn job_completions(
        &self,
        limit: usize,
        in_flight: &BTreeSet<String>,
    ) -> Vec<JobCompletion> {
        self.jobs_with_unsaved_progress
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.is_complete() && !in_flight.contains(&job.spec.id))
            .take(limit)
            .map(|job| JobCompletion {
                job: job.spec.id.clone(),
                version: job.version,
                tasks: job.spec.tasks,
            })
            .collect()
    }

    /// Progress to write of jobs that are not complete, as much as `max_pages` and
    /// `max_bytes` allow; `None` if all of it is durable.
    pub fn next_progress_flush(
        &mut self,
        max_pages: usize,
        max_bytes: usize,
    ) -> Option<ProgressFlush> {
        let mut changed: Vec<ChunkId> = Vec::new();
        for id in &self.jobs_with_unsaved_progress {
            if let Some(job) = self.jobs.get(id).filter(|job| !job.is_complete()) {
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
            .prepare_flush(&changed, max_pages, max_bytes, content);
        let chunks: Vec<(ChunkId, RangeSet)> = pages
            .chunks
            .iter()
            .map(|id| (id.clone(), content(id)))
            .collect();
        Some(ProgressFlush { pages, chunks })
    }

    /// Records that a flush succeeded at the store revision `revision`. Workers may then
    /// forget the tasks in it.
    pub fn record_flushed(&mut self, flush: &ProgressFlush, revision: u64) {
        for write in &flush.pages.writes {
            self.completion_pages.mark_written(write, revision);
        }
        let mut completions = Vec::new();
        for (ChunkId { job: id, chunk }, written) in &flush.chunks {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let first = chunk * self.tasks_per_chunk;
            if job.completed.within(first, first + self.tasks_per_chunk) == *written {
                job.unsaved_chunks.remove(chunk);
            }
            let saved = job
                .unsaved_completions
                .extract_if(.., |completion| written.contains(completion.index));
            completions.extend(saved.map(|completion| (id.as_str(), completion)));
            if job.unsaved_chunks.is_empty() && !job.is_complete() {
                self.jobs_with_unsaved_progress.remove(id);
            }
        }
        for (id, completion) in completions {
            self.mark_end_durable(id, completion.index, &completion.worker);
        }
    }

    /// Marks the end of a task's ended attempts on a machine as durable, so that the
    /// worker may forget them.
    fn mark_end_durable(&mut self, job_id: &str, index: u32, machine: &str) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        for attempt in &mut worker.attempts {
            if attempt.is_ended() && attempt.index == index && attempt.spec.id == job_id {
                attempt.end_durable = true;
            }
        }
    }
}
