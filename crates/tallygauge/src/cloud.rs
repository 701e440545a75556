//! Dealings with the cloud: catalogue, machine list, rentals and returns.

use crate::controller::Controller;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tallygauge_protocol::cloud::{
    Catalogue, MAX_MACHINES_PER_PAGE, MAX_MACHINES_PER_RETURN, MachineNames, MachinePage,
    MachineType, RentRequest,
};
use tallygauge_scheduler::{LeaveReason, MachineKind};
use tallygauge_store::{http::RequestError, is_first_occurrence};
use tokio::time::Instant;
use warp::http::{Method, StatusCode};

enum CloudError {
    /// Surely not done: the cloud said so, or was not reached.
    Refused,
    /// Said that it has none.
    NoCapacity,
    /// May have been done, or may yet be.
    Unknown,
}

async fn call<B: Serialize, T: DeserializeOwned>(
    controller: &Controller,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> Result<T, CloudError> {
    let url = format!("http://{}{path}", controller.settings.services.cloud);
    let timeout = Duration::from_secs(4);
    match controller.http.call(method, &url, body, timeout).await {
        Ok((StatusCode::OK, bytes)) => serde_json::from_slice(&bytes).map_err(|error| {
            if is_first_occurrence(&format!("cloud: {error}")) {
                tracing::warn!(%error, path, "malformed answer from the cloud, taken as none");
            }
            CloudError::Unknown
        }),
        Ok((StatusCode::SERVICE_UNAVAILABLE, bytes))
            if bytes.windows(11).any(|w| w == b"no capacity") =>
        {
            Err(CloudError::NoCapacity)
        }
        Ok((status, _)) => {
            tracing::debug!(status = status.as_u16(), path, "the cloud refuses");
            Err(CloudError::Refused)
        }
        Err(RequestError::NotSent) => Err(CloudError::Refused),
        Err(RequestError::NoResponse) => Err(CloudError::Unknown),
    }
}

/// Reads the catalogue; every node needs it to judge submissions.
pub async fn refresh_catalogue(controller: &Controller) -> bool {
    match call::<(), Catalogue>(controller, Method::GET, "/catalog", None).await {
        Ok(catalogue) if !catalogue.types.is_empty() => {
            let types: Arc<Vec<MachineType>> = Arc::new(catalogue.types);
            controller.catalogue.set(types.clone());
            controller.with_cluster(|c| c.set_machine_types(&types));
            true
        }
        _ => false,
    }
}

async fn refresh_machine_list(controller: &Controller) -> bool {
    let asked = controller.now();
    let mut machines = Vec::new();
    loop {
        let since = machines
            .last()
            .map(|m: &tallygauge_protocol::cloud::Machine| format!("since={}&", m.name))
            .unwrap_or_default();
        let path = format!("/machines?{since}page={MAX_MACHINES_PER_PAGE}");
        match call::<(), MachinePage>(controller, Method::GET, &path, None).await {
            Ok(page) => {
                let empty = page.machines.is_empty();
                machines.extend(page.machines);
                if !page.has_more || empty {
                    break;
                }
            }
            Err(_) => return false,
        }
    }
    let now = controller.now();
    let gone = controller
        .with_cluster(|c| c.apply_machine_list(&machines, asked, now))
        .unwrap_or_default();
    for name in gone {
        tracing::info!(machine = name, "machine is gone");
        controller.wake_scheduler.notify_one();
    }
    true
}

/// A rental that was not answered yet. It is repeated under its name, which
/// rents nothing twice.
struct PendingRental {
    request: RentRequest,
    tries: u32,
}

/// Deals out the requests that the cloud allows among the loops of a leader.
struct RateLimiter {
    gap: Duration,
    next: Mutex<Instant>,
}

impl RateLimiter {
    fn new(requests_per_s: f64) -> Self {
        Self {
            gap: Duration::from_secs_f64(1.0 / requests_per_s),
            next: Mutex::new(Instant::now()),
        }
    }

    /// Waits for the next turn.
    async fn acquire(&self) {
        let at = {
            let mut next = self.next.lock().expect("pace lock");
            let at = (*next).max(Instant::now() + self.gap);
            *next = at + self.gap;
            at
        };
        tokio::time::sleep_until(at).await;
    }
}

/// Deals with the cloud while this node leads: lists, returns and rentals, none of
/// which waits for another's answer.
pub async fn run(controller: &Arc<Controller>, term: u64) {
    let pace = RateLimiter::new(controller.settings.deployment.cloud.rps);
    let listed = AtomicBool::new(false);
    tokio::join!(
        follow_lists(controller, &pace, &listed),
        return_machines(controller, &pace),
        rent_machines(controller, &pace, &listed, term),
    );
}

/// Seconds between two readings of the machine list.
fn list_every_s(controller: &Controller) -> f64 {
    let limits = &controller.settings.deployment.cloud;
    (limits.list_lag_s * 0.5).max(4.0 / limits.rps)
}

/// Reads the catalogue and the machine list now and then. Notes in `listed` that
/// the list was read.
async fn follow_lists(controller: &Controller, pace: &RateLimiter, listed: &AtomicBool) {
    let list_every = list_every_s(controller);
    let catalogue_every = controller.settings.deployment.cloud.list_lag_s * 8.0;
    let (mut listed_at, mut catalogued) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    loop {
        if controller.now() - catalogued > catalogue_every {
            pace.acquire().await;
            if refresh_catalogue(controller).await {
                catalogued = controller.now();
            }
        }
        if controller.now() - listed_at > list_every {
            let asked = controller.now();
            pace.acquire().await;
            if refresh_machine_list(controller).await {
                listed_at = asked;
                listed.store(true, Ordering::Relaxed);
                controller.wake_cloud.notify_one();
            }
        }
        tokio::time::sleep(Duration::from_secs_f64(list_every * 0.25)).await;
    }
}

/// Rebalances and returns machines that are not wanted.
async fn return_machines(controller: &Controller, pace: &RateLimiter) {
    let balance_every = controller.settings.deployment.workers.heartbeat_interval_s * 0.5;
    let pause = Duration::from_secs_f64((list_every_s(controller) * 0.25).min(balance_every));
    let mut balanced = f64::NEG_INFINITY;
    loop {
        let now = controller.now();
        if now - balanced > balance_every {
            balanced = now;
            controller.with_cluster(|c| c.mark_surplus_machines(now));
        }
        if return_idle_machines(controller).await {
            pace.acquire().await;
        } else {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Rents machines, one booking at a time: the next is worked out from what the last
/// one brought.
async fn rent_machines(
    controller: &Controller,
    pace: &RateLimiter,
    listed: &AtomicBool,
    term: u64,
) {
    let limits = &controller.settings.deployment.cloud;
    let wait = Duration::from_secs_f64(list_every_s(controller) * 0.5);
    let began = controller.now();
    let mut pending: Option<PendingRental> = None;
    let mut booked = 0u64;
    loop {
        let _ = tokio::time::timeout(wait, controller.wake_cloud.notified()).await;
        pace.acquire().await;
        if pending.is_none() && listed.load(Ordering::Relaxed) {
            // What the leader before asked for last may not be listed yet.
            let settled = term == 1 || controller.now() - began > limits.list_lag_s;
            let wanted = (settled && controller.may_command())
                .then(|| controller.with_cluster(|c| c.rentals(controller.now())))
                .flatten()
                .unwrap_or_default();
            pending = wanted.into_iter().next().map(|rental| {
                booked += 1;
                PendingRental {
                    request: RentRequest {
                        request_id: format!("{}-{term}-{booked}", controller.settings.node_name),
                        machine_type: rental.kind.machine_type,
                        zone: rental.kind.zone,
                        spot: rental.kind.spot,
                        count: rental.count,
                    },
                    tries: 0,
                }
            });
        }
        // A leader that has not heard for long whether it still is one rents
        // nothing: another may be doing so.
        if let Some(p) = pending.take_if(|_| controller.may_command()) {
            pending = rent(controller, p).await;
            if pending.is_some() {
                tokio::time::sleep(pace.gap * 4).await;
            } else {
                controller.wake_cloud.notify_one();
            }
        }
    }
}

async fn rent(controller: &Controller, mut pending: PendingRental) -> Option<PendingRental> {
    let request = &pending.request;
    let kind = MachineKind {
        machine_type: request.machine_type.clone(),
        zone: request.zone.clone(),
        spot: request.spot,
    };
    let answer: Result<MachineNames, CloudError> =
        call(controller, Method::POST, "/machines", Some(request)).await;
    let now = controller.now();
    match answer {
        Ok(machines) => {
            tracing::info!(
                booking = request.request_id,
                machine_type = kind.machine_type,
                zone = kind.zone,
                spot = kind.spot,
                asked = request.count,
                got = machines.names.len(),
                "rented"
            );
            let partly = machines.names.len() < request.count as usize;
            controller.with_cluster(|c| {
                for name in &machines.names {
                    c.register_machine(name, &kind.machine_type, &kind.zone, kind.spot, "", now);
                }
                if partly {
                    c.record_no_capacity(&kind, now);
                } else {
                    c.record_rented(&kind);
                }
            });
            None
        }
        Err(CloudError::NoCapacity) => {
            tracing::debug!(
                machine_type = kind.machine_type,
                zone = kind.zone,
                spot = kind.spot,
                "no capacity"
            );
            controller.with_cluster(|c| c.record_no_capacity(&kind, now));
            None
        }
        Err(CloudError::Refused | CloudError::Unknown) => {
            pending.tries += 1;
            Some(pending)
        }
    }
}

/// Returns machines that are not wanted. What has no task on it may go; from
/// the moment it is asked for, nothing is placed on it any more, since the
/// request may be carried out late. While another node may lead, and use these
/// machines, only those go that can't confirm that cancelled work stopped.
/// Says whether more may be asked for at once: the last request was answered.
async fn return_idle_machines(controller: &Controller) -> bool {
    if !controller.may_command() {
        return false;
    }
    let (now, sure) = (controller.now(), controller.holds_unexpired_lease());
    let Some(due) = controller.with_cluster(|c| {
        let mut due = c.returns(now);
        due.retain(|d| sure || d.1 == LeaveReason::Unconfirmed);
        due.truncate(MAX_MACHINES_PER_RETURN);
        let names: Vec<String> = due.iter().map(|d| d.0.clone()).collect();
        c.return_sent(&names);
        due
    }) else {
        return false;
    };
    if due.is_empty() {
        return false;
    }
    let reasons: BTreeMap<&str, LeaveReason> = due.iter().map(|d| (d.0.as_str(), d.1)).collect();
    let request = MachineNames {
        names: due.iter().map(|d| d.0.clone()).collect(),
    };
    let url = format!(
        "http://{}/machines/return",
        controller.settings.services.cloud
    );
    let answer = controller
        .http
        .call(Method::POST, &url, Some(&request), Duration::from_secs(4))
        .await;
    let now = controller.now();
    if !matches!(answer, Ok((StatusCode::OK, _))) {
        return false;
    }
    controller.with_cluster(|c| {
        for name in &request.names {
            c.deregister_machine(name, now);
        }
    });
    for (machine, reason) in reasons {
        tracing::info!(machine, ?reason, "returned");
    }
    controller.wake_scheduler.notify_one();
    true
}
