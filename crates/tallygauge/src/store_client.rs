//! The client of the key-value store, as this controller's settings limit it.

use crate::settings::Settings;
use std::{sync::Arc, time::Duration};
use tallygauge_store::{RequestBudget, StoreClient, http::HttpClient};

/// Timeout of a request, as a fraction of a worker's lease.
const TIMEOUT_FRACTION: f64 = 1.0 / 12.0;

/// Least timeout of a request.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Greatest timeout of a request.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest time, as a fraction of a worker's lease, after which a request is
/// hedged, however fast the others were answered.
const MIN_RETRY_TIMEOUT_FRACTION: f64 = 0.0025;

/// A client with an equal share of the cluster's request limits, until an election
/// changes it. `http` carries its requests.
pub(crate) fn new_store_client(settings: &Settings, http: HttpClient) -> StoreClient {
    let limits = &settings.deployment.store;
    let lease_s = settings.deployment.workers.lease_s;
    let share = 1.0 / f64::from(settings.deployment.count.max(1));
    let budget = RequestBudget::new(limits.rps * share, limits.writes_per_s * share);
    let timeout =
        Duration::from_secs_f64(lease_s * TIMEOUT_FRACTION).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    let retry_timeout = Duration::from_secs_f64(lease_s * MIN_RETRY_TIMEOUT_FRACTION).min(timeout);
    let address = settings.services.store.to_string();
    StoreClient::new(http, &address, Arc::new(budget), retry_timeout, timeout)
}
