//! What callers meet: networks, tokens, limits, then the operation.

use crate::{
    access::{Access, Caller},
    listen::{accept, bounded_body},
    metrics::Metrics,
    operation::{Operation, Refusal},
    share::Share,
};
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};
use tallygauge_wire::ops::Failure;
use tokio::net::TcpListener;
use warp::{
    Filter,
    http::{HeaderValue, Method, Response, StatusCode, header},
};

/// Connections at a time.
const CONNECTIONS: usize = 64;

/// Time in which a request must have come whole.
const REQUEST: Duration = Duration::from_secs(10);

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body: JSON, or text of metrics.
    pub body: Vec<u8>,
    /// When to come back, seconds.
    pub retry_after: Option<u64>,
}

impl Answer {
    /// 200 with a value.
    #[must_use]
    pub fn ok<T: Serialize>(value: &T) -> Self {
        Self {
            status: 200,
            body: serde_json::to_vec(value).unwrap_or_default(),
            retry_after: None,
        }
    }

    /// Another status, with a sentence.
    #[must_use]
    pub fn no(status: u16, error: &str) -> Self {
        let failure = Failure {
            error: error.into(),
        };
        Self {
            status,
            ..Self::ok(&failure)
        }
    }

    /// It can't be told or done now.
    #[must_use]
    pub fn later(error: &str, seconds: u64) -> Self {
        Self {
            retry_after: Some(seconds),
            ..Self::no(503, error)
        }
    }
}

impl From<Refusal> for Answer {
    fn from((status, error): Refusal) -> Self {
        Answer::no(status, &error)
    }
}

/// An answer on its way.
pub type Performing<'a> = Pin<Box<dyn Future<Output = Answer> + Send + 'a>>;

/// What carries operations out.
pub trait Backend: Send + Sync + 'static {
    /// Whether the process has no time for operators now.
    fn busy(&self) -> bool;

    /// Carries one out.
    fn perform(&self, operation: Operation, caller: Caller) -> Performing<'_>;
}

struct Door<B> {
    backend: B,
    access: Access,
    share: Share,
    metrics: Metrics,
    connections: AtomicUsize,
}

/// Counts a connection out.
struct Inside<B>(Arc<Door<B>>);

impl<B> Drop for Inside<B> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Relaxed);
    }
}

/// Serves operators on an address that is listened on already. Connections
/// from other networks are closed without a word; requests without a good token
/// all get the same answer, whatever they ask for. Never returns.
pub async fn serve<B: Backend>(
    listener: TcpListener,
    backend: B,
    access: Access,
    share: Share,
    metrics: Metrics,
) {
    let door = Arc::new(Door {
        backend,
        access,
        share,
        metrics,
        connections: AtomicUsize::new(0),
    });
    let at = door.clone();
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::optional::<String>("authorization"))
        .and(warp::body::stream())
        .then(
            move |method: Method, path: warp::path::FullPath, query: String, token, body| {
                let door = at.clone();
                async move {
                    // Who holds no token is not listened to any further.
                    let Some(caller) = door.caller(token) else {
                        return door.respond(Answer::no(401, "a token is needed"));
                    };
                    let body = tokio::time::timeout(REQUEST, bounded_body(body)).await;
                    let Ok(Some(body)) = body else {
                        let what = "the body is over 64 KiB, broke off or took too long";
                        return door.respond(Answer::no(400, what));
                    };
                    let path = path.as_str();
                    let answer = door.answer(caller, &method, path, &query, &body).await;
                    door.respond(answer)
                }
            },
        );
    let service = TowerToHyperService::new(warp::service(routes));
    accept(listener, service, REQUEST * 6, move |from| {
        let many = door.connections.load(Relaxed) >= CONNECTIONS;
        if many || !door.access.allows(from.ip()) {
            return None;
        }
        door.connections.fetch_add(1, Relaxed);
        Some(Inside(door.clone()))
    })
    .await;
}

impl<B: Backend> Door<B> {
    fn caller(&self, authorization: Option<String>) -> Option<Caller> {
        let header = authorization?;
        let token = header.strip_prefix("Bearer ")?;
        self.access.caller(token.trim())
    }

    async fn answer(
        &self,
        caller: Caller,
        method: &Method,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Answer {
        if self.backend.busy() {
            return Answer::later("the controller has no time for operators now", 1);
        }
        if let Err(wait) = self.share.take(&caller.name, Instant::now()) {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            return Answer {
                retry_after: Some(seconds),
                ..Answer::no(429, "too many requests; the scheduler goes first")
            };
        }
        let operation = match Operation::parse(method.as_str(), path, query, body) {
            Ok(operation) => operation,
            Err(refusal) => return refusal.into(),
        };
        if caller.role < operation.role() {
            let needed = operation.role().word();
            return Answer::no(
                403,
                &format!("the token's role must be '{needed}' at least"),
            );
        }
        self.timed(self.backend.perform(operation, caller)).await
    }

    /// Carries something out, and counts the time that its steps take, but not
    /// that in which it waits.
    async fn timed(&self, mut work: Performing<'_>) -> Answer {
        std::future::poll_fn(|cx| {
            let began = Instant::now();
            let step = work.as_mut().poll(cx);
            self.share.spent(began.elapsed());
            step
        })
        .await
    }

    fn respond(&self, answer: Answer) -> Response<Vec<u8>> {
        let outcome = match answer.status {
            200..=299 => "served",
            400 | 404 | 409 | 422 => "wrong",
            401 | 403 => "refused",
            429 => "limited",
            _ => "later",
        };
        self.metrics.operators.with_label_values(&[outcome]).inc();
        let kind = if answer.body.first() == Some(&b'{') {
            "application/json"
        } else {
            "text/plain; version=0.0.4"
        };
        let mut response = Response::new(answer.body);
        let status = StatusCode::from_u16(answer.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
        if let Some(seconds) = answer.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
