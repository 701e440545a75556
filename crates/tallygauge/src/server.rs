//! HTTP: users, workers and health checks on one address.

use crate::{
    controller::Controller,
    user_api::{self, Reply},
    worker_api::{self, HeartbeatReply},
};
use hyper_util::service::TowerToHyperService;
use std::{sync::Arc, time::Duration};
use tallygauge_http::{accept, bounded_body};
use tallygauge_protocol::users::ErrorResponse;
use tokio::net::TcpListener;
use warp::{
    Filter,
    http::{HeaderValue, Method, Response, StatusCode, header::CONNECTION},
};

type Answer = Response<Vec<u8>>;

fn respond(status: u16, body: Vec<u8>, retry_after: Option<u64>) -> Answer {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", "application/json");
    if let Some(seconds) = retry_after {
        builder = builder.header("retry-after", seconds);
    }
    builder.body(body).unwrap_or_default()
}

fn error(status: u16, text: &str) -> Answer {
    let body = ErrorResponse { error: text.into() };
    respond(status, serde_json::to_vec(&body).unwrap_or_default(), None)
}

/// A user's connection is closed after the answer where connections are short.
fn user(controller: &Controller, reply: &Reply) -> Answer {
    let mut answer = respond(reply.status(), reply.body(), reply.retry_after_s());
    if controller.connection_limits.is_critical() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn worker(answer: &HeartbeatReply) -> Answer {
    match answer {
        HeartbeatReply::Accepted(answer) => {
            respond(200, serde_json::to_vec(answer).unwrap_or_default(), None)
        }
        HeartbeatReply::Redirected(to) => {
            respond(421, serde_json::to_vec(to).unwrap_or_default(), None)
        }
        HeartbeatReply::Unavailable => error(503, "not entitled to act for the controllers now"),
        HeartbeatReply::Malformed(why) => error(400, why),
    }
}

async fn route(controller: Arc<Controller>, method: Method, path: String, body: Vec<u8>) -> Answer {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let get = method == Method::GET;
    let post = method == Method::POST;
    match parts.as_slice() {
        ["work", ..] => match user_api::serve(&controller, &method, &path, &body).await {
            Some(reply) => user(&controller, &reply),
            None => error(405, "no such request about jobs"),
        },
        ["checkin"] if post => worker(&worker_api::handle_heartbeat(&controller, &body)),
        ["ready"] if get => {
            if ready(&controller) {
                respond(200, b"{}".to_vec(), None)
            } else {
                error(503, "not ready")
            }
        }
        ["checkin"] | ["ready"] => error(405, "no such method here"),
        _ => error(404, "no such path"),
    }
}

/// Whether the node can judge submissions and tell the state of jobs, and is
/// not better left to its work by users. It answers them all the same. One that
/// is apart can tell them nothing: their connections must not stay with it.
fn ready(controller: &Controller) -> bool {
    controller.catalogue.is_loaded()
        && controller.has_reached_store()
        && !controller.sheds_user_load()
        && !controller.is_isolated()
}

/// Serves users, workers and health checks. Never returns.
pub async fn serve(controller: Arc<Controller>) {
    let addr = controller.settings.client_listen;
    let lease_s = controller.settings.deployment.workers.lease_s;
    let callers = controller.connection_limits.callers.clone();
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, body| {
            let controller = controller.clone();
            async move {
                match bounded_body(body).await {
                    Some(body) => route(controller, method, path.as_str().to_string(), body).await,
                    None => error(400, "the body is over 64 KiB or broke off"),
                }
            }
        });
    let service = TowerToHyperService::new(warp::service(routes));
    let listener = TcpListener::bind(addr).await.expect("the address is free");
    // A caller that went without a word must not hold a socket for ever; a
    // worker that says nothing for a lease has lost it. Warp's own loop would
    // first find out which version of HTTP each connection speaks, and look at
    // that again at every turn.
    let idle = Duration::from_secs_f64(lease_s);
    accept(listener, service, idle, |_| Some(callers.acquire())).await;
}
