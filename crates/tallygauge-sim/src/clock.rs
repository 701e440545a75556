//! A wall clock that runs in simulated time.

use std::time::Duration;
use tallygauge::wall_clock::WallClock;
use tokio::time::Instant;

/// Wall-clock time at which every simulation starts, in seconds since the Unix epoch: a Monday
/// morning, 2026-01-05 08:00:00 UTC.
const START_EPOCH_S: u64 = 1_767_600_000;

/// A wall clock that advances with simulated time.
pub(crate) struct SimulatedClock {
    /// When the simulation started.
    pub(crate) started_at: Instant,
}

impl WallClock for SimulatedClock {
    fn since_epoch(&self) -> Duration {
        Duration::from_secs(START_EPOCH_S) + self.started_at.elapsed()
    }
}
