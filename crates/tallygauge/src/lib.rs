//! The tallygauge controller: a cluster scheduler in which one elected leader
//! places pending tasks by utility per remaining time.
//!
//! `docs/design.md` says how it works and why it is safe.

pub mod cleanup;
pub mod cloud;
pub mod connection_limits;
pub mod controller;
pub mod deadline_settings;
pub mod direct_messages;
mod event_log;
pub mod fairness_summary;
pub mod job_cache;
pub mod job_watch;
pub mod job_watch_loop;
pub mod leader;
pub mod leader_records;
mod leader_transaction;
pub mod leadership;
mod locking;
pub mod machine_catalogue;
pub mod operator_settings;
mod pacing;
pub mod peer_reachability;
pub mod peers;
pub mod pending_callers;
pub mod placements;
mod process_clock;
pub mod process_load;
pub mod progress;
pub mod reconciliation;
pub mod relay;
pub mod scheduler_config;
pub mod scheduling_loop;
pub mod server;
pub mod settings;
pub mod settings_error;
mod store_client;
pub mod store_keys;
pub mod summary;
pub mod task_counts;
pub mod user_api;
pub mod version_checks;
pub mod wall_clock;
pub mod worker_api;

use controller::Controller;
use operator_settings::OperatorSettings;
use settings::Settings;
use std::{sync::Arc, time::Duration};
use tallygauge_store::http::{ConnectionDriver, HttpClient};
use tokio::task::JoinHandle;
use version_checks::VersionCheckQueue;
use wall_clock::SystemClock;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Fraction of the process's memory that one response may take.
const RESPONSE_MEMORY_FRACTION: f64 = 1.0 / 8.0;

/// Requests to the cloud provider that are left out between two attempts to read
/// the machine types.
const CATALOGUE_RETRY_REQUESTS: f64 = 2.0;

/// Runs a controller until it is killed.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(
    settings: Settings,
    operator_settings: OperatorSettings,
) -> Result<(), Box<dyn std::error::Error>> {
    let clients = HttpClients::new(&settings);
    let (controller, version_checks) = Controller::new(
        settings,
        operator_settings,
        clients.store,
        clients.general,
        Arc::new(SystemClock),
    );
    tracing::info!(node = controller.settings.node_name, "starting controller");
    let peer_server = spawn_request_tasks(&controller);
    // What is not spawned does not queue behind hundreds of workers' requests: the
    // runtime polls it first. A lease whose renewal has to queue is lost.
    tokio::select! {
        () = background(controller, version_checks) => Ok(()),
        () = clients.store_driver.run() => Ok(()),
        served = peer_server => Ok(served??),
    }
}

/// The clients of a controller.
struct HttpClients {
    /// For the cloud provider and the workers.
    general: HttpClient,
    /// For the store, whose connections are driven by `store_driver`.
    store: HttpClient,
    store_driver: ConnectionDriver,
}

impl HttpClients {
    fn new(settings: &Settings) -> Self {
        let deployment = &settings.deployment;
        let memory_bytes = deployment.resource_limits.memory_mib * 1024.0 * 1024.0;
        let max_response_bytes = (memory_bytes * RESPONSE_MEMORY_FRACTION) as usize;
        // Connections are scarce: one to a machine that is gone is closed soon.
        let idle_timeout = Duration::from_secs_f64(deployment.workers.lease_s);
        let general = HttpClient::new(CONNECT_TIMEOUT, idle_timeout, max_response_bytes);
        let (store, store_driver) =
            HttpClient::with_driver(CONNECT_TIMEOUT, idle_timeout, max_response_bytes);
        Self {
            general,
            store,
            store_driver,
        }
    }
}

/// Starts the tasks that serve requests, and those that may queue behind them.
/// Returns the task that serves the peers, which ends only when it can't listen.
fn spawn_request_tasks(
    controller: &Arc<Controller>,
) -> JoinHandle<Result<(), tonic::transport::Error>> {
    tokio::spawn(server::serve(controller.clone()));
    tokio::spawn(peers::run(controller.clone()));
    tokio::spawn(process_load::measure_scheduling_delay(controller.clone()));
    tokio::spawn(peers::serve(controller.clone()))
}

/// Runs the loops that must not queue behind requests: leadership, version checks,
/// and the caches of machine types and active jobs. Simulations run these alone.
/// The loops of a term are listed in `leader::background_loops`.
pub async fn background(controller: Arc<Controller>, version_checks: VersionCheckQueue) {
    tokio::join!(
        load_catalogue(&controller),
        leader::run(controller.clone()),
        version_checks.serve(controller.clone()),
        user_api::refresh_active_jobs(controller.clone()),
    );
}

/// Reads the machine types once, which every controller needs to validate
/// submissions; a leader reads them again from time to time.
async fn load_catalogue(controller: &Controller) {
    let requests_per_s = controller.settings.deployment.cloud.requests_per_s;
    let pause = Duration::from_secs_f64(CATALOGUE_RETRY_REQUESTS / requests_per_s);
    while !cloud::refresh_catalogue(controller).await {
        tokio::time::sleep(pause + controller.jitter(pause)).await;
    }
}
