//! How requests are carried, and what comes back.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::{future::Future, pin::Pin};

/// Why a request has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection was established, so nothing was sent.
    #[error("not sent: no connection")]
    NotSent,
    /// Sent, perhaps in part; no whole answer arrived in time.
    #[error("sent, but no whole response in time")]
    NoResponse,
}

/// Status and body of an answer, or why there is none.
pub type HttpResult = Result<(StatusCode, Bytes), RequestError>;

/// Carries requests in place of the network, as in simulations and tests.
pub trait Transport: Send + Sync {
    /// Sends one request and returns its answer.
    fn send(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>>;
}
