//! Users' requests that are passed on to other nodes.

use std::{future::Future, pin::Pin};
use warp::http::Method;

/// Another node's answer on its way: status and body; `None` if none can.
pub type RelayFuture<'a> = Pin<Box<dyn Future<Output = Option<(u16, Vec<u8>)>> + Send + 'a>>;

/// Something that passes users' requests on to other nodes.
pub trait Relay: Send + Sync {
    /// Asks other nodes.
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a>;
}
