//! A digest of every message that passes between controllers, state service,
//! cloud, workers and users, as the stand-ins receive and answer it.
//!
//! Only what is on the wire goes into it, with the simulated time and both ends,
//! so that it stays the same through changes that keep the behaviour.

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

/// Status that stands for a request without an answer.
const NO_ANSWER: u16 = 0;

/// One request, as the receiver sees it.
pub struct Request<'a> {
    /// Who sends it.
    pub from: &'a str,
    /// Who receives it.
    pub to: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub body: &'a [u8],
}

/// Number of a recorded request, to which its answer refers.
#[derive(Debug, Clone, Copy)]
pub struct RequestNumber(u64);

/// Requests and answers so far, in order.
#[derive(Default)]
pub(crate) struct Exchanges {
    hasher: Sha256,
    requests: u64,
    /// Every message as text, if it is kept.
    text: Option<Vec<String>>,
}

impl Exchanges {
    /// Adds fields of one message; their lengths keep them apart.
    fn add(&mut self, fields: &[&[u8]]) {
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
    /// Records from here on what is exchanged; keeps the messages' text if asked to.
    pub fn record_exchanges(&self, keep_text: bool) {
        *self.exchanges.lock().unwrap() = Some(Exchanges {
            text: keep_text.then(Vec::new),
            ..Exchanges::default()
        });
    }

    /// The messages recorded so far as text, one each.
    pub fn exchanged_text(&self) -> Vec<String> {
        let exchanges = self.exchanges.lock().unwrap();
        let text = exchanges.as_ref().and_then(|e| e.text.clone());
        text.unwrap_or_default()
    }

    /// Digest of all that was exchanged since [`Simulation::record_exchanges`], in
    /// hexadecimal digits, and how many requests there were.
    pub fn exchange_digest(&self) -> Option<(String, u64)> {
        let exchanges = self.exchanges.lock().unwrap();
        let exchanges = exchanges.as_ref()?;
        let digest = exchanges.hasher.clone().finalize();
        let digits = digest.iter().map(|byte| format!("{byte:02x}"));
        Some((digits.collect(), exchanges.requests))
    }

    /// Records a request when it is received.
    pub(crate) fn record_request(&self, request: &Request<'_>) -> RequestNumber {
        let nanos = self.started_at.elapsed().as_nanos().to_string();
        let mut exchanges = self.exchanges.lock().unwrap();
        let Some(exchanges) = exchanges.as_mut() else {
            return RequestNumber(0);
        };
        exchanges.requests += 1;
        let number = exchanges.requests;
        exchanges.add(&[
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

    /// Records the answer to a request.
    pub(crate) fn record_answer(&self, to: RequestNumber, status: u16, body: &[u8]) {
        let nanos = self.started_at.elapsed().as_nanos().to_string();
        let mut exchanges = self.exchanges.lock().unwrap();
        if let Some(exchanges) = exchanges.as_mut() {
            let (number, status) = (to.0.to_string(), status.to_string());
            exchanges.add(&[
                b"answer",
                nanos.as_bytes(),
                number.as_bytes(),
                status.as_bytes(),
                body,
            ]);
        }
    }

    /// Records what a stand-in answers a controller, or that it does not.
    pub(crate) fn record_outcome(&self, to: RequestNumber, answer: &HttpResult) {
        match answer {
            Ok((status, body)) => self.record_answer(to, status.as_u16(), body),
            Err(_) => self.record_answer(to, NO_ANSWER, b""),
        }
    }

    /// A worker's report reaches a controller, which answers it.
    pub(crate) fn send_heartbeat(
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
        let answer = handle_heartbeat(controller, body);
        let (status, body) = status_and_body(&answer);
        self.record_answer(number, status, &body);
        answer
    }

    /// A user submits a job to a controller.
    pub async fn submit(&self, controller: &Arc<Controller>, body: &[u8]) -> Reply {
        let number = self.record_user(controller, &Method::POST, "", body);
        let reply = user_api::submit(controller, body).await;
        self.record_reply(number, reply)
    }

    /// A user asks a controller about a job.
    pub async fn request_status(&self, controller: &Arc<Controller>, id: &str) -> Reply {
        let number = self.record_user(controller, &Method::GET, id, b"");
        let reply = user_api::job_status(controller, id).await;
        self.record_reply(number, reply)
    }

    /// A user cancels a job through a controller.
    pub async fn request_cancellation(&self, controller: &Arc<Controller>, id: &str) -> Reply {
        let number = self.record_user(controller, &Method::DELETE, id, b"");
        let reply = user_api::cancel(controller, id).await;
        self.record_reply(number, reply)
    }

    fn record_user(
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
        self.record_answer(number, reply.status(), &reply.body());
        reply
    }
}

/// What a worker is answered, without the words of a refusal.
fn status_and_body(answer: &HeartbeatReply) -> (u16, Vec<u8>) {
    match answer {
        HeartbeatReply::Accepted(answer) => (200, serde_json::to_vec(answer).unwrap()),
        HeartbeatReply::Redirected(to) => (421, serde_json::to_vec(to).unwrap()),
        HeartbeatReply::Unavailable => (503, Vec::new()),
        HeartbeatReply::Malformed(_) => (400, Vec::new()),
    }
}
