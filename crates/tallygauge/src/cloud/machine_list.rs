//! Reading the list of machines that the cloud provider runs for the cluster.

use super::{CloudSession, catalogue::refresh_catalogue, client, client::CloudError};
use crate::{controller::Controller, machine_types};
use std::time::Duration;
use tallygauge_protocol::cloud::{MAX_MACHINES_PER_PAGE, Machine, MachinePage};
use warp::http::Method;

/// Time between two checks of which reads are due, as a fraction of the time between
/// two reads of the machine list.
const POLL_LIST_INTERVAL_FRACTION: f64 = 0.25;

/// Reads the machine types and the machine list whenever they are due.
pub(super) async fn run(session: &CloudSession<'_>) {
    let controller = session.controller;
    let list_interval_s = session.list_interval_s();
    let catalogue_interval_s = machine_types::refresh_interval(controller).as_secs_f64();
    let (mut listed_at, mut catalogue_read_at) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    loop {
        if controller.now() - catalogue_read_at > catalogue_interval_s {
            session.rate_limiter.acquire().await;
            if refresh_catalogue(controller).await {
                catalogue_read_at = controller.now();
            }
        }
        if controller.now() - listed_at > list_interval_s {
            let due_at = controller.now();
            session.rate_limiter.acquire().await;
            if refresh_machine_list(controller).await.is_ok() {
                listed_at = due_at;
                session.mark_machine_list_read();
                controller.wake_rentals.notify_one();
            }
        }
        tokio::time::sleep(Duration::from_secs_f64(
            list_interval_s * POLL_LIST_INTERVAL_FRACTION,
        ))
        .await;
    }
}

/// Reads the machine list and applies it to the cluster state.
async fn refresh_machine_list(controller: &Controller) -> Result<(), CloudError> {
    let requested_at = controller.now();
    let machines = read_machines(controller).await?;
    let now = controller.now();
    let unlisted = controller
        .with_cluster(|cluster| cluster.apply_machine_list(&machines, requested_at, now))
        .unwrap_or_default();
    for machine in unlisted {
        tracing::info!(machine, "machine no longer listed");
        controller.wake_scheduler.notify_one();
    }
    Ok(())
}

/// Reads all pages of the machine list. Each page continues after the last machine of
/// the previous page.
async fn read_machines(controller: &Controller) -> Result<Vec<Machine>, CloudError> {
    let mut machines: Vec<Machine> = Vec::new();
    loop {
        let since = machines
            .last()
            .map(|last| format!("since={}&", last.name))
            .unwrap_or_default();
        let path = format!("/machines?{since}page={MAX_MACHINES_PER_PAGE}");
        let page: MachinePage = client::call::<(), _>(controller, Method::GET, &path, None).await?;
        let is_last = !page.has_more || page.machines.is_empty();
        machines.extend(page.machines);
        if is_last {
            return Ok(machines);
        }
    }
}
