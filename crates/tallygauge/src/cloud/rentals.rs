//! Scale-out: renting machines, one request at a time. Each request is determined only
//! after the result of the previous one has been applied.

use super::{
    CloudSession,
    client::{self, CloudError},
};
use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::cloud::{MachineNames, RentRequest};
use tallygauge_scheduler::MachineKind;
use warp::http::Method;

/// Maximum time between two checks of what to rent, as a fraction of the time between
/// two reads of the machine list.
const MAX_WAIT_LIST_INTERVAL_FRACTION: f64 = 0.5;

/// Pause before a request is retried, in multiples of the rate limiter's interval.
const RETRY_PAUSE_INTERVALS: u32 = 4;

/// The first term of a cluster, before which no leader can have rented anything.
const FIRST_TERM: u64 = 1;

/// Outcome of a rental request.
enum RentalOutcome {
    /// The provider responded, with machines or without.
    Completed,
    /// The request must be sent again. It keeps its request id, so that the provider
    /// doesn't execute it twice.
    Retry,
}

/// Rents machines while the term lasts.
pub(super) async fn run(session: &CloudSession<'_>) {
    let controller = session.controller;
    let wait = Duration::from_secs_f64(session.list_interval_s() * MAX_WAIT_LIST_INTERVAL_FRACTION);
    let started_at = controller.now();
    let mut pending: Option<RentRequest> = None;
    let mut request_count = 0u64;
    loop {
        let _ = tokio::time::timeout(wait, controller.wake_rentals.notified()).await;
        session.rate_limiter.acquire().await;
        if pending.is_none() {
            pending = next_request(session, started_at, request_count + 1);
            request_count += u64::from(pending.is_some());
        }
        // A leader that can't confirm its term rents nothing, since another controller
        // may be the leader and rent machines.
        let Some(request) = pending.take_if(|_| controller.is_unfenced_leader()) else {
            continue;
        };
        match rent(controller, &request).await {
            RentalOutcome::Completed => controller.wake_rentals.notify_one(),
            RentalOutcome::Retry => {
                pending = Some(request);
                tokio::time::sleep(session.rate_limiter.interval() * RETRY_PAUSE_INTERVALS).await;
            }
        }
    }
}

/// The next rental request, for the kind of machine that the cluster needs most of, if
/// any. `sequence_number` is the number of the request within the term.
fn next_request(
    session: &CloudSession<'_>,
    started_at: f64,
    sequence_number: u64,
) -> Option<RentRequest> {
    let controller = session.controller;
    if !session.has_machine_list() {
        return None;
    }
    // Machines that the previous leader rented last may not be listed yet.
    let list_lag_s = controller.settings.deployment.cloud.list_lag_s;
    let is_list_complete = session.term == FIRST_TERM || controller.now() - started_at > list_lag_s;
    if !is_list_complete || !controller.is_unfenced_leader() {
        return None;
    }
    let now = controller.now();
    let max_delay_s = controller.settings.deployment.workers.lease_s;
    let rentals = controller.with_cluster(|cluster| cluster.rentals(now))?;
    let rental = rentals.into_iter().find(|rental| {
        let machine_type = &rental.kind.machine_type;
        controller
            .catalogue
            .may_rent(machine_type, now, max_delay_s)
    })?;
    let MachineKind {
        machine_type,
        zone,
        spot,
    } = rental.kind;
    let node_name = &controller.settings.node_name;
    Some(RentRequest {
        request_id: format!("{node_name}-{}-{sequence_number}", session.term),
        machine_type,
        zone,
        spot,
        count: rental.count,
    })
}

/// Sends a rental request and applies its result to the cluster state.
async fn rent(controller: &Controller, request: &RentRequest) -> RentalOutcome {
    let response: Result<MachineNames, CloudError> =
        client::call(controller, Method::POST, "/machines", Some(request)).await;
    match response {
        Ok(machines) => record_rented(controller, request, &machines.names),
        Err(CloudError::NoCapacity) => record_no_capacity(controller, request),
        Err(CloudError::Rejected) => {
            tracing::warn!(
                request_id = request.request_id,
                machine_type = request.machine_type,
                zone = request.zone,
                spot = request.spot,
                "cloud provider rejected the rental"
            );
            record_no_capacity(controller, request);
        }
        Err(CloudError::NotExecuted | CloudError::Indeterminate) => return RentalOutcome::Retry,
    }
    RentalOutcome::Completed
}

/// The kind of machine that a request is for: machine type, zone and whether it is a
/// spot machine.
fn machine_kind(request: &RentRequest) -> MachineKind {
    MachineKind {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    }
}

fn record_rented(controller: &Controller, request: &RentRequest, names: &[String]) {
    tracing::info!(
        request_id = request.request_id,
        machine_type = request.machine_type,
        zone = request.zone,
        spot = request.spot,
        requested = request.count,
        rented = names.len(),
        "rented machines"
    );
    let now = controller.now();
    let kind = machine_kind(request);
    let is_partially_filled = names.len() < request.count as usize;
    controller.with_cluster(|cluster| {
        for name in names {
            cluster.register_machine(name, &kind.machine_type, &kind.zone, kind.spot, "", now);
        }
        if is_partially_filled {
            cluster.record_no_capacity(&kind, now);
        } else {
            cluster.record_rented(&kind);
        }
    });
}

fn record_no_capacity(controller: &Controller, request: &RentRequest) {
    tracing::debug!(
        machine_type = request.machine_type,
        zone = request.zone,
        spot = request.spot,
        "no capacity"
    );
    let now = controller.now();
    let kind = machine_kind(request);
    controller.with_cluster(|cluster| cluster.record_no_capacity(&kind, now));
}
