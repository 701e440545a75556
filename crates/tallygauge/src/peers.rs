//! Controller to controller: gRPC on `back`. Hints and display only.

use crate::{
    controller::Controller,
    leader,
    task_counts::TaskCount,
    user_api::{self, Relay, RelayFuture, RelayedReply, Reply},
    worker_api,
};
use futures_util::future::join_all;
use std::{
    sync::{Arc, Weak},
    time::Duration,
};
use tallygauge_protocol::peer::{
    Announcement, JobProgress, ProgressReply, ProgressRequest, RelayReply, RelayRequest,
    peer_client::PeerClient,
    peer_server::{Peer, PeerServer},
};
use tokio::sync::Semaphore;
use tonic::{
    Request, Response, Status,
    transport::{Channel, Endpoint, Server},
};
use warp::http::Method;

struct Service(Arc<Controller>);

/// The other nodes, as takers of users' requests.
struct Peers {
    controller: Weak<Controller>,
    clients: Vec<(String, PeerClient<Channel>)>,
    /// Bounds the requests that are under way.
    turns: Semaphore,
}

/// Other nodes that a request is passed to before it is given up.
const RELAY_TRIES: usize = 2;

impl Relay for Peers {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let _turn = self.turns.try_acquire().ok()?;
            let leader = self.controller.upgrade()?;
            let leader = leader.leadership.view().leader;
            // The leader is served by the state service, or soon another leads.
            let (first, others): (Vec<_>, Vec<_>) = self
                .clients
                .iter()
                .partition(|c| Some(&c.0) == leader.as_ref());
            for (_, client) in first.into_iter().chain(others).take(RELAY_TRIES) {
                let request = RelayRequest {
                    method: method.to_string(),
                    path: path.to_string(),
                    body: body.to_vec(),
                };
                if let Ok(reply) = client.clone().relay(request).await {
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

#[tonic::async_trait]
impl Peer for Service {
    async fn relay(&self, request: Request<RelayRequest>) -> Result<Response<RelayReply>, Status> {
        let asked = request.into_inner();
        let method = Method::from_bytes(asked.method.as_bytes())
            .map_err(|_| Status::invalid_argument("no such method"))?;
        match user_api::local(&self.0, &method, &asked.path, &asked.body).await {
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
        let told = request.into_inner();
        let leader = (!told.leader.is_empty()).then_some(told.leader.as_str());
        self.0.observe_term(told.term, leader);
        let role = self.0.leadership.view();
        Ok(Response::new(Announcement {
            term: role.term,
            leader: role.leader.unwrap_or_default(),
            workers_call: worker_api::has_recent_heartbeats(&self.0),
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
                        let (done, running) = c.task_counts(&id)?;
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
pub async fn serve(controller: Arc<Controller>) -> Result<(), tonic::transport::Error> {
    let addr = controller.settings.peer_listen;
    Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(20)))
        .add_service(PeerServer::new(Service(controller)))
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
pub async fn run(controller: Arc<Controller>) {
    let timeout =
        Duration::from_secs_f64(controller.settings.deployment.workers.heartbeat_interval_s / 2.0);
    let clients: Vec<(String, PeerClient<Channel>)> = controller
        .settings
        .peers
        .iter()
        .filter_map(|p| Some((p.node_name.clone(), client(p.addr, timeout)?)))
        .collect();
    let peers = Peers {
        controller: Arc::downgrade(&controller),
        clients: clients.clone(),
        turns: Semaphore::new(
            controller.settings.deployment.resource_limits.connections as usize / 16,
        ),
    };
    controller.relay.set(Arc::new(peers));
    let mut told = 0;
    loop {
        let _ = tokio::time::timeout(
            Duration::from_secs(1),
            controller.leadership.wait_for_view_change(),
        )
        .await;
        let role = controller.leadership.view();
        let mine = role.leader.as_deref() == Some(controller.settings.node_name.as_str());
        let announcement = Announcement {
            term: role.term,
            leader: role.leader.clone().unwrap_or_default(),
            workers_call: false,
        };
        if mine && role.term > told {
            told = role.term;
            for (_, client) in &clients {
                let mut client = client.clone();
                let controller = controller.clone();
                let announcement = announcement.clone();
                tokio::spawn(async move {
                    if let Ok(answer) = client.announce(announcement).await {
                        let answer = answer.into_inner();
                        let leader = (!answer.leader.is_empty()).then_some(answer.leader.as_str());
                        controller.observe_term(answer.term, leader);
                    }
                });
            }
        }
        if mine && worker_api::lacks_heartbeats(&controller) {
            for (_, client) in &clients {
                let answer = client.clone().announce(announcement.clone()).await;
                if answer.is_ok_and(|a| a.into_inner().workers_call) {
                    leader::yield_leadership(&controller);
                    break;
                }
            }
        }
        // Old answers do not count when it lags the next time.
        let mut up = 0;
        if mine && controller.load.should_shed_user_load(controller.now()) {
            up = count_reachable(&clients, &announcement).await;
        }
        controller.peer_reachability.record_reachable(up);
        // A node that the state service does not serve finds out if it is apart.
        let served = controller.store.failing_since().is_none();
        if served || count_reachable(&clients, &announcement).await > 0 {
            controller
                .peer_reachability
                .record_contact(controller.now());
        }
        if !mine {
            let leader = clients.iter().find(|c| Some(&c.0) == role.leader.as_ref());
            if let Some((_, client)) = leader {
                refresh_task_counts(&controller, client.clone()).await;
            }
        }
    }
}

/// How many of the other nodes answer.
async fn count_reachable(clients: &[(String, PeerClient<Channel>)], word: &Announcement) -> usize {
    let asked = clients.iter().map(|(_, client)| {
        let (mut client, word) = (client.clone(), word.clone());
        async move { client.announce(word).await.is_ok() }
    });
    join_all(asked).await.into_iter().filter(|up| *up).count()
}

async fn refresh_task_counts(controller: &Controller, mut client: PeerClient<Channel>) {
    let ids = controller.task_counts.take_requested();
    if ids.is_empty() {
        return;
    }
    if let Ok(reply) = client.progress(ProgressRequest { ids }).await {
        let now = controller.now();
        let counts = reply.into_inner().jobs.into_iter().map(|job| {
            let (done, running) = (job.done, job.running);
            (job.id, TaskCount { done, running })
        });
        controller.task_counts.update(counts, now);
    }
}
