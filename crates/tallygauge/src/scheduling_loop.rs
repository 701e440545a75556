//! The leader's control loop: scheduling rounds, one after the other.

use crate::{
    controller::Controller, direct_messages, event_log, leader_transaction::max_writes,
    placements::PlacementWriter,
};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::{BODY_LIMIT, state::Condition};
use tallygauge_scheduler::{PlacementBatch, RoundOutcome};

/// Heartbeat intervals between two checks for what is overdue.
const TICK_INTERVALS: f64 = 0.25;

/// Bytes that the values of one transaction may take: the rest of its body is for
/// conditions and keys.
pub(crate) const VALUE_BYTES: usize = BODY_LIMIT * 3 / 4;

/// Part of the store's limit of a value that records are filled to.
const VALUE_FILL: f64 = 0.9;

/// Part of the process's time that rounds may take.
const ROUND_SHARE: f64 = 0.25;

/// Shortest wait for the cluster state's next deadline, seconds.
const MIN_WAKE_S: f64 = 0.01;

/// Placements need a term that was confirmed within this many leader leases.
const TERM_CONFIRMATION_LEASES: f64 = 1.5;

/// Bytes that one record may have.
#[must_use]
pub fn record_bytes(controller: &Controller) -> usize {
    let max_value_bytes = controller.settings.deployment.store.max_value_kib * 1024.0;
    ((max_value_bytes * VALUE_FILL) as usize).min(VALUE_BYTES)
}

/// Runs scheduling rounds until the term is lost. An event starts a round at once, but
/// not sooner after the last than the minimum gap; without events the round interval
/// does. The gap grows with the duration of a round, so that rounds never starve
/// heartbeats and users. Nothing here waits for the store: placements in flight are
/// driven alongside.
pub async fn run(controller: &Arc<Controller>, term_condition: &Condition) {
    let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    let min_gap_s = heartbeat_interval_s * controller.operator_settings.min_round_interval;
    let round_interval_s = controller
        .operator_settings
        .round_interval
        .min(heartbeat_interval_s);
    let mut ticked_at = f64::NEG_INFINITY;
    let mut placements = PlacementWriter::new(controller, term_condition);
    loop {
        let max_wait = time_to_next_wake(controller, round_interval_s);
        let event = async {
            let _ = tokio::time::timeout(max_wait, controller.wake_scheduler.notified()).await;
        };
        placements.run_until(event).await;
        let now = controller.now();
        if now - ticked_at > heartbeat_interval_s * TICK_INTERVALS {
            ticked_at = now;
            tick(controller, now);
        }
        let batches = run_round(controller, now, placements.has_capacity());
        // Nothing of this round is stored yet: no attempt number is used twice.
        if controller.with_cluster(|cluster| cluster.attempt_numbers_exhausted()) == Some(true) {
            controller.step_down("the term's attempts are used up");
            return;
        }
        let round_s = controller.now() - now;
        controller.load.record_round(round_s);
        log_events(controller);
        // Preemptions need nothing durable and go out first.
        direct_messages::send_direct_messages(controller);
        placements.push(batches);
        controller.wake_cloud.notify_one();
        let pause_s = min_gap_s.max(round_s * (1.0 / ROUND_SHARE - 1.0));
        let pause = tokio::time::sleep(Duration::from_secs_f64(pause_s));
        placements.run_until(pause).await;
    }
}

/// How long to wait for an event: until the next deadline of the cluster state, at most
/// for the round interval.
fn time_to_next_wake(controller: &Controller, round_interval_s: f64) -> Duration {
    let next_wake = controller
        .with_cluster(|cluster| cluster.next_backoff_end())
        .flatten();
    let wait_s = next_wake.map_or(round_interval_s, |wake_at| {
        (wake_at - controller.now()).clamp(MIN_WAKE_S, round_interval_s)
    });
    Duration::from_secs_f64(wait_s)
}

/// Brings what depends on time alone up to date.
fn tick(controller: &Controller, now: f64) {
    controller.with_cluster(|cluster| {
        cluster.advance_time(now);
        cluster.select_underserved(now);
        cluster.find_overdue_starts(now);
        cluster.update_deadline_risk(now);
    });
}

/// One round; returns the placements to be made durable. Without a recently confirmed
/// term nothing new is placed: it could not be made durable.
fn run_round(controller: &Controller, now: f64, has_capacity: bool) -> Vec<PlacementBatch> {
    if !is_term_confirmed(controller, now) || !has_capacity {
        return Vec::new();
    }
    let max_jobs = max_jobs_per_batch(controller);
    let batches = controller.with_cluster(|cluster| {
        let RoundOutcome { placed, preempted } = cluster.run_round(now, true);
        if placed + preempted > 0 {
            tracing::debug!(placed, preempted, "scheduling round");
        }
        cluster.take_placement_batches(record_bytes(controller), max_jobs, controller.time_of_day())
    });
    batches.unwrap_or_default()
}

fn is_term_confirmed(controller: &Controller, now: f64) -> bool {
    let ttl_s = controller.leader_lease_ttl().as_secs_f64();
    controller
        .leadership
        .lock()
        .as_ref()
        .is_some_and(|leadership| {
            now - leadership.term_confirmed_at < ttl_s * TERM_CONFIRMATION_LEASES
        })
}

/// Jobs that one placement batch may name: each is a condition of its transaction,
/// besides those on the term and on the batch. The store takes four conditions for each
/// write that it takes.
fn max_jobs_per_batch(controller: &Controller) -> usize {
    max_writes(controller) * 4 - 2
}

/// Drains and logs the events of the cluster state.
fn log_events(controller: &Controller) {
    let events = controller.with_cluster(|cluster| std::mem::take(&mut cluster.events));
    for event in &events.unwrap_or_default() {
        event_log::log_cluster_event(event);
    }
}
