//! Rate limit of the requests to the cloud provider.

use crate::locking::lock;
use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Spaces the requests of all loops of a term evenly.
pub(super) struct RateLimiter {
    interval: Duration,
    /// Earliest time of the next request.
    next: Mutex<Instant>,
}

impl RateLimiter {
    /// Creates a limiter that allows this many requests per second.
    pub(super) fn new(requests_per_s: f64) -> Self {
        Self {
            interval: Duration::from_secs_f64(1.0 / requests_per_s),
            next: Mutex::new(Instant::now()),
        }
    }

    /// Minimum time between two requests.
    pub(super) fn interval(&self) -> Duration {
        self.interval
    }

    /// Waits until the next request may be sent; always waits at least one interval.
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
