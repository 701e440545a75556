//! What is held where: attempts on workers, rooms, team ledgers, and the tasks
//! that wait again.

use crate::{cluster_state::Cluster, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::users::START_COUNTS_S;

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

impl Cluster {
    /// Ends all attempts of sessions up to `last` on a worker.
    pub(crate) fn end_session(&mut self, name: &str, last: u64, now: f64) {
        self.end_attempts(name, now, |h| h.session <= last);
    }

    /// Attempts of a worker are surely over, with the session that they were in.
    pub(crate) fn end_attempts(
        &mut self,
        name: &str,
        now: f64,
        which: impl FnMut(&mut Held) -> bool,
    ) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.strays.clear();
        }
        for held in self.take_off(name, which) {
            if held.occupies() {
                self.lose(name, &held, now);
                self.events.push((
                    false,
                    format!("{} is lost with a session of {name}", held.task_name()),
                ));
            }
            // An end that was not durable yet stands in the picture: a done
            // task counts as soon as its worker has said so.
        }
    }

    /// An attempt that was taken off its worker is lost without a word: its task
    /// waits again.
    pub(crate) fn lose(&mut self, name: &str, held: &Held, now: f64) {
        let saved = self.saved_after_loss(held, now);
        self.vacate(name, held, now);
        self.requeue(held, saved, name, 0.0);
    }

    /// Progress that is left when an attempt is lost without a word.
    pub(crate) fn saved_after_loss(&self, held: &Held, now: f64) -> f64 {
        let every = held.spec.checkpoint_every_s;
        if every <= 0.0 {
            return 0.0;
        }
        held.saved_s + (held.ran_s(now) / every).floor() * every
    }

    /// Adds an attempt to a worker, and to all ledgers.
    pub(crate) fn occupy(&mut self, name: &str, held: Held) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.free.add(&held.spec, -1.0);
        if let Some(team) = self.cfg.team(&held.spec.team) {
            self.ledgers[team].add(&held.spec, 1.0);
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            *job.holds.entry(held.index).or_default() += 1;
            *job.zones.entry(worker.zone.clone()).or_default() += 1;
            *job.on.entry(name.to_string()).or_default() += 1;
            job.waiting.remove(held.index);
            job.resumes.remove(&held.index);
        }
        if let Some(batch) = &held.batch {
            *self.batches.entry(batch.clone()).or_default() += 1;
        }
        worker.held.push(held);
    }

    /// Takes those of a worker's attempts off it that `which` picks. Ledgers
    /// are left to the caller.
    pub(crate) fn take_off(
        &mut self,
        name: &str,
        which: impl FnMut(&mut Held) -> bool,
    ) -> Vec<Held> {
        let Some(worker) = self.workers.get_mut(name) else {
            return Vec::new();
        };
        let off: Vec<Held> = worker.held.extract_if(.., which).collect();
        for held in &off {
            if let Some(job) = self.jobs.get_mut(&held.spec.id) {
                decrement(&mut job.on, name);
            }
        }
        off
    }

    /// Takes an attempt off all ledgers, once.
    pub(crate) fn vacate(&mut self, name: &str, held: &Held, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.changed = true;
        worker.free.add(&held.spec, 1.0);
        worker.images.drop_fetch(&held.spec.image, &worker.held);
        if !worker.held.iter().any(Held::occupies) {
            worker.idle_since = now;
        }
        if let Some(team) = self.cfg.team(&held.spec.team) {
            self.ledgers[team].add(&held.spec, -1.0);
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            if held.ran_s(now) >= START_COUNTS_S {
                job.fresh.remove(held.index);
            }
            decrement(&mut job.holds, &held.index);
            decrement(&mut job.zones, worker.zone.as_str());
        }
        if let Some(batch) = &held.batch {
            decrement(&mut self.batches, batch);
            if !self.batches.contains_key(batch) {
                self.garbage.insert(batch.clone());
            }
        }
    }

    /// Puts a task back among those that wait, unless it is done or also held
    /// elsewhere.
    pub(crate) fn requeue(&mut self, held: &Held, saved_s: f64, worker: &str, not_before: f64) {
        let machine_type = self.workers.get(worker).map(|w| w.machine_type.clone());
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        if job.finished.contains(held.index) || job.holds.contains_key(&held.index) {
            return;
        }
        job.resumes.remove(&held.index);
        if saved_s > 0.0 || not_before > 0.0 {
            let resume = Resume {
                index: held.index,
                saved_s,
                machine_type: if saved_s > 0.0 { machine_type } else { None },
                not_before,
                avoid: (not_before > 0.0).then(|| worker.to_string()),
            };
            job.resumes.insert(held.index, resume);
        } else {
            job.waiting.insert(held.index);
        }
    }
}
