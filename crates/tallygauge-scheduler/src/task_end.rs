//! Handling of the end of an attempt: its task is completed or requeued.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::{users::Shape, workers::EndCause};

/// Number of different jobs with failed attempts on a machine, without a completed task
/// in between, that makes the machine count as faulty.
const FAULTY_AFTER_FAILED_JOBS: usize = 2;

/// Upper bound of the count of consecutive failures of a job.
const MAX_CONSECUTIVE_FAILURES: u32 = 64;

/// Number of consecutive failures of a job that doubles the backoff of its tasks.
const FAILURES_PER_DOUBLING: u32 = 4;

/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Backoff of a task after a worker refused to start it, in heartbeat intervals.
const REFUSED_BACKOFF_INTERVALS: f64 = 0.5;

impl ClusterState {
    /// Handles the end of an attempt that has been released. `position` is its index in the
    /// attempts of its worker.
    pub(crate) fn handle_task_end(
        &mut self,
        now: f64,
        machine: &str,
        position: usize,
        attempt: &Attempt,
        cause: EndCause,
        is_checkpointed: bool,
    ) {
        if self.completes_task(attempt, cause) {
            self.record_run_time(attempt, machine, now);
            self.record_task_completed(machine, position, attempt);
            self.stop_duplicates(attempt, now);
            return;
        }
        // Any other end requires no durable write: the task is just requeued.
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.attempts[position].end_durable = true;
        }
        match cause {
            EndCause::Halted | EndCause::Done => {
                let checkpointed_s = self.checkpoint_after_end(attempt, is_checkpointed, now);
                self.requeue(attempt, checkpointed_s, machine, None);
            }
            EndCause::Error | EndCause::NoSuch | EndCause::Unknown => {
                self.requeue_failed(now, machine, attempt);
                if cause == EndCause::Error {
                    self.record_failure_on(machine, &attempt.spec.id, now);
                }
            }
            EndCause::NoRoom | EndCause::Busy => {
                let backoff_s = self.config.heartbeat_interval_s * REFUSED_BACKOFF_INTERVALS;
                let restriction = self.config.retry_restriction(now, backoff_s);
                self.requeue(attempt, attempt.checkpointed_s, machine, Some(restriction));
            }
        }
    }

    /// Whether an attempt that ended for this reason has completed its task.
    pub(crate) fn completes_task(&self, attempt: &Attempt, cause: EndCause) -> bool {
        let is_open = self.jobs.contains_key(&attempt.spec.id);
        cause == EndCause::Done && is_open && attempt.spec.shape == Shape::Array
    }

    /// Run time that the checkpoint of an ended attempt holds, in seconds. `is_checkpointed`
    /// says whether all of its progress was saved at its end.
    pub(crate) fn checkpoint_after_end(
        &self,
        attempt: &Attempt,
        is_checkpointed: bool,
        now: f64,
    ) -> f64 {
        if is_checkpointed {
            attempt.checkpointed_s + attempt.run_time_s(now)
        } else {
            self.checkpoint_after_loss(attempt, now)
        }
    }

    /// Records that a task of an open job is completed. Its end becomes durable when its
    /// chunk is written.
    fn record_task_completed(&mut self, machine: &str, position: usize, attempt: &Attempt) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.failed_jobs.clear();
        }
        let chunk = attempt.index / self.tasks_per_chunk;
        let Some(job) = self.jobs.get_mut(&attempt.spec.id) else {
            return;
        };
        job.consecutive_failures = 0;
        job.pending.remove(attempt.index);
        job.unstarted.remove(attempt.index);
        job.resumable.remove(&attempt.index);
        if job.completed.insert(attempt.index) {
            job.unsaved_chunks.insert(chunk);
        }
        // The end is already durable if the task was completed under an earlier leader.
        if job.unsaved_chunks.contains(&chunk) {
            job.unsaved_completions.push(UnsavedCompletion {
                index: attempt.index,
                worker: machine.to_string(),
            });
            self.jobs_with_unsaved_progress
                .insert(attempt.spec.id.clone());
        } else if let Some(worker) = self.workers.get_mut(machine) {
            worker.attempts[position].end_durable = true;
        }
    }

    /// Decides to stop the other attempts of a completed task, which are rare.
    fn stop_duplicates(&mut self, completed: &Attempt, now: f64) {
        let machines: Vec<String> = match self.jobs.get(&completed.spec.id) {
            Some(job) if job.attempts_by_task.contains_key(&completed.index) => {
                job.attempts_by_worker.keys().cloned().collect()
            }
            _ => Vec::new(),
        };
        for machine in machines {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            self.needs_direct_message.insert(machine);
            for attempt in &mut worker.attempts {
                if attempt.occupies_capacity()
                    && attempt.index == completed.index
                    && attempt.spec.id == completed.spec.id
                    && attempt.stop.is_none()
                {
                    attempt.request_stop(StopReason::Duplicate, now);
                }
            }
        }
    }

    /// Requeues the task of a failed attempt with a backoff. The backoff is short at first,
    /// because the first failures are likely caused by the machine and cost little. It
    /// grows because a job that fails everywhere must not keep machines busy.
    fn requeue_failed(&mut self, now: f64, machine: &str, attempt: &Attempt) {
        let failures = match self.jobs.get_mut(&attempt.spec.id) {
            Some(job) => {
                job.consecutive_failures =
                    (job.consecutive_failures + 1).min(MAX_CONSECUTIVE_FAILURES);
                job.consecutive_failures
            }
            None => 1,
        };
        let doublings = (failures / FAILURES_PER_DOUBLING).min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = self.config.heartbeat_interval_s * f64::from(1u32 << doublings);
        let checkpointed_s = self.checkpoint_after_loss(attempt, now);
        let restriction = self.config.retry_restriction(now, backoff_s);
        self.requeue(attempt, checkpointed_s, machine, Some(restriction));
    }

    /// Records that a task of a job failed on a machine. A machine on which several jobs
    /// fail is returned as faulty.
    fn record_failure_on(&mut self, machine: &str, job_id: &str, now: f64) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.failed_jobs.insert(job_id.to_string());
        if worker.failed_jobs.len() >= FAULTY_AFTER_FAILED_JOBS {
            worker.decide_return(ReturnReason::Faulty, now, &mut self.events);
        }
    }
}
