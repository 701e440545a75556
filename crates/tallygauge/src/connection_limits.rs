//! The process's connections against its limit, and who is refused first when they
//! run short.
//!
//! Workers' heartbeats come first: a worker that gets no connection loses its lease.
//! Direct messages come second, since the response to the worker's next heartbeat
//! carries the same. Users come last, where other controllers can serve them.

use tallygauge_store::ConnectionCount;

/// Fraction of the limit that is reserved for connections to the store, the cloud
/// provider and the peers, and for those that are being closed.
const RESERVED_FRACTION: f64 = 1.0 / 32.0;

/// Fraction of the limit below which free connections are low: connections for
/// direct messages are closed after each message instead of being kept alive.
const LOW_FRACTION: f64 = 1.0 / 4.0;

/// Fraction of the limit below which free connections are critical: users'
/// connections are closed after each response, and a leader sheds users' load.
const CRITICAL_FRACTION: f64 = 1.0 / 8.0;

/// Counts of open connections.
pub struct ConnectionLimits {
    limit: f64,
    /// Connections that workers, users and health checks have opened.
    pub incoming: ConnectionCount,
    outgoing: Vec<ConnectionCount>,
}

impl ConnectionLimits {
    /// Counts against `limit`; `outgoing` counts the connections that this process
    /// opens itself.
    #[must_use]
    pub fn new(limit: u32, outgoing: Vec<ConnectionCount>) -> Self {
        Self {
            limit: f64::from(limit),
            incoming: ConnectionCount::default(),
            outgoing,
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn used(&self) -> usize {
        let outgoing: usize = self.outgoing.iter().map(ConnectionCount::get).sum();
        self.incoming.get() + outgoing
    }

    /// Number of connections that may still be opened, beyond the reserved ones.
    #[must_use]
    pub fn free(&self) -> usize {
        let usable = self.limit * (1.0 - RESERVED_FRACTION);
        (usable - self.used() as f64).max(0.0) as usize
    }

    /// Whether connections for direct messages should not be kept alive.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.has_less_free_than(LOW_FRACTION)
    }

    /// Whether users should be left to the other controllers.
    #[must_use]
    pub fn is_critical(&self) -> bool {
        self.has_less_free_than(CRITICAL_FRACTION)
    }

    fn has_less_free_than(&self, fraction: f64) -> bool {
        (self.free() as f64) < self.limit * fraction
    }
}

#[cfg(test)]
mod tests;
