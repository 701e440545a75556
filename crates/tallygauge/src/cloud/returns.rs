//! Scale-in: returning machines that are no longer needed.

use super::{CloudSession, client};
use crate::{controller::Controller, event_log::log_info_if};
use std::time::Duration;
use tallygauge_protocol::cloud::{MAX_MACHINES_PER_RETURN, MachineNames};
use tallygauge_scheduler::ReturnableMachine;
use tallygauge_store::http::{HttpResult, RequestError};
use warp::http::{Method, StatusCode};

/// Time between two updates of the surplus marks, in heartbeat intervals.
const SURPLUS_UPDATE_HEARTBEATS: f64 = 0.5;

/// Maximum pause between two checks of what to return, as a fraction of the time
/// between two reads of the machine list.
const MAX_PAUSE_LIST_INTERVAL_FRACTION: f64 = 0.25;

/// What became of the machines whose return was due.
enum ReturnOutcome {
    /// No return was due.
    NothingDue,
    /// The cloud provider has them back.
    Returned,
    /// The provider did not confirm the request, which is to be repeated.
    Failed,
}

/// Marks surplus machines and returns machines while the term lasts.
pub(super) async fn run(session: &CloudSession<'_>) {
    let controller = session.controller;
    let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    let surplus_update_interval_s = heartbeat_interval_s * SURPLUS_UPDATE_HEARTBEATS;
    let pause_s = (session.list_interval_s() * MAX_PAUSE_LIST_INTERVAL_FRACTION)
        .min(surplus_update_interval_s);
    let mut surplus_updated_at = f64::NEG_INFINITY;
    let mut is_failing = false;
    loop {
        let now = controller.now();
        if now - surplus_updated_at > surplus_update_interval_s {
            surplus_updated_at = now;
            controller.with_cluster(|cluster| cluster.mark_surplus_machines(now));
        }
        match return_due_machines(controller, is_failing).await {
            ReturnOutcome::Returned => {
                is_failing = false;
                session.rate_limiter.acquire().await;
                continue;
            }
            ReturnOutcome::Failed => is_failing = true,
            ReturnOutcome::NothingDue => {}
        }
        tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
    }
}

/// Sends one request that returns the machines whose return is due. If any were returned, the
/// caller checks again without the usual pause. A failure is logged at `debug` if the request
/// before failed as well.
async fn return_due_machines(controller: &Controller, is_failing: bool) -> ReturnOutcome {
    let machines = take_due_returns(controller);
    if machines.is_empty() {
        return ReturnOutcome::NothingDue;
    }
    let request = MachineNames {
        names: machines
            .iter()
            .map(|machine| machine.name.clone())
            .collect(),
    };
    let response = client::send(controller, Method::POST, "/machines/return", Some(&request)).await;
    let now = controller.now();
    if !matches!(response, Ok((StatusCode::OK, _))) {
        log_failed_return(&machines, &response, is_failing);
        record_failure(controller, &request.names, &response);
        return ReturnOutcome::Failed;
    }
    controller.with_cluster(|cluster| {
        for name in &request.names {
            cluster.deregister_machine(name, now);
        }
    });
    for ReturnableMachine { name, reason } in machines {
        tracing::info!(machine = name, ?reason, "returned machine");
    }
    controller.wake_scheduler.notify_one();
    ReturnOutcome::Returned
}

/// Records what a failure means for the machines: after a response, and if nothing was sent,
/// they were certainly not returned.
fn record_failure(controller: &Controller, names: &[String], response: &HttpResult) {
    controller.with_cluster(|cluster| match response {
        // The request is repeated as soon as the rate limit allows.
        Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {}
        Ok(_) | Err(RequestError::NotSent) => cluster.record_return_refused(names),
        Err(RequestError::NoResponse) => cluster.record_return_unanswered(names),
    });
    controller.wake_scheduler.notify_one();
}

fn log_failed_return(machines: &[ReturnableMachine], response: &HttpResult, is_repeated: bool) {
    let status = response.as_ref().ok().map(|(status, _)| status.as_u16());
    let count_unconfirmed = machines
        .iter()
        .filter(|machine| machine.reason.is_for_safety())
        .count();
    log_info_if!(
        !is_repeated,
        machines = machines.len(),
        cancel_unconfirmed = count_unconfirmed,
        first = machines.first().map(|machine| machine.name.as_str()),
        status,
        "failed to return machines, retrying"
    );
}

/// Takes the machines to return now. From now on nothing is placed on them, since the
/// request may be executed late. While another controller may be the leader and use
/// these machines, only those are returned that can't confirm that their cancelled
/// tasks have stopped.
fn take_due_returns(controller: &Controller) -> Vec<ReturnableMachine> {
    if !controller.is_unfenced_leader() {
        return Vec::new();
    }
    let now = controller.now();
    let is_sole_leader = controller.holds_unexpired_lease();
    let due = controller.with_cluster(|cluster| {
        let mut due = cluster.machines_to_return(now);
        due.retain(|machine| is_sole_leader || machine.reason.is_for_safety());
        due.truncate(MAX_MACHINES_PER_RETURN);
        let names: Vec<String> = due.iter().map(|machine| machine.name.clone()).collect();
        cluster.mark_return_sent(&names);
        due
    });
    due.unwrap_or_default()
}
