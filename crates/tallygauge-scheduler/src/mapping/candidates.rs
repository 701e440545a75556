//! Finds the best free slot for a group's next task.
//!
//! The cost of all slots is computed once for each job and kept in one heap per
//! machine type and zone. For the job's later tasks only the slots that the round has
//! changed since are scored again.

use super::{
    TaskGroup,
    ordering::SlotCost,
    round_state::{CandidateIndex, PendingGroup, Round, UnplaceableRequest},
};
use crate::{
    image_locality::{is_replicated, replica_counts_for_zone},
    model::*,
};
use std::collections::BinaryHeap;

/// The best free slot for a group's next task.
pub(super) struct BestSlot {
    /// Index into [`Round::slots`].
    pub(super) slot: usize,
    /// Utility per time of the task on this slot.
    pub(super) upt: f64,
}

impl<'a> Round<'a> {
    /// Whether the slot's reservations and the job's constraints allow a task of the
    /// job on the slot. Free resources are not checked.
    pub(super) fn is_allowed(&self, job_index: usize, slot_index: usize) -> bool {
        let slot = &self.slots[slot_index];
        let entry = &self.jobs[job_index];
        let cpus = entry.job.spec.cpus;
        if !slot.reservations.allow(cpus, entry.precedence()) {
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

    /// Seconds until a task of the job would end if it were started on the slot now
    /// and resumed after `checkpointed_s` seconds of saved run time. Includes the fetch
    /// of the image.
    pub(super) fn time_to_completion_s(
        &self,
        job_index: usize,
        checkpointed_s: f64,
        slot_index: usize,
    ) -> f64 {
        let slot = &self.slots[slot_index];
        let fetch_gb_per_s = self.machine_types[slot.type_index].fetch_gb_per_s;
        let spec = &self.jobs[job_index].job.spec;
        let fetch_s = slot
            .images
            .fetch_s(&spec.image, spec.image_gb, fetch_gb_per_s, self.now);
        fetch_s + self.remaining_s(job_index, checkpointed_s)
    }

    /// The cheapest slot with enough free resources for a task of the group; `None` if
    /// there is none.
    pub(super) fn best_slot(&mut self, pending: &PendingGroup<'a>) -> Option<BestSlot> {
        let (job_index, group) = (pending.job_index, &pending.group);
        if self.was_found_unplaceable(job_index) {
            return None;
        }
        let mut candidates = match self.jobs[job_index].candidates.take() {
            Some(candidates) => candidates,
            None => self.index_candidates(job_index),
        };
        self.refresh_candidates(&mut candidates, job_index);
        let best = self.cheapest_candidate(&mut candidates, job_index, group);
        let no_candidates_left = candidates.heaps.iter().all(BinaryHeap::is_empty);
        self.jobs[job_index].candidates = Some(candidates);
        let Some(best) = best else {
            if no_candidates_left {
                self.record_unplaceable(job_index);
            }
            return None;
        };
        let machine_type = self.machine_types[self.slots[best.slot].type_index];
        let checkpointed_s = group.checkpointed_s_on(&machine_type.name);
        let time_s = self.time_to_completion_s(job_index, checkpointed_s, best.slot);
        let utility = self
            .cluster
            .ordering_utility(group.job, self.now + time_s * 0.5);
        Some(BestSlot {
            slot: best.slot,
            upt: utility / time_s,
        })
    }

    /// Whether an earlier search of this round has shown that no machine fits a task of the
    /// job. The result stays valid, since free resources only shrink within a round.
    fn was_found_unplaceable(&self, job_index: usize) -> bool {
        let entry = &self.jobs[job_index];
        !entry.has_precedence()
            && self
                .unplaceable_requests
                .iter()
                .any(|request| request.covers(&entry.job.spec))
    }

    /// Remembers, for other jobs, that no machine fits a task of this job. Not remembered if
    /// the job's own constraints or precedence may be the cause, since these do not apply to
    /// other jobs.
    fn record_unplaceable(&mut self, job_index: usize) {
        let entry = &self.jobs[job_index];
        let spec = &entry.job.spec;
        let is_unconstrained = spec.machine_types.is_none()
            && spec.zone.is_none()
            && !spec.one_zone
            && !spec.spread
            && spec.spot;
        if is_unconstrained && !entry.has_precedence() {
            self.unplaceable_requests
                .push(UnplaceableRequest::of_job(spec));
        }
    }

    /// Computes the cost of all slots for the job.
    fn index_candidates(&self, job_index: usize) -> CandidateIndex {
        let mut heaps = vec![Vec::new(); self.machine_types.len() * self.zones.len()];
        let min_contended_cpus = self.min_contended_cpus_for(self.jobs[job_index].job);
        for slot in 0..self.slots.len() {
            if let Some(entry) = self.slot_cost(job_index, slot, min_contended_cpus) {
                heaps[self.heap_index_of(slot)].push(entry);
            }
        }
        CandidateIndex {
            heaps: heaps.into_iter().map(BinaryHeap::from).collect(),
            min_contended_cpus,
            changed_slots_seen: self.changed_slots.len(),
        }
    }

    /// Scores again the slots that have changed since the index was last brought up to
    /// date.
    fn refresh_candidates(&self, candidates: &mut CandidateIndex, job_index: usize) {
        for &slot in &self.changed_slots[candidates.changed_slots_seen..] {
            if let Some(entry) = self.slot_cost(job_index, slot, candidates.min_contended_cpus) {
                candidates.heaps[self.heap_index_of(slot)].push(entry);
            }
        }
        candidates.changed_slots_seen = self.changed_slots.len();
    }

    /// Index into [`CandidateIndex::heaps`] of the heap for the slot's machine type and
    /// zone.
    fn heap_index_of(&self, slot_index: usize) -> usize {
        let slot = &self.slots[slot_index];
        slot.type_index * self.zones.len() + slot.zone_index
    }

    /// Number of CPUs from which machines should be left to jobs that need them;
    /// `f64::MAX` if no smaller machine fits this job.
    fn min_contended_cpus_for(&self, job: &Job) -> f64 {
        if self.cluster.smallest_fitting_cpus(job) < self.min_contended_cpus {
            self.min_contended_cpus
        } else {
            f64::MAX
        }
    }

    /// Cost of a slot for a task of the job that starts from the beginning; `None` if
    /// the task can't be placed there now. Zone costs of replicas are not included, see
    /// [`Self::cheapest_candidate`].
    fn slot_cost(
        &self,
        job_index: usize,
        slot_index: usize,
        min_contended_cpus: f64,
    ) -> Option<SlotCost> {
        let slot = &self.slots[slot_index];
        let job = self.jobs[job_index].job;
        if !slot.room.can_take(&job.spec) || !self.is_allowed(job_index, slot_index) {
            return None;
        }
        let time_s = self.time_to_completion_s(job_index, 0.0, slot_index);
        let packing_s = self.cluster.packing_cost_s(
            slot.worker,
            self.machine_types[slot.type_index],
            slot.room.resources.cpus,
            self.max_machine_cpus,
            min_contended_cpus,
        );
        let replica_s = self.same_machine_replica_cost_s(job_index, slot_index);
        Some(SlotCost {
            cost: time_s + packing_s + replica_s,
            slot: slot_index,
            version: slot.version,
        })
    }

    /// Cost, in seconds, of placing a replica on a machine that already has replicas of
    /// the job.
    fn same_machine_replica_cost_s(&self, job_index: usize, slot_index: usize) -> f64 {
        let entry = &self.jobs[job_index];
        if !is_replicated(entry.job) {
            return 0.0;
        }
        let id = entry.job.spec.id.as_str();
        let attempts = self.slots[slot_index].worker.attempts.iter();
        let on_machine = attempts
            .filter(|a| a.occupies_capacity() && a.spec.id == id)
            .count();
        let placed = entry
            .replicas_placed_by_slot
            .get(&slot_index)
            .copied()
            .unwrap_or(0);
        self.cluster.config.replica_spread.risk_s * (on_machine as f64 + f64::from(placed))
    }

    /// Cost, in seconds, of placing a replica in a zone that already has replicas of the
    /// job.
    fn same_zone_replica_cost_s(&self, job_index: usize, zone_index: usize) -> f64 {
        let entry = &self.jobs[job_index];
        if !is_replicated(entry.job) || entry.job.spec.one_zone {
            return 0.0;
        }
        let zone_count = match entry.job.spec.zone {
            Some(_) => 1,
            None => self.zones.len() as u32,
        };
        let counts =
            replica_counts_for_zone(entry.attempts_by_zone(), self.zones[zone_index], zone_count);
        self.cluster.config.replica_spread.zone_cost_s(counts)
    }

    /// The cheapest slot over all heaps. What depends on the machine type or the zone
    /// alone is applied here to the cost of each heap's cheapest slot: the run time that
    /// the group's checkpoint saves, and the zone cost of a replica.
    fn cheapest_candidate(
        &self,
        candidates: &mut CandidateIndex,
        job_index: usize,
        group: &TaskGroup<'a>,
    ) -> Option<SlotCost> {
        let whole_run_s = self.remaining_s(job_index, 0.0);
        let mut best: Option<SlotCost> = None;
        for (heap_index, heap) in candidates.heaps.iter_mut().enumerate() {
            let type_index = heap_index / self.zones.len();
            let zone_index = heap_index % self.zones.len();
            let checkpointed_s = group.checkpointed_s_on(&self.machine_types[type_index].name);
            let discount_s = whole_run_s
                - self.remaining_s(job_index, checkpointed_s)
                - self.same_zone_replica_cost_s(job_index, zone_index);
            let Some(head) = self.cheapest_in_heap(heap, job_index, group) else {
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

    /// The cheapest slot of a heap that the group may use.
    ///
    /// Entries that are stale or not allowed are removed from the heap for good. They
    /// can't become valid later, since within a round free resources only shrink and
    /// the number of tasks in a zone only grows. The machine that the group's task must
    /// avoid is put back, since other tasks of the job may use it.
    fn cheapest_in_heap(
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
            } else if group.avoids(&slot.worker.name, self.now) {
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
