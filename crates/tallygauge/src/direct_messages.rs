//! Direct messages: commands that the leader sends to workers between heartbeats.

use crate::controller::Controller;
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::workers::{DirectCommands, Heartbeat};
use tallygauge_scheduler::{DirectMessage, HeartbeatOutcome};
use tallygauge_store::http::RequestError;
use warp::http::{Method, StatusCode};

/// Part of a worker's lease that it may take to answer a direct message.
const TIMEOUT_LEASE_FRACTION: f64 = 1.0 / 6.0;

/// What became of a direct message.
enum Delivery {
    /// It was not sent: the worker has certainly not executed its commands.
    NotSent,
    /// It was sent and brought no usable answer: it may have been executed.
    Unanswered,
    /// The worker executed or refused it, and answered with its state.
    Answered(Heartbeat),
}

/// What a delivery meant for this controller.
enum DeliveryEffect {
    /// Nothing: it is not the leader of that term any more.
    Ignored,
    /// The cluster state was updated.
    Applied,
    /// The cluster state was updated, and the worker has seen this higher term.
    Superseded(u64),
}

/// Sends all direct messages that are due, each in a task of its own. Their number
/// is bounded, as a worker has at most one under way. A leader that is fenced off
/// from answering heartbeats sends none. Called after every scheduling round, and
/// whenever placements have become durable.
pub fn send_direct_messages(controller: &Arc<Controller>) {
    let (now, fence) = (controller.now(), controller.fence_s());
    let (term, messages) = {
        let mut leadership = controller.leadership.lock();
        let Some(leadership) = leadership.as_mut().filter(|l| !l.is_fenced(now, fence)) else {
            return;
        };
        let (term, fraction) = (leadership.term, controller.direct_message_fraction());
        let Some(cluster) = leadership.cluster.as_mut() else {
            return;
        };
        (term, cluster.take_direct_messages(now, fraction))
    };
    for message in messages {
        let controller = controller.clone();
        tokio::spawn(async move { deliver_direct_message(&controller, term, message).await });
    }
}

/// Sends one direct message, and applies its result if the term is still the same.
async fn deliver_direct_message(controller: &Controller, term: u64, message: DirectMessage) {
    let delivery = post_commands(controller, term, &message).await;
    match apply_delivery(controller, term, &message, &delivery) {
        DeliveryEffect::Ignored => return,
        DeliveryEffect::Applied => {}
        DeliveryEffect::Superseded(higher_term) => controller.observe_term(higher_term, None),
    }
    controller.wake_scheduler.notify_one();
    controller.wake_completions.notify_one();
}

async fn post_commands(controller: &Controller, term: u64, message: &DirectMessage) -> Delivery {
    let body = DirectCommands {
        token: term,
        incarnation: message.incarnation,
        commands: message.commands.clone(),
    };
    let url = format!("http://{}/orders", message.endpoint);
    let lease_s = controller.settings.deployment.workers.lease_s;
    let timeout = Duration::from_secs_f64(lease_s * TIMEOUT_LEASE_FRACTION);
    // This task may have waited for its turn, or the process may have been paused,
    // since the message was made.
    if !controller.is_unfenced_leader() {
        return Delivery::NotSent;
    }
    let keep_alive = !controller.connection_limits.is_low();
    let result = controller
        .http
        .send(Method::POST, &url, Some(&body), timeout, keep_alive)
        .await;
    match result {
        Ok((StatusCode::OK | StatusCode::CONFLICT, body)) => {
            serde_json::from_slice(&body).map_or(Delivery::Unanswered, Delivery::Answered)
        }
        Ok(_) | Err(RequestError::NoResponse) => Delivery::Unanswered,
        Err(RequestError::NotSent) => Delivery::NotSent,
    }
}

/// Updates the cluster state by what became of a message of this term.
fn apply_delivery(
    controller: &Controller,
    term: u64,
    message: &DirectMessage,
    delivery: &Delivery,
) -> DeliveryEffect {
    let now = controller.now();
    let mut leadership = controller.leadership.lock();
    let Some(leadership) = leadership.as_mut().filter(|l| l.term == term) else {
        return DeliveryEffect::Ignored;
    };
    let Some(cluster) = leadership.cluster.as_mut() else {
        return DeliveryEffect::Ignored;
    };
    let answered = matches!(delivery, Delivery::Answered(_));
    let never_sent = matches!(delivery, Delivery::NotSent);
    cluster.record_direct_message_result(message, answered, never_sent, now);
    if let Delivery::Answered(heartbeat) = delivery
        && heartbeat.machine == message.worker
        && let HeartbeatOutcome::Deposed(higher_term) =
            cluster.apply_direct_reply(now, message, heartbeat)
    {
        return DeliveryEffect::Superseded(higher_term);
    }
    DeliveryEffect::Applied
}
