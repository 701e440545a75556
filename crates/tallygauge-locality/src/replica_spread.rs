//! Seconds of fetch against replicas at risk.

/// What a replica placed somewhere shares with those of its job that run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Replicas of the job on that machine.
    pub on_machine: u32,
    /// Replicas of the job in that zone.
    pub in_zone: u32,
    /// Replicas of the job anywhere.
    pub running: u32,
    /// Zones in which the job may run.
    pub zones: u32,
}

/// How much a replica that one failure takes along with others is worth, in
/// seconds of fetch: the operators' one weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSpread {
    /// Seconds of fetch for a replica at risk.
    pub risk_s: f64,
}

impl ReplicaSpread {
    /// Seconds that a place costs besides the fetch: each replica that is on the
    /// machine already counts whole, and in a zone each beyond an even part,
    /// which is the first in a zone always, so that the first replicas go apart
    /// and later ones may go together.
    #[must_use]
    pub fn cost_s(&self, place: ReplicaCounts) -> f64 {
        let machine = f64::from(place.on_machine);
        self.risk_s * machine + self.zone_cost_s(place)
    }

    /// The part of that cost that is the same on all machines of a zone.
    #[must_use]
    pub fn zone_cost_s(&self, place: ReplicaCounts) -> f64 {
        let even = (place.running + 1).div_ceil(place.zones.max(1));
        let beyond = (place.in_zone + 1).saturating_sub(even);
        self.risk_s * f64::from(beyond)
    }
}

#[cfg(test)]
mod tests;
