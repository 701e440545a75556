//! The HTTP server, which serves users, workers and readiness checks on one address.

use crate::{
    controller::Controller,
    user_api::{self, Reply},
    worker_api::{self, HeartbeatReply},
};
use hyper_util::service::TowerToHyperService;
use std::{sync::Arc, time::Duration};
use tallygauge_http::{bounded_body, serve_clients};
use tallygauge_protocol::users::ErrorResponse;
use tokio::net::TcpListener;
use warp::{
    Filter,
    http::{HeaderValue, Method, Response, StatusCode, header::CONNECTION},
};

type HttpResponse = Response<Vec<u8>>;

fn json_response(status: u16, body: Vec<u8>, retry_after: Option<u64>) -> HttpResponse {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    if let Some(seconds) = retry_after {
        builder = builder.header("retry-after", seconds);
    }
    builder.body(body).unwrap_or_default()
}

fn error_response(status: u16, text: &str) -> HttpResponse {
    let body = ErrorResponse { error: text.into() };
    json_response(status, serde_json::to_vec(&body).unwrap_or_default(), None)
}

/// The response to a user. It closes the connection if the number of free connections is
/// critical.
fn user_response(controller: &Controller, reply: &Reply) -> HttpResponse {
    let mut response = json_response(reply.status(), reply.body(), reply.retry_after_s());
    if controller.connection_limits.is_critical() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// The response to a worker's heartbeat.
fn heartbeat_response(reply: &HeartbeatReply) -> HttpResponse {
    match reply {
        HeartbeatReply::Accepted(response) => {
            json_response(200, serde_json::to_vec(response).unwrap_or_default(), None)
        }
        HeartbeatReply::Redirected(redirect) => {
            json_response(421, serde_json::to_vec(redirect).unwrap_or_default(), None)
        }
        HeartbeatReply::Unavailable => {
            error_response(503, "not entitled to act for the controllers now")
        }
        HeartbeatReply::Malformed(reason) => error_response(400, reason),
    }
}

/// Routes a request by its path and method.
async fn route(
    controller: Arc<Controller>,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> HttpResponse {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let is_get = method == Method::GET;
    let is_post = method == Method::POST;
    match segments.as_slice() {
        ["work", ..] => match user_api::serve(&controller, &method, &path, &body).await {
            Some(reply) => user_response(&controller, &reply),
            None => error_response(405, "no such request about jobs"),
        },
        ["checkin"] if is_post => {
            heartbeat_response(&worker_api::handle_heartbeat(&controller, &body).await)
        }
        ["ready"] if is_get => {
            if is_ready(&controller) {
                json_response(200, b"{}".to_vec(), None)
            } else {
                error_response(503, "not ready")
            }
        }
        ["checkin"] | ["ready"] => error_response(405, "no such method here"),
        _ => error_response(404, "no such path"),
    }
}

/// Whether the readiness check should direct users to this controller. All of these have to
/// hold:
///
/// - It has read the machine types, so that it can validate submissions.
/// - It has reached the store, so that it can report the state of jobs.
/// - It does not shed user load.
/// - It is not isolated.
///
/// A controller that is not ready still serves the users that reach it. While it is isolated,
/// though, it has no information for them, so their connections must not stay with it.
fn is_ready(controller: &Controller) -> bool {
    controller.catalogue.is_loaded()
        && controller.has_reached_store()
        && !controller.sheds_user_load()
        && !controller.is_isolated()
}

/// Serves users, workers and readiness checks. Never returns.
///
/// # Panics
/// Panics when the listen address cannot be bound.
pub async fn serve(controller: Arc<Controller>) {
    let address = controller.settings.client_listen;
    let lease_s = controller.settings.deployment.workers.lease_s;
    let counter = controller.connection_limits.incoming.clone();
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, body| {
            let controller = controller.clone();
            async move {
                match bounded_body(body).await {
                    Some(body) => route(controller, method, path.as_str().to_string(), body).await,
                    None => error_response(400, "the body is over 64 KiB or broke off"),
                }
            }
        });
    let service = TowerToHyperService::new(warp::service(routes));
    let listener = TcpListener::bind(address)
        .await
        .expect("failed to bind the listen address of the HTTP server");
    // A client that vanished without closing its connection must not hold it forever. A
    // worker that sends nothing for the duration of a lease has lost its lease anyway. Warp's
    // own accept loop is not used: it would detect the HTTP version of each connection, and
    // check for it on every poll.
    let idle_timeout = Duration::from_secs_f64(lease_s);
    serve_clients(listener, service, idle_timeout, |_| Some(counter.acquire())).await;
}
