//! Relaying of users' requests to other controllers.

use std::{future::Future, pin::Pin};
use warp::http::Method;

/// A relayed request: the other controller's status and body; `None` if none
/// answered.
pub type RelayFuture<'a> = Pin<Box<dyn Future<Output = Option<(u16, Vec<u8>)>> + Send + 'a>>;

/// A means of relaying users' requests, which simulations replace.
pub trait Relay: Send + Sync {
    /// Relays a request to the other controllers until one answers.
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a>;
}
