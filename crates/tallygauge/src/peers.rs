//! Controller to controller, by gRPC. What peers tell each other is a hint or for
//! display: safety rests on the store alone.

mod relay;
mod service;

pub use service::serve;

use crate::{
    controller::Controller, leader, leadership::LeaderView, settings::Settings, worker_api,
};
use futures_util::future::join_all;
use relay::GrpcRelay;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tallygauge_protocol::peer::{Announcement, ProgressRequest, peer_client::PeerClient};
use tallygauge_scheduler::TaskCount;
use tonic::transport::{Channel, Endpoint};

/// Longest time between two looks at what peers should be told or asked.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a request to a peer, as a fraction of the heartbeat interval.
const TIMEOUT_FRACTION: f64 = 0.5;

/// Another controller.
#[derive(Clone)]
struct PeerNode {
    name: String,
    client: PeerClient<Channel>,
}

/// Tells the peers of every new term of this controller, and probes them as needed.
/// Never returns.
pub async fn run(controller: Arc<Controller>) {
    let peers = connect_peers(&controller.settings);
    let connections = controller.settings.deployment.resource_limits.connections as usize;
    let relay = GrpcRelay::new(Arc::downgrade(&controller), peers.clone(), connections);
    controller.relay.set(Arc::new(relay));
    let mut announced_term = 0;
    loop {
        let view_change = controller.leadership.wait_for_leader_change();
        let _ = tokio::time::timeout(POLL_INTERVAL, view_change).await;
        let view = controller.leadership.leader_view();
        let announcement = announcement(&view);
        let is_leader = view.leader.as_ref() == Some(&controller.settings.node_name);
        if is_leader && view.term > announced_term {
            announced_term = view.term;
            announce_to_all(&controller, &peers, &announcement);
        }
        if is_leader && worker_api::lacks_heartbeats(&controller) {
            yield_to_reachable_peer(&controller, &peers, &announcement).await;
        }
        probe_for_load_shedding(&controller, &peers, &announcement, is_leader).await;
        probe_for_isolation(&controller, &peers, &announcement).await;
        if !is_leader {
            let leader = peers
                .iter()
                .find(|peer| Some(&peer.name) == view.leader.as_ref());
            if let Some(leader) = leader {
                refresh_task_counts(&controller, leader.client.clone()).await;
            }
        }
    }
}

fn connect_peers(settings: &Settings) -> Vec<PeerNode> {
    let heartbeat_interval_s = settings.deployment.workers.heartbeat_interval_s;
    let timeout = Duration::from_secs_f64(heartbeat_interval_s * TIMEOUT_FRACTION);
    let peers = settings.peers.iter();
    peers
        .filter_map(|peer| {
            Some(PeerNode {
                name: peer.node_name.clone(),
                client: new_client(peer.addr, timeout)?,
            })
        })
        .collect()
}

/// A client that connects when it is first used.
fn new_client(address: SocketAddr, timeout: Duration) -> Option<PeerClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .ok()?
        .connect_timeout(timeout)
        .timeout(timeout);
    Some(PeerClient::new(endpoint.connect_lazy()))
}

fn announcement(view: &LeaderView) -> Announcement {
    Announcement {
        term: view.term,
        leader: view.leader.clone().unwrap_or_default(),
        workers_call: false,
    }
}

/// Announces a term to every peer, each in a task of its own, and takes note of any
/// higher term that a peer knows.
fn announce_to_all(controller: &Arc<Controller>, peers: &[PeerNode], announcement: &Announcement) {
    for peer in peers {
        let mut client = peer.client.clone();
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

/// Yields leadership if a peer gets the workers' heartbeats that this leader lacks.
async fn yield_to_reachable_peer(
    controller: &Controller,
    peers: &[PeerNode],
    announcement: &Announcement,
) {
    for peer in peers {
        let answer = peer.client.clone().announce(announcement.clone()).await;
        if answer.is_ok_and(|answer| answer.into_inner().workers_call) {
            leader::yield_leadership(controller);
            return;
        }
    }
}

/// Counts the reachable peers while this controller is an overloaded leader. At all
/// other times the count is reset: it is too old when load is shed the next time.
async fn probe_for_load_shedding(
    controller: &Controller,
    peers: &[PeerNode],
    announcement: &Announcement,
    is_leader: bool,
) {
    let mut reachable = 0;
    if is_leader && controller.load.should_shed_user_load(controller.now()) {
        reachable = count_reachable(peers, announcement).await;
    }
    controller.peer_reachability.record_reachable(reachable);
}

/// Probes the peers while the store does not serve this controller, to find out
/// whether it is isolated.
async fn probe_for_isolation(
    controller: &Controller,
    peers: &[PeerNode],
    announcement: &Announcement,
) {
    let store_is_available = controller.store.failing_since().is_none();
    if store_is_available || count_reachable(peers, announcement).await > 0 {
        controller
            .peer_reachability
            .record_contact(controller.now());
    }
}

/// Number of peers that answer.
async fn count_reachable(peers: &[PeerNode], announcement: &Announcement) -> usize {
    let probes = peers.iter().map(|peer| {
        let (mut client, announcement) = (peer.client.clone(), announcement.clone());
        async move { client.announce(announcement).await.is_ok() }
    });
    let answers = join_all(probes).await;
    answers.into_iter().filter(|answered| *answered).count()
}

/// Reads from the leader the task counts that users have asked about.
async fn refresh_task_counts(controller: &Controller, mut leader: PeerClient<Channel>) {
    let ids = controller.task_counts.take_requested();
    if ids.is_empty() {
        return;
    }
    if let Ok(reply) = leader.progress(ProgressRequest { ids }).await {
        let now = controller.now();
        let counts = reply.into_inner().jobs.into_iter().map(|job| {
            let (done, running) = (job.done, job.running);
            (job.id, TaskCount { done, running })
        });
        controller.task_counts.update(counts, now);
    }
}
