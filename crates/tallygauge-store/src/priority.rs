//! Priorities of requests to the key-value store.

use std::time::Duration;

/// What a request is for, most important first. A priority may only use tokens that
/// the priorities above it have left over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Terms, leases and watches: never waits.
    Leadership,
    /// Submissions and cancellations.
    Users,
    /// Placements.
    Placement,
    /// Finished tasks and the removal of obsolete records.
    Progress,
    /// What can be done without.
    Maintenance,
    /// Users' polls. Their number is not bounded, so they must never take what the
    /// others need: they come last and use all that is left. A small part of the
    /// requests is reserved for them, so that each is answered in the end however
    /// busy the others are.
    Polls,
}

impl RequestPriority {
    /// Part of the burst that this priority leaves to the ones above it.
    pub(crate) fn reserved_share(self) -> f64 {
        match self {
            RequestPriority::Leadership => f64::NEG_INFINITY,
            RequestPriority::Users => 0.1,
            RequestPriority::Placement => 0.25,
            RequestPriority::Progress => 0.4,
            RequestPriority::Maintenance => 0.5,
            RequestPriority::Polls => 0.6,
        }
    }

    /// How long a request may wait for its permit.
    pub(crate) fn max_wait(self) -> Duration {
        match self {
            RequestPriority::Leadership => Duration::ZERO,
            RequestPriority::Users | RequestPriority::Polls => Duration::from_millis(800),
            RequestPriority::Placement
            | RequestPriority::Progress
            | RequestPriority::Maintenance => Duration::from_millis(1500),
        }
    }
}
