//! Counts the open connections of the process against its limit, and decides which of them
//! are restricted when free connections run short.
//!
//! Connections are kept available in this order of importance:
//!
//! 1. Workers' heartbeats: a worker that gets no connection loses its lease.
//! 2. Direct messages to workers. They are less important than heartbeats, since the response
//!    to the worker's next heartbeat carries the same commands.
//! 3. Users, where other controllers can serve them.

use tallygauge_store::ConnectionCount;

/// Fraction of the limit that is reserved for connections to the store, the cloud provider
/// and the peers, and for connections that are being closed.
const RESERVED_FRACTION: f64 = 1.0 / 32.0;

/// The number of free connections is low if it is below this fraction of the limit.
/// Connections for direct messages are then closed after each message instead of being
/// kept alive.
const LOW_FRACTION: f64 = 1.0 / 4.0;

/// The number of free connections is critical if it is below this fraction of the limit.
/// Users' connections are then closed after each response, and a leader sheds user load.
const CRITICAL_FRACTION: f64 = 1.0 / 8.0;

/// Numbers of open connections, and the limit of the process.
pub struct ConnectionLimits {
    limit: f64,
    /// Connections that workers, users and readiness checks opened to this process.
    pub incoming: ConnectionCount,
    /// Connections that this process opened, one count for each HTTP client.
    outgoing: Vec<ConnectionCount>,
}

impl ConnectionLimits {
    /// Creates the counts of a process that may have `limit` connections. `outgoing` are the
    /// counts of the connections that the process opens itself.
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

    /// Number of connections that may still be opened without using the reserved ones.
    #[must_use]
    pub fn free(&self) -> usize {
        let usable = self.limit * (1.0 - RESERVED_FRACTION);
        (usable - self.used() as f64).max(0.0) as usize
    }

    /// Whether free connections are low, so that connections for direct messages should not
    /// be kept alive.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.has_less_free_than(LOW_FRACTION)
    }

    /// Whether free connections are critical, so that users should be served by other
    /// controllers.
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
