//! Free room: the best spot for a group's next task.
//!
//! Every job looks at the machines once; then a heap of spots for each machine
//! type answers for its next task, and only the machines that the round has
//! touched since are looked at again.

use super::{
    Group,
    ordering::Entry,
    round::{Round, Waiting},
};
use crate::{
    image_locality::{apart_in, is_replicated},
    model::*,
    parts::Aside,
};
use std::collections::BinaryHeap;

/// A job's spots, best first, by machine type and zone.
pub(super) struct Finder {
    heaps: Vec<BinaryHeap<Entry>>,
    /// Size from which on machines are left to others.
    spared: f64,
    /// How much of the round's log it has taken up.
    seen: usize,
}

/// An amount that no machine has room for any more in this round.
#[derive(Debug, Clone, Copy)]
pub(super) struct Full(Room);

impl Full {
    /// Whether a task that needs as much or more finds no room either.
    fn covers(&self, spec: &tallygauge_protocol::users::JobSpec) -> bool {
        let Room {
            cpus,
            gpus,
            memory_gb,
        } = self.0;
        spec.cpus >= cpus && spec.gpus >= gpus && spec.memory_gb >= memory_gb
    }
}

/// The most that any machine has, or will have when what stops there is gone.
pub(super) struct Outlook(Room);

impl Outlook {
    /// Whether a group may find a room, or have one made, at all. Rooms only
    /// shrink within a round, and what may be stopped only gets less, so that
    /// all others can be left out from the beginning.
    pub(super) fn any(&self, round: &Round, waiting: &Waiting) -> bool {
        self.0.holds(&waiting.group.job.spec) || round.any_stoppable(waiting)
    }
}

impl<'a> Round<'a> {
    pub(super) fn outlook(&self) -> Outlook {
        let mut most = Room::default();
        for s in &self.slots {
            most.cpus = most.cpus.max(s.soon.cpus);
            most.gpus = most.gpus.max(s.soon.gpus);
            most.memory_gb = most.memory_gb.max(s.soon.memory_gb);
        }
        Outlook(most)
    }

    pub(super) fn allowed(&self, at: usize, slot: usize) -> bool {
        let s = &self.slots[slot];
        let entrant = &self.entrants[at];
        let job = entrant.job;
        let begins = entrant.begin.is_some();
        let first = entrant.seat.is_some() || begins;
        let kept = |a: Aside| job.spec.cpus < a.least || !first;
        let kept_to_begin = |least: f64| job.spec.cpus < least || !begins;
        if s.aside.is_some_and(kept) || s.to_begin.is_some_and(kept_to_begin) {
            return false;
        }
        let zones = entrant.zones.as_ref().unwrap_or(&job.zones);
        let w = s.worker;
        job.allows(&w.machine_type, &w.zone, w.spot, zones)
    }

    /// Size from which on machines are left to others, if the job can do with
    /// smaller ones.
    fn spared(&self, job: &Job) -> f64 {
        if self.c.least_type(job) < self.contended {
            self.contended
        } else {
            f64::MAX
        }
    }

    /// Time until a task of the job that begins with `saved_s` ends on a slot,
    /// were it started now.
    pub(super) fn time_on(&self, at: usize, saved_s: f64, slot: usize) -> f64 {
        let s = &self.slots[slot];
        let rate = self.types[s.of_type].fetch_gb_per_s;
        let spec = &self.entrants[at].job.spec;
        let fetch = s.images.fetch_s(&spec.image, spec.image_gb, rate, self.now);
        fetch + self.remaining(at, saved_s)
    }

    fn entry(&self, at: usize, slot: usize, spared: f64) -> Option<Entry> {
        let s = &self.slots[slot];
        let job = self.entrants[at].job;
        if !s.room.holds(&job.spec)
            || s.tasks >= self.c.cfg.tasks_per_worker
            || !self.allowed(at, slot)
        {
            return None;
        }
        let time = self.time_on(at, 0.0, slot);
        let t = self.types[s.of_type];
        let packing = self
            .c
            .packing(s.worker, t, s.room.cpus, self.largest, spared);
        let apart = self.beside(at, slot);
        Some(Entry {
            cost: time + packing + apart,
            slot,
            version: s.version,
        })
    }

    /// Seconds that a place costs a replica beside others on the machine.
    fn beside(&self, at: usize, slot: usize) -> f64 {
        let entrant = &self.entrants[at];
        if !is_replicated(entrant.job) {
            return 0.0;
        }
        let id = entrant.job.spec.id.as_str();
        let held = self.slots[slot].worker.held.iter();
        let there = held.filter(|h| h.occupies() && h.spec.id == id).count();
        let placed = entrant.beside.get(&slot).copied().unwrap_or(0);
        self.c.cfg.spread.risk_s * (there as f64 + f64::from(placed))
    }

    /// Seconds that a place in a zone costs a replica beside others there.
    fn beside_in(&self, at: usize, of_zone: usize) -> f64 {
        let entrant = &self.entrants[at];
        if !is_replicated(entrant.job) || entrant.job.spec.one_zone {
            return 0.0;
        }
        let zones = entrant.zones.as_ref().unwrap_or(&entrant.job.zones);
        let count = match entrant.job.spec.zone {
            Some(_) => 1,
            None => self.sites.len() as u32,
        };
        let place = apart_in(zones, self.sites[of_zone], count);
        self.c.cfg.spread.zone_cost_s(place)
    }

    /// Whether it is known already that no machine has room for a task of the
    /// job: rooms only shrink within a round.
    fn known_full(&self, at: usize) -> bool {
        let entrant = &self.entrants[at];
        entrant.seat.is_none()
            && entrant.begin.is_none()
            && self.full.iter().any(|f| f.covers(&entrant.job.spec))
    }

    fn note_full(&mut self, at: usize) {
        let entrant = &self.entrants[at];
        let spec = &entrant.job.spec;
        // Only a job that may be anywhere tells of all machines.
        let anywhere = spec.types.is_none()
            && spec.zone.is_none()
            && !spec.one_zone
            && !spec.spread
            && spec.spot;
        if !anywhere || entrant.seat.is_some() || entrant.begin.is_some() {
            return;
        }
        let need = Full(Room {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        });
        self.full.push(need);
    }

    /// The best slot with free room for a task of the group, and its UPT there.
    pub(super) fn best_spot(&mut self, waiting: &Waiting<'a>) -> Option<(usize, f64)> {
        let (at, group) = (waiting.at, &waiting.group);
        if self.known_full(at) {
            return None;
        }
        let mut finder = self.entrants[at].finder.take().unwrap_or_else(|| {
            let mut heaps = vec![Vec::new(); self.types.len() * self.sites.len()];
            let spared = self.spared(group.job);
            for slot in 0..self.slots.len() {
                if let Some(entry) = self.entry(at, slot, spared) {
                    heaps[self.heap_of(slot)].push(entry);
                }
            }
            Finder {
                heaps: heaps.into_iter().map(BinaryHeap::from).collect(),
                spared,
                seen: self.log.len(),
            }
        });
        for &slot in &self.log[finder.seen..] {
            if let Some(entry) = self.entry(at, slot, finder.spared) {
                finder.heaps[self.heap_of(slot)].push(entry);
            }
        }
        finder.seen = self.log.len();
        let best = self.best_of(&mut finder, at, group);
        let empty = finder.heaps.iter().all(BinaryHeap::is_empty);
        self.entrants[at].finder = Some(finder);
        let Some(best) = best else {
            if empty {
                self.note_full(at);
            }
            return None;
        };
        let saved = group.saved_on(&self.types[self.slots[best.slot].of_type].name);
        let time = self.time_on(at, saved, best.slot);
        let worth = self.c.order_worth(group.job, self.now + time * 0.5);
        Some((best.slot, worth / time))
    }

    /// The heap that a slot belongs to.
    fn heap_of(&self, slot: usize) -> usize {
        let s = &self.slots[slot];
        s.of_type * self.sites.len() + s.of_zone
    }

    fn best_of(&self, finder: &mut Finder, at: usize, group: &Group<'a>) -> Option<Entry> {
        let whole = self.remaining(at, 0.0);
        let mut best: Option<Entry> = None;
        for (n, heap) in finder.heaps.iter_mut().enumerate() {
            let (of_type, of_zone) = (n / self.sites.len(), n % self.sites.len());
            let saved = group.saved_on(&self.types[of_type].name);
            let less = whole - self.remaining(at, saved) - self.beside_in(at, of_zone);
            let mut aside = None;
            while let Some(&head) = heap.peek() {
                let s = &self.slots[head.slot];
                // Rooms only shrink within a round, and zones only fill.
                if s.version != head.version || !self.allowed(at, head.slot) {
                    heap.pop();
                } else if group
                    .resume
                    .is_some_and(|r| r.avoid.as_ref() == Some(&s.worker.name))
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
