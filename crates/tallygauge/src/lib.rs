//! The tallygauge controller: a cluster scheduler in which one leader, under a
//! term, places waiting tasks by worth per remaining time.
//!
//! `docs/design.md` says how it works and why it is safe.

pub mod cleanup;
pub mod cloud;
pub mod connection_limits;
pub mod controller;
pub mod deadline_settings;
mod event_log;
pub mod fairness_summary;
pub mod job_watch;
pub mod leader;
pub mod leader_records;
pub mod operator_settings;
pub mod peers;
pub mod placements;
pub mod progress;
pub mod reconciliation;
pub mod relay;
pub mod scheduling_loop;
pub mod server;
pub mod settings;
pub mod summary;
pub mod user_api;
pub mod wall_clock;
pub mod worker_api;

use controller::Controller;
use std::{sync::Arc, time::Duration};
use tallygauge_store::http::HttpClient;
use tokio::sync::mpsc;
use wall_clock::SystemClock;

/// The parts that run without being asked: leadership, questions, catalogue.
pub async fn background(
    controller: Arc<Controller>,
    questions: mpsc::Receiver<controller::VersionCheck>,
) {
    let pause = Duration::from_secs_f64(2.0 / controller.settings.deployment.cloud.rps);
    let catalogue = async {
        while !cloud::refresh_catalogue(&controller).await {
            tokio::time::sleep(pause + controller.jitter(pause)).await;
        }
    };
    tokio::join!(
        catalogue,
        leader::run(controller.clone()),
        user_api::serve_version_checks(controller.clone(), questions),
        user_api::refresh_active_jobs(controller.clone()),
    );
}

/// Runs a controller until it is killed.
///
/// # Errors
/// When an address can't be taken.
pub async fn run(
    settings: settings::Settings,
    tuning: operator_settings::OperatorSettings,
) -> Result<(), Box<dyn std::error::Error>> {
    let connect = Duration::from_secs(1);
    let limit = (settings.deployment.resource_limits.memory_mb * 1024.0 * 1024.0 / 8.0) as usize;
    // Sockets are scarce: a machine that went must not hold one for long.
    let idle = Duration::from_secs_f64(settings.deployment.workers.lease_s);
    let http = HttpClient::new(connect, idle, limit);
    let (state, connections) = HttpClient::with_driver(connect, idle, limit);
    let (controller, questions) =
        Controller::new(settings, tuning, state, http, Arc::new(SystemClock));
    tracing::info!(node = controller.settings.node_name, "starts");
    tokio::spawn(server::serve(controller.clone()));
    tokio::spawn(peers::run(controller.clone()));
    tokio::spawn(controller.clone().measure_scheduling_delay());
    let peers = tokio::spawn(peers::serve(controller.clone()));
    // What is not spawned does not queue behind hundreds of workers' requests:
    // the runtime looks at it first. A lease that waits its turn is lost.
    tokio::select! {
        () = background(controller, questions) => Ok(()),
        () = connections.run() => Ok(()),
        served = peers => Ok(served??),
    }
}
