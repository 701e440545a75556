//! Records the messages between controllers and the simulated store, cloud, workers and users,
//! and computes a digest of them.
//!
//! The digest covers only the content of the messages, their simulated time, and their sender
//! and receiver, so that refactoring does not change it.

use crate::Simulation;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use tallygauge::{
    controller::Controller,
    user_api::{self, Reply},
    worker_api::{HeartbeatReply, handle_heartbeat},
};
use tallygauge_store::http::HttpResult;
use warp::http::Method;

/// Status code recorded for a request that gets no response.
const NO_RESPONSE: u16 = 0;

/// A request as received.
pub(crate) struct Request<'a> {
    /// Name of the sender.
    pub(crate) from: &'a str,
    /// Name or address of the receiver.
    pub(crate) to: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: &'a [u8],
}

/// Number of a recorded request, by which its response refers to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestNumber(u64);

/// The requests and responses recorded so far.
#[derive(Default)]
pub(crate) struct Exchanges {
    hasher: Sha256,
    requests: u64,
    /// All messages as text, in order; `None` if text is not kept.
    text: Option<Vec<String>>,
}

impl Exchanges {
    /// Adds the fields of one message. The length of each field is hashed with it, so that
    /// the boundaries between fields count.
    fn add_message(&mut self, fields: &[&[u8]]) {
        if let Some(text) = &mut self.text {
            let shown = fields.iter().map(|field| String::from_utf8_lossy(field));
            text.push(shown.collect::<Vec<_>>().join(" "));
        }
        for field in fields {
            self.hasher.update((field.len() as u64).to_be_bytes());
            self.hasher.update(field);
        }
    }
}

impl Simulation {
    /// Starts recording messages, and also keeps their text if `keep_text`.
    pub fn record_exchanges(&self, keep_text: bool) {
        *self.exchanges.lock().unwrap() = Some(Exchanges {
            text: keep_text.then(Vec::new),
            ..Exchanges::default()
        });
    }

    /// The recorded messages as text, in order; empty if text is not kept.
    pub fn exchanged_text(&self) -> Vec<String> {
        let exchanges = self.exchanges.lock().unwrap();
        let text = exchanges.as_ref().and_then(|e| e.text.clone());
        text.unwrap_or_default()
    }

    /// Hexadecimal digest of all messages since [`Simulation::record_exchanges`], and the
    /// number of requests; `None` if messages are not recorded.
    pub fn exchange_digest(&self) -> Option<(String, u64)> {
        let exchanges = self.exchanges.lock().unwrap();
        let exchanges = exchanges.as_ref()?;
        let digest = exchanges.hasher.clone().finalize();
        let digits = digest.iter().map(|byte| format!("{byte:02x}"));
        Some((digits.collect(), exchanges.requests))
    }

    /// Records a request at the time at which it is received.
    pub(crate) fn record_request(&self, request: &Request<'_>) -> RequestNumber {
        let nanos = self.started_at.elapsed().as_nanos().to_string();
        let mut exchanges = self.exchanges.lock().unwrap();
        let Some(exchanges) = exchanges.as_mut() else {
            return RequestNumber(0);
        };
        exchanges.requests += 1;
        let number = exchanges.requests;
        exchanges.add_message(&[
            b"request",
            nanos.as_bytes(),
            number.to_string().as_bytes(),
            request.from.as_bytes(),
            request.to.as_bytes(),
            request.method.as_bytes(),
            request.path.as_bytes(),
            request.body,
        ]);
        RequestNumber(number)
    }

    /// Records the response to a request.
    pub(crate) fn record_response(&self, to: RequestNumber, status: u16, body: &[u8]) {
        let nanos = self.started_at.elapsed().as_nanos().to_string();
        let mut exchanges = self.exchanges.lock().unwrap();
        if let Some(exchanges) = exchanges.as_mut() {
            let (number, status) = (to.0.to_string(), status.to_string());
            exchanges.add_message(&[
                b"answer",
                nanos.as_bytes(),
                number.as_bytes(),
                status.as_bytes(),
                body,
            ]);
        }
    }

    /// Records the response to a request, or that there is none.
    pub(crate) fn record_outcome(&self, to: RequestNumber, result: &HttpResult) {
        match result {
            Ok((status, body)) => self.record_response(to, status.as_u16(), body),
            Err(_) => self.record_response(to, NO_RESPONSE, b""),
        }
    }

    /// Delivers a worker's heartbeat to a controller and returns its reply.
    pub(crate) async fn send_heartbeat(
        &self,
        controller: &Controller,
        worker: &str,
        body: &[u8],
    ) -> HeartbeatReply {
        let number = self.record_request(&Request {
            from: worker,
            to: &controller.settings.node_name,
            method: "POST",
            path: "/checkin",
            body,
        });
        let reply = handle_heartbeat(controller, body).await;
        let (status, body) = status_and_body(&reply);
        self.record_response(number, status, &body);
        reply
    }

    /// Submits a job to a controller as a user.
    pub async fn submit(&self, controller: &Arc<Controller>, body: &[u8]) -> Reply {
        let number = self.record_user_request(controller, &Method::POST, "", body);
        let reply = user_api::submit(controller, body).await;
        self.record_reply(number, reply)
    }

    /// Requests the status of a job from a controller as a user.
    pub async fn request_status(&self, controller: &Arc<Controller>, id: &str) -> Reply {
        let number = self.record_user_request(controller, &Method::GET, id, b"");
        let reply = user_api::job_status(controller, id).await;
        self.record_reply(number, reply)
    }

    /// Requests the cancellation of a job from a controller as a user.
    pub async fn request_cancellation(&self, controller: &Arc<Controller>, id: &str) -> Reply {
        let number = self.record_user_request(controller, &Method::DELETE, id, b"");
        let reply = user_api::cancel(controller, id).await;
        self.record_reply(number, reply)
    }

    fn record_user_request(
        &self,
        controller: &Controller,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> RequestNumber {
        self.record_request(&Request {
            from: "user",
            to: &controller.settings.node_name,
            method: method.as_str(),
            path,
            body,
        })
    }

    fn record_reply(&self, number: RequestNumber, reply: Reply) -> Reply {
        self.record_response(number, reply.status(), &reply.body());
        reply
    }
}

/// Status code and body of the reply to a heartbeat, without the text of an error.
fn status_and_body(reply: &HeartbeatReply) -> (u16, Vec<u8>) {
    match reply {
        HeartbeatReply::Accepted(response) => (200, serde_json::to_vec(response).unwrap()),
        HeartbeatReply::Redirected(to) => (421, serde_json::to_vec(to).unwrap()),
        HeartbeatReply::Unavailable => (503, Vec::new()),
        HeartbeatReply::Malformed(_) => (400, Vec::new()),
    }
}
