//! Accounting of attempts in the free resources of workers, the counts of jobs, the quota
//! usage of teams and the placement batches, and requeueing of tasks.

use crate::{
    cluster_state::ClusterState,
    events::{AttemptEvent, ClusterEvent},
    model::*,
};
use std::collections::BTreeMap;
use tallygauge_protocol::users::MIN_COUNTED_RUN_S;

/// Decrements a count, and removes its entry when it reaches 0.
fn decrement<K: Ord + ?Sized, Q: Ord + std::borrow::Borrow<K>>(
    counts: &mut BTreeMap<Q, u32>,
    key: &K,
) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

impl ClusterState {
    /// Ends all attempts on a machine that certainly executes nothing any more.
    pub(crate) fn end_all_attempts(&mut self, machine: &str, now: f64) {
        self.end_attempts(machine, now, |_| true);
    }

    /// Ends the attempts on a machine that `has_ended` selects. They must certainly have
    /// ended, as must their agent incarnation.
    pub(crate) fn end_attempts(
        &mut self,
        machine: &str,
        now: f64,
        has_ended: impl FnMut(&mut Attempt) -> bool,
    ) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.orphaned_attempts.clear();
        }
        for attempt in self.remove_attempts(machine, has_ended) {
            if attempt.occupies_capacity() {
                self.requeue_lost(machine, &attempt, now);
                self.events.push(ClusterEvent::Attempt(AttemptEvent::Lost {
                    task: attempt.task_name(),
                    machine: machine.to_string(),
                    start_undelivered: attempt.start_undelivered,
                }));
            }
            // An ended attempt needs nothing here, even if its end is not durable yet: a
            // completed task counts as soon as its worker has reported it.
        }
    }

    /// Releases an attempt that was removed from its machine and was lost without a report
    /// of its end, and requeues its task.
    pub(crate) fn requeue_lost(&mut self, machine: &str, attempt: &Attempt, now: f64) {
        let checkpointed_s = self.checkpoint_after_loss(attempt, now);
        self.release_attempt(machine, attempt, now);
        self.requeue(attempt, checkpointed_s, machine, None);
    }

    /// Run time that the last checkpoint of an attempt is assumed to hold if the attempt is
    /// lost without a report of its end, in seconds.
    pub(crate) fn checkpoint_after_loss(&self, attempt: &Attempt, now: f64) -> f64 {
        let interval_s = attempt.spec.checkpoint_every_s;
        if interval_s <= 0.0 {
            return 0.0;
        }
        attempt.checkpointed_s + (attempt.run_time_s(now) / interval_s).floor() * interval_s
    }

    /// Adds an attempt to a machine and accounts for what it occupies.
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

    /// Removes the attempts that `is_selected` selects from a machine and returns them. The
    /// caller has to release those that occupy capacity.
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
            self.undelivered_start_records.remove(attempt.number);
            if let Some(job) = self.jobs.get_mut(&attempt.spec.id) {
                decrement(&mut job.attempts_by_worker, machine);
            }
        }
        removed
    }

    /// Releases what an attempt occupies: resources, quota, and its place in the counts of
    /// its job and its batch. Must be called exactly once for each attempt.
    pub(crate) fn release_attempt(&mut self, machine: &str, attempt: &Attempt, now: f64) {
        self.count_run(attempt, now);
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

    /// Counts the task of an attempt as started if the attempt ran for long enough. Must be
    /// called before the attempt's run time is reset.
    pub(crate) fn count_run(&mut self, attempt: &Attempt, now: f64) {
        if attempt.run_time_s(now) >= MIN_COUNTED_RUN_S
            && let Some(job) = self.jobs.get_mut(&attempt.spec.id)
        {
            job.unstarted.remove(attempt.index);
        }
    }

    /// Makes the task of an attempt pending again, unless the task is completed or another
    /// attempt of it occupies a machine. The task resumes from `checkpointed_s`. `restriction`
    /// says when it may be placed again, on any machine and on this one.
    pub(crate) fn requeue(
        &mut self,
        attempt: &Attempt,
        checkpointed_s: f64,
        machine: &str,
        restriction: Option<RetryRestriction>,
    ) {
        let machine_type = self
            .workers
            .get(machine)
            .map(|worker| worker.machine_type.clone());
        let Some(job) = self.jobs.get_mut(&attempt.spec.id) else {
            return;
        };
        if job.completed.contains(attempt.index)
            || job.attempts_by_task.contains_key(&attempt.index)
        {
            return;
        }
        job.resumable.remove(&attempt.index);
        if checkpointed_s > 0.0 || restriction.is_some() {
            let resumable = ResumableTask {
                index: attempt.index,
                checkpointed_s,
                machine_type: if checkpointed_s > 0.0 {
                    machine_type
                } else {
                    None
                },
                not_before: restriction.map_or(0.0, |r| r.not_before),
                avoided_machine: restriction.map(|r| AvoidedMachine {
                    name: machine.to_string(),
                    until: r.avoids_machine_until,
                }),
            };
            job.resumable.insert(attempt.index, resumable);
        } else {
            job.pending.insert(attempt.index);
        }
    }
}
