//! Reachability of a machine: whether messages to it arrive.

/// One observation that suggests that messages to a machine don't arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A heartbeat does not reflect the content of the response to the heartbeat before
    /// it.
    NotAcknowledged,
    /// A probe or command to the machine got no reply, although its heartbeats arrive.
    Unanswered,
    /// The machine's lease expired although all its heartbeats were responded to: it has
    /// received none of the responses for the duration of a lease.
    LeaseExpired,
}

/// Thresholds of the reachability states, and the time for which evidence counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReachabilityThresholds {
    /// Number of pieces of evidence since the last confirmation at which a machine stops
    /// getting new work.
    pub no_new_work: u32,
    /// Number of pieces of evidence since the last confirmation at which a machine counts as
    /// unreachable.
    pub unreachable: u32,
    /// Pieces of evidence less than this many seconds apart count as one, so that a single
    /// lost response does not count twice.
    pub min_interval_s: f64,
    /// Seconds after which evidence is discarded if no further evidence follows.
    pub expiry_s: f64,
}

/// Whether messages to a machine arrive, according to the evidence so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reachability {
    /// There is no evidence that messages don't arrive.
    #[default]
    Reachable,
    /// There is evidence, but less than the threshold of an unreachable machine.
    Suspected {
        /// Number of pieces of evidence since the last confirmation, without expired ones.
        evidence_count: u32,
        /// Time of the latest evidence.
        last_at: f64,
    },
    /// The evidence has reached the threshold: messages are taken not to arrive.
    Unreachable {
        /// When the machine became unreachable.
        since: f64,
    },
}

impl Reachability {
    /// Records that a message arrived, as shown by a reply or by the effect of a command.
    pub fn confirm(&mut self) {
        *self = Self::Reachable;
    }

    /// Records evidence. Returns whether this evidence made the machine unreachable.
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
            } => evidence_count < thresholds.no_new_work || now - last_at > thresholds.expiry_s,
            Self::Unreachable { .. } => false,
        }
    }

    /// Whether the machine should be probed, as there is evidence that messages to it
    /// don't arrive.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        !matches!(self, Self::Reachable)
    }

    /// Seconds since the machine became unreachable; `None` if it is not unreachable.
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
