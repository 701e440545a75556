//! The control loop: rounds, one after the other.

use crate::{controller::Controller, event_log, placements::PlacementWriter, worker_api};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::{BODY_LIMIT, state::Condition};
use tallygauge_scheduler::PlacementBatch;

/// Report intervals between two looks at what is overdue.
const TICK_EVERY: f64 = 0.25;

/// Bytes that the values of one transaction may take: the rest of its body is
/// for conditions and keys.
pub(crate) const VALUE_BYTES: usize = BODY_LIMIT * 3 / 4;

/// Part of a value's limit that records are filled to.
const VALUE_USED: f64 = 0.9;

/// Part of the process's time that rounds may take.
const ROUND_SHARE: f64 = 0.25;

/// Bytes of one record.
#[must_use]
pub fn record_bytes(controller: &Controller) -> usize {
    let limit = controller.settings.deployment.store.max_value_kib * 1024.0;
    ((limit * VALUE_USED) as usize).min(VALUE_BYTES)
}

/// Rounds, until the term is lost. An event brings a round at once, but not
/// sooner after the last than the gap; else the interval does. The gap follows
/// what a round takes, so that reports and users are never starved by rounds.
/// Nothing here waits for an outside answer: placements are driven beside it.
pub async fn run(controller: &Arc<Controller>, term_guard: &Condition) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let gap = report * controller.operator_settings.min_round_interval;
    let interval = controller.operator_settings.round_interval.min(report);
    let mut ticked = f64::NEG_INFINITY;
    let mut placements = PlacementWriter::new(controller, term_guard);
    loop {
        let wake = controller
            .with_cluster(|c| c.next_wake())
            .flatten()
            .map_or(interval, |t| (t - controller.now()).clamp(0.01, interval));
        let wake = Duration::from_secs_f64(wake);
        let event = async {
            let _ = tokio::time::timeout(wake, controller.wake_scheduler.notified()).await;
        };
        placements.run_until(event).await;
        let now = controller.now();
        if now - ticked > report * TICK_EVERY {
            ticked = now;
            controller.with_cluster(|c| {
                c.advance_time(now);
                c.select_underserved(now);
                c.find_overdue_starts(now);
                c.update_deadline_risk(now);
            });
        }
        let batches = plan(controller, now, placements.has_capacity());
        // Nothing of this round is written yet: no number is used twice.
        if controller.with_cluster(|c| c.attempts_exhausted()) == Some(true) {
            controller.step_down("the term's attempts are used up");
            return;
        }
        let took = controller.now() - now;
        {
            let mut longest = controller.lock(&controller.longest_round_s);
            *longest = longest.max(took);
        }
        log_events(controller);
        // Stops need nothing durable and go out first.
        worker_api::send_direct_messages(controller);
        placements.push(batches);
        controller.wake_cloud.notify_one();
        let pause = Duration::from_secs_f64(gap.max(took * (1.0 / ROUND_SHARE - 1.0)));
        placements.run_until(tokio::time::sleep(pause)).await;
    }
}

/// One round. Without a term confirmed of late nothing new is placed: it could
/// not be made durable.
fn plan(controller: &Controller, now: f64, has_turn: bool) -> Vec<PlacementBatch> {
    let ttl = controller.leader_lease_ttl().as_secs_f64();
    let sure = controller
        .lock(&controller.leadership)
        .as_ref()
        .is_some_and(|l| now - l.term_confirmed_at < ttl * 1.5);
    if !sure || !has_turn {
        return Vec::new();
    }
    let most_jobs = controller
        .settings
        .deployment
        .store
        .max_writes_per_transaction
        * 4
        - 2;
    let batches = controller.with_cluster(|c| {
        let (placed, stopped) = c.run_round(now, true);
        if placed + stopped > 0 {
            tracing::debug!(placed, stopped, "round");
        }
        c.take_placement_batches(
            record_bytes(controller),
            most_jobs,
            controller.time_of_day(),
        )
    });
    batches.unwrap_or_default()
}

/// Drains and logs the cluster's events.
fn log_events(controller: &Controller) {
    let events = controller.with_cluster(|c| std::mem::take(&mut c.events));
    for event in &events.unwrap_or_default() {
        event_log::log_cluster_event(event);
    }
}
