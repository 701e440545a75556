//! Scale-in: returning machines that are not needed.

use super::{CloudSession, client};
use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::cloud::{MAX_MACHINES_PER_RETURN, MachineNames};
use tallygauge_scheduler::{ReturnReason, ReturnableMachine};
use warp::http::{Method, StatusCode};

/// Heartbeat intervals between two searches for surplus machines.
const REBALANCE_HEARTBEATS: f64 = 0.5;

/// Longest pause between two looks at what to return, as a fraction of the interval
/// of the machine list.
const PAUSE_FRACTION: f64 = 0.25;

/// Marks surplus machines and returns them for as long as the term lasts.
pub(super) async fn run(session: &CloudSession<'_>) {
    let controller = session.controller;
    let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    let rebalance_interval_s = heartbeat_interval_s * REBALANCE_HEARTBEATS;
    let pause_s = (session.list_interval_s() * PAUSE_FRACTION).min(rebalance_interval_s);
    let mut rebalanced_at = f64::NEG_INFINITY;
    loop {
        let now = controller.now();
        if now - rebalanced_at > rebalance_interval_s {
            rebalanced_at = now;
            controller.with_cluster(|cluster| cluster.mark_surplus_machines(now));
        }
        if return_idle_machines(controller).await {
            session.rate_limiter.acquire().await;
        } else {
            tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
    }
}

/// Returns machines that have no task. Returns whether any were returned, so that
/// more may be requested at once.
async fn return_idle_machines(controller: &Controller) -> bool {
    let machines = take_due_returns(controller);
    if machines.is_empty() {
        return false;
    }
    let request = MachineNames {
        names: machines
            .iter()
            .map(|machine| machine.name.clone())
            .collect(),
    };
    let answer = client::send(controller, Method::POST, "/machines/return", Some(&request)).await;
    let now = controller.now();
    if !matches!(answer, Ok((StatusCode::OK, _))) {
        return false;
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
    true
}

/// The machines to return now. From here on nothing is placed on them, since the
/// request may be executed late. While another controller may be the leader, and
/// use these machines, only those are returned that can't confirm that their
/// cancelled tasks have stopped.
fn take_due_returns(controller: &Controller) -> Vec<ReturnableMachine> {
    if !controller.is_unfenced_leader() {
        return Vec::new();
    }
    let now = controller.now();
    let is_sole_leader = controller.holds_unexpired_lease();
    let due = controller.with_cluster(|cluster| {
        let mut due = cluster.machines_to_return(now);
        due.retain(|machine| is_sole_leader || machine.reason == ReturnReason::Unconfirmed);
        due.truncate(MAX_MACHINES_PER_RETURN);
        let names: Vec<String> = due.iter().map(|machine| machine.name.clone()).collect();
        cluster.mark_return_sent(&names);
        due
    });
    due.unwrap_or_default()
}
