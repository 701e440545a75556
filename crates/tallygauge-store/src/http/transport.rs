//! Interface of a transport, and the result of a request.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::{future::Future, pin::Pin};

/// Why a request has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection was established, so nothing was sent.
    #[error("not sent: no connection")]
    NotSent,
    /// The request was sent, at least in part, but no complete response arrived in time.
    #[error("sent, but no complete response in time")]
    NoResponse,
}

/// Status and body of a response, or why there is none.
pub type HttpResult = Result<(StatusCode, Bytes), RequestError>;

/// Sends requests in place of the network, in simulations and tests.
pub trait Transport: Send + Sync {
    /// Sends one request and returns its response.
    fn send(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>>;
}
