//! The HTTP interface for workers: heartbeats, which workers send to the leader.

use crate::{
    command_log::AffectedAttempts, controller::Controller, held_responses::Hold,
    leadership::Leadership,
};
use tallygauge_protocol::workers::{Heartbeat, HeartbeatResponse, Redirect};
use tallygauge_scheduler::{HeartbeatOutcome, HeartbeatSource, HeldResponse};
use tallygauge_store::is_first_occurrence;

/// Time without any heartbeat after which the leader suspects that workers cannot reach it
/// and are about to lose their leases, as a fraction of a worker's lease.
const MAX_HEARTBEAT_GAP_FRACTION: f64 = 0.3;

/// Time for which a heartbeat that a follower received counts as recent, in heartbeat
/// intervals.
const RECENT_HEARTBEAT_INTERVALS: f64 = 2.0;

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// 200: the heartbeat was applied to the cluster state. The response renews the
    /// worker's lease and carries commands for the worker.
    Accepted(HeartbeatResponse),
    /// 421: this controller is not the leader, and it knows another controller that is.
    Redirected(Redirect),
    /// 503, which does not renew the worker's lease, in each of these cases:
    ///
    /// - No leader is known.
    /// - This controller is the leader, but is fenced or still recovers the cluster state.
    /// - The heartbeat is out of date.
    Unavailable,
    /// 400: the body is not a heartbeat. The text says why.
    Malformed(String),
}

/// Why a leader does not answer a heartbeat, so that the worker's lease is not renewed.
#[derive(Debug, Clone, Copy)]
enum RefusalReason {
    /// The leader cannot confirm its term, or may lack cancellations, or has not recovered the
    /// cluster state.
    Fenced,
    /// The heartbeat is a late or duplicated one, or of an agent incarnation that has ended.
    OutOfDate,
    /// A cancelled task may still start on the machine unless the lease expires.
    CancellationUnconfirmed,
}

/// Outcome of a heartbeat on this controller, before it is answered.
enum HeartbeatEffect {
    /// The heartbeat was applied to the cluster state of the leader of this term. The response may
    /// be held if `held` is present. `needs_scheduling` says whether the scheduling loop has to
    /// process the change.
    Applied {
        term: u64,
        held: Option<HeldResponse>,
        needs_scheduling: bool,
    },
    /// The leader must not accept the heartbeat: the reply is 503.
    Refused(RefusalReason),
    /// The worker has seen the given term, which is higher than this leader's.
    Superseded(u64),
    /// This controller is not the leader.
    NotLeader,
}

/// Whether this controller has recently received heartbeats from workers as a follower.
/// The peers are told so, and a leader that workers cannot reach then yields.
#[must_use]
pub fn has_recent_heartbeats(controller: &Controller) -> bool {
    let last_heartbeat_at = controller.leadership.last_worker_heartbeat_as_follower();
    let interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    controller.now() - last_heartbeat_at < interval_s * RECENT_HEARTBEAT_INTERVALS
}

/// Whether this controller is the leader, expects heartbeats from workers, and has received
/// none for so long that the workers are about to lose their leases.
#[must_use]
pub fn lacks_heartbeats(controller: &Controller) -> bool {
    let now = controller.now();
    let max_gap_s = controller.settings.deployment.workers.lease_s * MAX_HEARTBEAT_GAP_FRACTION;
    controller
        .leadership
        .lock()
        .as_ref()
        .is_some_and(|leadership| {
            expects_heartbeats(leadership) && now - leadership.last_worker_heartbeat_at > max_gap_s
        })
}

/// Whether some worker has sent a heartbeat or may still run attempts.
fn expects_heartbeats(leadership: &Leadership) -> bool {
    leadership.cluster.as_ref().is_some_and(|cluster| {
        cluster
            .workers
            .values()
            .any(|worker| worker.has_reported() || !worker.attempts.is_empty())
    })
}

/// `POST /checkin`: processes a worker's heartbeat. The reply may be held for a moment, so that it
/// carries starts that are about to become due.
pub async fn handle_heartbeat(controller: &Controller, body: &[u8]) -> HeartbeatReply {
    // A follower does not parse the body, to keep redirects cheap: when a leader fails, all
    // workers send their heartbeats to the followers at the same time.
    if controller.leadership.lock().is_none() {
        return redirect_to_leader(controller);
    }
    let heartbeat = match parse_heartbeat(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return HeartbeatReply::Malformed(error.to_string()),
    };
    match apply_heartbeat(controller, &heartbeat) {
        HeartbeatEffect::Applied {
            term,
            held,
            needs_scheduling,
        } => {
            if needs_scheduling {
                controller.wake_scheduler.notify_one();
                controller.wake_completions.notify_one();
            }
            if let Some(held) = held
                && !Hold::new(controller, held).wait().await
            {
                return refuse(&heartbeat, RefusalReason::OutOfDate);
            }
            respond(controller, term, &heartbeat)
        }
        HeartbeatEffect::Refused(reason) => refuse(&heartbeat, reason),
        HeartbeatEffect::Superseded(higher_term) => {
            controller.observe_term(higher_term, None);
            redirect_to_leader(controller)
        }
        HeartbeatEffect::NotLeader => redirect_to_leader(controller),
    }
}

fn refuse(heartbeat: &Heartbeat, reason: RefusalReason) -> HeartbeatReply {
    tracing::debug!(machine = heartbeat.machine, ?reason, "refused heartbeat");
    HeartbeatReply::Unavailable
}

fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, serde_json::Error> {
    serde_json::from_slice(body).inspect_err(|error| {
        if is_first_occurrence(&format!("heartbeat: {error}")) {
            tracing::warn!(%error, "malformed heartbeat");
        }
    })
}

/// Applies a heartbeat to the cluster state if this controller is the leader, and decides whether
/// the response is held.
fn apply_heartbeat(controller: &Controller, heartbeat: &Heartbeat) -> HeartbeatEffect {
    let (now, fencing_timeout_s) = (controller.now(), controller.fencing_timeout_s());
    let may_hold = !controller.load.should_shed_user_load(now);
    let mut leadership = controller.leadership.lock();
    let Some(leadership) = leadership.as_mut() else {
        return HeartbeatEffect::NotLeader;
    };
    if heartbeat.token > leadership.term {
        return HeartbeatEffect::Superseded(heartbeat.token);
    }
    // A response would renew the worker's lease although a new leader may have placed the
    // worker's tasks again, or any controller may have cancelled their jobs.
    if leadership.is_fenced(now, fencing_timeout_s) {
        return HeartbeatEffect::Refused(RefusalReason::Fenced);
    }
    let Some(cluster) = leadership.cluster.as_mut() else {
        return HeartbeatEffect::Refused(RefusalReason::Fenced);
    };
    match cluster.apply_heartbeat(now, heartbeat, HeartbeatSource::Periodic) {
        HeartbeatOutcome::Applied | HeartbeatOutcome::Overtaken => {}
        // A delayed or duplicated heartbeat must not renew a lease or receive commands.
        HeartbeatOutcome::Stale
        | HeartbeatOutcome::DeadIncarnation
        | HeartbeatOutcome::Deposed(_) => {
            return HeartbeatEffect::Refused(RefusalReason::OutOfDate);
        }
    }
    leadership.last_worker_heartbeat_at = now;
    let needs_scheduling = std::mem::take(&mut cluster.needs_scheduling);
    let held = if needs_scheduling && may_hold {
        cluster.hold_response(heartbeat, now)
    } else {
        None
    };
    HeartbeatEffect::Applied {
        term: leadership.term,
        held,
        needs_scheduling,
    }
}

/// The reply to a heartbeat that was applied in this term. All that allows a response is checked
/// here, since the response may have been held.
fn respond(controller: &Controller, term: u64, heartbeat: &Heartbeat) -> HeartbeatReply {
    let (now, fencing_timeout_s) = (controller.now(), controller.fencing_timeout_s());
    let mut leadership = controller.leadership.lock();
    let Some(leadership) = leadership.as_mut().filter(|own| own.term == term) else {
        return refuse(heartbeat, RefusalReason::Fenced);
    };
    if leadership.is_fenced(now, fencing_timeout_s) {
        return refuse(heartbeat, RefusalReason::Fenced);
    }
    let Some(cluster) = leadership.cluster.as_mut() else {
        return refuse(heartbeat, RefusalReason::Fenced);
    };
    if !cluster.may_renew_lease(&heartbeat.machine, now) {
        return refuse(heartbeat, RefusalReason::CancellationUnconfirmed);
    }
    let commands = cluster.commands(&heartbeat.machine, now);
    cluster.record_heartbeat_response(&heartbeat.machine, &commands, now);
    let response = HeartbeatResponse {
        token: term,
        commands,
    };
    log_commands(heartbeat, &response);
    HeartbeatReply::Accepted(response)
}

/// Logs the commands in the response to a heartbeat, if there are any.
fn log_commands(heartbeat: &Heartbeat, response: &HeartbeatResponse) {
    if response.commands.is_empty() || !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let affected = AffectedAttempts::of(&response.commands);
    tracing::debug!(
        machine = heartbeat.machine,
        term = response.token,
        incarnation = heartbeat.incarnation,
        sequence = heartbeat.sequence,
        started_attempts = ?affected.started,
        stopped_attempts = ?affected.stopped,
        cleared_attempts = ?affected.cleared,
        "heartbeat response with commands"
    );
}

/// The reply of a controller that is not the leader. Records the heartbeat, too.
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
