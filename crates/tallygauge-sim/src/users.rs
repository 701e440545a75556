//! Users: what they submit, ask and are told.

use crate::{LEASE_S, Simulation};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    user_api::{self, Relay, RelayFuture, RelayedReply, Reply},
};
use tallygauge_protocol::users::JobStatus;
use tokio::{task::JoinHandle, time::Instant};
use warp::http::Method;

/// What is submitted of a job, as far as days differ in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobShape {
    /// Tasks.
    pub tasks: u32,
    /// CPUs of each.
    pub cpus: f64,
    /// Seconds that each runs.
    pub run_s: f64,
    /// Team.
    pub team: &'static str,
    /// Priority.
    pub urgency: &'static str,
    /// The only zone allowed, if any.
    pub zone: Option<&'static str>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
}

impl Default for JobShape {
    fn default() -> Self {
        Self {
            tasks: 1,
            cpus: 1.0,
            run_s: 5.0,
            team: "t",
            urgency: "normal",
            zone: None,
            one_zone: false,
        }
    }
}

impl Simulation {
    /// What the user submits; its tasks will run for `run_s`.
    pub fn job(&self, number: u32, tasks: u32, cpus: f64, run_s: f64) -> (String, Vec<u8>) {
        let shape = JobShape {
            tasks,
            cpus,
            run_s,
            ..JobShape::default()
        };
        self.job_of(number, shape)
    }

    /// What the user submits of a job of any shape.
    pub fn job_of(&self, number: u32, shape: JobShape) -> (String, Vec<u8>) {
        let id = format!("req-{number:06}");
        self.state.lock().unwrap().runs.insert(id.clone(), shape);
        let body = json!({
            "nameId": id, "workload": "w", "owner": shape.team, "shape": "array",
            "urgency": shape.urgency, "pieces": shape.tasks, "cores": shape.cpus, "gpus": 0.0,
            "memGb": 1.0, "bundle": "i", "pullGb": 1.0, "site": shape.zone,
            "oneZone": shape.one_zone, "spread": false, "borrowed": false,
            "expectedS": shape.run_s, "snapshotEveryS": 0.0, "snapshotS": 0.0
        });
        (id, body.to_string().into_bytes())
    }
}

/// Waits until something holds, for simulated seconds at most.
pub async fn eventually(seconds: f64, mut holds: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if holds().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// What a reply says of its job.
pub fn status_of(reply: &Reply) -> Option<JobStatus> {
    match reply {
        Reply::Job { response, .. } => Some(response.status),
        _ => None,
    }
}

/// Asks a node about a job.
pub async fn ask(node: &Controller, id: &str) -> Option<JobStatus> {
    status_of(&user_api::job_status(node, id).await)
}

/// Submits a job until it is accepted.
pub async fn accepted(node: &Arc<Controller>, body: &[u8]) {
    let kept = eventually(30.0, async || {
        matches!(user_api::submit(node, body).await.status(), 200 | 201)
    })
    .await;
    assert!(kept, "not accepted");
}

/// Cancels a job through a node, whose user must be told so within so many seconds.
pub async fn cancel(world: &Simulation, node: &Arc<Controller>, id: &str, within_s: f64) {
    let told = eventually(within_s, async || {
        status_of(&user_api::cancel(node, id).await) == Some(JobStatus::Cancelled)
    });
    assert!(told.await, "{id} can't be cancelled");
    world.told_cancelled(id);
}

/// Whether a job is called done within thirty leases.
pub async fn done(node: &Arc<Controller>, id: &str) -> bool {
    eventually(LEASE_S * 30.0, async || {
        ask(node, id).await == Some(JobStatus::Done)
    })
    .await
}

/// A world in play, led by its first node.
pub async fn start_with_leader() -> (Arc<Simulation>, Arc<Controller>, JoinHandle<()>) {
    let world = Simulation::new();
    tokio::spawn(world.clone().run_workers());
    let (a, task) = world.start_controller("n-a");
    assert!(eventually(30.0, async || leads(&a)).await);
    (world, a, task)
}

/// Starts so far.
pub fn started(world: &Simulation) -> usize {
    world.state.lock().unwrap().starts.len()
}

/// Whether a node leads and has its picture.
pub fn leads(node: &Controller) -> bool {
    node.lock(&node.leadership)
        .as_ref()
        .is_some_and(|l| l.cluster.is_some())
}

/// Passes requests on to one other node, as the peer service does.
pub struct To(pub Arc<Controller>);

impl Relay for To {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            match user_api::local(&self.0, method, path, body).await? {
                Reply::RetryLater { .. } => None,
                reply => Some(RelayedReply {
                    status: reply.status(),
                    body: reply.body(),
                }),
            }
        })
    }
}
