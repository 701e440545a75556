//! Direct messages: commands that the leader sends to workers without waiting for their
//! heartbeats.

use crate::{command_log::AffectedAttempts, controller::Controller};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::workers::{DirectCommands, Heartbeat};
use tallygauge_scheduler::{DirectMessage, HeartbeatOutcome};
use tallygauge_store::http::RequestError;
use warp::http::{Method, StatusCode};

/// Timeout of a direct message, as a fraction of a worker's lease.
const TIMEOUT_FRACTION: f64 = 1.0 / 6.0;

/// Outcome of sending a direct message.
#[derive(Debug)]
enum SendOutcome {
    /// The message was not sent: the worker has certainly not executed its commands.
    NotSent,
    /// The message was sent and got no usable answer: its commands may have been executed.
    Unanswered,
    /// The worker executed the commands, or refused all of them with status 409, and answered
    /// with its state.
    Answered {
        executed: bool,
        heartbeat: Heartbeat,
    },
}

/// Effect of a message's outcome on this controller.
enum DeliveryEffect {
    /// None, since this controller no longer leads the term of the message.
    Ignored,
    /// The cluster state was updated.
    Applied,
    /// The cluster state was updated, and the worker reported this higher term.
    Superseded(u64),
}

/// Sends all direct messages that are due, each in a Tokio task of its own. The number of
/// these tasks is bounded, since a worker has at most one message in flight. A fenced leader
/// sends none. Called after every scheduling round, and whenever placements have become
/// durable.
pub fn send_direct_messages(controller: &Arc<Controller>) {
    let (now, fencing_timeout_s) = (controller.now(), controller.fencing_timeout_s());
    let (term, messages) = {
        let mut leadership = controller.leadership.lock();
        let Some(leadership) = leadership
            .as_mut()
            .filter(|own| !own.is_fenced(now, fencing_timeout_s))
        else {
            return;
        };
        let (term, limit_fraction) = (leadership.term, controller.direct_message_fraction());
        let Some(cluster) = leadership.cluster.as_mut() else {
            return;
        };
        (term, cluster.take_direct_messages(now, limit_fraction))
    };
    for message in messages {
        let controller = controller.clone();
        tokio::spawn(async move { deliver_direct_message(&controller, term, message).await });
    }
}

/// Sends one direct message, and applies the outcome if this controller still leads `term`.
async fn deliver_direct_message(controller: &Controller, term: u64, message: DirectMessage) {
    log_sending(term, &message);
    let sent_at = controller.now();
    let outcome = post_commands(controller, term, &message).await;
    log_outcome(term, &message, &outcome, controller.now() - sent_at);
    match apply_outcome(controller, term, &message, &outcome) {
        DeliveryEffect::Ignored => return,
        DeliveryEffect::Applied => {}
        DeliveryEffect::Superseded(higher_term) => controller.observe_term(higher_term, None),
    }
    controller.wake_scheduler.notify_one();
    controller.wake_completions.notify_one();
}

fn log_sending(term: u64, message: &DirectMessage) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let affected = AffectedAttempts::of(&message.commands);
    tracing::debug!(
        machine = message.worker,
        term,
        incarnation = message.incarnation,
        stopped_attempts = ?affected.stopped,
        requests_heartbeat = affected.requests_heartbeat,
        is_probe = message.is_probe,
        "sending direct message"
    );
}

fn log_outcome(term: u64, message: &DirectMessage, outcome: &SendOutcome, waited_s: f64) {
    let outcome = match outcome {
        SendOutcome::NotSent => "not sent",
        SendOutcome::Unanswered => "unanswered, may still arrive",
        SendOutcome::Answered { executed: true, .. } => "executed",
        SendOutcome::Answered {
            executed: false, ..
        } => "refused by the worker",
    };
    tracing::debug!(
        machine = message.worker,
        term,
        incarnation = message.incarnation,
        outcome,
        waited_ms = (waited_s * 1000.0) as u64,
        "direct message ended"
    );
}

async fn post_commands(controller: &Controller, term: u64, message: &DirectMessage) -> SendOutcome {
    let body = DirectCommands {
        token: term,
        incarnation: message.incarnation,
        commands: message.commands.clone(),
    };
    let url = format!("http://{}/orders", message.endpoint);
    let lease_s = controller.settings.deployment.workers.lease_s;
    let timeout = Duration::from_secs_f64(lease_s * TIMEOUT_FRACTION);
    // Since the message was created, this Tokio task may have waited to be scheduled, or the
    // process may have been suspended.
    if !controller.is_unfenced_leader() {
        return SendOutcome::NotSent;
    }
    let keep_alive = !controller.connection_limits.is_low();
    let result = controller
        .http
        .send(Method::POST, &url, Some(&body), timeout, keep_alive)
        .await;
    match result {
        Ok((status @ (StatusCode::OK | StatusCode::CONFLICT), body)) => {
            match serde_json::from_slice(&body) {
                Ok(heartbeat) => SendOutcome::Answered {
                    executed: status == StatusCode::OK,
                    heartbeat,
                },
                Err(_) => SendOutcome::Unanswered,
            }
        }
        Ok(_) | Err(RequestError::NoResponse) => SendOutcome::Unanswered,
        Err(RequestError::NotSent) => SendOutcome::NotSent,
    }
}

/// Applies the outcome of a message to the cluster state, if this controller still leads the
/// term of the message.
fn apply_outcome(
    controller: &Controller,
    term: u64,
    message: &DirectMessage,
    outcome: &SendOutcome,
) -> DeliveryEffect {
    let now = controller.now();
    let mut leadership = controller.leadership.lock();
    let Some(leadership) = leadership.as_mut().filter(|own| own.term == term) else {
        return DeliveryEffect::Ignored;
    };
    let Some(cluster) = leadership.cluster.as_mut() else {
        return DeliveryEffect::Ignored;
    };
    let answered = matches!(outcome, SendOutcome::Answered { .. });
    cluster.record_direct_message_result(message, answered, now);
    if let SendOutcome::Answered { heartbeat, .. } = outcome
        && heartbeat.machine == message.worker
        && let HeartbeatOutcome::Deposed(higher_term) =
            cluster.apply_direct_reply(now, message, heartbeat)
    {
        return DeliveryEffect::Superseded(higher_term);
    }
    DeliveryEffect::Applied
}
