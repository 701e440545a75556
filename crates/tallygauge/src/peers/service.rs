//! The gRPC service that other controllers call.

use crate::{
    controller::Controller,
    user_api::{self, Reply},
    worker_api,
};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::peer::{
    Announcement, JobProgress, ProgressReply, ProgressRequest, RelayReply, RelayRequest,
    peer_server::{Peer, PeerServer},
};
use tallygauge_scheduler::TaskCount;
use tonic::{Request, Response, Status, transport::Server};
use warp::http::Method;

/// Interval of the keep-alive pings, by which lost connections are found.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);

struct PeerService(Arc<Controller>);

#[tonic::async_trait]
impl Peer for PeerService {
    async fn relay(&self, request: Request<RelayRequest>) -> Result<Response<RelayReply>, Status> {
        let relayed = request.into_inner();
        let method = Method::from_bytes(relayed.method.as_bytes())
            .map_err(|_| Status::invalid_argument("no such method"))?;
        match user_api::handle_locally(&self.0, &method, &relayed.path, &relayed.body).await {
            None => Err(Status::invalid_argument("no request of users")),
            Some(Reply::RetryLater { reason, .. }) => Err(Status::unavailable(reason)),
            Some(reply) => Ok(Response::new(RelayReply {
                status: u32::from(reply.status()),
                body: reply.body(),
            })),
        }
    }

    async fn announce(
        &self,
        request: Request<Announcement>,
    ) -> Result<Response<Announcement>, Status> {
        let announced = request.into_inner();
        let leader = (!announced.leader.is_empty()).then_some(announced.leader.as_str());
        self.0.observe_term(announced.term, leader);
        let view = self.0.leadership.leader_view();
        Ok(Response::new(Announcement {
            term: view.term,
            leader: view.leader.unwrap_or_default(),
            workers_call: worker_api::has_recent_heartbeats(&self.0),
        }))
    }

    async fn progress(
        &self,
        request: Request<ProgressRequest>,
    ) -> Result<Response<ProgressReply>, Status> {
        let ids = request.into_inner().ids;
        let jobs = self.0.with_cluster(|cluster| {
            ids.into_iter()
                .filter_map(|id| {
                    let TaskCount { done, running } = cluster.task_count(&id)?;
                    Some(JobProgress { id, done, running })
                })
                .collect()
        });
        let jobs = jobs.ok_or_else(|| Status::unavailable("does not lead"))?;
        Ok(Response::new(ProgressReply { jobs }))
    }
}

/// Serves the other controllers. Returns only when it can't listen.
///
/// # Errors
/// When the address can't be bound.
pub async fn serve(controller: Arc<Controller>) -> Result<(), tonic::transport::Error> {
    let address = controller.settings.peer_listen;
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .add_service(PeerServer::new(PeerService(controller)))
        .serve(address)
        .await
}
