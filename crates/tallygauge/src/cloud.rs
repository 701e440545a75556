//! The leader's requests to the cloud provider: reading the machine types and the
//! machine list, renting machines and returning them.

mod catalogue;
mod client;
mod machine_list;
mod rate_limiter;
mod rentals;
mod returns;

pub use catalogue::refresh_catalogue;

use crate::controller::Controller;
use rate_limiter::RateLimiter;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Time between two reads of the machine list, as a fraction of the time by which the
/// list may lag behind the provider's actual machines.
const LIST_INTERVAL_LAG_FRACTION: f64 = 0.5;

/// Minimum time between two reads of the machine list, in multiples of the time between
/// two requests that the provider's rate limit allows.
const MIN_LIST_INTERVAL_REQUESTS: f64 = 4.0;

/// State that the cloud loops of one term share.
struct CloudSession<'a> {
    controller: &'a Controller,
    /// Limits the rate of the requests of all loops.
    rate_limiter: RateLimiter,
    /// Whether the machine list has been read in this term.
    has_machine_list: AtomicBool,
    term: u64,
}

impl CloudSession<'_> {
    fn mark_machine_list_read(&self) {
        self.has_machine_list.store(true, Ordering::Relaxed);
    }

    fn has_machine_list(&self) -> bool {
        self.has_machine_list.load(Ordering::Relaxed)
    }

    /// Seconds between two reads of the machine list.
    fn list_interval_s(&self) -> f64 {
        let limits = &self.controller.settings.deployment.cloud;
        (limits.list_lag_s * LIST_INTERVAL_LAG_FRACTION)
            .max(MIN_LIST_INTERVAL_REQUESTS / limits.requests_per_s)
    }
}

/// Reads the machine list, returns machines and rents machines while the term lasts.
/// The three loops run concurrently: none waits for a response to another loop.
pub async fn run(controller: &Arc<Controller>, term: u64) {
    let session = CloudSession {
        controller,
        rate_limiter: RateLimiter::new(controller.settings.deployment.cloud.requests_per_s),
        has_machine_list: AtomicBool::new(false),
        term,
    };
    tokio::join!(
        machine_list::run(&session),
        returns::run(&session),
        rentals::run(&session),
    );
}
