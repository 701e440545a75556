//! Reading the machine types when a controller starts.

use crate::{cloud, controller::Controller, leader_records};
use std::time::Duration;
use tallygauge_store::RequestPriority;

/// Pause between two attempts to read the machine types from the cloud, in multiples of the
/// time between two requests that the cloud's rate limit allows.
const CLOUD_RETRY_REQUEST_INTERVALS: f64 = 2.0;

/// Reads the machine types, which every controller needs to validate job submissions, from
/// the cloud, retrying until it succeeds; a leader also refreshes them periodically. Until
/// then the types that a leader has recorded are used.
pub(crate) async fn load(controller: &Controller) {
    tokio::join!(load_offered(controller), load_recorded(controller));
}

async fn load_offered(controller: &Controller) {
    let requests_per_s = controller.settings.deployment.cloud.requests_per_s;
    let pause = Duration::from_secs_f64(CLOUD_RETRY_REQUEST_INTERVALS / requests_per_s);
    while !cloud::refresh_catalogue(controller).await {
        tokio::time::sleep(pause + controller.jitter(pause)).await;
    }
}

/// Reads the recorded types unless the cloud has answered by then.
async fn load_recorded(controller: &Controller) {
    let pause = controller.store_retry_pause();
    loop {
        tokio::time::sleep(pause + controller.jitter(pause)).await;
        if controller.catalogue.is_loaded() {
            return;
        }
        let Ok(stored) =
            leader_records::load_machine_types(controller, RequestPriority::Maintenance).await
        else {
            continue;
        };
        controller.catalogue.add_recorded(stored.types());
        if controller.catalogue.is_loaded() {
            tracing::info!("using recorded machine types until the cloud answers");
        }
    }
}
