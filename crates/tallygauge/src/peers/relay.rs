//! Relays users' requests to the other controllers.

use super::PeerNode;
use crate::{
    controller::Controller,
    relay::{Relay, RelayFuture, RelayedReply},
};
use std::sync::Weak;
use tallygauge_protocol::peer::RelayRequest;
use tokio::sync::Semaphore;
use warp::http::Method;

/// Number of peers that a request is relayed to before it is given up.
const MAX_ATTEMPTS: usize = 2;

/// Connections of the process for each relayed request that may be in flight.
const CONNECTIONS_PER_REQUEST: usize = 16;

/// The other controllers as relays; the leader is asked first.
pub(super) struct GrpcRelay {
    /// Weak, since the controller owns its relay.
    controller: Weak<Controller>,
    peers: Vec<PeerNode>,
    /// Bounds the requests in flight.
    permits: Semaphore,
}

impl GrpcRelay {
    /// Relays requests of `controller` to `peers`, over as many `connections` as the
    /// process may have.
    pub(super) fn new(
        controller: Weak<Controller>,
        peers: Vec<PeerNode>,
        connections: usize,
    ) -> Self {
        Self {
            controller,
            peers,
            permits: Semaphore::new(connections / CONNECTIONS_PER_REQUEST),
        }
    }
}

impl Relay for GrpcRelay {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let _permit = self.permits.try_acquire().ok()?;
            let leader = self.controller.upgrade()?.leadership.leader_view().leader;
            // The store serves the leader, or another will soon be elected.
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
