//! The leader's control loop, which runs scheduling rounds one after the other.

use crate::{
    controller::Controller, direct_messages, event_log, leader_transaction::max_writes,
    placements::PlacementWriter,
};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::{MAX_REQUEST_BODY_BYTES, state::Condition};
use tallygauge_scheduler::{PlacementBatch, RoundOutcome};

/// Minimum time between two updates of time-dependent state, in heartbeat intervals.
const TIME_UPDATE_HEARTBEAT_INTERVALS: f64 = 0.25;

/// Maximum total size of the values of one transaction, in bytes. The remainder of the
/// limit of a request body is reserved for conditions and keys.
pub(crate) const MAX_TRANSACTION_VALUE_BYTES: usize = MAX_REQUEST_BODY_BYTES * 3 / 4;

/// Maximum size of a record, as a fraction of the store's size limit of a value.
const MAX_RECORD_FRACTION: f64 = 0.9;

/// Maximum fraction of the process's time that scheduling rounds may take.
const MAX_ROUND_TIME_FRACTION: f64 = 0.25;

/// Minimum wait for the cluster state's next wake-up time, in seconds.
const MIN_WAIT_S: f64 = 0.01;

/// Maximum age of the term's last confirmation at which a round places tasks, in multiples of
/// the leader lease's time to live.
const TERM_CONFIRMATION_TTLS: f64 = 1.5;

/// Maximum size of one record, in bytes.
#[must_use]
pub fn max_record_bytes(controller: &Controller) -> usize {
    let max_value_bytes = controller.settings.deployment.store.max_value_kib * 1024.0;
    ((max_value_bytes * MAX_RECORD_FRACTION) as usize).min(MAX_TRANSACTION_VALUE_BYTES)
}

/// Runs scheduling rounds until the term is lost.
///
/// - An event starts a round at once, or as soon as the minimum gap after the previous round
///   has passed.
/// - Without an event, a round starts after the round interval.
/// - The gap grows with the duration of a round, so that rounds never starve the requests of
///   workers and users.
/// - The loop never waits for the store: placements in flight are polled during its pauses.
pub async fn run(controller: &Arc<Controller>, term_condition: &Condition) {
    let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    let min_gap_s = heartbeat_interval_s * controller.operator_settings.min_round_interval_fraction;
    let round_interval_s = controller
        .operator_settings
        .max_round_interval_s
        .min(heartbeat_interval_s);
    let mut time_updated_at = f64::NEG_INFINITY;
    let mut placements = PlacementWriter::new(controller, term_condition);
    loop {
        let max_wait = max_event_wait(controller, round_interval_s);
        let event = async {
            let _ = tokio::time::timeout(max_wait, controller.wake_scheduler.notified()).await;
        };
        placements.run_until(event).await;
        let now = controller.now();
        if now - time_updated_at > heartbeat_interval_s * TIME_UPDATE_HEARTBEAT_INTERVALS {
            time_updated_at = now;
            update_time_dependent_state(controller, now);
        }
        let batches = run_round(controller, now, placements.has_capacity());
        // Nothing of this round has been stored, so no attempt number is used twice.
        if controller.with_cluster(|cluster| cluster.attempt_numbers_exhausted()) == Some(true) {
            controller.step_down("the attempt numbers of the term are exhausted");
            return;
        }
        let round_s = controller.now() - now;
        controller.load.record_round(round_s);
        log_events(controller);
        controller.starts_changed.notify_waiters();
        // Preemptions depend on nothing durable, so they are sent before placements are stored.
        direct_messages::send_direct_messages(controller);
        placements.push(batches);
        controller.wake_rentals.notify_one();
        let pause_s = min_gap_s.max(round_s * (1.0 / MAX_ROUND_TIME_FRACTION - 1.0));
        let pause = tokio::time::sleep(Duration::from_secs_f64(pause_s));
        placements.run_until(pause).await;
    }
}

/// Maximum time to wait for an event: until the cluster state's next wake-up time, and no
/// longer than the round interval.
fn max_event_wait(controller: &Controller, round_interval_s: f64) -> Duration {
    let next_wake = controller
        .with_cluster(|cluster| cluster.next_restriction_end())
        .flatten();
    let wait_s = next_wake.map_or(round_interval_s, |wake_at| {
        (wake_at - controller.now()).clamp(MIN_WAIT_S, round_interval_s)
    });
    Duration::from_secs_f64(wait_s)
}

/// Updates the parts of the cluster state that depend on time alone.
fn update_time_dependent_state(controller: &Controller, now: f64) {
    controller.with_cluster(|cluster| {
        cluster.advance_time(now);
        cluster.select_underserved(now);
        cluster.update_start_claims(now);
        cluster.update_deadline_risk(now);
    });
}

/// Runs one scheduling round and returns the placements to be made durable. Does nothing if
/// the term was not confirmed recently, since placements could not be made durable, or if
/// the placement writer has no capacity.
fn run_round(controller: &Controller, now: f64, has_capacity: bool) -> Vec<PlacementBatch> {
    if !is_term_recently_confirmed(controller, now) || !has_capacity {
        return Vec::new();
    }
    let max_jobs = max_jobs_per_batch(controller);
    let batches = controller.with_cluster(|cluster| {
        let RoundOutcome { placed, preempted } = cluster.run_round(now, true);
        if placed + preempted > 0 {
            tracing::debug!(placed, preempted, "scheduling round");
        }
        cluster.take_placement_batches(
            max_record_bytes(controller),
            max_jobs,
            controller.unix_time_s(),
        )
    });
    batches.unwrap_or_default()
}

fn is_term_recently_confirmed(controller: &Controller, now: f64) -> bool {
    let ttl_s = controller.leader_lease_ttl().as_secs_f64();
    controller
        .leadership
        .lock()
        .as_ref()
        .is_some_and(|leadership| {
            now - leadership.term_confirmed_at < ttl_s * TERM_CONFIRMATION_TTLS
        })
}

/// Maximum number of jobs in one placement batch. Its transaction has one condition for
/// each job, one on the term and one on the batch. The store accepts four times as many
/// conditions as writes in a transaction.
fn max_jobs_per_batch(controller: &Controller) -> usize {
    max_writes(controller) * 4 - 2
}

/// Takes the pending events out of the cluster state and logs them.
fn log_events(controller: &Controller) {
    let events = controller.with_cluster(|cluster| std::mem::take(&mut cluster.events));
    for event in &events.unwrap_or_default() {
        event_log::log_cluster_event(event);
    }
}
