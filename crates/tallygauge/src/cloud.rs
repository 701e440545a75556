//! Dealings with the cloud: catalogue, machine list, rentals and returns.

use crate::node::Node;
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tallygauge_sched::LeaveReason;
use tallygauge_state::{first_time, http::NoAnswer};
use tallygauge_wire::cloud::{
    Catalogue, MACHINE_PAGE, MAX_RETURN, MachinePage, MachineType, Machines, RentRequest,
};
use warp::http::{Method, StatusCode};

enum Trouble {
    /// Surely not done: the cloud said so, or was not reached.
    Refused,
    /// Said that it has none.
    NoCapacity,
    /// May have been done, or may yet be.
    Unknown,
}

async fn call<B: Serialize, T: DeserializeOwned>(
    node: &Node,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> Result<T, Trouble> {
    let url = format!("http://{}{path}", node.settings.services.cloud);
    let timeout = Duration::from_secs(4);
    match node.http.call(method, &url, body, timeout).await {
        Ok((StatusCode::OK, bytes)) => serde_json::from_slice(&bytes).map_err(|error| {
            if first_time(&format!("cloud: {error}")) {
                tracing::warn!(%error, path, "malformed answer from the cloud, taken as none");
            }
            Trouble::Unknown
        }),
        Ok((StatusCode::SERVICE_UNAVAILABLE, bytes))
            if bytes.windows(11).any(|w| w == b"no capacity") =>
        {
            Err(Trouble::NoCapacity)
        }
        Ok((status, _)) => {
            tracing::debug!(status = status.as_u16(), path, "the cloud refuses");
            Err(Trouble::Refused)
        }
        Err(NoAnswer::NotSent) => Err(Trouble::Refused),
        Err(NoAnswer::Lost) => Err(Trouble::Unknown),
    }
}

/// Reads the catalogue; every node needs it to judge submissions.
pub async fn read_catalogue(node: &Node) -> bool {
    match call::<(), Catalogue>(node, Method::GET, "/catalog", None).await {
        Ok(catalogue) if !catalogue.types.is_empty() => {
            let types: Arc<Vec<MachineType>> = Arc::new(catalogue.types);
            *node.lock(&node.catalogue) = Some(types.clone());
            node.with_cluster(|c| c.set_types(&types));
            true
        }
        _ => false,
    }
}

async fn read_list(node: &Node) -> bool {
    let asked = node.now();
    let mut machines = Vec::new();
    loop {
        let since = machines
            .last()
            .map(|m: &tallygauge_wire::cloud::Machine| format!("since={}&", m.name))
            .unwrap_or_default();
        let path = format!("/machines?{since}page={MACHINE_PAGE}");
        match call::<(), MachinePage>(node, Method::GET, &path, None).await {
            Ok(page) => {
                let empty = page.machines.is_empty();
                machines.extend(page.machines);
                if !page.more || empty {
                    break;
                }
            }
            Err(_) => return false,
        }
    }
    let now = node.now();
    let gone = node
        .with_cluster(|c| c.on_list(&machines, asked, now))
        .unwrap_or_default();
    for name in gone {
        tracing::info!(machine = name, "machine is gone");
        node.wake.notify_one();
    }
    true
}

/// A rental that was not answered yet. It is repeated under its name, which
/// rents nothing twice.
struct Pending {
    request: RentRequest,
    tries: u32,
}

/// Deals with the cloud while this node leads.
pub async fn run(node: &Arc<Node>, term: u64) {
    let limits = &node.settings.deployment.cloud;
    let pause = Duration::from_secs_f64(1.0 / limits.rps);
    let list_every = (limits.list_lag_s * 0.5).max(4.0 / limits.rps);
    let catalogue_every = limits.list_lag_s * 8.0;
    let (mut listed, mut catalogued) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    let mut pending: Option<Pending> = None;
    let mut booked = 0u64;
    let began = node.now();
    let balance_every = node.settings.deployment.workers.report_s * 0.5;
    let mut balanced = f64::NEG_INFINITY;
    loop {
        let wait = Duration::from_secs_f64(list_every * 0.5);
        let _ = tokio::time::timeout(wait, node.wake_cloud.notified()).await;
        tokio::time::sleep(pause).await;
        let now = node.now();
        if now - catalogued > catalogue_every {
            if read_catalogue(node).await {
                catalogued = now;
            }
            tokio::time::sleep(pause).await;
        }
        let now = node.now();
        if now - listed > list_every {
            if read_list(node).await {
                listed = now;
            }
            tokio::time::sleep(pause).await;
        }
        let now = node.now();
        if now - balanced > balance_every {
            balanced = now;
            node.with_cluster(|c| c.balance(now));
        }
        give_back(node, pause).await;
        if pending.is_none() && listed.is_finite() {
            // What the leader before asked for last may not be listed yet.
            let settled = term == 1 || node.now() - began > limits.list_lag_s;
            let wanted = (settled && node.may_command())
                .then(|| node.with_cluster(|c| c.rentals(node.now())))
                .flatten()
                .unwrap_or_default();
            pending = wanted.into_iter().next().map(|rental| {
                booked += 1;
                Pending {
                    request: RentRequest {
                        booking: format!("{}-{term}-{booked}", node.settings.node_name),
                        machine_type: rental.kind.0,
                        zone: rental.kind.1,
                        spot: rental.kind.2,
                        count: rental.count,
                    },
                    tries: 0,
                }
            });
        }
        // A leader that has not heard for long whether it still is one rents
        // nothing: another may be doing so.
        if let Some(p) = pending.take_if(|_| node.may_command()) {
            pending = rent(node, p).await;
            if pending.is_some() {
                tokio::time::sleep(pause * 4).await;
            } else {
                node.wake_cloud.notify_one();
            }
        }
    }
}

async fn rent(node: &Node, mut pending: Pending) -> Option<Pending> {
    let request = &pending.request;
    let kind = (
        request.machine_type.clone(),
        request.zone.clone(),
        request.spot,
    );
    let answer: Result<Machines, Trouble> =
        call(node, Method::POST, "/machines", Some(request)).await;
    let now = node.now();
    match answer {
        Ok(machines) => {
            tracing::info!(
                booking = request.booking,
                machine_type = kind.0,
                zone = kind.1,
                spot = kind.2,
                asked = request.count,
                got = machines.names.len(),
                "rented"
            );
            let partly = machines.names.len() < request.count as usize;
            node.with_cluster(|c| {
                for name in &machines.names {
                    c.know(name, &kind.0, &kind.1, kind.2, "", now);
                }
                if partly {
                    c.refused(&kind, now);
                } else {
                    c.granted(&kind);
                }
            });
            None
        }
        Err(Trouble::NoCapacity) => {
            tracing::debug!(
                machine_type = kind.0,
                zone = kind.1,
                spot = kind.2,
                "no capacity"
            );
            node.with_cluster(|c| c.refused(&kind, now));
            None
        }
        Err(Trouble::Refused | Trouble::Unknown) => {
            pending.tries += 1;
            Some(pending)
        }
    }
}

/// Returns machines that are not wanted. What has no task on it may go; from
/// the moment it is asked for, nothing is placed on it any more, since the
/// request may be carried out late. While another node may lead, and use these
/// machines, only those go that can't confirm that cancelled work stopped.
async fn give_back(node: &Node, pause: Duration) {
    if !node.may_command() {
        return;
    }
    let (now, sure) = (node.now(), node.surely_leads());
    let Some(due) = node.with_cluster(|c| {
        let mut due = c.returns(now);
        due.retain(|d| sure || d.1 == LeaveReason::Unconfirmed);
        due.truncate(MAX_RETURN);
        let names: Vec<String> = due.iter().map(|d| d.0.clone()).collect();
        c.return_sent(&names);
        due
    }) else {
        return;
    };
    if due.is_empty() {
        return;
    }
    let reasons: BTreeMap<&str, LeaveReason> = due.iter().map(|d| (d.0.as_str(), d.1)).collect();
    let request = Machines {
        names: due.iter().map(|d| d.0.clone()).collect(),
    };
    let url = format!("http://{}/machines/return", node.settings.services.cloud);
    let answer = node
        .http
        .call(Method::POST, &url, Some(&request), Duration::from_secs(4))
        .await;
    let now = node.now();
    if matches!(answer, Ok((StatusCode::OK, _))) {
        node.with_cluster(|c| {
            for name in &request.names {
                c.gone(name, now);
            }
        });
        for (machine, reason) in reasons {
            tracing::info!(machine, ?reason, "returned");
        }
        node.wake.notify_one();
    }
    tokio::time::sleep(pause).await;
}
