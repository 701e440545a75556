//! The tallygauge controller: a cluster scheduler in which one elected leader
//! places pending tasks in the order of utility per remaining time.
//!
//! `docs/design.md` describes the design and why it is safe.

pub mod cleanup;
pub mod cloud;
mod command_log;
pub mod connection_limits;
pub mod controller;
pub mod deadline_settings;
pub mod direct_messages;
mod event_log;
pub mod fairness_summary;
mod held_responses;
pub mod job_cache;
pub mod job_watch;
pub mod job_watch_loop;
pub mod leader;
pub mod leader_records;
mod leader_transaction;
pub mod leadership;
mod locking;
pub mod machine_types;
pub mod operator_settings;
mod pacing;
pub mod peer_reachability;
pub mod peers;
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
pub mod unanswered_polls;
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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of one response, as a fraction of the process's memory limit.
const MAX_RESPONSE_MEMORY_FRACTION: f64 = 1.0 / 8.0;

/// Runs a controller until it is killed.
///
/// # Errors
/// If a listen address can't be bound.
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
    // These futures run in the runtime's main task, not in spawned tasks: the runtime
    // polls the main task first, so they don't queue behind the requests of hundreds
    // of workers. A leader lease whose renewal has to queue is lost.
    tokio::select! {
        () = background(controller, version_checks) => Ok(()),
        () = clients.store_driver.run() => Ok(()),
        served = peer_server => Ok(served??),
    }
}

/// HTTP clients of a controller.
struct HttpClients {
    /// Client for the cloud provider and the workers.
    general: HttpClient,
    /// Client for the store; `store_driver` drives its connections.
    store: HttpClient,
    store_driver: ConnectionDriver,
}

impl HttpClients {
    fn new(settings: &Settings) -> Self {
        let deployment = &settings.deployment;
        let memory_bytes = deployment.resource_limits.memory_mib * 1024.0 * 1024.0;
        let max_response_bytes = (memory_bytes * MAX_RESPONSE_MEMORY_FRACTION) as usize;
        // Connections are scarce, so an idle connection, such as one to a machine that
        // no longer exists, is closed after the duration of a worker's lease.
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

/// Spawns the tasks that serve requests, and the tasks that may queue behind
/// requests. Returns the task that serves the peers, which ends only if it can't
/// listen.
fn spawn_request_tasks(
    controller: &Arc<Controller>,
) -> JoinHandle<Result<(), tonic::transport::Error>> {
    tokio::spawn(server::serve(controller.clone()));
    tokio::spawn(peers::run(controller.clone()));
    tokio::spawn(process_load::measure_scheduling_delay(controller.clone()));
    tokio::spawn(peers::serve(controller.clone()))
}

/// Runs the loops that must not queue behind requests: leadership, version checks,
/// and refreshing the caches of machine types and active jobs. Simulations run only
/// these. The loops of a leader's term are listed in `leader::background_loops`.
pub async fn background(controller: Arc<Controller>, version_checks: VersionCheckQueue) {
    tokio::join!(
        machine_types::keep_types_current(&controller),
        leader::run(controller.clone()),
        version_checks.serve(controller.clone()),
        user_api::refresh_active_jobs(controller.clone()),
    );
}
