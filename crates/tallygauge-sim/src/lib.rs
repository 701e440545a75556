//! Deterministic simulation testing for tallygauge's controllers, with fault injection. The
//! controllers are the real ones; the key-value store, the cloud, the workers and the users
//! are simulated, and so is time.
//!
//! The simulated components are written against the protocols only. They track which task runs
//! where and record a violation whenever an invariant breaks:
//! - a task runs twice at the same time;
//! - a team exceeds its quota;
//! - a task runs in a zone that its job does not allow;
//! - a cancelled task keeps running, or starts, after the cancel timeout;
//! - a name (of an attempt, a rental request or a placement batch) is reused.
//!
//! Faults:
//! - controllers: partitioned from the store, refused by the store, paused, crashed, or
//!   restarted all at once;
//! - transactions: no response, with some of them executed late;
//! - workers: partitioned in both directions or in one, hung, or restarted;
//! - messages: heartbeats that are delivered twice and late, direct commands that are
//!   delivered late, or held in transit to one machine; requests of controllers that arrive once
//!   more after they were executed and answered;
//! - the cloud: unavailable;
//! - jobs: their tasks fail on every machine.

#![allow(
    clippy::unwrap_used,
    reason = "the simulation is used by tests, which should panic on an unexpected value"
)]

mod clock;
mod cloud;
mod command_execution;
mod exchanges;
mod fault_settings;
mod faults;
mod history;
mod logging;
mod machines;
mod repeated_requests;
pub mod scenario;
mod state;
mod store;
mod store_requests;
mod transport;
mod users;
mod worker_agent;

pub use fault_settings::{DelayedWrite, FaultPoint, FaultSettings, RandomDelay};
pub use history::History;
pub use logging::show_log;
pub use state::{SimState, TaskStart};
pub use users::{
    JobRequest, JobShape, RelayTo, cancel_until_confirmed, count_starts, eventually,
    is_active_leader, query_status, reply_status, sleep_s, start_with_booted_machines,
    start_with_leader, submit_job, submit_job_with_shape, submit_until_accepted, wait_until_done,
};

use clock::SimulatedClock;
use exchanges::Exchanges;
use rand::RngExt;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use tallygauge::{controller::Controller, operator_settings::OperatorSettings, settings::Settings};
use tallygauge_store::http::HttpClient;
use tokio::{sync::Notify, task::JoinHandle, time::Instant};
use transport::{CLOUD_ADDRESS, STORE_ADDRESS, SimulatedTransport};

/// Lease duration of a worker, in seconds. A worker whose heartbeats have had no accepted
/// response for longer ends all its tasks.
pub const LEASE_S: f64 = 10.0;

/// Interval between the heartbeats of a worker, in seconds.
pub const HEARTBEAT_INTERVAL_S: f64 = 1.0;

/// Time limit for a cancellation, in seconds: once a user has been told that a job is
/// cancelled, all its tasks must end within it.
pub const CANCEL_TIMEOUT_S: f64 = 20.0;

/// Quota of a team: total CPUs that its running tasks may use.
pub const TEAM_QUOTA_CPUS: f64 = 16.0;

/// A simulated cluster: controllers, and the simulated components that they talk to.
pub struct Simulation {
    /// State of the simulated components, and the active faults.
    pub state: Mutex<SimState>,
    /// Notified after each request that the store has executed.
    store_changed: Notify,
    /// Notified when a paused controller resumes.
    controller_resumed: Notify,
    started_at: Instant,
    /// Messages exchanged so far; `None` unless they are recorded.
    exchanges: Mutex<Option<Exchanges>>,
    /// Controllers in the order in which they were started. A controller that is
    /// disconnected from the workers is replaced by `None`.
    pub controllers: Mutex<Vec<Option<Arc<Controller>>>>,
}

impl Simulation {
    /// Creates a simulation without machines, jobs and controllers.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            store_changed: Notify::new(),
            controller_resumed: Notify::new(),
            started_at: Instant::now(),
            exchanges: Mutex::default(),
            controllers: Mutex::default(),
        })
    }

    /// Simulated time in seconds since the simulation was created.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Starts a controller with default operator settings. Returns it and its background
    /// task.
    pub fn start_controller(self: &Arc<Self>, name: &str) -> (Arc<Controller>, JoinHandle<()>) {
        self.start_controller_with(name, OperatorSettings::default())
    }

    /// Starts a controller with the given operator settings. Returns it and its background
    /// task.
    pub fn start_controller_with(
        self: &Arc<Self>,
        name: &str,
        operator_settings: OperatorSettings,
    ) -> (Arc<Controller>, JoinHandle<()>) {
        let settings = Settings::parse(&controller_settings(name).to_string()).unwrap();
        let http = HttpClient::with_transport(Arc::new(SimulatedTransport {
            simulation: self.clone(),
            controller: name.into(),
        }));
        let clock = Arc::new(SimulatedClock {
            started_at: self.started_at,
        });
        let (controller, version_checks) =
            Controller::new(settings, operator_settings, http.clone(), http, clock);
        let seed = self.state.lock().unwrap().random.random();
        controller.seed_jitter(seed);
        controller.store.seed_jitter(seed);
        let mut controllers = self.controllers.lock().unwrap();
        controllers.push(Some(controller.clone()));
        drop(controllers);
        let background = tallygauge::background(controller.clone(), version_checks);
        let task = tokio::spawn(self.run_on(name, background));
        (controller, task)
    }

    /// Panics if an invariant was violated or no task was ever started.
    pub fn assert_invariants(&self) {
        let state = self.state.lock().unwrap();
        let violations = state.all_violations();
        assert!(violations.is_empty(), "{violations:?}");
        assert!(!state.starts.is_empty(), "no task was started");
    }
}

/// Settings of a controller in the simulation, in the format of the settings file.
fn controller_settings(name: &str) -> Value {
    json!({
        "node_name": name, "area": "a",
        "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081", "seeds": [],
        "services": {"cloud": CLOUD_ADDRESS, "state": STORE_ADDRESS},
        "deployment": {
            "count": 2, "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 8.0, "cpus_max": TEAM_QUOTA_CPUS},
                {"name": "u", "cpus": 8.0, "cpus_max": TEAM_QUOTA_CPUS}],
            "workers": {"report_s": HEARTBEAT_INTERVAL_S, "lease_s": LEASE_S, "cancel_s": CANCEL_TIMEOUT_S},
            "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 1.0},
            "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": 100}
        }
    })
}
