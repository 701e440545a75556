//! Preemption: which running attempts are stopped for a pending task.

use super::{
    ordering::SlotCost,
    round_state::{PendingGroup, Round, SlotStop, Victim},
};
use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BinaryHeap, HashSet};
use tallygauge_protocol::{users::Shape, workers::TaskState};

/// What a pending task would gain on a slot.
#[derive(Clone, Copy)]
struct ExpectedGain {
    utility: f64,
    /// Seconds until its end.
    time_s: f64,
}

impl ClusterState {
    /// Whether an attempt may be preempted at all: it runs, it saves checkpoints,
    /// and its job has no priority itself.
    fn is_preemptible(&self, attempt: &Attempt) -> bool {
        attempt.stop.is_none()
            && attempt.phase == AttemptPhase::Observed(TaskState::Running)
            && attempt.spec.checkpoint_every_s > 0.0
            && attempt.spec.shape == Shape::Array
            && !self.minimum_share.claims.contains_key(&attempt.spec.id)
            && !self.is_protected_start(attempt)
    }

    /// The attempts on a worker that may be preempted, lowest utility per time
    /// first.
    fn victims_on<'a>(
        &self,
        worker: &'a Worker,
        within_guarantee: &HashSet<&str>,
        now: f64,
    ) -> Vec<Victim<'a>> {
        let preemptible = worker.attempts.iter().filter(|a| self.is_preemptible(a));
        let mut victims: Vec<Victim> = preemptible
            .filter_map(|attempt| {
                Some(Victim {
                    upt: self.upt_running(attempt, now),
                    attempt,
                    team: self.config.team_index(&attempt.spec.team)?,
                    within_guarantee: within_guarantee.contains(attempt.spec.id.as_str()),
                })
            })
            .collect();
        victims.sort_by(|a, b| {
            let by_upt = a.upt.total_cmp(&b.upt);
            by_upt.then(a.attempt.number.cmp(&b.attempt.number))
        });
        victims
    }
}

impl<'a> Round<'a> {
    /// Fills in the victims of all slots.
    pub(super) fn find_victims(&mut self) {
        let within_guarantee = self.cluster.jobs_within_guarantee();
        for slot in &mut self.slots {
            slot.victims = self
                .cluster
                .victims_on(slot.worker, &within_guarantee, self.now);
            for victim in &slot.victims {
                let group = (victim.attempt.spec.priority, victim.team);
                let min_upt = self.victim_groups.entry(group).or_insert(f64::MAX);
                *min_upt = min_upt.min(victim.upt);
            }
        }
    }

    /// Whether a team uses more than its guarantee, without what is being stopped.
    fn exceeds_guarantee(&self, team_index: usize) -> bool {
        let team = &self.cluster.config.teams[team_index];
        let usage = &self.quota_usage[team_index];
        let released = &self.quota_being_released[team_index];
        usage.cpus - released.cpus > team.guaranteed_cpus + EPSILON
            || usage.gpus - released.gpus > team.guaranteed_gpus + EPSILON
    }

    /// Utility per time of the victims that would be preempted on a slot for a task
    /// of the group; `None` if that would not free enough.
    fn preemption_cost(&self, pending: &PendingGroup, slot_index: usize) -> Option<f64> {
        let slot = &self.slots[slot_index];
        let spec = &pending.group.job.spec;
        if slot.victims.is_empty() || !self.is_allowed(pending.job_index, slot_index) {
            return None;
        }
        let gain = self.expected_gain(pending, slot_index);
        let mut available = slot.available_after_preemption;
        let mut cost = 0.0;
        for victim in &slot.victims {
            if available.can_fit(spec) {
                break;
            }
            if self.may_preempt(pending, victim, gain) {
                available.add_scaled(&victim.attempt.spec, 1.0);
                cost += victim.upt;
            }
        }
        available.can_fit(spec).then_some(cost)
    }

    fn expected_gain(&self, pending: &PendingGroup, slot_index: usize) -> ExpectedGain {
        let group = &pending.group;
        let machine_type = self.types[self.slots[slot_index].type_index];
        let checkpointed_s = group.checkpoint_on(&machine_type.name);
        let time_s = self.completion_time_s(pending.job_index, checkpointed_s, slot_index);
        ExpectedGain {
            utility: self.cluster.utility(group.job, self.now + time_s * 0.5),
            time_s,
        }
    }

    /// Whether a victim may be preempted for a task of the group: it has a lower
    /// priority and a lower utility per time, or it runs beyond its team's guarantee
    /// while the task is within its own team's.
    fn may_preempt(&self, pending: &PendingGroup, victim: &Victim, gain: ExpectedGain) -> bool {
        let job = pending.group.job;
        let is_same_team = victim.team == job.team;
        let is_borrowing = self.exceeds_guarantee(victim.team);
        // The victim writes a checkpoint first.
        let upt = gain.utility / (gain.time_s + victim.attempt.spec.checkpoint_s);
        let is_protected = !is_same_team && (victim.within_guarantee || !is_borrowing);
        let is_lower = victim.attempt.spec.priority < job.spec.priority && victim.upt < upt;
        let reclaims_guarantee = self.jobs[pending.job_index].within_guarantee
            && !is_same_team
            && is_borrowing
            && !victim.within_guarantee;
        !is_protected && (is_lower || reclaims_guarantee)
    }

    /// Whether any victim at all may be preempted for the group, by the highest
    /// utility per time that it can reach.
    pub(super) fn has_preemptible(&self, pending: &PendingGroup) -> bool {
        let job = pending.group.job;
        let within_guarantee = self.jobs[pending.job_index].within_guarantee;
        let max_upt = self.max_upt(pending);
        self.victim_groups.iter().any(|(&(priority, team), upt)| {
            (priority < job.spec.priority && *upt < max_upt)
                || (within_guarantee && team != job.team && self.exceeds_guarantee(team))
        })
    }

    /// Utility per time that the group's tasks can't exceed on any machine: the full
    /// utility over what is left to run.
    fn max_upt(&self, pending: &PendingGroup) -> f64 {
        let remaining_s = self.remaining_s(pending.job_index, pending.group.checkpointed_s());
        self.cluster.utility(pending.group.job, self.now) / remaining_s
    }

    /// Reserves slots that are being freed for tasks of the group, and preempts
    /// running attempts for those still without one, cheapest first. `headroom` is
    /// how many tasks the team's limit allows. Done once a round for all pending
    /// tasks of a job.
    pub(super) fn preempt_for(&mut self, pending: &PendingGroup<'a>, headroom: usize) {
        let job_index = pending.job_index;
        if std::mem::replace(&mut self.jobs[job_index].preemption_tried, true) {
            return;
        }
        let mut needed = self.waiting_tasks(job_index).min(headroom);
        for slot in self.slots_being_freed.clone() {
            self.reserve_freed_slot(job_index, slot, &mut needed);
        }
        if needed == 0 || !self.has_preemptible(pending) {
            return;
        }
        let mut heap = self.slots_by_preemption_cost(pending);
        while needed > 0 {
            let Some(best) = heap.pop() else { return };
            // Since it was priced, the victims' team may have come down to its
            // guarantee.
            let Some(cost) = self.preemption_cost(pending, best.slot) else {
                continue;
            };
            if cost > best.cost {
                heap.push(SlotCost { cost, ..best });
                continue;
            }
            self.preempt_on(pending, best.slot);
            self.reserve_freed_slot(job_index, best.slot, &mut needed);
            if let Some(cost) = self.preemption_cost(pending, best.slot) {
                heap.push(SlotCost { cost, ..best });
            }
        }
    }

    /// Tasks of the job that may start now and are not placed.
    fn waiting_tasks(&self, job_index: usize) -> usize {
        let entry = &self.jobs[job_index];
        let resumables = entry.job.resumable.values();
        let ready = resumables.filter(|r| r.not_before <= self.now).count();
        self.unplaced(job_index) + ready - entry.resumables_placed
    }

    fn slots_by_preemption_cost(&self, pending: &PendingGroup) -> BinaryHeap<SlotCost> {
        let costs = (0..self.slots.len()).filter_map(|slot| {
            Some(SlotCost {
                cost: self.preemption_cost(pending, slot)?,
                slot,
                version: self.slots[slot].version,
            })
        });
        costs.collect()
    }

    /// Reserves what is being freed on a slot for as many of the `needed` tasks as
    /// fit, and counts them off.
    fn reserve_freed_slot(&mut self, job_index: usize, slot_index: usize, needed: &mut usize) {
        let job = self.jobs[job_index].job;
        while *needed > 0
            && self.slots[slot_index]
                .available_after_preemption
                .can_fit(&job.spec)
            && self.is_allowed(job_index, slot_index)
        {
            self.slots[slot_index]
                .available_after_preemption
                .add_scaled(&job.spec, -1.0);
            self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
            *needed -= 1;
        }
    }

    /// Preempts victims on a slot until a task of the group fits.
    fn preempt_on(&mut self, pending: &PendingGroup<'a>, slot_index: usize) {
        let spec = &pending.group.job.spec;
        let gain = self.expected_gain(pending, slot_index);
        let mut next = 0;
        while next < self.slots[slot_index].victims.len()
            && !self.slots[slot_index]
                .available_after_preemption
                .can_fit(spec)
        {
            let victim = self.slots[slot_index].victims[next];
            if !self.may_preempt(pending, &victim, gain) {
                next += 1;
                continue;
            }
            let slot = &mut self.slots[slot_index];
            slot.victims.remove(next);
            slot.available_after_preemption
                .add_scaled(&victim.attempt.spec, 1.0);
            self.quota_being_released[victim.team].add_scaled(&victim.attempt.spec, 1.0);
            self.stops.push(SlotStop {
                slot: slot_index,
                attempt: victim.attempt.number,
                preemptor: spec.id.as_str(),
            });
        }
        self.slots_being_freed.insert(slot_index);
    }
}
