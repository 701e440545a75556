//! Reading the machine types on every controller.

use crate::{cloud, controller::Controller, leader_records};
use std::time::Duration;
use tallygauge_store::RequestPriority;

/// Time between two reads of the machine types from the cloud, in multiples of the time by
/// which the machine list may lag behind.
const REFRESH_INTERVAL_LAGS: f64 = 8.0;

/// Pause after a failed read when types were read before, in multiples of the same time.
const RETRY_PAUSE_LAGS: f64 = 1.0;

/// Pause after a failed read when none were read before, in multiples of the time between two
/// requests that the cloud's rate limit allows.
const FIRST_READ_RETRY_REQUEST_INTERVALS: f64 = 2.0;

/// Age at which the types no longer count as what the cloud offers, in multiples of the time
/// between two reads.
const MAX_AGE_REFRESH_INTERVALS: f64 = 1.5;

/// Time between two reads of the machine types from the cloud.
pub(crate) fn refresh_interval(controller: &Controller) -> Duration {
    list_lags(controller, REFRESH_INTERVAL_LAGS)
}

/// Whether the types are what the cloud offers, so that a job that fits none of them can be
/// rejected for good.
pub(crate) fn are_current(controller: &Controller) -> bool {
    let max_age = refresh_interval(controller).mul_f64(MAX_AGE_REFRESH_INTERVALS);
    let age_s = controller.catalogue.age_s(controller.now());
    age_s.is_some_and(|age_s| age_s < max_age.as_secs_f64())
}

/// Keeps the machine types current, which every controller needs to validate job submissions.
/// Until the cloud has answered once, the types that a leader has recorded are used. Never
/// returns.
pub(crate) async fn run(controller: &Controller) {
    tokio::join!(refresh_offered(controller), load_recorded(controller));
}

async fn refresh_offered(controller: &Controller) {
    loop {
        // A leader's machine list loop reads the types as well, within the rate limit that it
        // shares with its other requests.
        let is_refreshed =
            controller.leadership.is_leader() || cloud::refresh_catalogue(controller).await;
        let pause = if is_refreshed {
            refresh_interval(controller)
        } else {
            retry_pause(controller)
        };
        tokio::time::sleep(pause).await;
    }
}

/// Pause after a failed read, with jitter.
fn retry_pause(controller: &Controller) -> Duration {
    let has_read = controller.catalogue.age_s(controller.now()).is_some();
    let pause = if has_read {
        list_lags(controller, RETRY_PAUSE_LAGS)
    } else {
        let requests_per_s = controller.settings.deployment.cloud.requests_per_s;
        Duration::from_secs_f64(FIRST_READ_RETRY_REQUEST_INTERVALS / requests_per_s)
    };
    pause + controller.jitter(pause)
}

fn list_lags(controller: &Controller, count: f64) -> Duration {
    Duration::from_secs_f64(controller.settings.deployment.cloud.list_lag_s * count)
}

/// Reads the recorded types unless the cloud has answered by then.
async fn load_recorded(controller: &Controller) {
    let pause = controller.store_retry_pause();
    loop {
        tokio::time::sleep(pause + controller.jitter(pause)).await;
        if controller.catalogue.is_loaded() {
            return;
        }
        let priority = RequestPriority::Maintenance;
        let Ok(stored) = leader_records::load_machine_types(controller, priority).await else {
            continue;
        };
        controller.catalogue.add_recorded(stored.types());
        if controller.catalogue.is_loaded() {
            tracing::info!("using recorded machine types until the cloud answers");
        }
    }
}
