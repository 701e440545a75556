//! What a controller's processor time and memory go to: the real program over
//! real HTTP, with stand-ins of state service, cloud and workers.
//!
//!     cargo build --release
//!     cargo run --release -p tallygauge-sim --example load -- --machines 600
//!
//! Phases: machines are met and tasks start on all of them; all of these end and
//! others start; a steady time in which reports say nothing new; a restart of
//! the process with all machines at work. Times are the process's own, as the
//! kernel counts them.

use bytes::Buf;
use clap::Parser;
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tallygauge_sim::Simulation;
use tallygauge_store::http::{HttpClient, HttpResult};
use tokio::{net::TcpListener, sync::Notify};
use warp::{Filter, http::Method};

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

/// Requests between the program and its surroundings.
#[derive(Default)]
struct Counts {
    reports: AtomicU64,
    direct: AtomicU64,
    state: AtomicU64,
    cloud: AtomicU64,
}

impl Counts {
    fn sums(&self) -> [u64; 4] {
        [&self.reports, &self.direct, &self.state, &self.cloud].map(|c| c.load(Relaxed))
    }
}

type Reply = warp::http::Response<bytes::Bytes>;

/// Serves one stand-in: every request goes to `answer`.
fn serve<F, R>(listener: TcpListener, answer: F)
where
    F: Fn(Method, String, Vec<u8>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = HttpResult> + Send,
{
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::body::aggregate())
        .then(
            move |method, path: warp::path::FullPath, query: String, mut body: _| {
                let path = match query.is_empty() {
                    true => path.as_str().to_string(),
                    false => format!("{}?{query}", path.as_str()),
                };
                let answer = answer(method, path, bytes_of(&mut body));
                async move { reply(answer.await) }
            },
        );
    tokio::spawn(warp::serve(routes).incoming(listener).run());
}

fn bytes_of(body: &mut impl Buf) -> Vec<u8> {
    body.copy_to_bytes(body.remaining()).to_vec()
}

fn reply(answer: HttpResult) -> Reply {
    let (code, body) = answer.expect("a stand-in answers");
    let builder = warp::http::Response::builder().status(code);
    builder.body(body).expect("a reply")
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("its address").to_string();
    (listener, addr)
}

fn client() -> HttpClient {
    HttpClient::new(Duration::from_secs(1), Duration::from_secs(60), 1 << 20)
}

/// One worker, for ever: takes direct messages and reports, soon after a change
/// and else at the interval.
async fn work(
    simulation: Arc<Simulation>,
    counts: Arc<Counts>,
    name: String,
    url: String,
    every: f64,
) {
    let http = client();
    let (listener, addr) = listen().await;
    let told = Arc::new(Notify::new());
    let endpoint = (name.clone(), addr);
    simulation
        .state
        .lock()
        .unwrap()
        .endpoints
        .extend([endpoint]);
    let (w, c, n, t) = (
        simulation.clone(),
        counts.clone(),
        name.clone(),
        told.clone(),
    );
    serve(listener, move |_, _, body| {
        let (simulation, name) = (w.clone(), n.clone());
        c.direct.fetch_add(1, Relaxed);
        t.notify_one();
        async move { simulation.deliver_direct_commands("", &name, &body).await }
    });
    loop {
        let sent = simulation.now();
        // A machine that was returned is gone.
        let Some(report) = simulation.state.lock().unwrap().next_heartbeat(&name) else {
            return;
        };
        let timeout = Duration::from_secs(4);
        let answer = http.call(Method::POST, &url, Some(&report), timeout);
        let answer = answer.await;
        let mut wait = every * (0.75 + 0.5 * rand::random::<f64>());
        match answer {
            Ok((code, body)) if code == 200 => {
                counts.reports.fetch_add(1, Relaxed);
                let answer: tallygauge_protocol::workers::HeartbeatResponse =
                    serde_json::from_slice(&body).expect("an answer");
                simulation
                    .state
                    .lock()
                    .unwrap()
                    .apply_heartbeat_response(sent, &name, &answer);
                if !answer.commands.is_empty() {
                    wait = 0.5;
                }
            }
            _ => wait = 1.0,
        }
        let least = Duration::from_millis(500);
        tokio::time::sleep(least).await;
        let rest = Duration::from_secs_f64(wait).saturating_sub(least);
        let _ = tokio::time::timeout(rest, told.notified()).await;
    }
}

/// The process under measurement, so that a panic does not leave it behind.
static PROCESS: Mutex<Option<Child>> = Mutex::new(None);

/// The program under measurement.
struct Program(u32);

fn end() {
    if let Ok(Some(mut child)) = PROCESS.try_lock().map(|mut p| p.take()) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        end();
    }
}

/// Processor time in user and system mode, seconds, and memory, MB.
#[derive(Clone, Copy, Default)]
struct Usage {
    user: f64,
    system: f64,
    memory: f64,
}

impl Program {
    fn usage(&self) -> Usage {
        let id = self.0;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let seconds = |n: usize| fields[n].parse::<f64>().expect("ticks") / 100.0;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("status");
        let memory = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
        Usage {
            user: seconds(11),
            system: seconds(12),
            memory: memory.unwrap_or_default() / 1024.0,
        }
    }
}

/// What was used and counted when a phase began.
struct Phase {
    usage: Usage,
    sums: [u64; 4],
    at: Instant,
}

impl Phase {
    fn begin(usage: Usage, counts: &Counts) -> Self {
        let (sums, at) = (counts.sums(), Instant::now());
        Self { usage, sums, at }
    }

    fn print(&self, name: &str, program: &Program, counts: &Counts) {
        let usage = program.usage();
        let (user, system) = (
            usage.user - self.usage.user,
            usage.system - self.usage.system,
        );
        let now = counts.sums();
        let [reports, direct, state, cloud] = std::array::from_fn(|i| now[i] - self.sums[i]);
        let seconds = self.at.elapsed().as_secs_f64();
        let requests = (reports + direct + state + cloud).max(1) as f64;
        println!(
            "| {name} | {seconds:.1} | {:.0} + {:.0} | {reports} | {direct} | {state} | {cloud} | {:.0} | {:.2}% | {:.1} |",
            user * 1e3,
            system * 1e3,
            (user + system) * 1e6 / requests,
            (user + system) / seconds * 100.0,
            usage.memory,
        );
    }
}

async fn submit(
    simulation: &Simulation,
    base: &str,
    number: u32,
    tasks: u32,
    cpus: f64,
    run_s: f64,
) {
    let (_, body) = simulation.job(number, tasks, cpus, run_s);
    let body: Value = serde_json::from_slice(&body).expect("a job");
    let url = format!("{base}/work");
    let timeout = Duration::from_secs(5);
    let http = client();
    let answer = http.call(Method::POST, &url, Some(&body), timeout);
    let accepted = answer.await.is_ok_and(|a| a.0.as_u16() == 201);
    assert!(accepted, "a job was not accepted");
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..3000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what} did not come about");
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        end();
    }));
    let machines = arguments.machines;
    let all = machines * arguments.tasks;
    let cpus = f64::from(machines) * 8.0;
    let each = 8.0 / f64::from(arguments.tasks);
    let counts = Arc::new(Counts::default());
    let simulation = Simulation::new();
    {
        let mut inner = simulation.state.lock().unwrap();
        inner.team_cpus = cpus;
        inner.add_booted_machines(machines);
    }
    let (listener, state) = listen().await;
    let (w, c) = (simulation.clone(), counts.clone());
    serve(listener, move |method, path, body| {
        let simulation = w.clone();
        c.state.fetch_add(1, Relaxed);
        async move {
            simulation
                .handle_store_request("n0", &method, &path, &body)
                .await
        }
    });
    let (listener, cloud) = listen().await;
    let (w, c) = (simulation.clone(), counts.clone());
    serve(listener, move |method, path, body| {
        c.cloud.fetch_add(1, Relaxed);
        let path = path.split('?').next().unwrap_or_default();
        let answer = Ok(w.handle_cloud_request(&method, path, &body));
        async move { answer }
    });
    let (users, back) = (listen().await.1, listen().await.1);
    let settings = json!({
        "node_name": "n0", "area": "a", "client_listen": users, "back": back, "seeds": [],
        "services": {"cloud": cloud, "state": state},
        "deployment": {
            "count": 1, "zones": ["a"],
            "teams": [{"name": "t", "cpus": cpus, "cpus_max": cpus}],
            "workers": {"report_s": arguments.report, "lease_s": tallygauge_sim::LEASE_S, "cancel_s": 20.0},
            "state": {"rps": 400.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 8.0, "list_lag_s": 1.0},
            "quota": {"cores": 0.5, "memory_mb": 100.0, "sockets": machines * 3}
        }
    });
    let path = std::env::temp_dir().join(format!("tallygauge-load-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("settings");
    let start = || {
        let mut command = Command::new(&arguments.program);
        let command = command.arg("--config").arg(&path).stdout(Stdio::null());
        let child = command
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into()),
            )
            .spawn();
        let child = child.expect("the program, as cargo build --release makes it");
        let program = Program(child.id());
        *PROCESS.lock().unwrap() = Some(child);
        program
    };
    let base = format!("http://{users}");
    let names = simulation.state.lock().unwrap().worker_names();
    for name in names {
        let (simulation, counts, url) = (
            simulation.clone(),
            counts.clone(),
            format!("{base}/checkin"),
        );
        tokio::spawn(work(simulation, counts, name, url, arguments.report));
    }
    let w = simulation.clone();
    tokio::spawn(async move {
        loop {
            let now = w.now();
            w.state.lock().unwrap().advance(now);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let settle = Duration::from_secs_f64(arguments.report * 3.0);
    println!(
        "| phase | s | user + system, ms | reports | direct | state | cloud | us a request | of a core | MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");

    // Idle machines would be returned: there is work from the first moment.
    let phase = Phase::begin(Usage::default(), &counts);
    let program = start();
    tokio::time::sleep(Duration::from_secs(1)).await;
    submit(&simulation, &base, 1, all, each, settle.as_secs_f64() * 2.0).await;
    let started = || simulation.state.lock().unwrap().starts.len();
    until("all started", || started() >= all as usize).await;
    let name = format!("start, machines are met, {all} tasks start");
    phase.print(&name, &program, &counts);

    let phase = Phase::begin(program.usage(), &counts);
    submit(&simulation, &base, 2, all, each, 1e6).await;
    until("all replaced", || started() >= all as usize * 2).await;
    tokio::time::sleep(settle).await;
    phase.print(&format!("{all} end, {all} start"), &program, &counts);

    let phase = Phase::begin(program.usage(), &counts);
    tokio::time::sleep(Duration::from_secs_f64(arguments.steady)).await;
    phase.print("steady", &program, &counts);

    drop(program);
    let phase = Phase::begin(Usage::default(), &counts);
    let program = start();
    tokio::time::sleep(settle).await;
    phase.print("restart, machines are met", &program, &counts);

    drop(program);
    let _ = std::fs::remove_file(&path);
    let broken = simulation.state.lock().unwrap().violations.clone();
    assert!(broken.is_empty(), "{broken:?}");
}
