//! Preemption: selects running attempts to stop so that pending tasks can start.

use super::{
    ordering::SlotCost,
    round_state::{PendingGroup, Round, SlotStop, Victim},
};
use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use tallygauge_protocol::{users::Shape, workers::TaskState};

/// Utility of a pending task on a slot, and the time it takes to get it.
#[derive(Clone, Copy)]
struct ExpectedGain {
    utility: f64,
    /// Seconds until the task would end if it were started now.
    time_s: f64,
}

/// The tasks of a job that need room which preemption could make.
struct UnplacedTasks<'a> {
    /// Number of tasks to make room for, as far as the team's quota allows.
    needed: usize,
    /// Number of tasks that may start now.
    startable: usize,
    /// Number of those that avoid a machine, by its name.
    avoiding: BTreeMap<&'a str, usize>,
}

impl UnplacedTasks<'_> {
    /// Number of tasks to make room for on a machine.
    fn needed_on(&self, machine: &str) -> usize {
        let avoiding = self.avoiding.get(machine).copied().unwrap_or(0);
        self.needed.min(self.startable.saturating_sub(avoiding))
    }

    /// Records that there will be room for one task on a machine. It is used for a task that
    /// avoids another machine, if there is one.
    fn take_room_on(&mut self, machine: &str) {
        self.needed -= 1;
        self.startable -= 1;
        let mut avoiding = self.avoiding.iter_mut();
        if let Some((_, count)) = avoiding.find(|(name, count)| **name != machine && **count > 0) {
            *count -= 1;
        }
    }
}

impl ClusterState {
    /// Whether an attempt may be preempted at all. All of these must hold:
    /// - it runs and is not being stopped;
    /// - it is a task of an array and saves checkpoints;
    /// - its start can't arrive once more, so that its task can be placed elsewhere;
    /// - its job has no priority claim;
    /// - it is not protected by its job's start deadline.
    fn is_preemptible(&self, attempt: &Attempt) -> bool {
        attempt.stop.is_none()
            && attempt.phase == AttemptPhase::Observed(TaskState::Running)
            && attempt.spec.checkpoint_every_s > 0.0
            && attempt.spec.shape == Shape::Array
            && !attempt.start_undelivered
            && !self.minimum_share.claims.contains_key(&attempt.spec.id)
            && !self.is_protected_start(attempt)
    }

    /// The attempts on a worker that may be preempted, sorted by ascending utility per
    /// time.
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
                    upt: self.running_upt(attempt, now),
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
    /// Fills in the victims of all slots, and the lowest utility per time among them by
    /// priority and team.
    pub(super) fn find_victims(&mut self) {
        let within_guarantee = self.cluster.jobs_within_guarantee();
        for slot in &mut self.slots {
            slot.victims = self
                .cluster
                .victims_on(slot.worker, &within_guarantee, self.now);
            for victim in &slot.victims {
                let key = (victim.attempt.spec.priority, victim.team);
                let min_upt = self.min_victim_upt.entry(key).or_insert(f64::MAX);
                *min_upt = min_upt.min(victim.upt);
            }
        }
    }

    /// Whether a team uses more than its guarantee, not counting attempts that are being
    /// stopped.
    fn exceeds_guarantee(&self, team_index: usize) -> bool {
        let team = &self.cluster.config.teams[team_index];
        let usage = &self.quota_usage[team_index];
        let released = &self.quota_being_released[team_index];
        usage.cpus - released.cpus > team.guaranteed_cpus + EPSILON
            || usage.gpus - released.gpus > team.guaranteed_gpus + EPSILON
    }

    /// Sum of the utility per time of the victims that would be preempted on a slot for
    /// a task of the group; `None` if there are no victims, the slot is not allowed, or
    /// preemption would not make enough room.
    fn preemption_cost(&self, pending: &PendingGroup, slot_index: usize) -> Option<f64> {
        let slot = &self.slots[slot_index];
        let spec = &pending.group.job.spec;
        if slot.victims.is_empty() || !self.is_allowed(pending.job_index, slot_index) {
            return None;
        }
        let gain = self.expected_gain(pending, slot_index);
        let mut available = slot.room_after_stops;
        let mut cost = 0.0;
        for victim in &slot.victims {
            if available.can_take(spec) {
                break;
            }
            if self.may_preempt(pending, victim, gain) {
                available.add_released_by(victim.attempt);
                cost += victim.upt;
            }
        }
        available.can_take(spec).then_some(cost)
    }

    /// What a task of the group would gain on a slot.
    fn expected_gain(&self, pending: &PendingGroup, slot_index: usize) -> ExpectedGain {
        let group = &pending.group;
        let machine_type = self.machine_types[self.slots[slot_index].type_index];
        let checkpointed_s = group.checkpointed_s_on(&machine_type.name);
        let time_s = self.time_to_completion_s(pending.job_index, checkpointed_s, slot_index);
        ExpectedGain {
            utility: self.cluster.utility(group.job, self.now + time_s * 0.5),
            time_s,
        }
    }

    /// Whether a victim may be preempted for a task of the group, in one of two cases:
    /// - the victim has a lower priority and a lower utility per time than the task;
    /// - the task is within its own team's guarantee, and the victim belongs to another
    ///   team that exceeds its guarantee.
    ///
    /// In both cases, a victim of another team is protected if its job is within its
    /// team's guarantee or its team does not exceed the guarantee.
    fn may_preempt(&self, pending: &PendingGroup, victim: &Victim, gain: ExpectedGain) -> bool {
        let job = pending.group.job;
        let is_same_team = victim.team == job.team;
        let exceeds_guarantee = self.exceeds_guarantee(victim.team);
        // The task can start only after the victim has written a checkpoint.
        let upt = gain.utility / (gain.time_s + victim.attempt.spec.checkpoint_s);
        let is_protected = !is_same_team && (victim.within_guarantee || !exceeds_guarantee);
        let is_less_valuable = victim.attempt.spec.priority < job.spec.priority && victim.upt < upt;
        let reclaims_guarantee = self.jobs[pending.job_index].within_guarantee
            && !is_same_team
            && exceeds_guarantee
            && !victim.within_guarantee;
        !is_protected && (is_less_valuable || reclaims_guarantee)
    }

    /// Whether any victim might be preempted for the group. An optimistic check by
    /// priority, team and the highest utility per time that the group can reach, so that
    /// slots need not be looked at one by one if the answer is no.
    pub(super) fn has_preemptible(&self, pending: &PendingGroup) -> bool {
        let job = pending.group.job;
        let within_guarantee = self.jobs[pending.job_index].within_guarantee;
        let upt_upper_bound = self.upt_upper_bound(pending);
        self.min_victim_upt.iter().any(|(&(priority, team), upt)| {
            (priority < job.spec.priority && *upt < upt_upper_bound)
                || (within_guarantee && team != job.team && self.exceeds_guarantee(team))
        })
    }

    /// Upper bound of the utility per time of the group's tasks on any machine: the
    /// utility of ending now over the remaining run time.
    fn upt_upper_bound(&self, pending: &PendingGroup) -> f64 {
        let remaining_s = self.remaining_s(pending.job_index, pending.group.checkpointed_s());
        self.cluster.utility(pending.group.job, self.now) / remaining_s
    }

    /// Makes room for pending tasks of the group's job: first reserves for them what is
    /// already being freed on slots, then preempts running attempts for the tasks without
    /// such a reservation, on the cheapest slots first.
    ///
    /// `headroom` is the number of tasks that the team's quota allows. Done once per
    /// round and job, for all of the job's pending tasks.
    pub(super) fn preempt_for(&mut self, pending: &PendingGroup<'a>, headroom: usize) {
        let job_index = pending.job_index;
        if std::mem::replace(&mut self.jobs[job_index].preemption_tried, true) {
            return;
        }
        let mut tasks = self.unplaced_tasks(job_index, headroom);
        for slot in self.slots_being_freed.clone() {
            self.reserve_freed_slot(job_index, slot, &mut tasks);
        }
        if tasks.needed == 0 || !self.has_preemptible(pending) {
            return;
        }
        let mut heap = self.slots_by_preemption_cost(pending);
        while tasks.needed > 0 {
            let Some(best) = heap.pop() else { return };
            if tasks.needed_on(&self.slots[best.slot].worker.name) == 0 {
                continue;
            }
            // The cost may be out of date: preemptions made since may have brought a
            // victim's team down to its guarantee, which protects the victim.
            let Some(cost) = self.preemption_cost(pending, best.slot) else {
                continue;
            };
            if cost > best.cost {
                heap.push(SlotCost { cost, ..best });
                continue;
            }
            self.preempt_on(pending, best.slot);
            self.reserve_freed_slot(job_index, best.slot, &mut tasks);
            if let Some(cost) = self.preemption_cost(pending, best.slot) {
                heap.push(SlotCost { cost, ..best });
            }
        }
    }

    /// The job's tasks that may start now and are not placed, including resumable ones.
    /// `headroom` is the number of tasks that the team's quota allows.
    fn unplaced_tasks(&self, job_index: usize, headroom: usize) -> UnplacedTasks<'a> {
        let entry = &self.jobs[job_index];
        let resumables = entry.job.resumable.values();
        let mut ready = 0;
        let mut avoiding = BTreeMap::new();
        for task in resumables.filter(|task| task.not_before <= self.now) {
            ready += 1;
            if let Some(machine) = task.avoided_machine_at(self.now) {
                *avoiding.entry(machine).or_default() += 1;
            }
        }
        let startable = self.unplaced_pending_count(job_index) + ready - entry.resumables_placed;
        UnplacedTasks {
            needed: startable.min(headroom),
            startable,
            avoiding,
        }
    }

    /// All slots on which preemption can make room for a task of the group, cheapest
    /// first.
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

    /// Reserves what is being freed on a slot for as many of the tasks as fit and may use it,
    /// and takes these off `tasks`.
    fn reserve_freed_slot(
        &mut self,
        job_index: usize,
        slot_index: usize,
        tasks: &mut UnplacedTasks,
    ) {
        let job = self.jobs[job_index].job;
        let machine = &self.slots[slot_index].worker.name;
        while tasks.needed_on(machine) > 0
            && self.slots[slot_index].room_after_stops.can_take(&job.spec)
            && self.is_allowed(job_index, slot_index)
        {
            self.slots[slot_index].room_after_stops.take(&job.spec, 1);
            self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
            tasks.take_room_on(machine);
        }
    }

    /// Preempts victims on a slot, lowest utility per time first, until a task of the
    /// group fits.
    fn preempt_on(&mut self, pending: &PendingGroup<'a>, slot_index: usize) {
        let spec = &pending.group.job.spec;
        let gain = self.expected_gain(pending, slot_index);
        let mut next_victim = 0;
        while next_victim < self.slots[slot_index].victims.len()
            && !self.slots[slot_index].room_after_stops.can_take(spec)
        {
            let victim = self.slots[slot_index].victims[next_victim];
            if !self.may_preempt(pending, &victim, gain) {
                next_victim += 1;
                continue;
            }
            let slot = &mut self.slots[slot_index];
            slot.victims.remove(next_victim);
            slot.room_after_stops.add_released_by(victim.attempt);
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
