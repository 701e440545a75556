//! The project's own program: a process for each controller, started as the deploy file says. The
//! connections between them go through proxies, so that a pair can be cut.

use crate::record::Record;
use std::{
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicI32, Ordering},
    },
    time::{Duration, Instant},
};

/// Settings of the deployment that a case may differ in.
#[derive(Clone)]
pub struct Deployment {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub zones: Vec<&'static str>,
    pub sockets: u32,
}

impl Deployment {
    /// The small site `haneul-capture`.
    pub fn haneul_capture() -> Deployment {
        Deployment {
            report_s: 2.5,
            lease_s: 18.0,
            cancel_s: 38.0,
            list_lag_s: 4.0,
            teams: vec![
                ("studio-ops", 64.0, 192.0),
                ("media-eng", 64.0, 128.0),
                ("campus-support", 80.0, 192.0),
            ],
            zones: vec!["cloud-gyeonggi", "daejeon-rack", "seoul-rack"],
            sockets: 1500,
        }
    }
}

/// What a proxy does with connections.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Link {
    Pass,
    /// Bytes are held and go on in order when the link passes again.
    Hold,
    /// Connections are refused, and open ones reset.
    Refuse,
}

pub struct Proxy {
    mode: Mutex<Link>,
    /// Time by which every piece of data is late, in ms.
    pub delay_ms: Mutex<u64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> (Arc<Proxy>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        let proxy = Arc::new(Proxy {
            mode: Mutex::new(Link::Pass),
            delay_ms: Mutex::new(0),
        });
        let copy = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = copy.clone();
                std::thread::spawn(move || {
                    if proxy.mode() == Link::Refuse {
                        return;
                    }
                    while proxy.mode() == Link::Hold {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    let Ok(server) = TcpStream::connect(target) else {
                        return;
                    };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(a), Ok(b)) = (client.try_clone(), server.try_clone()) else {
                        return;
                    };
                    let other = proxy.clone();
                    std::thread::spawn(move || other.copy(a, b));
                    proxy.copy(server, client);
                });
            }
        });
        (proxy, address)
    }

    pub fn set(&self, mode: Link) {
        *self.mode.lock().unwrap() = mode;
    }

    fn mode(&self) -> Link {
        *self.mode.lock().unwrap()
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(100)));
        let mut buffer = [0; 16384];
        loop {
            let read = from.read(&mut buffer);
            while self.mode() == Link::Hold {
                std::thread::sleep(Duration::from_millis(10));
            }
            let is_open = match read {
                _ if self.mode() == Link::Refuse => false,
                Ok(0) => false,
                Ok(count) => {
                    let delay = *self.delay_ms.lock().unwrap();
                    std::thread::sleep(Duration::from_millis(delay));
                    to.write_all(&buffer[..count]).is_ok()
                }
                Err(error) => matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ),
            };
            if !is_open {
                let _ = from.shutdown(std::net::Shutdown::Both);
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Processes that run now, so that they end with the case whatever happens.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The last signal that asked the case to end; 0 if there was none.
static SIGNAL: AtomicI32 = AtomicI32::new(0);

unsafe extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn note_signal(number: i32) {
    SIGNAL.store(number, Ordering::Relaxed);
}

/// Ends the case after a while, or when it is interrupted: all processes that it started, and
/// itself with status 2.
pub fn end_after(time: Duration) {
    for number in [1, 2, 15] {
        // The handler stores a number and nothing else.
        unsafe { signal(number, note_signal) };
    }
    std::thread::spawn(move || {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline && SIGNAL.load(Ordering::Relaxed) == 0 {
            std::thread::sleep(Duration::from_millis(50));
        }
        eprintln!("the case took too long or was interrupted");
        // Held to the end, so that no other process is started.
        let processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
        for process in processes.iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(process.to_string())
                .status();
        }
        std::process::exit(2);
    });
}

pub struct Controllers {
    program: Vec<String>,
    folder: PathBuf,
    root: PathBuf,
    pub client: Vec<SocketAddr>,
    /// Proxies of the connections from one controller to another.
    pub links: Vec<Vec<Option<Arc<Proxy>>>>,
    running: Mutex<Vec<Option<Child>>>,
    record: Arc<Record>,
}

/// A free port of a loopback address of this run's own: a port of 127.0.0.1 could be taken by an
/// outgoing connection while a controller is down.
fn free_port() -> SocketAddr {
    let id = std::process::id();
    let address = format!(
        "127.{}.{}.{}:0",
        20 + id / 62500 % 200,
        1 + id / 250 % 250,
        1 + id % 250
    );
    let listener = TcpListener::bind(address).expect("a free port");
    listener.local_addr().expect("address")
}

impl Controllers {
    /// Writes the settings. `state` and `cloud` are the addresses that each controller is given.
    pub fn new(
        root: &Path,
        folder: &Path,
        deployment: &Deployment,
        state: &[SocketAddr],
        cloud: &[SocketAddr],
        record: &Arc<Record>,
    ) -> Controllers {
        let count = state.len();
        let deploy =
            std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .expect("run command");
        let program = run.split(' ').map(str::to_string).collect();
        let client: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let back: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let mut links = Vec::new();
        for from in 0..count {
            let mut row = Vec::new();
            let mut seeds = Vec::new();
            for to in 0..count {
                if from == to {
                    row.push(None);
                    continue;
                }
                let (proxy, address) = Proxy::start(back[to]);
                row.push(Some(proxy));
                let area = deployment.zones[to % deployment.zones.len()];
                seeds.push(format!(
                    "{{\"node_name\":\"bench-{to}\",\"area\":\"{area}\",\"addr\":\"{address}\"}}"
                ));
            }
            links.push(row);
            let teams: Vec<String> = deployment
                .teams
                .iter()
                .map(|(name, cpus, max)| {
                    format!("{{\"name\":\"{name}\",\"cpus\":{cpus:.1},\"cpus_max\":{max:.1},\"gpus\":0.0,\"gpus_max\":0.0}}")
                })
                .collect();
            let zones: Vec<String> = deployment
                .zones
                .iter()
                .map(|zone| format!("\"{zone}\""))
                .collect();
            let settings = format!(
                "{{\"node_name\":\"bench-{from}\",\"area\":\"{}\",\"client_listen\":\"{}\",\"back\":\"{}\",\"seeds\":[{}],\"services\":{{\"cloud\":\"{}\",\"state\":\"{}\"}},\"deployment\":{{\"count\":{count},\"zones\":[{}],\"teams\":[{}],\"objectives\":[{{\"kind\":\"deadline\",\"class\":\"exam-rush\",\"share\":0.9,\"times\":1.0}}],\"workers\":{{\"report_s\":{:?},\"lease_s\":{:?},\"gang_wait_s\":40.0,\"gang_peer_s\":6.0,\"cancel_s\":{:?}}},\"state\":{{\"rps\":150.0,\"write_rps\":50.0,\"value_kb\":32.0,\"txn_ops\":32}},\"cloud\":{{\"rps\":4.0,\"list_lag_s\":{:?}}},\"quota\":{{\"cores\":0.048,\"memory_mb\":104.0,\"sockets\":{}}},\"time_bound_ms\":100.0}}}}",
                deployment.zones[from % deployment.zones.len()],
                client[from],
                back[from],
                seeds.join(","),
                cloud[from],
                state[from],
                zones.join(","),
                teams.join(","),
                deployment.report_s,
                deployment.lease_s,
                deployment.cancel_s,
                deployment.list_lag_s,
                deployment.sockets,
            );
            std::fs::write(folder.join(format!("bench-{from}.json")), settings).expect("settings");
        }
        Controllers {
            program,
            folder: folder.to_path_buf(),
            root: root.to_path_buf(),
            client,
            links,
            running: Mutex::new((0..count).map(|_| None).collect()),
            record: record.clone(),
        }
    }

    pub fn start(&self, node: usize) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        if running[node].is_some() {
            return;
        }
        let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("bench-{node}.log")))
            .expect("log");
        let child = Command::new(self.root.join(&self.program[0]))
            .args(&self.program[1..])
            .arg(self.folder.join(format!("bench-{node}.json")))
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("debug".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program, as the deploy file builds it");
        self.record
            .line(format!("controller {node} starts, process {}", child.id()));
        processes.push(child.id());
        running[node] = Some(child);
    }

    fn signal(&self, node: usize, name: &str) {
        if let Some(child) = &self.running.lock().unwrap_or_else(PoisonError::into_inner)[node] {
            let _ = Command::new("kill")
                .arg(name)
                .arg(child.id().to_string())
                .status();
            self.record
                .line(format!("controller {node} gets kill {name}"));
        }
    }

    pub fn stop(&self, node: usize) {
        self.signal(node, "-STOP");
    }

    pub fn resume(&self, node: usize) {
        self.signal(node, "-CONT");
    }

    pub fn kill(&self, node: usize) {
        self.record.line(format!("controller {node} is killed"));
        if let Some(mut child) =
            self.running.lock().unwrap_or_else(PoisonError::into_inner)[node].take()
        {
            PROCESSES
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .retain(|process| *process != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Controllers that ended by themselves.
    pub fn ended(&self) -> Vec<usize> {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ended = Vec::new();
        for (node, child) in running.iter_mut().enumerate() {
            if let Some(process) = child
                && let Ok(Some(_)) = process.try_wait()
            {
                ended.push(node);
                *child = None;
            }
        }
        ended
    }

    /// Sets the links between one controller and all others.
    pub fn set_links(&self, node: usize, mode: Link) {
        for other in 0..self.client.len() {
            for link in [&self.links[node][other], &self.links[other][node]]
                .into_iter()
                .flatten()
            {
                link.set(mode);
            }
        }
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.client.len() {
            self.resume(node);
            self.kill(node);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
