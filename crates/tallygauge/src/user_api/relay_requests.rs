//! Relaying users' requests to other controllers while the key-value store does not
//! serve this one.

use super::{MAX_ANSWER_AGE_S, Reply};
use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::users::{JobResponse, JobStatus, POLL_TIMEOUT_S};
use warp::http::Method;

/// Seconds without relaying after no other controller could answer: as long as users
/// are told to wait.
const RELAY_BACKOFF_S: f64 = 1.0;

/// Seconds that other controllers may take to answer.
const RELAY_TIMEOUT_S: f64 = POLL_TIMEOUT_S / 4.0;

/// Relays a request, unless that failed a moment ago. `None` if no other controller
/// could answer it.
pub(super) async fn relay_to_peers(
    controller: &Controller,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Reply> {
    let relay = controller.relay.get()?;
    if controller.relay.is_backing_off(controller.now()) {
        return None;
    }
    let timeout = Duration::from_secs_f64(RELAY_TIMEOUT_S);
    let sent_at = controller.now();
    let answer = tokio::time::timeout(timeout, relay.relay(method, path, body)).await;
    // An answer that arrived while this process was paused may be out of date, and
    // the timeout above lets it pass.
    let is_outdated = controller.now() - sent_at > MAX_ANSWER_AGE_S;
    match answer {
        Ok(Some(reply)) if !is_outdated => {
            apply_relayed_cancellation(controller, &reply.body);
            Some(Reply::Relayed(reply))
        }
        Ok(_) | Err(_) => {
            let backoff_until = controller.now() + RELAY_BACKOFF_S;
            controller.relay.back_off_until(backoff_until);
            None
        }
    }
}

/// Stops a job's tasks at once if the relayed answer says that it was cancelled and
/// this controller is the leader. The fence on heartbeat responses stops them anyway,
/// but later.
fn apply_relayed_cancellation(controller: &Controller, body: &[u8]) {
    let Ok(response) = serde_json::from_slice::<JobResponse>(body) else {
        return;
    };
    let now = controller.now();
    if response.status == JobStatus::Cancelled
        && controller.with_cluster(|cluster| cluster.remove_job(&response.id, now)) == Some(true)
    {
        controller.wake_scheduler.notify_one();
    }
}
