//! Scale-out: renting machines, one request at a time. What is rented next is
//! worked out from the result of the last request.

use super::{
    CloudSession,
    client::{self, CloudError},
};
use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::cloud::{MachineNames, RentRequest};
use tallygauge_scheduler::MachineKind;
use warp::http::Method;

/// Longest time without a look at what to rent, as a fraction of the interval of
/// the machine list.
const WAIT_FRACTION: f64 = 0.5;

/// Pause before an unanswered request is sent again, in intervals of the rate
/// limiter.
const RETRY_INTERVALS: u32 = 4;

/// The first term of a cluster, before which no leader can have rented anything.
const FIRST_TERM: u64 = 1;

/// What became of a request.
enum RentalOutcome {
    /// Answered, with machines or without.
    Answered,
    /// To be sent again under the same request id, which rents nothing twice.
    Retry,
}

/// Rents machines for as long as the term lasts.
pub(super) async fn run(session: &CloudSession<'_>) {
    let controller = session.controller;
    let wait = Duration::from_secs_f64(session.list_interval_s() * WAIT_FRACTION);
    let started_at = controller.now();
    let mut pending: Option<RentRequest> = None;
    let mut requests = 0u64;
    loop {
        let _ = tokio::time::timeout(wait, controller.wake_cloud.notified()).await;
        session.rate_limiter.acquire().await;
        if pending.is_none() {
            pending = next_request(session, started_at, requests + 1);
            requests += u64::from(pending.is_some());
        }
        // A leader whose term is unconfirmed rents nothing: another may do so.
        let Some(request) = pending.take_if(|_| controller.is_unfenced_leader()) else {
            continue;
        };
        match rent(controller, &request).await {
            RentalOutcome::Answered => controller.wake_cloud.notify_one(),
            RentalOutcome::Retry => {
                pending = Some(request);
                tokio::time::sleep(session.rate_limiter.interval() * RETRY_INTERVALS).await;
            }
        }
    }
}

/// The request for what the cluster needs most, if anything; `number` counts the
/// requests of the term.
fn next_request(session: &CloudSession<'_>, started_at: f64, number: u64) -> Option<RentRequest> {
    let controller = session.controller;
    if !session.has_machine_list() {
        return None;
    }
    // What the previous leader rented last may not be listed yet.
    let list_lag_s = controller.settings.deployment.cloud.list_lag_s;
    let is_list_complete = session.term == FIRST_TERM || controller.now() - started_at > list_lag_s;
    if !is_list_complete || !controller.is_unfenced_leader() {
        return None;
    }
    let rentals = controller.with_cluster(|cluster| cluster.rentals(controller.now()))?;
    let rental = rentals.into_iter().next()?;
    let MachineKind {
        machine_type,
        zone,
        spot,
    } = rental.kind;
    let node_name = &controller.settings.node_name;
    Some(RentRequest {
        request_id: format!("{node_name}-{}-{number}", session.term),
        machine_type,
        zone,
        spot,
        count: rental.count,
    })
}

/// Sends a request and records its result in the cluster state.
async fn rent(controller: &Controller, request: &RentRequest) -> RentalOutcome {
    let answer: Result<MachineNames, CloudError> =
        client::call(controller, Method::POST, "/machines", Some(request)).await;
    match answer {
        Ok(machines) => record_rented(controller, request, &machines.names),
        Err(CloudError::NoCapacity) => record_no_capacity(controller, request),
        Err(CloudError::Refused | CloudError::Unknown) => return RentalOutcome::Retry,
    }
    RentalOutcome::Answered
}

/// The machine type, zone and purchase of a request, as the scheduler names them.
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
    let is_partial = names.len() < request.count as usize;
    controller.with_cluster(|cluster| {
        for name in names {
            cluster.register_machine(name, &kind.machine_type, &kind.zone, kind.spot, "", now);
        }
        if is_partial {
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
