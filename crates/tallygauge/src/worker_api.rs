//! Dealings with workers: check-ins and direct commands.

use crate::controller::Controller;
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::workers::{DirectCommands, Heartbeat, HeartbeatResponse, Redirect};
use tallygauge_scheduler::{DirectMessage, HeartbeatOutcome, HeartbeatSource};
use tallygauge_store::{http::RequestError, is_first_occurrence};

/// An answer to a check-in.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatReply {
    /// 200.
    Accepted(HeartbeatResponse),
    /// 421, with the leader if known.
    Redirected(Redirect),
    /// 503.
    Unavailable,
    /// 400.
    Malformed(String),
}

/// Whether workers have called on this node of late, though it does not lead.
#[must_use]
pub fn has_recent_heartbeats(controller: &Controller) -> bool {
    let at = controller.leadership.follower_heartbeat_at();
    controller.now() - at < controller.settings.deployment.workers.heartbeat_interval_s * 2.0
}

/// Whether this node leads and workers that should call on it do not, for long
/// enough that their leases are in danger.
#[must_use]
pub fn lacks_heartbeats(controller: &Controller) -> bool {
    let now = controller.now();
    let patience = controller.settings.deployment.workers.lease_s * 0.3;
    controller.leadership.lock().as_ref().is_some_and(|lead| {
        let expected = lead.cluster.as_ref().is_some_and(|c| {
            c.workers
                .values()
                .any(|w| w.is_up() || !w.attempts.is_empty())
        });
        expected && now - lead.last_heartbeat_at > patience
    })
}

/// `POST /checkin`
pub fn handle_heartbeat(controller: &Controller, body: &[u8]) -> HeartbeatReply {
    // Who does not lead has no use for the report: when a leader is gone, all
    // workers call on the others at once, and are refused before it costs.
    if controller.leadership.lock().is_none() {
        return redirect_to_leader(controller);
    }
    let report: Heartbeat = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => {
            if is_first_occurrence(&format!("check-in: {error}")) {
                tracing::warn!(%error, "malformed check-in");
            }
            return HeartbeatReply::Malformed(error.to_string());
        }
    };
    let now = controller.now();
    let fence = controller.fence_s();
    let mut deposed = None;
    let mut changed = false;
    let answer = {
        let mut lead = controller.leadership.lock();
        match lead.as_mut() {
            None => None,
            Some(lead) if report.token > lead.term => {
                deposed = Some(report.token);
                None
            }
            // Whoever leads now may have placed what these workers run, and any
            // node may have cancelled it: an answer would renew their leases.
            Some(lead) if lead.is_fenced(now, fence) => {
                return HeartbeatReply::Unavailable;
            }
            Some(lead) => {
                let term = lead.term;
                let Some(cluster) = lead.cluster.as_mut() else {
                    return HeartbeatReply::Unavailable;
                };
                match cluster.apply_heartbeat(now, &report, HeartbeatSource::Periodic) {
                    HeartbeatOutcome::Applied | HeartbeatOutcome::Overtaken => {}
                    // A copy of what was answered long ago renews no lease and
                    // brings no orders.
                    HeartbeatOutcome::Stale
                    | HeartbeatOutcome::DeadIncarnation
                    | HeartbeatOutcome::Deposed(_) => {
                        return HeartbeatReply::Unavailable;
                    }
                }
                changed = std::mem::take(&mut cluster.needs_scheduling);
                let commands = cluster.commands(&report.machine, now);
                cluster.record_heartbeat_response(&report.machine, &commands, now);
                lead.last_heartbeat_at = now;
                Some(HeartbeatResponse {
                    token: term,
                    commands,
                })
            }
        }
    };
    if let Some(term) = deposed {
        controller.observe_term(term, None);
    }
    match answer {
        Some(answer) => {
            if changed {
                controller.wake_scheduler.notify_one();
                controller.wake_completions.notify_one();
            }
            HeartbeatReply::Accepted(answer)
        }
        None => redirect_to_leader(controller),
    }
}

/// The answer of a node that does not lead.
fn redirect_to_leader(controller: &Controller) -> HeartbeatReply {
    controller
        .leadership
        .record_follower_heartbeat(controller.now());
    let leader = controller.leadership.view().leader;
    match leader {
        Some(name) if name != controller.settings.node_name => {
            HeartbeatReply::Redirected(Redirect { leader: Some(name) })
        }
        _ => HeartbeatReply::Unavailable,
    }
}

/// Sends all direct messages that are due, each in a task of its own; a worker
/// has one under way at most, so their number is bounded. A leader that may not
/// answer workers sends them nothing either.
pub fn send_direct_messages(controller: &Arc<Controller>) {
    let (now, fence) = (controller.now(), controller.fence_s());
    let (term, messages) = {
        let mut lead = controller.leadership.lock();
        let Some(lead) = lead.as_mut().filter(|l| !l.is_fenced(now, fence)) else {
            return;
        };
        let (term, spare) = (lead.term, controller.direct_message_fraction());
        let Some(cluster) = lead.cluster.as_mut() else {
            return;
        };
        (term, cluster.take_direct_messages(now, spare))
    };
    for message in messages {
        let controller = controller.clone();
        tokio::spawn(async move { deliver_direct_message(&controller, term, message).await });
    }
}

async fn deliver_direct_message(controller: &Controller, term: u64, message: DirectMessage) {
    let body = DirectCommands {
        token: term,
        incarnation: message.incarnation,
        commands: message.commands.clone(),
    };
    let url = format!("http://{}/orders", message.endpoint);
    let timeout = Duration::from_secs_f64(controller.settings.deployment.workers.lease_s / 6.0);
    // The task may have had to wait, or the process may have stood still, since
    // the message was made up.
    let result = if controller.may_command() {
        let post = warp::http::Method::POST;
        let keep = !controller.connection_limits.is_low();
        controller
            .http
            .send(post, &url, Some(&body), timeout, keep)
            .await
    } else {
        Err(RequestError::NotSent)
    };
    let report = match &result {
        Ok((status, bytes)) if status.as_u16() == 200 || status.as_u16() == 409 => {
            serde_json::from_slice::<Heartbeat>(bytes).ok()
        }
        _ => None,
    };
    let now = controller.now();
    let mut deposed = None;
    {
        let mut lead = controller.leadership.lock();
        let Some(lead) = lead.as_mut().filter(|l| l.term == term) else {
            return;
        };
        let Some(cluster) = lead.cluster.as_mut() else {
            return;
        };
        let never_sent = matches!(result, Err(RequestError::NotSent));
        cluster.record_direct_message_result(&message, report.is_some(), never_sent, now);
        if let Some(report) = &report
            && report.machine == message.worker
            && let HeartbeatOutcome::Deposed(term) =
                cluster.apply_direct_reply(now, &message, report)
        {
            deposed = Some(term);
        }
    }
    if let Some(term) = deposed {
        controller.observe_term(term, None);
    }
    controller.wake_scheduler.notify_one();
    controller.wake_completions.notify_one();
}
