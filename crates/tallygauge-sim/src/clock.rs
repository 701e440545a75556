//! The time of day in simulated time.

use std::time::Duration;
use tallygauge::wall_clock::WallClock;
use tokio::time::Instant;

/// Seconds since the Unix epoch at which every simulation begins: a Monday
/// morning, 2026-01-05 08:00:00 UTC.
const BEGINS_S: u64 = 1_767_600_000;

/// A time of day that goes on with simulated time.
pub(crate) struct SimulatedClock {
    pub(crate) began: Instant,
}

impl WallClock for SimulatedClock {
    fn since_epoch(&self) -> Duration {
        Duration::from_secs(BEGINS_S) + self.began.elapsed()
    }
}
