//! What comes first.

use std::cmp::Ordering;

/// What comes first: work within its guarantee, then UPT, then age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlacementOrder {
    pub(crate) within_guarantee: bool,
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

/// A number that orders slots, least first in a heap, with where it leads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Entry {
    pub(super) cost: f64,
    pub(super) slot: usize,
    /// The slot's count of changes when this was worked out.
    pub(super) version: u32,
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then(other.slot.cmp(&self.slot))
            .then(other.version.cmp(&self.version))
    }
}
