//! The process's connections against its limit, and who goes first when they
//! run short.
//!
//! Workers' own calls come first: a worker that finds no room loses its lease.
//! Direct messages come second, since what they carry reaches the worker with
//! its next call as well. Users come last, where other nodes can serve them.

use tallygauge_store::ConnectionCount;

/// Part of the limit that is kept for connections to the state service, the
/// cloud and the peers, and for those that are being closed.
const KEPT: f64 = 1.0 / 32.0;

/// Part of the limit below which connections for direct messages are closed
/// after each message, instead of being kept for the next.
const FEW: f64 = 1.0 / 4.0;

/// Part of the limit below which users' connections are closed after each
/// answer, and a leader leaves users to the other nodes.
const SHORT: f64 = 1.0 / 8.0;

/// Counts of open connections.
pub struct ConnectionLimits {
    limit: f64,
    /// Those of workers, users and health checks.
    pub callers: ConnectionCount,
    ours: Vec<ConnectionCount>,
}

impl ConnectionLimits {
    /// Counts against a limit; `ours` counts those that this process opens.
    #[must_use]
    pub fn new(limit: u32, ours: Vec<ConnectionCount>) -> Self {
        Self {
            limit: f64::from(limit),
            callers: ConnectionCount::default(),
            ours,
        }
    }

    /// Connections that are open.
    #[must_use]
    pub fn used(&self) -> usize {
        self.callers.get() + self.ours.iter().map(ConnectionCount::get).sum::<usize>()
    }

    /// Connections that may yet be opened, beyond those kept for what can't be
    /// left out.
    #[must_use]
    pub fn free(&self) -> usize {
        (self.limit * (1.0 - KEPT) - self.used() as f64).max(0.0) as usize
    }

    fn below(&self, part: f64) -> bool {
        (self.free() as f64) < self.limit * part
    }

    /// Whether connections for direct messages should not be kept.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.below(FEW)
    }

    /// Whether users should rather go elsewhere.
    #[must_use]
    pub fn is_critical(&self) -> bool {
        self.below(SHORT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn direct_messages_give_way_before_users_and_both_before_workers() {
        let ours = ConnectionCount::default();
        let sockets = ConnectionLimits::new(320, vec![ours.clone()]);
        let mut held = Vec::new();
        let mut turns = Vec::new();
        for n in 1..=400 {
            let which = if n % 3 == 0 { &ours } else { &sockets.callers };
            held.push(which.acquire());
            let now = (sockets.is_low(), sockets.is_critical(), sockets.free() == 0);
            if turns.last().is_none_or(|(_, before)| *before != now) {
                turns.push((n, now));
            }
        }
        assert_eq!(
            turns,
            [
                (1, (false, false, false)),
                (231, (true, false, false)),
                (271, (true, true, false)),
                (310, (true, true, true)),
            ]
        );
        held.truncate(10);
        assert_eq!((sockets.used(), sockets.is_low()), (10, false));
    }
}
