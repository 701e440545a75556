//! Free slots: the best one for a group's next task.
//!
//! Every job scores all slots once. Afterwards a heap of slots for each machine
//! type and zone answers for its next task, and only slots that the round has
//! changed since are scored again.

use super::{
    TaskGroup,
    ordering::SlotCost,
    round_state::{CandidateIndex, ExhaustedRequest, PendingGroup, Round},
};
use crate::{
    image_locality::{is_replicated, replica_counts_in},
    model::*,
};
use std::collections::BinaryHeap;

/// The slot on which a group's next task is best placed.
pub(super) struct BestSlot {
    pub(super) slot: usize,
    /// Utility per time of the task there.
    pub(super) upt: f64,
}

impl<'a> Round<'a> {
    /// Whether a task of the job may be placed on a slot, by the slot's
    /// reservations and the job's constraints.
    pub(super) fn is_allowed(&self, job_index: usize, slot_index: usize) -> bool {
        let slot = &self.slots[slot_index];
        let entry = &self.jobs[job_index];
        let cpus = entry.job.spec.cpus;
        let reserved_for_claims = slot
            .reservation
            .is_some_and(|r| cpus < r.min_task_cpus || !entry.has_priority());
        let reserved_for_starts = slot
            .start_reservation
            .is_some_and(|min_task_cpus| cpus < min_task_cpus || entry.start_order.is_none());
        if reserved_for_claims || reserved_for_starts {
            return false;
        }
        let worker = slot.worker;
        entry.job.allows(
            &worker.machine_type,
            &worker.zone,
            worker.spot,
            entry.attempts_by_zone(),
        )
    }

    /// Seconds until a task of the job that resumes from `checkpointed_s` would end
    /// on a slot, were it started now.
    pub(super) fn completion_time_s(
        &self,
        job_index: usize,
        checkpointed_s: f64,
        slot_index: usize,
    ) -> f64 {
        let slot = &self.slots[slot_index];
        let rate = self.types[slot.type_index].fetch_gb_per_s;
        let spec = &self.jobs[job_index].job.spec;
        let fetch_s = slot
            .images
            .fetch_s(&spec.image, spec.image_gb, rate, self.now);
        fetch_s + self.remaining_s(job_index, checkpointed_s)
    }

    /// The best slot with free resources for a task of the group.
    pub(super) fn best_slot(&mut self, pending: &PendingGroup<'a>) -> Option<BestSlot> {
        let (job_index, group) = (pending.job_index, &pending.group);
        if self.is_known_exhausted(job_index) {
            return None;
        }
        let mut candidates = match self.jobs[job_index].candidates.take() {
            Some(candidates) => candidates,
            None => self.index_candidates(job_index),
        };
        self.refresh_candidates(&mut candidates, job_index);
        let best = self.cheapest_candidate(&mut candidates, job_index, group);
        let has_none = candidates.heaps.iter().all(BinaryHeap::is_empty);
        self.jobs[job_index].candidates = Some(candidates);
        let Some(best) = best else {
            if has_none {
                self.record_exhausted(job_index);
            }
            return None;
        };
        let machine_type = self.types[self.slots[best.slot].type_index];
        let checkpointed_s = group.checkpoint_on(&machine_type.name);
        let time_s = self.completion_time_s(job_index, checkpointed_s, best.slot);
        let utility = self
            .cluster
            .ordering_utility(group.job, self.now + time_s * 0.5);
        Some(BestSlot {
            slot: best.slot,
            upt: utility / time_s,
        })
    }

    /// Whether no machine is known to fit a task of the job any more: free
    /// resources only shrink within a round.
    fn is_known_exhausted(&self, job_index: usize) -> bool {
        let entry = &self.jobs[job_index];
        !entry.has_priority() && self.exhausted.iter().any(|e| e.covers(&entry.job.spec))
    }

    /// Remembers that no machine fits a task of the job, if that holds for other
    /// jobs as well.
    fn record_exhausted(&mut self, job_index: usize) {
        let entry = &self.jobs[job_index];
        let spec = &entry.job.spec;
        let is_unconstrained = spec.machine_types.is_none()
            && spec.zone.is_none()
            && !spec.one_zone
            && !spec.spread
            && spec.spot;
        if is_unconstrained && !entry.has_priority() {
            self.exhausted.push(ExhaustedRequest::of_job(spec));
        }
    }

    /// Scores all slots for the job.
    fn index_candidates(&self, job_index: usize) -> CandidateIndex {
        let mut heaps = vec![Vec::new(); self.types.len() * self.zones.len()];
        let contended_cpus = self.contended_cpus_for(self.jobs[job_index].job);
        for slot in 0..self.slots.len() {
            if let Some(entry) = self.slot_cost(job_index, slot, contended_cpus) {
                heaps[self.heap_of(slot)].push(entry);
            }
        }
        CandidateIndex {
            heaps: heaps.into_iter().map(BinaryHeap::from).collect(),
            contended_cpus,
            touched_seen: self.touched_slots.len(),
        }
    }

    /// Scores the slots again that have changed since the index last saw them.
    fn refresh_candidates(&self, candidates: &mut CandidateIndex, job_index: usize) {
        for &slot in &self.touched_slots[candidates.touched_seen..] {
            if let Some(entry) = self.slot_cost(job_index, slot, candidates.contended_cpus) {
                candidates.heaps[self.heap_of(slot)].push(entry);
            }
        }
        candidates.touched_seen = self.touched_slots.len();
    }

    /// Index of the heap that a slot belongs to.
    fn heap_of(&self, slot_index: usize) -> usize {
        let slot = &self.slots[slot_index];
        slot.type_index * self.zones.len() + slot.zone_index
    }

    /// CPUs from which on machines are left to other jobs, if smaller ones fit this
    /// job.
    fn contended_cpus_for(&self, job: &Job) -> f64 {
        if self.cluster.smallest_fitting_cpus(job) < self.contended_cpus {
            self.contended_cpus
        } else {
            f64::MAX
        }
    }

    /// Cost of a slot for a whole task of the job; `None` if it can't run there.
    fn slot_cost(
        &self,
        job_index: usize,
        slot_index: usize,
        contended_cpus: f64,
    ) -> Option<SlotCost> {
        let slot = &self.slots[slot_index];
        let job = self.jobs[job_index].job;
        if !slot.free_resources.can_fit(&job.spec)
            || slot.tasks >= self.cluster.config.max_tasks_per_worker
            || !self.is_allowed(job_index, slot_index)
        {
            return None;
        }
        let time_s = self.completion_time_s(job_index, 0.0, slot_index);
        let packing_s = self.cluster.packing_cost_s(
            slot.worker,
            self.types[slot.type_index],
            slot.free_resources.cpus,
            self.largest_cpus,
            contended_cpus,
        );
        let replica_s = self.replica_machine_cost_s(job_index, slot_index);
        Some(SlotCost {
            cost: time_s + packing_s + replica_s,
            slot: slot_index,
            version: slot.version,
        })
    }

    /// Cost of placing a replica on a machine that has others of the job.
    fn replica_machine_cost_s(&self, job_index: usize, slot_index: usize) -> f64 {
        let entry = &self.jobs[job_index];
        if !is_replicated(entry.job) {
            return 0.0;
        }
        let id = entry.job.spec.id.as_str();
        let attempts = self.slots[slot_index].worker.attempts.iter();
        let on_machine = attempts
            .filter(|a| a.occupies_capacity() && a.spec.id == id)
            .count();
        let placed = entry.replicas_placed.get(&slot_index).copied().unwrap_or(0);
        self.cluster.config.replica_spread.risk_s * (on_machine as f64 + f64::from(placed))
    }

    /// Cost of placing a replica in a zone that has others of the job.
    fn replica_zone_cost_s(&self, job_index: usize, zone_index: usize) -> f64 {
        let entry = &self.jobs[job_index];
        if !is_replicated(entry.job) || entry.job.spec.one_zone {
            return 0.0;
        }
        let zone_count = match entry.job.spec.zone {
            Some(_) => 1,
            None => self.zones.len() as u32,
        };
        let counts =
            replica_counts_in(entry.attempts_by_zone(), self.zones[zone_index], zone_count);
        self.cluster.config.replica_spread.zone_cost_s(counts)
    }

    /// The cheapest of the heaps' best slots, with what the group's checkpoint saves
    /// on each machine type and what each zone costs a replica.
    fn cheapest_candidate(
        &self,
        candidates: &mut CandidateIndex,
        job_index: usize,
        group: &TaskGroup<'a>,
    ) -> Option<SlotCost> {
        let whole_s = self.remaining_s(job_index, 0.0);
        let mut best: Option<SlotCost> = None;
        for (heap_index, heap) in candidates.heaps.iter_mut().enumerate() {
            let type_index = heap_index / self.zones.len();
            let zone_index = heap_index % self.zones.len();
            let checkpointed_s = group.checkpoint_on(&self.types[type_index].name);
            let discount_s = whole_s
                - self.remaining_s(job_index, checkpointed_s)
                - self.replica_zone_cost_s(job_index, zone_index);
            let Some(head) = self.best_of_heap(heap, job_index, group) else {
                continue;
            };
            let cost = head.cost - discount_s;
            if best
                .as_ref()
                .is_none_or(|b| (cost, head.slot) < (b.cost, b.slot))
            {
                best = Some(SlotCost { cost, ..head });
            }
        }
        best
    }

    /// The cheapest slot of a heap that the group may use. Stale and disallowed
    /// entries are dropped: free resources only shrink within a round, and zones
    /// only fill.
    fn best_of_heap(
        &self,
        heap: &mut BinaryHeap<SlotCost>,
        job_index: usize,
        group: &TaskGroup<'a>,
    ) -> Option<SlotCost> {
        let mut avoided = None;
        let mut best = None;
        while let Some(&head) = heap.peek() {
            let slot = &self.slots[head.slot];
            if slot.version != head.version || !self.is_allowed(job_index, head.slot) {
                heap.pop();
            } else if group
                .resumable
                .is_some_and(|r| r.avoid_machine.as_ref() == Some(&slot.worker.name))
            {
                avoided = heap.pop();
            } else {
                best = Some(head);
                break;
            }
        }
        heap.extend(avoided);
        best
    }
}
