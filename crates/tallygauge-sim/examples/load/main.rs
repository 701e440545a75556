//! Measures the CPU time and memory of a controller process under load. The process talks real
//! HTTP to a simulated store, a simulated cloud and simulated workers.
//!
//!     cargo build --release
//!     cargo run --release -p tallygauge-sim --example load -- --machines 600
//!
//! Phases:
//! 1. workers send their first heartbeats, and tasks start on all machines;
//! 2. all these tasks complete, and others start;
//! 3. a steady phase, in which heartbeats report no changes;
//! 4. a restart of the process while all machines run tasks.
//!
//! CPU times are those of the process, as counted by the kernel.

#![allow(
    clippy::unwrap_used,
    reason = "a load test should panic on an unexpected value"
)]

mod http;
mod phase;
mod program;
mod worker;

use clap::Parser;
use http::{listen, serve};
use phase::{Phase, RequestCounts, print_header};
use program::{Program, ProgramConfig, Usage};
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};
use tallygauge_sim::{CANCEL_TIMEOUT_S, LEASE_S, Simulation};
use warp::http::Method;
use worker::Worker;

/// CPUs of each machine.
const MACHINE_CPUS: f64 = 8.0;

/// Name of the controller in its settings.
const CONTROLLER_NAME: &str = "n0";

/// Run time of the second job's tasks, in seconds: longer than the measurement.
const ENDLESS_RUN_S: f64 = 1e6;

/// Time that the program gets to start its servers.
const STARTUP_TIME: Duration = Duration::from_secs(1);

/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of checks of a condition.
const MAX_CHECKS: u32 = 3000;

/// Measures a controller under the load of stand-in workers.
#[derive(Debug, Parser)]
struct Arguments {
    /// Machines, of eight CPUs each.
    #[arg(long, default_value_t = 600)]
    machines: u32,
    /// Tasks on each: together they fill it.
    #[arg(long, default_value_t = 4)]
    tasks: u32,
    /// Report interval, seconds.
    #[arg(long, default_value_t = 2.5)]
    report: f64,
    /// Length of the steady phase, seconds.
    #[arg(long, default_value_t = 20.0)]
    steady: f64,
    /// The program.
    #[arg(long, default_value = "target/release/tallygauge")]
    program: PathBuf,
}

impl Arguments {
    /// Number of tasks that fill all machines.
    fn total_tasks(&self) -> u32 {
        self.machines * self.tasks
    }

    /// Total CPUs of all machines.
    fn total_cpus(&self) -> f64 {
        f64::from(self.machines) * MACHINE_CPUS
    }

    /// CPUs of each task.
    fn task_cpus(&self) -> f64 {
        MACHINE_CPUS / f64::from(self.tasks)
    }

    /// Time in which every worker sends a few heartbeats.
    fn settling_time(&self) -> Duration {
        Duration::from_secs_f64(self.report * 3.0)
    }
}

/// Addresses of the simulated store and cloud, and of the program's user and peer APIs.
struct Addresses {
    store: String,
    cloud: String,
    users: String,
    peers: String,
}

/// State shared by all phases of the measurement.
struct Measurement {
    arguments: Arguments,
    simulation: Arc<Simulation>,
    counts: Arc<RequestCounts>,
    /// URL of the program's user API.
    base_url: String,
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    program::kill_on_panic();
    let counts = Arc::new(RequestCounts::default());
    let simulation = simulation_with_machines(&arguments);
    let addresses = Addresses {
        store: serve_store(&simulation, &counts).await,
        cloud: serve_cloud(&simulation, &counts).await,
        users: listen().await.1,
        peers: listen().await.1,
    };
    let config = ProgramConfig::write(&arguments.program, &settings(&arguments, &addresses));
    let measurement = Measurement {
        arguments,
        simulation,
        counts,
        base_url: format!("http://{}", addresses.users),
    };
    measurement.start_workers();
    measurement.run_phases(&config).await;
    let state = measurement.simulation.state.lock().unwrap();
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

/// Creates a simulation with booted machines and a team quota that covers all of them.
fn simulation_with_machines(arguments: &Arguments) -> Arc<Simulation> {
    let simulation = Simulation::new();
    let mut state = simulation.state.lock().unwrap();
    state.team_quota_cpus = arguments.total_cpus();
    state.add_booted_machines(arguments.machines);
    drop(state);
    simulation
}

/// Serves the simulated store over HTTP. Returns its address.
async fn serve_store(simulation: &Arc<Simulation>, counts: &Arc<RequestCounts>) -> String {
    let (listener, address) = listen().await;
    let (simulation, counts) = (simulation.clone(), counts.clone());
    serve(listener, move |method, path, body| {
        let simulation = simulation.clone();
        counts.store.fetch_add(1, Relaxed);
        async move {
            simulation
                .handle_store_request(CONTROLLER_NAME, &method, &path, &body)
                .await
        }
    });
    address
}

/// Serves the simulated cloud over HTTP. Returns its address.
async fn serve_cloud(simulation: &Arc<Simulation>, counts: &Arc<RequestCounts>) -> String {
    let (listener, address) = listen().await;
    let (simulation, counts) = (simulation.clone(), counts.clone());
    serve(listener, move |method, path, body| {
        counts.cloud.fetch_add(1, Relaxed);
        let path = path.split('?').next().unwrap_or_default();
        let response = Ok(simulation.handle_cloud_request(&method, path, &body));
        async move { response }
    });
    address
}

/// The program's settings, in the format of the settings file.
fn settings(arguments: &Arguments, addresses: &Addresses) -> Value {
    let cpus = arguments.total_cpus();
    json!({
        "node_name": CONTROLLER_NAME, "area": "a",
        "client_listen": addresses.users, "back": addresses.peers, "seeds": [],
        "services": {"cloud": addresses.cloud, "state": addresses.store},
        "deployment": {
            "count": 1, "zones": ["a"],
            "teams": [{"name": "t", "cpus": cpus, "cpus_max": cpus}],
            "workers": {"report_s": arguments.report, "lease_s": LEASE_S, "cancel_s": CANCEL_TIMEOUT_S},
            "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 1.0},
            "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": arguments.machines * 3}
        }
    })
}

impl Measurement {
    /// Starts the agents of all workers, and advances their machines.
    fn start_workers(&self) {
        let names = self.simulation.state.lock().unwrap().worker_names();
        for name in names {
            let worker = Worker {
                simulation: self.simulation.clone(),
                counts: self.counts.clone(),
                name,
                url: format!("{}/checkin", self.base_url),
                heartbeat_interval_s: self.arguments.report,
            };
            tokio::spawn(worker.run());
        }
        tokio::spawn(advance_machines(self.simulation.clone()));
    }

    /// Runs all phases and prints a table row for each.
    async fn run_phases(&self, config: &ProgramConfig) {
        let (all, task_cpus) = (self.arguments.total_tasks(), self.arguments.task_cpus());
        let settling_time = self.arguments.settling_time();
        print_header();

        // A job is submitted right after the start, as idle machines would be returned.
        let phase = Phase::start(Usage::default(), &self.counts);
        let program = Program::start(config);
        tokio::time::sleep(STARTUP_TIME).await;
        let run_s = settling_time.as_secs_f64() * 2.0;
        self.submit(1, all, task_cpus, run_s).await;
        self.wait_for_starts("all started", all).await;
        let name = format!("start, machines are met, {all} tasks start");
        phase.print(&name, &program, &self.counts);

        let phase = Phase::start(program.usage(), &self.counts);
        self.submit(2, all, task_cpus, ENDLESS_RUN_S).await;
        self.wait_for_starts("all replaced", all * 2).await;
        tokio::time::sleep(settling_time).await;
        phase.print(&format!("{all} end, {all} start"), &program, &self.counts);

        let phase = Phase::start(program.usage(), &self.counts);
        tokio::time::sleep(Duration::from_secs_f64(self.arguments.steady)).await;
        phase.print("steady", &program, &self.counts);

        drop(program);
        let phase = Phase::start(Usage::default(), &self.counts);
        let program = Program::start(config);
        tokio::time::sleep(settling_time).await;
        phase.print("restart, machines are met", &program, &self.counts);
    }

    /// Submits a job to the program, which must accept it.
    async fn submit(&self, number: u32, tasks: u32, cpus: f64, run_s: f64) {
        let job = self.simulation.job(number, tasks, cpus, run_s);
        let body: Value = serde_json::from_slice(&job.body).expect("a job");
        let url = format!("{}/work", self.base_url);
        let timeout = Duration::from_secs(5);
        let client = http::client();
        let response = client.call(Method::POST, &url, Some(&body), timeout).await;
        let accepted = response.is_ok_and(|(status, _)| status.as_u16() == 201);
        assert!(accepted, "a job was not accepted");
    }

    /// Waits until `tasks` tasks have started since the beginning; panics after a minute.
    /// `condition` describes this state in the panic message.
    async fn wait_for_starts(&self, condition: &str, tasks: u32) {
        for _ in 0..MAX_CHECKS {
            if self.simulation.state.lock().unwrap().starts.len() >= tasks as usize {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        panic!("{condition} did not come about");
    }
}

/// Advances all machines and their tasks indefinitely.
async fn advance_machines(simulation: Arc<Simulation>) {
    loop {
        let now = simulation.now();
        simulation.state.lock().unwrap().advance(now);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
