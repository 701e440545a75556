//! Relays users' requests to other controllers, for a controller whose requests to the
//! key-value store fail.

use std::{
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex},
};
use warp::http::Method;

/// Another controller's reply to a relayed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedReply {
    /// HTTP status code.
    pub status: u16,
    /// HTTP body.
    pub body: Vec<u8>,
}

/// Future of another controller's reply, or of `None` if no other controller could serve
/// the request.
pub type RelayFuture<'a> = Pin<Box<dyn Future<Output = Option<RelayedReply>> + Send + 'a>>;

/// Sends users' requests to other controllers.
pub trait Relay: Send + Sync {
    /// Sends a request to other controllers, one after the other, until one serves it.
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a>;
}

/// The relay of this controller, and the pause in relaying after no other controller could
/// serve a request.
pub struct PeerRelay {
    relay: Mutex<Option<Arc<dyn Relay>>>,
    /// Time before which nothing is relayed, in seconds of the controller's clock.
    backoff_until: Mutex<f64>,
}

impl Default for PeerRelay {
    fn default() -> Self {
        Self {
            relay: Mutex::default(),
            backoff_until: Mutex::new(f64::NEG_INFINITY),
        }
    }
}

impl PeerRelay {
    /// Sets the relay. Before this call no request is relayed.
    pub fn set(&self, relay: Arc<dyn Relay>) {
        *self
            .relay
            .lock()
            .expect("a task that held the relay lock panicked") = Some(relay);
    }

    /// The relay, if it has been set.
    #[must_use]
    pub fn get(&self) -> Option<Arc<dyn Relay>> {
        self.relay
            .lock()
            .expect("a task that held the relay lock panicked")
            .clone()
    }

    /// Whether relaying is paused at `now`.
    #[must_use]
    pub fn is_backing_off(&self, now: f64) -> bool {
        now < *self
            .backoff_until
            .lock()
            .expect("a task that held the lock of the relay backoff panicked")
    }

    /// Pauses relaying until `until`, in seconds of the controller's clock.
    pub fn back_off_until(&self, until: f64) {
        *self
            .backoff_until
            .lock()
            .expect("a task that held the lock of the relay backoff panicked") = until;
    }
}
