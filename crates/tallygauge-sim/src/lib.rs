//! A deterministic simulation of everything around the controllers of tallygauge, with
//! fault injection: stand-ins for the key-value store, the cloud, the workers and the
//! users, in simulated time.
//!
//! The stand-ins follow the protocols alone. They track which task runs where and record a
//! violation whenever an invariant breaks: a task that runs twice, a team over its quota,
//! a wrong zone, a cancelled task that runs on, a name that is used again.
//!
//! Faults: controllers that are partitioned from the store, refused by it, paused, crashed
//! or restarted at once; transactions without a response, some of which are executed late;
//! workers that are silent, unreachable in one direction, hung or restarted; late and
//! duplicated heartbeats and direct commands.

#![allow(
    clippy::unwrap_used,
    reason = "the simulation serves tests, which end on a value that they do not expect"
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
    is_active_leader, query_status, reply_status, sleep_s, start_with_leader, submit_job,
    submit_job_with_shape, submit_until_accepted, wait_until_done,
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

/// Lease of a worker, in seconds: without an answer to its heartbeats for so long, it
/// ends its tasks.
pub const LEASE_S: f64 = 10.0;

/// Seconds between two heartbeats of a worker.
pub const HEARTBEAT_INTERVAL_S: f64 = 1.0;

/// Seconds within which the tasks of a job must have ended once its user is told that it
/// is cancelled.
pub const CANCEL_TIMEOUT_S: f64 = 20.0;

/// Quota of a team: CPUs that its tasks may use together.
pub const TEAM_QUOTA_CPUS: f64 = 16.0;

/// One simulation: controllers and the stand-ins around them.
pub struct Simulation {
    /// State of the stand-ins and faults in force.
    pub state: Mutex<SimState>,
    /// Notified when the store changes.
    changed: Notify,
    /// Notified when a paused controller resumes.
    resumed: Notify,
    started_at: Instant,
    /// Messages exchanged so far, if they are recorded.
    exchanges: Mutex<Option<Exchanges>>,
    /// Controllers that workers can reach, in the order in which they were started; `None`
    /// in place of one that is disconnected.
    pub controllers: Mutex<Vec<Option<Arc<Controller>>>>,
}

impl Simulation {
    /// A simulation without machines, jobs and controllers.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Notify::new(),
            resumed: Notify::new(),
            started_at: Instant::now(),
            exchanges: Mutex::default(),
            controllers: Mutex::default(),
        })
    }

    /// Seconds of simulated time since the simulation was made.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Starts a controller and its background task with default operator settings.
    pub fn start_controller(self: &Arc<Self>, name: &str) -> (Arc<Controller>, JoinHandle<()>) {
        self.start_controller_with(name, OperatorSettings::default())
    }

    /// Starts a controller and its background task with the operator settings given.
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

    /// Asserts that no invariant was violated and that some task was started.
    pub fn assert_invariants(&self) {
        let state = self.state.lock().unwrap();
        let violations = state.all_violations();
        assert!(violations.is_empty(), "{violations:?}");
        assert!(!state.starts.is_empty(), "nothing ran");
    }
}

/// Settings of a controller in the simulation, as its settings file has them.
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
