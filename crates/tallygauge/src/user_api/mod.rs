//! The HTTP interface for users: submit a job, read its status, cancel it.
//!
//! No request waits for the key-value store to recover. A user whose request cannot be
//! served now is told at once to retry.

mod cancel;
mod job_refresh;
mod lookup;
mod records;
mod relay_requests;
mod reply;
mod status;
mod submit;

pub use crate::relay::{Relay, RelayFuture, RelayedReply};
pub use cancel::cancel;
pub use job_refresh::{JobRefresh, cache_active_jobs, refresh_active_jobs};
pub use records::{ActiveJobRecord, TerminalJobRecord};
pub use reply::Reply;
pub use status::job_status;
pub use submit::submit;

use crate::controller::Controller;
use relay_requests::relay_to_peers;
use std::time::Duration;
use tallygauge_protocol::users::POLL_TIMEOUT_S;
use warp::http::Method;

/// Maximum age of the information that a user is given, in seconds since the request for
/// it was sent to the key-value store or to another controller. If this process was
/// paused after it sent the request, the job may have ended meanwhile and another
/// controller may have told its user so.
const MAX_RESPONSE_AGE_S: f64 = POLL_TIMEOUT_S / 2.0;

/// Time for which the store transaction of a submission or cancellation is retried before
/// the user is told to retry: 1.5 times the poll timeout.
const WRITE_TIMEOUT: Duration = Duration::from_millis((POLL_TIMEOUT_S * 1500.0) as u64);

/// Serves a user's request. If this controller's requests to the key-value store are
/// failing already, the request is first relayed to another controller. If they turn out to
/// fail while the request is served here, it is relayed afterwards. Requests about a job
/// that is known to have ended are served from the cache.
///
/// Returns `None` if the interface has no request of this method and path.
pub async fn serve(
    controller: &Controller,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Reply> {
    let is_terminal = job_id_in_path(path).is_some_and(|id| controller.job_cache.is_terminal(id));
    let relay_first = !is_terminal && controller.store.failing_since().is_some();
    if relay_first && let Some(reply) = relay_to_peers(controller, method, path, body).await {
        return Some(reply);
    }
    let reply = handle_locally(controller, method, path, body).await?;
    let relay_instead = !relay_first
        && matches!(reply, Reply::RetryLater { .. })
        && controller.store.failing_since().is_some();
    if relay_instead && let Some(relayed) = relay_to_peers(controller, method, path, body).await {
        return Some(relayed);
    }
    Some(reply)
}

/// Serves a user's request without relaying it. Requests that other controllers relay to
/// this one are served by this function too.
///
/// Returns `None` if the interface has no request of this method and path.
pub async fn handle_locally(
    controller: &Controller,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Reply> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match segments.as_slice() {
        ["work"] if method == Method::POST => Some(submit(controller, body).await),
        ["work", id] if method == Method::GET => Some(job_status(controller, id).await),
        ["work", id, "abort"] if method == Method::POST => Some(cancel(controller, id).await),
        _ => None,
    }
}

fn job_id_in_path(path: &str) -> Option<&str> {
    path.trim_matches('/').split('/').nth(1)
}
