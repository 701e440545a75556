//! Rate limiting of the requests to the cloud provider.

use crate::locking::lock;
use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Spaces out the requests of all loops of a term.
pub(super) struct RateLimiter {
    interval: Duration,
    next: Mutex<Instant>,
}

impl RateLimiter {
    /// Allows this many requests a second.
    pub(super) fn new(requests_per_s: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / requests_per_s),
            next: Mutex::new(Instant::now()),
        }
    }

    /// Time between two requests.
    pub(super) fn interval(&self) -> Duration {
        self.interval
    }

    /// Waits until the next request may be sent.
    pub(super) async fn acquire(&self) {
        let permitted_at = {
            let mut next = lock(&self.next);
            let permitted_at = (*next).max(Instant::now() + self.interval);
            *next = permitted_at + self.interval;
            permitted_at
        };
        tokio::time::sleep_until(permitted_at).await;
    }
}
