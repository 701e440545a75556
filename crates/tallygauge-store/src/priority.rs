//! Priorities of requests to the key-value store.

use std::time::Duration;

/// Purpose of a request, from the highest to the lowest priority. Each priority keeps
/// a share of the burst free for the priorities above it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Leader terms, leases and watches; never waits for a permit.
    Leadership,
    /// Users' submissions and cancellations of jobs.
    Users,
    /// Placements of tasks on machines.
    Placement,
    /// Finished tasks and the removal of obsolete records.
    Progress,
    /// Optional work, which may be skipped.
    Maintenance,
    /// Users' polls. Their number is not bounded, so they have the lowest priority
    /// and use what the other priorities leave over. A small share of the request
    /// rate is reserved for polls, so that each is eventually answered however high
    /// the load of the other priorities is.
    Polls,
}

impl RequestPriority {
    /// Fraction of the burst (one second's worth of tokens) that requests of this
    /// priority must leave in the bucket for higher priorities.
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

    /// How long a request of this priority may wait for a permit.
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
