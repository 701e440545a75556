//! Accounting of attempts: on workers and their free resources, in jobs, in the quota
//! of teams and in placement batches; and the requeueing of tasks.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::users::MIN_COUNTED_RUN_S;

/// Decrements a count, and removes it at 0.
fn decrement<K: Ord + ?Sized, Q: Ord + std::borrow::Borrow<K>>(
    counts: &mut BTreeMap<Q, u32>,
    key: &K,
) {
    if let Some(n) = counts.get_mut(key) {
        *n -= 1;
        if *n == 0 {
            counts.remove(key);
        }
    }
}

impl ClusterState {
    /// Ends all attempts of agent incarnations up to `last` on a machine.
    pub(crate) fn end_incarnation(&mut self, machine: &str, last: u64, now: f64) {
        self.end_attempts(machine, now, |h| h.incarnation <= last);
    }

    /// Ends the attempts on a machine that `is_over` selects: they are certainly over,
    /// with their agent incarnation.
    pub(crate) fn end_attempts(
        &mut self,
        machine: &str,
        now: f64,
        is_over: impl FnMut(&mut Attempt) -> bool,
    ) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.orphaned_attempts.clear();
        }
        for attempt in self.remove_attempts(machine, is_over) {
            if attempt.occupies_capacity() {
                self.requeue_lost(machine, &attempt, now);
                self.events.push(ClusterEvent::AttemptLost {
                    task: attempt.task_name(),
                    machine: machine.to_string(),
                });
            }
            // An end that is not durable yet stays valid: a completed task counts as
            // soon as its worker has reported it.
        }
    }

    /// Releases an attempt that was removed from its machine and lost without a report,
    /// and requeues its task.
    pub(crate) fn requeue_lost(&mut self, machine: &str, attempt: &Attempt, now: f64) {
        let checkpointed_s = self.checkpoint_after_loss(attempt, now);
        self.release_attempt(machine, attempt, now);
        self.requeue(attempt, checkpointed_s, machine, 0.0);
    }

    /// Run time that the last checkpoint holds when an attempt is lost without a
    /// report, in seconds.
    pub(crate) fn checkpoint_after_loss(&self, attempt: &Attempt, now: f64) -> f64 {
        let every = attempt.spec.checkpoint_every_s;
        if every <= 0.0 {
            return 0.0;
        }
        attempt.checkpointed_s + (attempt.run_time_s(now) / every).floor() * every
    }

    /// Adds an attempt to a machine, and accounts for it.
    pub(crate) fn add_attempt(&mut self, machine: &str, attempt: Attempt) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.free_resources.add_scaled(&attempt.spec, -1.0);
        if let Some(team) = self.config.team_index(&attempt.spec.team) {
            self.quota_usage[team].add_scaled(&attempt.spec, 1.0);
        }
        if let Some(job) = self.jobs.get_mut(&attempt.spec.id) {
            *job.attempts_by_task.entry(attempt.index).or_default() += 1;
            *job.attempts_by_zone.entry(worker.zone.clone()).or_default() += 1;
            *job.attempts_by_worker
                .entry(machine.to_string())
                .or_default() += 1;
            job.pending.remove(attempt.index);
            job.resumable.remove(&attempt.index);
        }
        if let Some(batch) = &attempt.batch {
            *self
                .live_attempts_by_batch
                .entry(batch.clone())
                .or_default() += 1;
        }
        worker.attempts.push(attempt);
    }

    /// Removes the attempts from a machine that `is_selected` selects, and returns
    /// them. Releasing them is left to the caller.
    pub(crate) fn remove_attempts(
        &mut self,
        machine: &str,
        is_selected: impl FnMut(&mut Attempt) -> bool,
    ) -> Vec<Attempt> {
        let Some(worker) = self.workers.get_mut(machine) else {
            return Vec::new();
        };
        let removed: Vec<Attempt> = worker.attempts.extract_if(.., is_selected).collect();
        for attempt in &removed {
            if let Some(job) = self.jobs.get_mut(&attempt.spec.id) {
                decrement(&mut job.attempts_by_worker, machine);
            }
        }
        removed
    }

    /// Releases what an attempt occupies: resources, quota, counts of its job and its
    /// batch. To be called once for each attempt.
    pub(crate) fn release_attempt(&mut self, machine: &str, attempt: &Attempt, now: f64) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        self.needs_scheduling = true;
        worker.free_resources.add_scaled(&attempt.spec, 1.0);
        worker
            .images
            .cancel_unneeded_fetch(&attempt.spec.image, &worker.attempts);
        if !worker.attempts.iter().any(Attempt::occupies_capacity) {
            worker.idle_since = now;
        }
        if let Some(team) = self.config.team_index(&attempt.spec.team) {
            self.quota_usage[team].add_scaled(&attempt.spec, -1.0);
        }
        if let Some(job) = self.jobs.get_mut(&attempt.spec.id) {
            if attempt.run_time_s(now) >= MIN_COUNTED_RUN_S {
                job.unstarted.remove(attempt.index);
            }
            decrement(&mut job.attempts_by_task, &attempt.index);
            decrement(&mut job.attempts_by_zone, worker.zone.as_str());
        }
        if let Some(batch) = &attempt.batch {
            decrement(&mut self.live_attempts_by_batch, batch);
            if !self.live_attempts_by_batch.contains_key(batch) {
                self.obsolete_batches.insert(batch.clone());
            }
        }
    }

    /// Makes a task pending again, unless it is completed or also on another machine.
    /// It resumes from `checkpointed_s` and is placed at `not_before` at the earliest;
    /// if that is set, not on the same machine.
    pub(crate) fn requeue(
        &mut self,
        attempt: &Attempt,
        checkpointed_s: f64,
        machine: &str,
        not_before: f64,
    ) {
        let machine_type = self.workers.get(machine).map(|w| w.machine_type.clone());
        let Some(job) = self.jobs.get_mut(&attempt.spec.id) else {
            return;
        };
        if job.completed.contains(attempt.index)
            || job.attempts_by_task.contains_key(&attempt.index)
        {
            return;
        }
        job.resumable.remove(&attempt.index);
        if checkpointed_s > 0.0 || not_before > 0.0 {
            let resume = ResumableTask {
                index: attempt.index,
                checkpointed_s,
                machine_type: if checkpointed_s > 0.0 {
                    machine_type
                } else {
                    None
                },
                not_before,
                avoid_machine: (not_before > 0.0).then(|| machine.to_string()),
            };
            job.resumable.insert(attempt.index, resume);
        } else {
            job.pending.insert(attempt.index);
        }
    }
}
