//! Reachability: whether messages to a worker arrive, judged by its heartbeats.
//!
//! A worker may send heartbeats while no message to it arrives, for example when its
//! zone is partitioned in one direction. A worker sends its next heartbeat after it has
//! received the response to the previous one, or has stopped waiting for it. A
//! heartbeat therefore shows whether the response to the previous one arrived.

use crate::{
    cluster_state::ClusterState, events::ClusterEvent, heartbeats::HeartbeatSource, model::*,
};
use tallygauge_health::Evidence;
use tallygauge_protocol::workers::Heartbeat;

/// What a heartbeat shows about its worker's reachability.
enum Assessment {
    /// A response has arrived.
    Reachable,
    /// There is evidence that a response has not arrived.
    Suspect(Evidence),
    /// It shows neither.
    Inconclusive,
}

impl ClusterState {
    /// Updates a worker's reachability by a new heartbeat. Must be called before the
    /// heartbeat is applied to the worker.
    pub(crate) fn assess_reachability(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) {
        if source != HeartbeatSource::Periodic {
            return;
        }
        let Some(worker) = self.workers.get_mut(&heartbeat.machine) else {
            return;
        };
        let assessment = assess(worker, &self.config, now, heartbeat);
        worker.acknowledgement_due = false;
        for attempt in &mut worker.attempts {
            attempt.awaiting_acknowledgement = false;
        }
        match assessment {
            Assessment::Reachable => worker.confirm_reachable(),
            Assessment::Suspect(evidence) => {
                let thresholds = self.config.reachability_thresholds();
                if worker.reachability.record(evidence, now, &thresholds) {
                    self.events.push(ClusterEvent::MachineUnreachable {
                        machine: worker.name.clone(),
                        evidence,
                    });
                }
            }
            Assessment::Inconclusive => {}
        }
    }
}

impl Worker {
    /// Records that messages to the worker arrive, and revokes the decision to return it
    /// as unreachable.
    pub(crate) fn confirm_reachable(&mut self) {
        self.reachability.confirm();
        self.revoke_return(&[ReturnReason::Unreachable]);
    }
}

fn assess(worker: &Worker, config: &Config, now: f64, heartbeat: &Heartbeat) -> Assessment {
    if heartbeat.incarnation > worker.incarnation {
        return assess_new_incarnation(worker, config, now);
    }
    if worker.acknowledgement_due {
        let is_unacknowledged =
            heartbeat.token < config.term || has_unacknowledged_command(worker, heartbeat);
        return if is_unacknowledged {
            Assessment::Suspect(Evidence::NotAcknowledged)
        } else {
            Assessment::Reachable
        };
    }
    // The incarnation has received a response if it has lasted for longer than a lease
    // since the worker was found unreachable.
    let has_outlasted_lease = worker.reachability.unreachable_for(now).is_some_and(|s| {
        s.min(now - worker.incarnation_seen_at) > config.with_clock_drift(config.lease_s)
    });
    if has_outlasted_lease {
        Assessment::Reachable
    } else {
        Assessment::Inconclusive
    }
}

/// Assesses a heartbeat that shows a new incarnation. An incarnation whose heartbeats
/// are all answered lasts for a lease from the last response, even if a few responses
/// are lost. If it has ended earlier, that is evidence that responses do not arrive.
fn assess_new_incarnation(worker: &Worker, config: &Config, now: f64) -> Assessment {
    let earliest_expiry = worker.lease_renewed_at + config.lease_s
        - config.heartbeat_interval_s * 2.5
        - config.timing_margin_s();
    let is_steady = now - worker.heartbeats_steady_since > config.heartbeat_interval_s * 3.0;
    if now < earliest_expiry && is_steady {
        Assessment::Suspect(Evidence::LeaseExpired)
    } else {
        Assessment::Inconclusive
    }
}

/// Whether a heartbeat shows that a command in the last response was not executed.
fn has_unacknowledged_command(worker: &Worker, heartbeat: &Heartbeat) -> bool {
    let is_reported = |attempt: &Attempt| {
        heartbeat
            .tasks
            .iter()
            .any(|task| task.attempt == attempt.number && attempt.has_task_name(&task.task))
    };
    worker
        .attempts
        .iter()
        .filter(|attempt| attempt.awaiting_acknowledgement)
        .any(|attempt| match attempt.phase {
            AttemptPhase::Recorded => !is_reported(attempt),
            AttemptPhase::Ended(_) => is_reported(attempt),
            AttemptPhase::Planned | AttemptPhase::Observed(_) => false,
        })
}
