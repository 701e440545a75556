//! Relaying users' requests to other controllers, for one that the key-value store
//! does not serve.

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

/// Another controller's reply on its way; `None` if no other controller could answer.
pub type RelayFuture<'a> = Pin<Box<dyn Future<Output = Option<RelayedReply>> + Send + 'a>>;

/// Sends users' requests to other controllers.
pub trait Relay: Send + Sync {
    /// Sends a request to other controllers until one answers it.
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a>;
}

/// How this controller relays requests, and when it may do so again after no other
/// controller could answer.
pub struct PeerRelay {
    relay: Mutex<Option<Arc<dyn Relay>>>,
    /// Seconds of the controller's clock before which nothing is relayed.
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
    /// Sets how requests are relayed. Until then none are.
    pub fn set(&self, relay: Arc<dyn Relay>) {
        *self.relay.lock().expect("relay lock") = Some(relay);
    }

    /// How requests are relayed, if that has been set.
    #[must_use]
    pub fn get(&self) -> Option<Arc<dyn Relay>> {
        self.relay.lock().expect("relay lock").clone()
    }

    /// Whether requests should not be relayed now.
    #[must_use]
    pub fn is_backing_off(&self, now: f64) -> bool {
        now < *self.backoff_until.lock().expect("relay backoff lock")
    }

    /// Stops relaying until a time.
    pub fn back_off_until(&self, until: f64) {
        *self.backoff_until.lock().expect("relay backoff lock") = until;
    }
}
