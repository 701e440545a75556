//! The leader's dealings with the cloud provider: machine types, machine list,
//! rentals and returns.

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

/// Time between two reads of the machine list, as a fraction of the time by which
/// the list may lag behind.
const LIST_INTERVAL_LAG_FRACTION: f64 = 0.5;

/// Least time between two reads of the machine list, in requests that the provider
/// would allow meanwhile.
const MIN_REQUESTS_PER_LIST: f64 = 4.0;

/// What the loops of one term share.
struct CloudSession<'a> {
    controller: &'a Controller,
    /// The provider's limit of requests.
    rate_limiter: RateLimiter,
    /// Whether the machine list has been read in this term.
    has_machine_list: AtomicBool,
    term: u64,
}

impl CloudSession<'_> {
    fn record_machine_list(&self) {
        self.has_machine_list.store(true, Ordering::Relaxed);
    }

    fn has_machine_list(&self) -> bool {
        self.has_machine_list.load(Ordering::Relaxed)
    }

    /// Seconds between two reads of the machine list.
    fn list_interval_s(&self) -> f64 {
        let limits = &self.controller.settings.deployment.cloud;
        (limits.list_lag_s * LIST_INTERVAL_LAG_FRACTION)
            .max(MIN_REQUESTS_PER_LIST / limits.requests_per_s)
    }
}

/// Reads lists, returns and rents machines for as long as the term lasts. None of
/// these loops waits for another's answer.
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
