//! Relays users' requests to the other controllers over gRPC.

use super::PeerNode;
use crate::{
    controller::Controller,
    relay::{Relay, RelayFuture, RelayedReply},
};
use std::sync::Weak;
use tallygauge_protocol::peer::RelayRequest;
use tokio::sync::Semaphore;
use warp::http::Method;

/// Maximum number of peers to which a request is relayed, one after the other.
const MAX_ATTEMPTS: usize = 2;

/// The maximum number of relayed requests in flight is the process's connection limit
/// divided by this.
const CONNECTIONS_PER_REQUEST: usize = 16;

/// Relays requests to the other controllers over gRPC, to the leader first.
pub(super) struct GrpcRelay {
    /// A weak reference, since the controller owns its relay.
    controller: Weak<Controller>,
    peers: Vec<PeerNode>,
    /// Limits the number of relayed requests in flight.
    permits: Semaphore,
}

impl GrpcRelay {
    /// Creates a relay for the requests that `controller` receives. `max_connections` is
    /// the connection limit of the process.
    pub(super) fn new(
        controller: Weak<Controller>,
        peers: Vec<PeerNode>,
        max_connections: usize,
    ) -> Self {
        Self {
            controller,
            peers,
            permits: Semaphore::new(max_connections / CONNECTIONS_PER_REQUEST),
        }
    }
}

impl Relay for GrpcRelay {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let _permit = self.permits.try_acquire().ok()?;
            let leader = self.controller.upgrade()?.leadership.leader_view().leader;
            // The leader comes first: the store serves it, or another controller will soon be
            // elected.
            let (leaders, followers): (Vec<_>, Vec<_>) = self
                .peers
                .iter()
                .partition(|peer| Some(&peer.name) == leader.as_ref());
            for peer in leaders.into_iter().chain(followers).take(MAX_ATTEMPTS) {
                let request = RelayRequest {
                    method: method.to_string(),
                    path: path.to_string(),
                    body: body.to_vec(),
                };
                if let Ok(reply) = peer.client.clone().relay(request).await {
                    let reply = reply.into_inner();
                    let status = u16::try_from(reply.status).ok()?;
                    let body = reply.body;
                    return Some(RelayedReply { status, body });
                }
            }
            None
        })
    }
}
