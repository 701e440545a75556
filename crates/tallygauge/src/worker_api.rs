//! The workers' interface: heartbeats, which workers send to the leader.

use crate::{controller::Controller, leadership::Leadership};
use tallygauge_protocol::workers::{Heartbeat, HeartbeatResponse, Redirect};
use tallygauge_scheduler::{HeartbeatOutcome, HeartbeatSource};
use tallygauge_store::is_first_occurrence;

/// Part of a worker's lease without any heartbeat after which the leader suspects
/// that workers can't reach it, and their leases are in danger.
const MAX_SILENCE_LEASE_FRACTION: f64 = 0.3;

/// Heartbeat intervals after the last heartbeat for which a follower counts as called
/// on by workers.
const RECENT_HEARTBEAT_INTERVALS: f64 = 2.0;

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// 200: applied to the cluster state. Renews the worker's lease and carries
    /// commands for it.
    Accepted(HeartbeatResponse),
    /// 421: this controller is not the leader, and another is known to be.
    Redirected(Redirect),
    /// 503: no leader is known, this one is fenced off or still recovering the
    /// cluster state, or the heartbeat is out of date. The worker's lease is not
    /// renewed.
    Unavailable,
    /// 400: not a heartbeat. The text says why.
    Malformed(String),
}

/// What a heartbeat meant for this controller.
enum HeartbeatEffect {
    /// Applied; `needs_scheduling` if the scheduler should look at the change.
    Applied {
        response: HeartbeatResponse,
        needs_scheduling: bool,
    },
    /// It can't be answered.
    Refused,
    /// The worker has seen this higher term.
    Superseded(u64),
    /// This controller is not the leader.
    NotLeader,
}

/// Whether workers have sent heartbeats to this controller of late, though it is a
/// follower. Peers are told, so that a leader that workers can't reach yields.
#[must_use]
pub fn has_recent_heartbeats(controller: &Controller) -> bool {
    let last_heartbeat_at = controller.leadership.last_worker_heartbeat_as_follower();
    let interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    controller.now() - last_heartbeat_at < interval_s * RECENT_HEARTBEAT_INTERVALS
}

/// Whether this controller is the leader and has had no heartbeat from workers that
/// should send some, for long enough that their leases are in danger.
#[must_use]
pub fn lacks_heartbeats(controller: &Controller) -> bool {
    let now = controller.now();
    let max_silence_s = controller.settings.deployment.workers.lease_s * MAX_SILENCE_LEASE_FRACTION;
    controller
        .leadership
        .lock()
        .as_ref()
        .is_some_and(|leadership| {
            expects_heartbeats(leadership)
                && now - leadership.last_worker_heartbeat_at > max_silence_s
        })
}

/// Whether some worker is up, or may still run attempts.
fn expects_heartbeats(leadership: &Leadership) -> bool {
    leadership.cluster.as_ref().is_some_and(|cluster| {
        cluster
            .workers
            .values()
            .any(|worker| worker.has_reported() || !worker.attempts.is_empty())
    })
}

/// `POST /checkin`
pub fn handle_heartbeat(controller: &Controller, body: &[u8]) -> HeartbeatReply {
    // A follower does not even parse the body: when a leader fails, all workers turn
    // to the followers at once.
    if controller.leadership.lock().is_none() {
        return redirect_to_leader(controller);
    }
    let heartbeat = match parse_heartbeat(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return HeartbeatReply::Malformed(error.to_string()),
    };
    match apply_heartbeat(controller, &heartbeat) {
        HeartbeatEffect::Applied {
            response,
            needs_scheduling,
        } => {
            if needs_scheduling {
                controller.wake_scheduler.notify_one();
                controller.wake_completions.notify_one();
            }
            HeartbeatReply::Accepted(response)
        }
        HeartbeatEffect::Refused => HeartbeatReply::Unavailable,
        HeartbeatEffect::Superseded(higher_term) => {
            controller.observe_term(higher_term, None);
            redirect_to_leader(controller)
        }
        HeartbeatEffect::NotLeader => redirect_to_leader(controller),
    }
}

fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, serde_json::Error> {
    serde_json::from_slice(body).inspect_err(|error| {
        if is_first_occurrence(&format!("heartbeat: {error}")) {
            tracing::warn!(%error, "malformed heartbeat");
        }
    })
}

/// Applies a heartbeat to the cluster state, if this controller is the leader, and
/// makes up the response.
fn apply_heartbeat(controller: &Controller, heartbeat: &Heartbeat) -> HeartbeatEffect {
    let (now, fence) = (controller.now(), controller.fencing_timeout_s());
    let mut leadership = controller.leadership.lock();
    let Some(leadership) = leadership.as_mut() else {
        return HeartbeatEffect::NotLeader;
    };
    if heartbeat.token > leadership.term {
        return HeartbeatEffect::Superseded(heartbeat.token);
    }
    // A new leader may have placed what this worker runs, and any controller may have
    // cancelled it: a response would renew the worker's lease.
    if leadership.is_fenced(now, fence) {
        return HeartbeatEffect::Refused;
    }
    let Some(cluster) = leadership.cluster.as_mut() else {
        return HeartbeatEffect::Refused;
    };
    match cluster.apply_heartbeat(now, heartbeat, HeartbeatSource::Periodic) {
        HeartbeatOutcome::Applied | HeartbeatOutcome::Overtaken => {}
        // A late copy must not renew a lease or fetch commands.
        HeartbeatOutcome::Stale
        | HeartbeatOutcome::DeadIncarnation
        | HeartbeatOutcome::Deposed(_) => return HeartbeatEffect::Refused,
    }
    let needs_scheduling = std::mem::take(&mut cluster.needs_scheduling);
    let commands = cluster.commands(&heartbeat.machine, now);
    cluster.record_heartbeat_response(&heartbeat.machine, &commands, now);
    leadership.last_worker_heartbeat_at = now;
    let response = HeartbeatResponse {
        token: leadership.term,
        commands,
    };
    HeartbeatEffect::Applied {
        response,
        needs_scheduling,
    }
}

/// The reply of a controller that is not the leader.
fn redirect_to_leader(controller: &Controller) -> HeartbeatReply {
    controller
        .leadership
        .record_worker_heartbeat_as_follower(controller.now());
    let leader = controller.leadership.leader_view().leader;
    match leader {
        Some(name) if name != controller.settings.node_name => {
            HeartbeatReply::Redirected(Redirect { leader: Some(name) })
        }
        _ => HeartbeatReply::Unavailable,
    }
}
