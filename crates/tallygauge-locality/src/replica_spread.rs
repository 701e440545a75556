//! Cost of placing replicas of a job together, expressed in seconds of image fetch time.

/// Replicas of a job that already run when a further one is to be placed on a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Replicas on that machine.
    pub on_machine: u32,
    /// Replicas in the zone of that machine.
    pub in_zone: u32,
    /// Replicas in all zones together.
    pub in_all_zones: u32,
    /// Number of zones in which the job may run.
    pub zones: u32,
}

/// Weight, set by operators, of replicas that a single failure would take down together,
/// relative to image fetches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaSpread {
    /// Cost of one replica at risk, expressed in seconds of image fetch time.
    pub risk_s: f64,
}

impl ReplicaSpread {
    /// Cost of a placement, without its image fetch, in seconds.
    ///
    /// Each replica that is already on the machine counts. In the zone, only the replicas
    /// beyond its even share count, including the new one. The first replica in a zone is
    /// never beyond the even share. This favors spreading the first replicas of a job over
    /// zones, while later ones may be placed together.
    #[must_use]
    pub fn cost_s(&self, replicas: ReplicaCounts) -> f64 {
        self.risk_s * f64::from(replicas.on_machine) + self.zone_cost_s(replicas)
    }

    /// The part of [`cost_s`](Self::cost_s) that is the same for all machines of a zone, in
    /// seconds.
    #[must_use]
    pub fn zone_cost_s(&self, replicas: ReplicaCounts) -> f64 {
        let even_share = (replicas.in_all_zones + 1).div_ceil(replicas.zones.max(1));
        let beyond_even_share = (replicas.in_zone + 1).saturating_sub(even_share);
        self.risk_s * f64::from(beyond_even_share)
    }
}

#[cfg(test)]
mod tests;
