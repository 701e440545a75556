//! Wall-clock time, behind a trait that simulations can implement.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A source of wall-clock time.
pub trait WallClock: Send + Sync {
    /// Time since the Unix epoch.
    fn since_epoch(&self) -> Duration;
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl WallClock for SystemClock {
    fn since_epoch(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
