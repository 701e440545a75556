//! Sort orders of a scheduling round: of pending tasks, and of slots in a heap.

use std::cmp::Ordering;

/// Sort key of pending tasks; the task with the greatest key is placed first.
///
/// Compared in this order:
/// 1. tasks of jobs within their team's guarantee come before all others;
/// 2. the higher utility per time comes first;
/// 3. the job accepted earlier comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlacementOrder {
    pub(crate) within_guarantee: bool,
    /// Utility per time, in utility units per second.
    pub(crate) upt: f64,
    pub(crate) accepted_at: f64,
}

impl Eq for PlacementOrder {}

impl PartialOrd for PlacementOrder {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PlacementOrder {
    fn cmp(&self, other: &Self) -> Ordering {
        self.within_guarantee
            .cmp(&other.within_guarantee)
            .then(self.upt.total_cmp(&other.upt))
            .then(other.accepted_at.total_cmp(&self.accepted_at))
    }
}

/// A slot and its cost. The order is reversed, so that a `BinaryHeap`, a max-heap,
/// yields the cheapest slot first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SlotCost {
    /// Seconds for a candidate slot, utility per time for a preemption.
    pub(super) cost: f64,
    /// Index into the round's slots.
    pub(super) slot: usize,
    /// The slot's version when the cost was computed. The cost is stale if the slot's
    /// version has increased since.
    pub(super) version: u32,
}

impl Eq for SlotCost {}

impl PartialOrd for SlotCost {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SlotCost {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then(other.slot.cmp(&self.slot))
            .then(other.version.cmp(&self.version))
    }
}
