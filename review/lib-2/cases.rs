//! The cases.

mod explore;
mod forgotten;
mod left_waiting;
mod nothing_ran;

use crate::{
    controllers::{Controllers, Deployment},
    machines::{Cloud, JobInfo, Kind, Limits, World},
    record::Record,
    store::Store,
    users,
};
use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

pub fn run(name: &str, folder: &Path, root: &Path, trouble: bool) -> i32 {
    match name {
        "forgotten" => forgotten::run(folder, root, trouble),
        "left-waiting" => left_waiting::run(folder, root, trouble),
        "nothing-ran" => nothing_ran::run(folder, root, trouble),
        "explore" => explore::run(folder, root, trouble),
        _ => 2,
    }
}

/// A deployment with its stand-ins.
pub struct Setup {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub controllers: Controllers,
}

impl Setup {
    /// Starts the stand-ins and `count` controllers.
    pub fn start(
        folder: &Path,
        root: &Path,
        deployment: &Deployment,
        kinds: Vec<Kind>,
        count: usize,
    ) -> Setup {
        let record = Arc::new(Record::create(
            folder.join("record.txt").to_str().expect("path"),
        ));
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("temporary folder");
        let limits = Limits {
            report: Duration::from_secs_f64(deployment.report_s),
            lease: Duration::from_secs_f64(deployment.lease_s),
            cancel_s: deployment.cancel_s,
            list_lag: Duration::from_secs_f64(deployment.list_lag_s),
            teams: deployment
                .teams
                .iter()
                .map(|team| (team.0, team.2))
                .collect(),
        };
        let world = World::new(record.clone(), limits);
        let (store, state) = Store::start(count);
        let (cloud, cloud_ports) = Cloud::start(&world, kinds, deployment.zones.clone(), count);
        let controllers =
            Controllers::new(root, &temporary, deployment, &state, &cloud_ports, &record);
        *world.nodes.lock().unwrap() = controllers
            .client
            .iter()
            .enumerate()
            .map(|(node, address)| (format!("bench-{node}"), *address))
            .collect();
        for node in 0..count {
            controllers.start(node);
        }
        Setup {
            world,
            store,
            cloud,
            controllers,
        }
    }

    /// Number of the controller that leads by the state service, if one does.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("t/leader")?;
        record
            .get("node")
            .str()
            .strip_prefix("bench-")?
            .parse()
            .ok()
    }

    /// Submits a job at any controller until it is accepted; false if it is not in time.
    pub fn submit(&self, id: &str, job: &JobInfo) -> bool {
        self.world
            .jobs
            .lock()
            .unwrap()
            .insert(id.into(), job.clone());
        let body = users::spec(id, job, job.run.as_secs_f64());
        let nodes = &self.controllers.client;
        (0..15).any(|attempt| {
            let told = users::submit(&self.world, nodes, attempt % nodes.len(), id, &body);
            let is_accepted = matches!(told, Some((200 | 201, _)));
            if !is_accepted {
                sleep(1.0);
            }
            is_accepted
        })
    }

    /// Waits until `condition` holds; false if it does not in time.
    pub fn wait(&self, seconds: f64, condition: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < deadline {
            if condition() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        condition()
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn small_box() -> Kind {
    Kind {
        name: "small-box",
        cores: 4.0,
        mem_gb: 32.0,
        boot: Duration::from_secs(25),
    }
}

pub fn mid_box() -> Kind {
    Kind {
        name: "mid-box",
        cores: 16.0,
        mem_gb: 32.0,
        boot: Duration::from_secs(35),
    }
}

pub fn big_box() -> Kind {
    Kind {
        name: "big-box",
        cores: 64.0,
        mem_gb: 256.0,
        boot: Duration::from_secs(50),
    }
}

/// An array of tasks that may run anywhere.
pub fn array(team: &str, pieces: u64, cores: f64, mem_gb: f64, run_s: f64) -> JobInfo {
    JobInfo {
        team: team.into(),
        pieces,
        cores,
        mem_gb,
        run: Duration::from_secs_f64(run_s),
        fails: false,
        one_zone: false,
        spread: false,
        standing: false,
        borrowed: true,
        cancelled_at: None,
    }
}
