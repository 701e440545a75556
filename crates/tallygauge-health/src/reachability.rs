//! Whether messages to a machine arrive.

/// Evidence that messages to a machine don't arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A heartbeat shows no effect of what the response before it carried.
    NotAcknowledged,
    /// A probe or command sent to it got no reply, though its heartbeats arrive.
    Unanswered,
    /// Its lease expired though all its heartbeats were answered: it has received
    /// none of the responses of a whole lease.
    LeaseExpired,
}

/// How much evidence it takes, and for how long evidence counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReachabilityThresholds {
    /// Pieces of evidence in a row from which on a machine is suspected and gets no
    /// new work.
    pub suspected: u32,
    /// Pieces of evidence in a row from which on it is unreachable.
    pub unreachable: u32,
    /// Seconds within which two pieces of evidence count as one event: a single lost
    /// response must not count twice.
    pub min_interval_s: f64,
    /// Seconds after which evidence is forgotten if no other follows.
    pub expiry_s: f64,
}

/// Whether messages to a machine arrive, as far as can be told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reachability {
    /// There is no evidence against it.
    #[default]
    Reachable,
    /// There is evidence, but not enough of it to call the machine unreachable.
    Suspected {
        /// Pieces of evidence in a row.
        evidence_count: u32,
        /// When the last of them came.
        last_at: f64,
    },
    /// Messages don't arrive.
    Unreachable {
        /// When the machine was first found unreachable.
        since: f64,
    },
}

impl Reachability {
    /// Records that a message arrived: the machine replied, or did what it was told.
    pub fn confirm(&mut self) {
        *self = Self::Reachable;
    }

    /// Records evidence. Returns whether the machine has become unreachable by it.
    pub fn record(
        &mut self,
        evidence: Evidence,
        now: f64,
        thresholds: &ReachabilityThresholds,
    ) -> bool {
        let weight = match evidence {
            Evidence::NotAcknowledged | Evidence::Unanswered => 1,
            Evidence::LeaseExpired => thresholds.unreachable,
        };
        let evidence_count = match *self {
            Self::Unreachable { .. } => return false,
            Self::Reachable => weight,
            Self::Suspected {
                evidence_count,
                last_at,
            } => {
                let since_last_s = now - last_at;
                if since_last_s > thresholds.expiry_s {
                    weight
                } else if since_last_s < thresholds.min_interval_s {
                    evidence_count.max(weight)
                } else {
                    evidence_count + weight
                }
            }
        };
        *self = if evidence_count >= thresholds.unreachable {
            Self::Unreachable { since: now }
        } else {
            Self::Suspected {
                evidence_count,
                last_at: now,
            }
        };
        matches!(self, Self::Unreachable { .. })
    }

    /// Whether the machine may get new work.
    #[must_use]
    pub fn accepts_work(&self, now: f64, thresholds: &ReachabilityThresholds) -> bool {
        match *self {
            Self::Reachable => true,
            Self::Suspected {
                evidence_count,
                last_at,
            } => evidence_count < thresholds.suspected || now - last_at > thresholds.expiry_s,
            Self::Unreachable { .. } => false,
        }
    }

    /// Whether the machine should be probed, as there is evidence against it.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        !matches!(self, Self::Reachable)
    }

    /// Seconds since the machine was found unreachable; `None` if it is not.
    #[must_use]
    pub fn unreachable_for(&self, now: f64) -> Option<f64> {
        match *self {
            Self::Unreachable { since } => Some(now - since),
            Self::Reachable | Self::Suspected { .. } => None,
        }
    }
}

#[cfg(test)]
mod tests;
