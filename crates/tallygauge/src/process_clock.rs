//! The clocks of a controller process.

use crate::wall_clock::WallClock;
use std::sync::Arc;
use tokio::time::Instant;

/// Reading of the monotonic clock at the start of the process, in seconds. It is above 0, so
/// that times before the start can be expressed.
const START_S: f64 = 1.0;

/// The process's monotonic clock, and the wall clock.
pub(crate) struct ProcessClock {
    started_at: Instant,
    wall_clock: Arc<dyn WallClock>,
}

impl ProcessClock {
    /// Starts the monotonic clock now.
    pub(crate) fn start(wall_clock: Arc<dyn WallClock>) -> Self {
        Self {
            started_at: Instant::now(),
            wall_clock,
        }
    }

    /// Reading of the monotonic clock, in seconds.
    pub(crate) fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// The value of [`Self::now`] at an instant.
    pub(crate) fn seconds_at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.started_at);
        since_start.as_secs_f64() + START_S
    }

    /// Wall-clock time, in seconds since the Unix epoch.
    pub(crate) fn unix_time_s(&self) -> f64 {
        self.wall_clock.since_epoch().as_secs_f64()
    }
}
