//! Cost of placing replicas together, in seconds of image fetch.

/// Replicas of a job that a further one would be placed beside.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Replicas of the job on the machine.
    pub on_machine: u32,
    /// Replicas of the job in the machine's zone.
    pub in_zone: u32,
    /// Replicas of the job in all zones.
    pub in_all_zones: u32,
    /// Zones in which the job may run.
    pub zones: u32,
}

/// Weight of replicas that one failure would take together against image fetches, as
/// operators set it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSpread {
    /// Seconds of fetch that a replica at risk is worth.
    pub risk_s: f64,
}

impl ReplicaSpread {
    /// Cost of a placement besides the fetch, seconds.
    ///
    /// Each replica that is on the machine already counts in full. In a zone, those
    /// beyond an even share count. The first replica of a zone is never beyond it, so
    /// the first replicas of a job spread and later ones may be placed together.
    #[must_use]
    pub fn cost_s(&self, replicas: ReplicaCounts) -> f64 {
        self.risk_s * f64::from(replicas.on_machine) + self.zone_cost_s(replicas)
    }

    /// The part of [`cost_s`](Self::cost_s) that is the same for all machines of a zone,
    /// seconds.
    #[must_use]
    pub fn zone_cost_s(&self, replicas: ReplicaCounts) -> f64 {
        let even_share = (replicas.in_all_zones + 1).div_ceil(replicas.zones.max(1));
        let beyond_share = (replicas.in_zone + 1).saturating_sub(even_share);
        self.risk_s * f64::from(beyond_share)
    }
}

#[cfg(test)]
mod tests;
