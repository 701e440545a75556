//! Reachability: whether what is sent to a worker arrives, judged by its heartbeats.
//!
//! A worker may send heartbeats while nothing sent to it arrives, for example when a
//! zone is cut off in one direction. A worker sends a heartbeat when it has received
//! the response to the one before, or given up waiting for it; so a heartbeat shows
//! whether the response before it arrived.

use crate::{
    cluster_state::ClusterState, events::ClusterEvent, heartbeats::HeartbeatSource, model::*,
};
use tallygauge_health::Evidence;
use tallygauge_protocol::workers::Heartbeat;

/// What a heartbeat tells of its worker's reachability.
enum Assessment {
    /// A response arrived.
    Reachable,
    /// Something speaks against it.
    Doubtful(Evidence),
    /// Nothing.
    Inconclusive,
}

impl ClusterState {
    /// Assesses what a new heartbeat tells of its worker's reachability. Called
    /// before the heartbeat is applied to the worker.
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
            Assessment::Doubtful(evidence) => {
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
    /// What is sent to the worker arrives.
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
            Assessment::Doubtful(Evidence::NotAcknowledged)
        } else {
            Assessment::Reachable
        };
    }
    // An incarnation that has lasted for longer than a lease since has received a
    // response.
    let outlasted_lease = worker.reachability.unreachable_for(now).is_some_and(|s| {
        s.min(now - worker.incarnation_seen_at) > config.with_clock_drift(config.lease_s)
    });
    if outlasted_lease {
        Assessment::Reachable
    } else {
        Assessment::Inconclusive
    }
}

/// An incarnation whose heartbeats are all answered lasts for a lease from the last
/// response, even if a few of them are lost: an earlier end speaks against the
/// worker's reachability.
fn assess_new_incarnation(worker: &Worker, config: &Config, now: f64) -> Assessment {
    let earliest_expiry = worker.lease_renewed_at + config.lease_s
        - config.heartbeat_interval_s * 2.5
        - config.timing_margin_s();
    let is_steady = now - worker.heartbeats_steady_since > config.heartbeat_interval_s * 3.0;
    if now < earliest_expiry && is_steady {
        Assessment::Doubtful(Evidence::LeaseExpired)
    } else {
        Assessment::Inconclusive
    }
}

/// Whether a heartbeat shows that a command of the last response was not executed.
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
