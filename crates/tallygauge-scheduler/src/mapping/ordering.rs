//! Orders of what a round looks at: pending tasks, and slots in a heap.

use std::cmp::Ordering;

/// Order in which pending tasks are placed: tasks within their team's guarantee
/// first, then by utility per time, then by age. The greatest is placed first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlacementOrder {
    pub(crate) within_guarantee: bool,
    /// Utility per time, in 1/s.
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

/// A slot and its cost. The order is reversed, so that a heap yields the cheapest
/// slot first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SlotCost {
    pub(super) cost: f64,
    /// Index into the round's slots.
    pub(super) slot: usize,
    /// The slot's version when the cost was computed; a later one means that the
    /// cost is stale.
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
