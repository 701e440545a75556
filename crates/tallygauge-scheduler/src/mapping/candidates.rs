//! Free room: the best spot for a group's next task.
//!
//! Every job looks at the machines once; then a heap of spots for each machine
//! type answers for its next task, and only the machines that the round has
//! touched since are looked at again.

use super::{
    Group,
    ordering::Entry,
    round::{PendingGroup, Round},
};
use crate::{
    image_locality::{is_replicated, replica_counts_in},
    model::*,
    parts::Reservation,
};
use std::collections::BinaryHeap;

/// A job's spots, best first, by machine type and zone.
pub(super) struct CandidateIndex {
    heaps: Vec<BinaryHeap<Entry>>,
    /// Size from which on machines are left to others.
    spared: f64,
    /// How much of the round's log it has taken up.
    seen: usize,
}

/// An amount that no machine has room for any more in this round.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExhaustedRequest(Resources);

impl ExhaustedRequest {
    /// Whether a task that needs as much or more finds no room either.
    fn covers(&self, spec: &tallygauge_protocol::users::JobSpec) -> bool {
        let Resources {
            cpus,
            gpus,
            memory_gb,
        } = self.0;
        spec.cpus >= cpus && spec.gpus >= gpus && spec.memory_gb >= memory_gb
    }
}

/// The most that any machine has, or will have when what stops there is gone.
pub(super) struct PlacementForecast(Resources);

impl PlacementForecast {
    /// Whether a group may find a room, or have one made, at all. Rooms only
    /// shrink within a round, and what may be stopped only gets less, so that
    /// all others can be left out from the beginning.
    pub(super) fn any(&self, round: &Round, waiting: &PendingGroup) -> bool {
        self.0.can_fit(&waiting.group.job.spec) || round.any_preemptible(waiting)
    }
}

impl<'a> Round<'a> {
    pub(super) fn outlook(&self) -> PlacementForecast {
        let mut most = Resources::default();
        for s in &self.slots {
            most.cpus = most.cpus.max(s.available_after_preemption.cpus);
            most.gpus = most.gpus.max(s.available_after_preemption.gpus);
            most.memory_gb = most.memory_gb.max(s.available_after_preemption.memory_gb);
        }
        PlacementForecast(most)
    }

    pub(super) fn allowed(&self, at: usize, slot: usize) -> bool {
        let s = &self.slots[slot];
        let entrant = &self.jobs[at];
        let job = entrant.job;
        let begins = entrant.start_order.is_some();
        let first = entrant.claim.is_some() || begins;
        let kept = |a: Reservation| job.spec.cpus < a.min_task_cpus || !first;
        let kept_to_begin = |least: f64| job.spec.cpus < least || !begins;
        if s.reservation.is_some_and(kept) || s.start_reservation.is_some_and(kept_to_begin) {
            return false;
        }
        let zones = entrant.zones.as_ref().unwrap_or(&job.attempts_by_zone);
        let w = s.worker;
        job.allows(&w.machine_type, &w.zone, w.spot, zones)
    }

    /// Size from which on machines are left to others, if the job can do with
    /// smaller ones.
    fn large_machine_cost(&self, job: &Job) -> f64 {
        if self.cluster.smallest_fitting_cpus(job) < self.contended {
            self.contended
        } else {
            f64::MAX
        }
    }

    /// Time until a task of the job that begins with `saved_s` ends on a slot,
    /// were it started now.
    pub(super) fn time_on(&self, at: usize, saved_s: f64, slot: usize) -> f64 {
        let s = &self.slots[slot];
        let rate = self.types[s.type_index].fetch_gb_per_s;
        let spec = &self.jobs[at].job.spec;
        let fetch = s.images.fetch_s(&spec.image, spec.image_gb, rate, self.now);
        fetch + self.remaining(at, saved_s)
    }

    fn entry(&self, at: usize, slot: usize, spared: f64) -> Option<Entry> {
        let s = &self.slots[slot];
        let job = self.jobs[at].job;
        if !s.free_resources.can_fit(&job.spec)
            || s.tasks >= self.cluster.config.max_tasks_per_worker
            || !self.allowed(at, slot)
        {
            return None;
        }
        let time = self.time_on(at, 0.0, slot);
        let t = self.types[s.type_index];
        let packing =
            self.cluster
                .packing(s.worker, t, s.free_resources.cpus, self.largest, spared);
        let apart = self.replica_cost(at, slot);
        Some(Entry {
            cost: time + packing + apart,
            slot,
            version: s.version,
        })
    }

    /// Seconds that a place costs a replica beside others on the machine.
    fn replica_cost(&self, at: usize, slot: usize) -> f64 {
        let entrant = &self.jobs[at];
        if !is_replicated(entrant.job) {
            return 0.0;
        }
        let id = entrant.job.spec.id.as_str();
        let held = self.slots[slot].worker.attempts.iter();
        let there = held
            .filter(|h| h.occupies_capacity() && h.spec.id == id)
            .count();
        let placed = entrant.replicas_placed.get(&slot).copied().unwrap_or(0);
        self.cluster.config.replica_spread.risk_s * (there as f64 + f64::from(placed))
    }

    /// Seconds that a place in a zone costs a replica beside others there.
    fn replica_zone_cost(&self, at: usize, of_zone: usize) -> f64 {
        let entrant = &self.jobs[at];
        if !is_replicated(entrant.job) || entrant.job.spec.one_zone {
            return 0.0;
        }
        let zones = entrant
            .zones
            .as_ref()
            .unwrap_or(&entrant.job.attempts_by_zone);
        let count = match entrant.job.spec.zone {
            Some(_) => 1,
            None => self.zones.len() as u32,
        };
        let place = replica_counts_in(zones, self.zones[of_zone], count);
        self.cluster.config.replica_spread.zone_cost_s(place)
    }

    /// Whether it is known already that no machine has room for a task of the
    /// job: rooms only shrink within a round.
    fn is_known_exhausted(&self, at: usize) -> bool {
        let entrant = &self.jobs[at];
        entrant.claim.is_none()
            && entrant.start_order.is_none()
            && self.exhausted.iter().any(|f| f.covers(&entrant.job.spec))
    }

    fn record_exhausted(&mut self, at: usize) {
        let entrant = &self.jobs[at];
        let spec = &entrant.job.spec;
        // Only a job that may be anywhere tells of all machines.
        let anywhere = spec.machine_types.is_none()
            && spec.zone.is_none()
            && !spec.one_zone
            && !spec.spread
            && spec.spot;
        if !anywhere || entrant.claim.is_some() || entrant.start_order.is_some() {
            return;
        }
        let need = ExhaustedRequest(Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        });
        self.exhausted.push(need);
    }

    /// The best slot with free room for a task of the group, and its UPT there.
    pub(super) fn best_slot(&mut self, waiting: &PendingGroup<'a>) -> Option<(usize, f64)> {
        let (at, group) = (waiting.at, &waiting.group);
        if self.is_known_exhausted(at) {
            return None;
        }
        let mut finder = self.jobs[at].candidates.take().unwrap_or_else(|| {
            let mut heaps = vec![Vec::new(); self.types.len() * self.zones.len()];
            let spared = self.large_machine_cost(group.job);
            for slot in 0..self.slots.len() {
                if let Some(entry) = self.entry(at, slot, spared) {
                    heaps[self.heap_of(slot)].push(entry);
                }
            }
            CandidateIndex {
                heaps: heaps.into_iter().map(BinaryHeap::from).collect(),
                spared,
                seen: self.touched_slots.len(),
            }
        });
        for &slot in &self.touched_slots[finder.seen..] {
            if let Some(entry) = self.entry(at, slot, finder.spared) {
                finder.heaps[self.heap_of(slot)].push(entry);
            }
        }
        finder.seen = self.touched_slots.len();
        let best = self.best_of(&mut finder, at, group);
        let empty = finder.heaps.iter().all(BinaryHeap::is_empty);
        self.jobs[at].candidates = Some(finder);
        let Some(best) = best else {
            if empty {
                self.record_exhausted(at);
            }
            return None;
        };
        let saved = group.checkpoint_on(&self.types[self.slots[best.slot].type_index].name);
        let time = self.time_on(at, saved, best.slot);
        let worth = self
            .cluster
            .ordering_utility(group.job, self.now + time * 0.5);
        Some((best.slot, worth / time))
    }

    /// The heap that a slot belongs to.
    fn heap_of(&self, slot: usize) -> usize {
        let s = &self.slots[slot];
        s.type_index * self.zones.len() + s.zone_index
    }

    fn best_of(&self, finder: &mut CandidateIndex, at: usize, group: &Group<'a>) -> Option<Entry> {
        let whole = self.remaining(at, 0.0);
        let mut best: Option<Entry> = None;
        for (n, heap) in finder.heaps.iter_mut().enumerate() {
            let (of_type, of_zone) = (n / self.zones.len(), n % self.zones.len());
            let saved = group.checkpoint_on(&self.types[of_type].name);
            let less = whole - self.remaining(at, saved) - self.replica_zone_cost(at, of_zone);
            let mut aside = None;
            while let Some(&head) = heap.peek() {
                let s = &self.slots[head.slot];
                // Rooms only shrink within a round, and zones only fill.
                if s.version != head.version || !self.allowed(at, head.slot) {
                    heap.pop();
                } else if group
                    .resumable
                    .is_some_and(|r| r.avoid_machine.as_ref() == Some(&s.worker.name))
                {
                    aside = heap.pop();
                } else {
                    let cost = head.cost - less;
                    let less = |b: &Entry| (cost, head.slot) < (b.cost, b.slot);
                    if best.as_ref().is_none_or(less) {
                        best = Some(Entry { cost, ..head });
                    }
                    break;
                }
            }
            heap.extend(aside);
        }
        best
    }
}
