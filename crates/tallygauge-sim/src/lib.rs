//! Stand-ins of state service, cloud, workers and users, in simulated time, for
//! the tests of tallygauge. They are written from the protocol, keep count of
//! what is where, and note every start that breaks a rule.
//!
//! Faults: controllers cut from the state service or refused by it alone, standing
//! still, crashing and back at once; transactions without an answer, some carried
//! out late; workers silent, deaf, hung, begun again; copies of reports and direct
//! messages that come late.

// What the stand-ins are made of is told by its names.
#![allow(missing_docs)]

mod clock;
mod cloud;
pub mod drawn_days;
mod exchanges;
mod faults;
mod history;
mod machines;
mod store;
mod users;

pub use faults::FaultPoint;
pub use history::History;
pub use users::{
    JobShape, RelayTo, cancel_until_confirmed, count_starts, eventually, is_active_leader,
    query_status, reply_status, sleep_s, start_with_leader, submit_until_accepted, wait_until_done,
};

use clock::SimulatedClock;
use exchanges::{Exchanges, Request};
use machines::SimWorker;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    pin::Pin,
    sync::{Arc, Mutex},
    task::Waker,
    time::Duration,
};
use store::Store;
use tallygauge::{controller::Controller, operator_settings::OperatorSettings, settings::Settings};
use tallygauge_store::http::{HttpClient, HttpResult, Transport};
use tokio::{sync::Notify, task::JoinHandle, time::Instant};
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};
use warp::http::{Method, StatusCode};

/// Seconds of simulated time in front of each line of the log.
struct SimTime(Instant);

impl FormatTime for SimTime {
    fn format_time(&self, w: &mut Writer<'_>) -> std::fmt::Result {
        write!(w, "{:8.3}", self.0.elapsed().as_secs_f64())
    }
}

/// Shows what controllers log from here on, with simulated time and their names, at the
/// level of `LOG_LEVEL`. For one simulation in a process.
pub fn show_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let shown = tracing_subscriber::fmt()
        .with_max_level(level.parse().unwrap_or(tracing::Level::INFO))
        .with_timer(SimTime(Instant::now()))
        .with_ansi(false)
        .with_target(false)
        .try_init();
    if let Err(error) = shown {
        eprintln!("the log is not shown: {error}");
    }
}

pub const LEASE_S: f64 = 10.0;
pub const HEARTBEAT_INTERVAL_S: f64 = 1.0;
pub const CANCEL_TIMEOUT_S: f64 = 20.0;
pub const TEAM_CPUS: f64 = 16.0;

pub struct SimState {
    store: Store,
    /// Machines that were rented: when, and in which zone.
    machines: BTreeMap<String, (f64, String)>,
    workers: BTreeMap<String, SimWorker>,
    /// What was submitted.
    runs: HashMap<String, JobShape>,
    rentals: HashMap<String, Vec<String>>,
    /// What was asked for under each name.
    rental_requests: HashMap<String, String>,
    next_machine: u32,
    /// Nodes that can't reach the state service.
    pub partitioned: BTreeSet<String>,
    /// Nodes that the state service refuses, while it serves others.
    pub refused: BTreeSet<String>,
    /// The state service refuses everybody.
    pub store_down: bool,
    /// Part of the transactions that get no answer and are carried out 2 to 12
    /// seconds later.
    pub late_writes: f64,
    /// Part of the transactions that are carried out at once and get no answer.
    pub lost_responses: f64,
    /// Transactions that write a key which begins with this get no answer and are
    /// never carried out.
    pub hang_writes: Option<&'static str>,
    /// Seconds that a message takes each way.
    pub link_delay_s: f64,
    /// Seconds that a machine takes to boot.
    pub boot_time_s: f64,
    /// Zones with machines.
    pub zones: Vec<&'static str>,
    /// Workers that only one controller reaches, and that reach only that one.
    pub exclusive_links: HashMap<String, String>,
    /// The next transaction that writes a key which begins with this gets no answer
    /// and is carried out so many seconds later.
    pub delay_next_write: Option<(&'static str, f64)>,
    /// Part of the direct messages that reach their worker late, and after how many
    /// seconds at most.
    pub delayed_commands: (f64, f64),
    /// Direct messages on their way: when they are due, to whom, which.
    delayed_messages: Vec<(f64, String, Vec<u8>)>,
    /// Nodes that stand still, and what waits for them to go on.
    paused: HashMap<String, Vec<Waker>>,
    /// Where a controller will be made to stand still.
    pub pause_at: Option<FaultPoint>,
    /// At which request of a controller the state service begins to refuse everybody.
    pub store_down_at: Option<FaultPoint>,
    /// When users were told that jobs are cancelled.
    pub cancelled: HashMap<String, f64>,
    /// Tasks that were running on machines when these were returned.
    pub returned_running_tasks: u32,
    /// Transactions that are made but whose answer is lost.
    pub lose_next_responses: u32,
    /// Answers of state service and cloud are cut short.
    pub truncate_responses: bool,
    /// Watches of jobs hang.
    pub hang_job_watches: bool,
    /// Starts, with time, task and worker.
    pub starts: Vec<(f64, String, String)>,
    /// Tasks that were completed.
    ended: BTreeSet<String>,
    /// Where attempts were started.
    attempts: HashMap<(String, u64), String>,
    /// Rules broken.
    pub violations: Vec<String>,
    /// Direct commands that were turned away.
    pub rejected_commands: u32,
    /// What a team's tasks may use.
    pub team_cpus: f64,
    /// Reports that come again, late: when, which.
    delayed_heartbeats: Vec<(f64, Vec<u8>)>,
    /// Reports of which a copy is kept for [`Simulation::bring_kept`].
    pub capture_heartbeats: bool,
    captured_heartbeats: Vec<Vec<u8>>,
    /// Part of the reports that come again, and after how many seconds at most.
    pub duplicated_heartbeats: (f64, f64),
    /// Deals out chance.
    random: StdRng,
    /// Where workers take direct commands, if not under their names.
    pub endpoints: HashMap<String, String>,
}

pub struct Simulation {
    pub state: Mutex<SimState>,
    changed: Notify,
    resumed: Notify,
    started_at: Instant,
    /// What is exchanged, if it is recorded.
    exchanges: Mutex<Option<Exchanges>>,
    pub controllers: Mutex<Vec<Option<Arc<Controller>>>>,
}

struct Link {
    simulation: Arc<Simulation>,
    controller: String,
}

impl Transport for Link {
    fn send(
        &self,
        method: Method,
        url: String,
        body: bytes::Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>> {
        let (simulation, controller) = (self.simulation.clone(), self.controller.clone());
        Box::pin(async move {
            let link_delay_s = simulation.state.lock().unwrap().link_delay_s;
            tokio::time::sleep(Duration::from_secs_f64(link_delay_s)).await;
            let rest = url.strip_prefix("http://").unwrap_or_default();
            let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
            let request = format!("{method} {path}");
            simulation
                .wait_at_fault_point(&controller, &request, false)
                .await;
            let number = simulation.record_request(&Request {
                from: &controller,
                to: host,
                method: method.as_str(),
                path,
                body: &body,
            });
            let answer = match host {
                "127.0.0.1:7002" => {
                    simulation
                        .handle_store_request(&controller, &method, path, &body)
                        .await
                }
                "127.0.0.1:7001" => Ok(simulation.handle_cloud_request(&method, path, &body)),
                _ => {
                    simulation
                        .deliver_direct_commands(&controller, host, &body)
                        .await
                }
            };
            simulation.record_outcome(number, &answer);
            simulation
                .wait_at_fault_point(&controller, &request, true)
                .await;
            let garbled = simulation.state.lock().unwrap().truncate_responses;
            answer.map(|(code, body)| {
                let keep = if garbled { body.len() / 2 } else { body.len() };
                (code, body.slice(..keep))
            })
        })
    }
}

fn ok(body: Value) -> (StatusCode, bytes::Bytes) {
    status(200, body)
}

fn status(code: u16, body: Value) -> (StatusCode, bytes::Bytes) {
    (
        StatusCode::from_u16(code).unwrap(),
        body.to_string().into_bytes().into(),
    )
}

impl Simulation {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(SimState {
                store: Store::default(),
                machines: BTreeMap::new(),
                workers: BTreeMap::new(),
                runs: HashMap::new(),
                rentals: HashMap::new(),
                rental_requests: HashMap::new(),
                next_machine: 0,
                partitioned: BTreeSet::new(),
                refused: BTreeSet::new(),
                store_down: false,
                late_writes: 0.0,
                lost_responses: 0.0,
                hang_writes: None,
                exclusive_links: HashMap::new(),
                link_delay_s: 0.003,
                boot_time_s: 2.0,
                zones: vec!["a"],
                delay_next_write: None,
                delayed_commands: (0.0, 0.0),
                delayed_messages: Vec::new(),
                paused: HashMap::new(),
                pause_at: None,
                store_down_at: None,
                cancelled: HashMap::new(),
                returned_running_tasks: 0,
                lose_next_responses: 0,
                hang_job_watches: false,
                truncate_responses: false,
                starts: Vec::new(),
                ended: BTreeSet::new(),
                attempts: HashMap::new(),
                violations: Vec::new(),
                rejected_commands: 0,
                team_cpus: TEAM_CPUS,
                endpoints: HashMap::new(),
                delayed_heartbeats: Vec::new(),
                capture_heartbeats: false,
                captured_heartbeats: Vec::new(),
                duplicated_heartbeats: (0.0, 0.0),
                random: StdRng::seed_from_u64(1),
            }),
            changed: Notify::new(),
            resumed: Notify::new(),
            started_at: Instant::now(),
            exchanges: Mutex::default(),
            controllers: Mutex::new(Vec::new()),
        })
    }

    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Starts a controller and what it does unasked.
    pub fn start_controller(self: &Arc<Self>, name: &str) -> (Arc<Controller>, JoinHandle<()>) {
        self.start_controller_with(name, OperatorSettings::default())
    }

    /// Starts a controller with operators' settings.
    pub fn start_controller_with(
        self: &Arc<Self>,
        name: &str,
        tuning: OperatorSettings,
    ) -> (Arc<Controller>, JoinHandle<()>) {
        let settings = json!({
            "node_name": name, "area": "a",
            "client_listen": "127.0.0.1:7080", "back": "127.0.0.1:7081", "seeds": [],
            "services": {"cloud": "127.0.0.1:7001", "state": "127.0.0.1:7002"},
            "deployment": {
                "count": 2, "zones": ["a", "b"],
                "teams": [{"name": "t", "cpus": 8.0, "cpus_max": TEAM_CPUS},
                    {"name": "u", "cpus": 8.0, "cpus_max": TEAM_CPUS}],
                "workers": {"report_s": HEARTBEAT_INTERVAL_S, "lease_s": LEASE_S, "cancel_s": CANCEL_TIMEOUT_S},
                "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 16},
                "cloud": {"rps": 8.0, "list_lag_s": 1.0},
                "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": 100}
            }
        });
        let http = HttpClient::over(Arc::new(Link {
            simulation: self.clone(),
            controller: name.into(),
        }));
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let clock = Arc::new(SimulatedClock {
            began: self.started_at,
        });
        let (controller, questions) = Controller::new(settings, tuning, http.clone(), http, clock);
        let seed = self.state.lock().unwrap().random.random();
        *controller.lock(&controller.random) = StdRng::seed_from_u64(seed);
        controller.store.seed_jitter(seed);
        self.controllers
            .lock()
            .unwrap()
            .push(Some(controller.clone()));
        let background = tallygauge::background(controller.clone(), questions);
        let task = tokio::spawn(self.run_on(name, background));
        (controller, task)
    }

    pub fn assert_rules(&self) {
        let state = self.state.lock().unwrap();
        let wrong = state.all_violations();
        assert!(wrong.is_empty(), "{wrong:?}");
        assert!(!state.starts.is_empty(), "nothing ran");
    }
}

impl SimState {
    /// Rules broken, and names that were used twice.
    pub fn all_violations(&self) -> Vec<String> {
        let repeated = self.store.repeated.iter();
        let repeated = repeated.map(|key| format!("{key} is written anew"));
        self.violations.iter().cloned().chain(repeated).collect()
    }
}
