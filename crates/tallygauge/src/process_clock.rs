//! The times that a controller reckons with.

use crate::wall_clock::WallClock;
use std::sync::Arc;
use tokio::time::Instant;

/// Reading of the monotonic clock when the process starts: above 0, so that times
/// before the start can be expressed.
const START_S: f64 = 1.0;

/// The process's monotonic clock, and the wall clock.
pub(crate) struct ProcessClock {
    started_at: Instant,
    wall_clock: Arc<dyn WallClock>,
}

impl ProcessClock {
    /// A monotonic clock that starts now.
    pub(crate) fn start(wall_clock: Arc<dyn WallClock>) -> Self {
        Self {
            started_at: Instant::now(),
            wall_clock,
        }
    }

    /// Seconds of the monotonic clock.
    pub(crate) fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// What [`Self::now`] returned at an instant.
    pub(crate) fn seconds_at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.started_at);
        since_start.as_secs_f64() + START_S
    }

    /// Seconds since the Unix epoch by the wall clock.
    pub(crate) fn time_of_day(&self) -> f64 {
        self.wall_clock.since_epoch().as_secs_f64()
    }
}
