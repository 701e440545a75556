//! Simulated users, who submit jobs, query their status and cancel them, and helpers for
//! tests.

use crate::{HEARTBEAT_INTERVAL_S, LEASE_S, Simulation};
use serde_json::json;
use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    user_api::{self, Relay, RelayFuture, RelayedReply, Reply},
};
use tallygauge_protocol::users::JobStatus;
use tokio::{task::JoinHandle, time::Instant};
use warp::http::Method;

/// The properties of a job that vary in the simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobShape {
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Run time of each task, in seconds.
    pub run_s: f64,
    /// Team that owns the job.
    pub team: &'static str,
    /// Priority: `low`, `normal` or `urgent`.
    pub priority: &'static str,
    /// The only zone in which its tasks may run, if any.
    pub zone: Option<&'static str>,
    /// Whether all tasks must run in one zone.
    pub one_zone: bool,
    /// Whether each attempt fails at the end of its run time, on every machine.
    pub fails: bool,
}

/// The request with which a user submits a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Id of the job.
    pub id: String,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl Default for JobShape {
    fn default() -> Self {
        Self {
            tasks: 1,
            cpus: 1.0,
            run_s: 5.0,
            team: "t",
            priority: "normal",
            zone: None,
            one_zone: false,
            fails: false,
        }
    }
}

impl Simulation {
    /// Creates the submission of a job of team `t` with default priority, and registers its
    /// shape.
    pub fn job(&self, number: u32, tasks: u32, cpus: f64, run_s: f64) -> JobRequest {
        let shape = JobShape {
            tasks,
            cpus,
            run_s,
            ..JobShape::default()
        };
        self.job_with_shape(number, shape)
    }

    /// Creates the submission of a job with the given shape, and registers the shape.
    pub fn job_with_shape(&self, number: u32, shape: JobShape) -> JobRequest {
        let id = format!("req-{number:06}");
        self.state
            .lock()
            .unwrap()
            .job_shapes
            .insert(id.clone(), shape);
        let body = json!({
            "nameId": id, "workload": "w", "owner": shape.team, "shape": "array",
            "urgency": shape.priority, "pieces": shape.tasks, "cores": shape.cpus, "gpus": 0.0,
            "memGb": 1.0, "bundle": "i", "pullGb": 1.0, "site": shape.zone,
            "oneZone": shape.one_zone, "spread": false, "borrowed": false,
            "expectedS": shape.run_s, "snapshotEveryS": 0.0, "snapshotS": 0.0
        });
        JobRequest {
            id,
            body: body.to_string().into_bytes(),
        }
    }
}

/// Checks a condition every 100 ms of simulated time until it holds or `seconds` have passed.
/// Returns whether it held.
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

/// Sleeps for this number of seconds of simulated time.
pub async fn sleep_s(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// The job status in a reply; `None` if it contains none.
pub fn reply_status(reply: &Reply) -> Option<JobStatus> {
    match reply {
        Reply::Job { response, .. } => Some(response.status),
        _ => None,
    }
}

/// Queries a job's status from a controller; `None` if the reply does not contain it.
pub async fn query_status(controller: &Controller, id: &str) -> Option<JobStatus> {
    reply_status(&user_api::job_status(controller, id).await)
}

/// Submits a job to a controller, and retries until it is accepted; panics after 30 seconds.
pub async fn submit_until_accepted(controller: &Arc<Controller>, body: &[u8]) {
    let accepted = eventually(30.0, async || {
        matches!(user_api::submit(controller, body).await.status(), 200 | 201)
    })
    .await;
    assert!(accepted, "job was not accepted within 30 s");
}

/// Submits a job of team `t` to a controller, and retries until it is accepted. Returns its
/// id.
pub async fn submit_job(
    simulation: &Simulation,
    controller: &Arc<Controller>,
    number: u32,
    tasks: u32,
    cpus: f64,
    run_s: f64,
) -> String {
    let JobRequest { id, body } = simulation.job(number, tasks, cpus, run_s);
    submit_until_accepted(controller, &body).await;
    id
}

/// Submits a job with the given shape to a controller, and retries until it is accepted.
/// Returns its id.
pub async fn submit_job_with_shape(
    simulation: &Simulation,
    controller: &Arc<Controller>,
    number: u32,
    shape: JobShape,
) -> String {
    let JobRequest { id, body } = simulation.job_with_shape(number, shape);
    submit_until_accepted(controller, &body).await;
    id
}

/// Requests the cancellation of a job from a controller, and retries until the controller
/// confirms it; panics after `within_s` seconds.
pub async fn cancel_until_confirmed(
    simulation: &Simulation,
    controller: &Arc<Controller>,
    id: &str,
    within_s: f64,
) {
    let confirmed = eventually(within_s, async || {
        reply_status(&user_api::cancel(controller, id).await) == Some(JobStatus::Cancelled)
    });
    assert!(
        confirmed.await,
        "cancellation of {id} was not confirmed within {within_s} s"
    );
    simulation.record_cancellation(id);
}

/// Waits until a controller reports a job done. Returns whether it did so within 30 times
/// [`LEASE_S`].
pub async fn wait_until_done(controller: &Arc<Controller>, id: &str) -> bool {
    eventually(LEASE_S * 30.0, async || {
        query_status(controller, id).await == Some(JobStatus::Done)
    })
    .await
}

/// Starts a simulation with one controller, `n-a`, and waits until it is the active leader.
pub async fn start_with_leader() -> (Arc<Simulation>, Arc<Controller>, JoinHandle<()>) {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller, task) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    (simulation, controller, task)
}

/// Starts a simulation with this number of booted machines and one controller, `n-a`, and waits
/// until the controller is the active leader and knows the machines. Returns the controller with
/// its background task.
pub async fn start_with_booted_machines(
    count: u32,
) -> (Arc<Simulation>, Arc<Controller>, JoinHandle<()>) {
    let simulation = Simulation::new();
    simulation.state.lock().unwrap().add_booted_machines(count);
    tokio::spawn(simulation.clone().run_workers());
    let (controller, task) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller)).await);
    sleep_s(HEARTBEAT_INTERVAL_S * 2.0).await;
    (simulation, controller, task)
}

/// Total number of task starts so far.
pub fn count_starts(simulation: &Simulation) -> usize {
    simulation.state.lock().unwrap().starts.len()
}

/// Whether a controller is the leader and has recovered the cluster state.
pub fn is_active_leader(controller: &Controller) -> bool {
    controller
        .leadership
        .lock()
        .as_ref()
        .is_some_and(|leadership| leadership.cluster.is_some())
}

/// Relays user requests directly to another controller, in place of the peer service.
pub struct RelayTo(pub Arc<Controller>);

impl Relay for RelayTo {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            match user_api::handle_locally(&self.0, method, path, body).await? {
                Reply::RetryLater { .. } => None,
                reply => Some(RelayedReply {
                    status: reply.status(),
                    body: reply.body(),
                }),
            }
        })
    }
}
