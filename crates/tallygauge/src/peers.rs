//! Controller to controller: gRPC on `back`. Hints and display only.

use crate::{leader, node::Node, workers};
use std::{sync::Arc, time::Duration};
use tallygauge_wire::peer::{
    Announcement, JobProgress, ProgressReply, ProgressRequest,
    peer_client::PeerClient,
    peer_server::{Peer, PeerServer},
};
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};

struct Service(Arc<Node>);

#[tonic::async_trait]
impl Peer for Service {
    async fn announce(
        &self,
        request: Request<Announcement>,
    ) -> Result<Response<Announcement>, Status> {
        let told = request.into_inner();
        let leader = (!told.leader.is_empty()).then_some(told.leader.as_str());
        self.0.hear_of(told.term, leader);
        let role = self.0.lock(&self.0.role).clone();
        Ok(Response::new(Announcement {
            term: role.term,
            leader: role.leader.unwrap_or_default(),
            workers_call: workers::called_of_late(&self.0),
        }))
    }

    async fn progress(
        &self,
        request: Request<ProgressRequest>,
    ) -> Result<Response<ProgressReply>, Status> {
        let ids = request.into_inner().ids;
        let jobs = self
            .0
            .with_cluster(|c| {
                ids.into_iter()
                    .filter_map(|id| {
                        let (done, running) = c.counts(&id)?;
                        Some(JobProgress { id, done, running })
                    })
                    .collect()
            })
            .ok_or_else(|| Status::unavailable("does not lead"))?;
        Ok(Response::new(ProgressReply { jobs }))
    }
}

/// Serves the peers. Returns only when it can't listen.
///
/// # Errors
/// When the address can't be taken.
pub async fn serve(node: Arc<Node>) -> Result<(), tonic::transport::Error> {
    let addr = node.settings.back;
    Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(20)))
        .add_service(PeerServer::new(Service(node)))
        .serve(addr)
        .await
}

fn client(addr: std::net::SocketAddr, timeout: Duration) -> Option<PeerClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}"))
        .ok()?
        .connect_timeout(timeout)
        .timeout(timeout);
    Some(PeerClient::new(endpoint.connect_lazy()))
}

/// Tells the peers who leads whenever that changes, and reads task counts from
/// the leader while users ask for them.
pub async fn run(node: Arc<Node>) {
    let timeout = Duration::from_secs_f64(node.settings.deployment.workers.report_s / 2.0);
    let clients: Vec<(String, PeerClient<Channel>)> = node
        .settings
        .peers
        .iter()
        .filter_map(|p| Some((p.node_name.clone(), client(p.addr, timeout)?)))
        .collect();
    let mut told = 0;
    loop {
        let _ = tokio::time::timeout(Duration::from_secs(1), node.role_changed.notified()).await;
        let role = node.lock(&node.role).clone();
        let mine = role.leader.as_deref() == Some(node.settings.node_name.as_str());
        let announcement = Announcement {
            term: role.term,
            leader: role.leader.clone().unwrap_or_default(),
            workers_call: false,
        };
        if mine && role.term > told {
            told = role.term;
            for (_, client) in &clients {
                let mut client = client.clone();
                let node = node.clone();
                let announcement = announcement.clone();
                tokio::spawn(async move {
                    if let Ok(answer) = client.announce(announcement).await {
                        let answer = answer.into_inner();
                        let leader = (!answer.leader.is_empty()).then_some(answer.leader.as_str());
                        node.hear_of(answer.term, leader);
                    }
                });
            }
        }
        if mine && workers::none_call(&node) {
            for (_, client) in &clients {
                let answer = client.clone().announce(announcement.clone()).await;
                if answer.is_ok_and(|a| a.into_inner().workers_call) {
                    leader::give_way(&node);
                    break;
                }
            }
        }
        if !mine {
            let leader = clients.iter().find(|c| Some(&c.0) == role.leader.as_ref());
            if let Some((_, client)) = leader {
                refresh(&node, client.clone()).await;
            }
        }
    }
}

async fn refresh(node: &Node, mut client: PeerClient<Channel>) {
    let ids: Vec<String> = {
        let mut counts = node.lock(&node.counts);
        std::mem::take(&mut counts.asked).into_iter().collect()
    };
    if ids.is_empty() {
        return;
    }
    if let Ok(reply) = client.progress(ProgressRequest { ids }).await {
        let now = node.now();
        let mut counts = node.lock(&node.counts);
        for job in reply.into_inner().jobs {
            counts.known.insert(job.id, (job.done, job.running, now));
        }
        // Nobody asks about these any more.
        counts.known.retain(|_, c| now - c.2 < 60.0);
    }
}
