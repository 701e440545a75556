//! Room that is made: which running tasks are stopped for one that waits.

use super::{
    ordering::Entry,
    round::{Round, Waiting},
};
use crate::model::*;
use std::collections::BinaryHeap;
use tallygauge_protocol::{users::Shape, workers::TaskState};

/// A running task that may be stopped.
#[derive(Clone, Copy)]
pub(super) struct Victim<'a> {
    upt: f64,
    held: &'a Held,
    team: usize,
    within: bool,
}

impl<'a> Round<'a> {
    /// Everything that may be stopped at all: running tasks that save, and of
    /// these not what comes first for a class or team that is behind.
    pub(super) fn find_victims(&mut self) {
        let within = self.c.within_guarantee();
        for s in &mut self.slots {
            s.victims = s
                .worker
                .held
                .iter()
                .filter(|h| h.stop.is_none() && h.phase == Phase::On(TaskState::Running))
                .filter(|h| h.spec.checkpoint_every_s > 0.0 && h.spec.shape == Shape::Array)
                .filter(|h| !self.c.floor.seats.contains_key(&h.spec.id))
                .filter(|h| !self.c.is_to_begin(h))
                .filter_map(|held| {
                    Some(Victim {
                        upt: self.c.upt_running(held, self.now),
                        held,
                        team: self.c.cfg.team(&held.spec.team)?,
                        within: within.contains(held.spec.id.as_str()),
                    })
                })
                .collect();
            for victim in &s.victims {
                let kind = (victim.held.spec.priority, victim.team);
                let least = self.kinds_of_victims.entry(kind).or_insert(f64::MAX);
                *least = least.min(victim.upt);
            }
            let order = |v: &Victim| (v.upt, v.held.attempt);
            s.victims.sort_by(|a, b| {
                let (a, b) = (order(a), order(b));
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
            });
        }
    }

    /// Whether a team has more than its guarantee, counting out what stops.
    fn borrows(&self, team: usize) -> bool {
        let (guarantee, used, less) = (
            &self.c.cfg.teams[team],
            &self.ledgers[team],
            &self.leaving[team],
        );
        used.cpus - less.cpus > guarantee.cpus + EPS || used.gpus - less.gpus > guarantee.gpus + EPS
    }

    /// The victims on a slot that would make room for a task of the group, and
    /// the UPT that they cost.
    fn price(&self, waiting: &Waiting, slot: usize) -> Option<f64> {
        let s = &self.slots[slot];
        let spec = &waiting.group.job.spec;
        if s.victims.is_empty() || !self.allowed(waiting.at, slot) {
            return None;
        }
        let (worth, time) = self.newcomer(waiting, slot);
        let (mut would, mut cost) = (s.soon, 0.0);
        for victim in &s.victims {
            if would.holds(spec) {
                break;
            }
            if self.may_stop(waiting, victim, worth, time) {
                would.add(&victim.held.spec, 1.0);
                cost += victim.upt;
            }
        }
        would.holds(spec).then_some(cost)
    }

    /// Worth of a task of the group on a slot, and the time until its end.
    fn newcomer(&self, waiting: &Waiting, slot: usize) -> (f64, f64) {
        let group = &waiting.group;
        let saved = group.saved_on(&self.types[self.slots[slot].of_type].name);
        let time = self.time_on(waiting.at, saved, slot);
        (self.c.worth(group.job, self.now + time * 0.5), time)
    }

    fn may_stop(&self, waiting: &Waiting, victim: &Victim, worth: f64, time: f64) -> bool {
        let job = waiting.group.job;
        let ours = victim.team == job.team;
        let borrowed = self.borrows(victim.team);
        // The cost of saving is part of the newcomer's time.
        let newcomer = worth / (time + victim.held.spec.save_s);
        let protected = !ours && (victim.within || !borrowed);
        let lower = victim.held.spec.priority < job.spec.priority && victim.upt < newcomer;
        let reclaim = self.entrants[waiting.at].within && !ours && borrowed && !victim.within;
        !protected && (lower || reclaim)
    }

    /// Whether anything at all may be stopped for the group: what it would gain
    /// at best is compared with the least that is there.
    pub(super) fn any_stoppable(&self, waiting: &Waiting) -> bool {
        let (job, entitled) = (waiting.group.job, self.entrants[waiting.at].within);
        let most = self.best_worth_per_time(waiting);
        self.kinds_of_victims
            .iter()
            .any(|(&(priority, team), upt)| {
                (priority < job.spec.priority && *upt < most)
                    || (entitled && team != job.team && self.borrows(team))
            })
    }

    /// UPT that the group's tasks can't exceed on any machine: full worth over
    /// what is left to run.
    fn best_worth_per_time(&self, waiting: &Waiting) -> f64 {
        let saved = waiting.group.resume.map_or(0.0, |r| r.saved_s);
        let left = self.remaining(waiting.at, saved);
        self.c.worth(waiting.group.job, self.now) / left
    }

    /// Finds room that is being made for tasks of the group, or stops running
    /// tasks to make it: those of lower priority and lower UPT, and work that
    /// another team runs beyond its guarantee where the task is within its
    /// own; least UPT first. Once a round for all that waits of a job.
    pub(super) fn make_room(&mut self, waiting: &Waiting<'a>, headroom: usize) {
        let (at, job) = (waiting.at, waiting.group.job);
        let spec = &job.spec;
        if std::mem::replace(&mut self.entrants[at].asked, true) {
            return;
        }
        let ready = job.resumes.values();
        let ready = ready.filter(|r| r.not_before <= self.now).count();
        let resumed = self.entrants[at].resumed;
        let mut need = (self.unplaced(at) + ready - resumed).min(headroom);
        for slot in self.making.clone() {
            while need > 0 && self.slots[slot].soon.holds(spec) && self.allowed(at, slot) {
                self.promise(job, slot);
                need -= 1;
            }
        }
        if need == 0 {
            return;
        }
        if !self.any_stoppable(waiting) {
            return;
        }
        let mut heap: BinaryHeap<Entry> = (0..self.slots.len())
            .filter_map(|slot| {
                let cost = self.price(waiting, slot)?;
                let version = self.slots[slot].version;
                Some(Entry {
                    cost,
                    slot,
                    version,
                })
            })
            .collect();
        while need > 0 {
            let Some(best) = heap.pop() else { return };
            // Since it was priced, its team may have come down to its guarantee.
            let Some(cost) = self.price(waiting, best.slot) else {
                continue;
            };
            if cost > best.cost {
                heap.push(Entry { cost, ..best });
                continue;
            }
            self.stop_on(waiting, best.slot);
            while need > 0 && self.slots[best.slot].soon.holds(spec) && self.allowed(at, best.slot)
            {
                self.promise(job, best.slot);
                need -= 1;
            }
            if let Some(cost) = self.price(waiting, best.slot) {
                heap.push(Entry { cost, ..best });
            }
        }
    }

    /// Room that is being made is kept for a task of the job.
    fn promise(&mut self, job: &'a Job, slot: usize) {
        self.slots[slot].soon.add(&job.spec, -1.0);
        self.ledgers[job.team].add(&job.spec, 1.0);
    }

    fn stop_on(&mut self, waiting: &Waiting<'a>, slot: usize) {
        let spec = &waiting.group.job.spec;
        let (worth, time) = self.newcomer(waiting, slot);
        let mut at = 0;
        while at < self.slots[slot].victims.len() && !self.slots[slot].soon.holds(spec) {
            let victim = self.slots[slot].victims[at];
            if !self.may_stop(waiting, &victim, worth, time) {
                at += 1;
                continue;
            }
            self.slots[slot].victims.remove(at);
            self.slots[slot].soon.add(&victim.held.spec, 1.0);
            self.leaving[victim.team].add(&victim.held.spec, 1.0);
            self.stops
                .push((slot, victim.held.attempt, spec.id.as_str()));
        }
        self.making.insert(slot);
    }
}
