//! Creates the client of the key-value store with the limits and timeouts that follow from
//! this controller's settings.

use crate::settings::Settings;
use std::{sync::Arc, time::Duration};
use tallygauge_store::{RequestBudget, StoreClient, http::HttpClient};

/// Timeout of a request, as a fraction of a worker's lease.
const TIMEOUT_FRACTION: f64 = 1.0 / 12.0;

/// Minimum timeout of a request.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum timeout of a request.
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time after which a request is hedged, as a fraction of a worker's lease. It
/// applies however fast other requests were answered.
const MIN_RETRY_TIMEOUT_FRACTION: f64 = 0.0025;

/// Creates a client whose request budget is an equal share of the store's rate limits,
/// until an election changes it. `http` carries its requests.
pub(crate) fn new_store_client(settings: &Settings, http: HttpClient) -> StoreClient {
    let limits = &settings.deployment.store;
    let lease_s = settings.deployment.workers.lease_s;
    let share = 1.0 / f64::from(settings.deployment.controller_count.max(1));
    let budget = RequestBudget::new(limits.requests_per_s * share, limits.writes_per_s * share);
    let timeout =
        Duration::from_secs_f64(lease_s * TIMEOUT_FRACTION).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    let min_retry_timeout =
        Duration::from_secs_f64(lease_s * MIN_RETRY_TIMEOUT_FRACTION).min(timeout);
    let address = settings.services.store.to_string();
    StoreClient::new(http, &address, Arc::new(budget), min_retry_timeout, timeout)
}
