//! What is held where: attempts on workers, rooms, team ledgers, and the tasks
//! that wait again.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::users::MIN_COUNTED_RUN_S;

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
    /// Ends all attempts of sessions up to `last` on a worker.
    pub(crate) fn end_incarnation(&mut self, name: &str, last: u64, now: f64) {
        self.end_attempts(name, now, |h| h.incarnation <= last);
    }

    /// Attempts of a worker are surely over, with the session that they were in.
    pub(crate) fn end_attempts(
        &mut self,
        name: &str,
        now: f64,
        which: impl FnMut(&mut Attempt) -> bool,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.orphaned_attempts.clear();
        }
        for held in self.remove_attempts(name, which) {
            if held.occupies_capacity() {
                self.requeue_lost(name, &held, now);
                self.events.push(ClusterEvent::AttemptLost {
                    task: held.task_name(),
                    machine: name.to_string(),
                });
            }
            // An end that was not durable yet stands in the picture: a done
            // task counts as soon as its worker has said so.
        }
    }

    /// An attempt that was taken off its worker is lost without a word: its task
    /// waits again.
    pub(crate) fn requeue_lost(&mut self, name: &str, held: &Attempt, now: f64) {
        let saved = self.checkpoint_after_loss(held, now);
        self.release_attempt(name, held, now);
        self.requeue(held, saved, name, 0.0);
    }

    /// Progress that is left when an attempt is lost without a word.
    pub(crate) fn checkpoint_after_loss(&self, held: &Attempt, now: f64) -> f64 {
        let every = held.spec.checkpoint_every_s;
        if every <= 0.0 {
            return 0.0;
        }
        held.checkpointed_s + (held.run_time_s(now) / every).floor() * every
    }

    /// Adds an attempt to a worker, and to all ledgers.
    pub(crate) fn add_attempt(&mut self, name: &str, held: Attempt) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.free_resources.add_scaled(&held.spec, -1.0);
        if let Some(team) = self.config.team_index(&held.spec.team) {
            self.quota_usage[team].add_scaled(&held.spec, 1.0);
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            *job.attempts_by_task.entry(held.index).or_default() += 1;
            *job.attempts_by_zone.entry(worker.zone.clone()).or_default() += 1;
            *job.attempts_by_worker.entry(name.to_string()).or_default() += 1;
            job.pending.remove(held.index);
            job.resumable.remove(&held.index);
        }
        if let Some(batch) = &held.batch {
            *self
                .live_attempts_by_batch
                .entry(batch.clone())
                .or_default() += 1;
        }
        worker.attempts.push(held);
    }

    /// Takes those of a worker's attempts off it that `which` picks. Ledgers
    /// are left to the caller.
    pub(crate) fn remove_attempts(
        &mut self,
        name: &str,
        which: impl FnMut(&mut Attempt) -> bool,
    ) -> Vec<Attempt> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        let off: Vec<Attempt> = worker.attempts.extract_if(.., which).collect();
        for held in &off {
            if let Some(job) = self.jobs.get_mut(&held.spec.id) {
                decrement(&mut job.attempts_by_worker, name);
            }
        }
        off
    }

    /// Takes an attempt off all ledgers, once.
    pub(crate) fn release_attempt(&mut self, name: &str, held: &Attempt, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.needs_scheduling = true;
        worker.free_resources.add_scaled(&held.spec, 1.0);
        worker
            .images
            .cancel_unneeded_fetch(&held.spec.image, &worker.attempts);
        if !worker.attempts.iter().any(Attempt::occupies_capacity) {
            worker.idle_since = now;
        }
        if let Some(team) = self.config.team_index(&held.spec.team) {
            self.quota_usage[team].add_scaled(&held.spec, -1.0);
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            if held.run_time_s(now) >= MIN_COUNTED_RUN_S {
                job.unstarted.remove(held.index);
            }
            decrement(&mut job.attempts_by_task, &held.index);
            decrement(&mut job.attempts_by_zone, worker.zone.as_str());
        }
        if let Some(batch) = &held.batch {
            decrement(&mut self.live_attempts_by_batch, batch);
            if !self.live_attempts_by_batch.contains_key(batch) {
                self.obsolete_batches.insert(batch.clone());
            }
        }
    }

    /// Puts a task back among those that wait, unless it is done or also held
    /// elsewhere.
    pub(crate) fn requeue(&mut self, held: &Attempt, saved_s: f64, worker: &str, not_before: f64) {
        let machine_type = self.workers.get(worker).map(|w| w.machine_type.clone());
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        if job.completed.contains(held.index) || job.attempts_by_task.contains_key(&held.index) {
            return;
        }
        job.resumable.remove(&held.index);
        if saved_s > 0.0 || not_before > 0.0 {
            let resume = ResumableTask {
                index: held.index,
                checkpointed_s: saved_s,
                machine_type: if saved_s > 0.0 { machine_type } else { None },
                not_before,
                avoid_machine: (not_before > 0.0).then(|| worker.to_string()),
            };
            job.resumable.insert(held.index, resume);
        } else {
            job.pending.insert(held.index);
        }
    }
}
