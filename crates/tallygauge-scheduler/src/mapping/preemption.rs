//! Room that is made: which running tasks are stopped for one that waits.

use super::{
    ordering::Entry,
    round::{PendingGroup, Round},
};
use crate::model::*;
use std::collections::BinaryHeap;
use tallygauge_protocol::{users::Shape, workers::TaskState};

/// A running task that may be stopped.
#[derive(Clone, Copy)]
pub(super) struct Victim<'a> {
    upt: f64,
    held: &'a Attempt,
    team: usize,
    within: bool,
}

impl<'a> Round<'a> {
    /// Everything that may be stopped at all: running tasks that save, and of
    /// these not what comes first for a class or team that is behind.
    pub(super) fn find_victims(&mut self) {
        let within = self.cluster.jobs_within_guarantee();
        for s in &mut self.slots {
            s.victims = s
                .worker
                .attempts
                .iter()
                .filter(|h| {
                    h.stop.is_none() && h.phase == AttemptPhase::Observed(TaskState::Running)
                })
                .filter(|h| h.spec.checkpoint_every_s > 0.0 && h.spec.shape == Shape::Array)
                .filter(|h| !self.cluster.minimum_share.claims.contains_key(&h.spec.id))
                .filter(|h| !self.cluster.is_protected_start(h))
                .filter_map(|held| {
                    Some(Victim {
                        upt: self.cluster.upt_running(held, self.now),
                        held,
                        team: self.cluster.config.team_index(&held.spec.team)?,
                        within: within.contains(held.spec.id.as_str()),
                    })
                })
                .collect();
            for victim in &s.victims {
                let kind = (victim.held.spec.priority, victim.team);
                let least = self.victim_groups.entry(kind).or_insert(f64::MAX);
                *least = least.min(victim.upt);
            }
            let order = |v: &Victim| (v.upt, v.held.number);
            s.victims.sort_by(|a, b| {
                let (a, b) = (order(a), order(b));
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
            });
        }
    }

    /// Whether a team has more than its guarantee, counting out what stops.
    fn exceeds_guarantee(&self, team: usize) -> bool {
        let (guarantee, used, less) = (
            &self.cluster.config.teams[team],
            &self.quota_usage[team],
            &self.quota_being_released[team],
        );
        used.cpus - less.cpus > guarantee.guaranteed_cpus + EPSILON
            || used.gpus - less.gpus > guarantee.guaranteed_gpus + EPSILON
    }

    /// The victims on a slot that would make room for a task of the group, and
    /// the UPT that they cost.
    fn preemption_cost(&self, waiting: &PendingGroup, slot: usize) -> Option<f64> {
        let s = &self.slots[slot];
        let spec = &waiting.group.job.spec;
        if s.victims.is_empty() || !self.allowed(waiting.at, slot) {
            return None;
        }
        let (worth, time) = self.utility_and_time(waiting, slot);
        let (mut would, mut cost) = (s.available_after_preemption, 0.0);
        for victim in &s.victims {
            if would.can_fit(spec) {
                break;
            }
            if self.may_preempt(waiting, victim, worth, time) {
                would.add_scaled(&victim.held.spec, 1.0);
                cost += victim.upt;
            }
        }
        would.can_fit(spec).then_some(cost)
    }

    /// Worth of a task of the group on a slot, and the time until its end.
    fn utility_and_time(&self, waiting: &PendingGroup, slot: usize) -> (f64, f64) {
        let group = &waiting.group;
        let saved = group.checkpoint_on(&self.types[self.slots[slot].type_index].name);
        let time = self.time_on(waiting.at, saved, slot);
        (self.cluster.utility(group.job, self.now + time * 0.5), time)
    }

    fn may_preempt(&self, waiting: &PendingGroup, victim: &Victim, worth: f64, time: f64) -> bool {
        let job = waiting.group.job;
        let ours = victim.team == job.team;
        let borrowed = self.exceeds_guarantee(victim.team);
        // The cost of saving is part of the newcomer's time.
        let newcomer = worth / (time + victim.held.spec.checkpoint_s);
        let protected = !ours && (victim.within || !borrowed);
        let lower = victim.held.spec.priority < job.spec.priority && victim.upt < newcomer;
        let reclaim = self.jobs[waiting.at].within_guarantee && !ours && borrowed && !victim.within;
        !protected && (lower || reclaim)
    }

    /// Whether anything at all may be stopped for the group: what it would gain
    /// at best is compared with the least that is there.
    pub(super) fn any_preemptible(&self, waiting: &PendingGroup) -> bool {
        let (job, entitled) = (waiting.group.job, self.jobs[waiting.at].within_guarantee);
        let most = self.best_utility_per_time(waiting);
        self.victim_groups.iter().any(|(&(priority, team), upt)| {
            (priority < job.spec.priority && *upt < most)
                || (entitled && team != job.team && self.exceeds_guarantee(team))
        })
    }

    /// UPT that the group's tasks can't exceed on any machine: full worth over
    /// what is left to run.
    fn best_utility_per_time(&self, waiting: &PendingGroup) -> f64 {
        let saved = waiting.group.resumable.map_or(0.0, |r| r.checkpointed_s);
        let left = self.remaining(waiting.at, saved);
        self.cluster.utility(waiting.group.job, self.now) / left
    }

    /// Finds room that is being made for tasks of the group, or stops running
    /// tasks to make it: those of lower priority and lower UPT, and work that
    /// another team runs beyond its guarantee where the task is within its
    /// own; least UPT first. Once a round for all that waits of a job.
    pub(super) fn preempt_for(&mut self, waiting: &PendingGroup<'a>, headroom: usize) {
        let (at, job) = (waiting.at, waiting.group.job);
        let spec = &job.spec;
        if std::mem::replace(&mut self.jobs[at].preemption_tried, true) {
            return;
        }
        let ready = job.resumable.values();
        let ready = ready.filter(|r| r.not_before <= self.now).count();
        let resumed = self.jobs[at].resumed;
        let mut need = (self.unplaced(at) + ready - resumed).min(headroom);
        for slot in self.slots_being_freed.clone() {
            while need > 0
                && self.slots[slot].available_after_preemption.can_fit(spec)
                && self.allowed(at, slot)
            {
                self.reserve_freed_slot(job, slot);
                need -= 1;
            }
        }
        if need == 0 {
            return;
        }
        if !self.any_preemptible(waiting) {
            return;
        }
        let mut heap: BinaryHeap<Entry> = (0..self.slots.len())
            .filter_map(|slot| {
                let cost = self.preemption_cost(waiting, slot)?;
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
            let Some(cost) = self.preemption_cost(waiting, best.slot) else {
                continue;
            };
            if cost > best.cost {
                heap.push(Entry { cost, ..best });
                continue;
            }
            self.preempt_on(waiting, best.slot);
            while need > 0
                && self.slots[best.slot]
                    .available_after_preemption
                    .can_fit(spec)
                && self.allowed(at, best.slot)
            {
                self.reserve_freed_slot(job, best.slot);
                need -= 1;
            }
            if let Some(cost) = self.preemption_cost(waiting, best.slot) {
                heap.push(Entry { cost, ..best });
            }
        }
    }

    /// Room that is being made is kept for a task of the job.
    fn reserve_freed_slot(&mut self, job: &'a Job, slot: usize) {
        self.slots[slot]
            .available_after_preemption
            .add_scaled(&job.spec, -1.0);
        self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
    }

    fn preempt_on(&mut self, waiting: &PendingGroup<'a>, slot: usize) {
        let spec = &waiting.group.job.spec;
        let (worth, time) = self.utility_and_time(waiting, slot);
        let mut at = 0;
        while at < self.slots[slot].victims.len()
            && !self.slots[slot].available_after_preemption.can_fit(spec)
        {
            let victim = self.slots[slot].victims[at];
            if !self.may_preempt(waiting, &victim, worth, time) {
                at += 1;
                continue;
            }
            self.slots[slot].victims.remove(at);
            self.slots[slot]
                .available_after_preemption
                .add_scaled(&victim.held.spec, 1.0);
            self.quota_being_released[victim.team].add_scaled(&victim.held.spec, 1.0);
            self.stops
                .push((slot, victim.held.number, spec.id.as_str()));
        }
        self.slots_being_freed.insert(slot);
    }
}
