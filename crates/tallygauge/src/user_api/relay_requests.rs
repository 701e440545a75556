//! Relays users' requests to other controllers while this controller's requests to the
//! key-value store fail.

use super::{MAX_RESPONSE_AGE_S, Reply};
use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::users::{JobResponse, JobStatus, POLL_TIMEOUT_S};
use warp::http::Method;

/// Pause in relaying after no other controller could serve a request, in seconds. It is as
/// long as users are told to wait before a retry.
const RELAY_BACKOFF_S: f64 = 1.0;

/// Time that other controllers have to serve a relayed request, in seconds.
const RELAY_TIMEOUT_S: f64 = POLL_TIMEOUT_S / 4.0;

/// Relays a request to the other controllers. Returns `None` if none of them could serve
/// it, or if the pause after an earlier failure has not ended yet.
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
    let relayed = tokio::time::timeout(timeout, relay.relay(method, path, body)).await;
    // The timeout does not reject a reply that arrived while this process was paused, and
    // such a reply may be out of date.
    let is_outdated = controller.now() - sent_at > MAX_RESPONSE_AGE_S;
    match relayed {
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

/// Stops a job's tasks at once if the relayed reply says that the job was cancelled and
/// this controller is the leader. The tasks would otherwise stop later: a leader whose
/// cluster state may lack the cancellation is fenced after a while, and then no longer
/// responds to heartbeats.
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
