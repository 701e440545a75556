//! Machines with their workers: attempts, state of the agent's messages, and images.

use super::*;
use crate::{events::ClusterEvent, return_requests::ReturnRequest};
use std::collections::BTreeSet;
use tallygauge_health::{MessageOrder, Reachability};

/// An attempt that a worker reports, although no leader placed it there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrphanedAttempt {
    /// Name of the task as the worker reports it.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Whether it has ended. The worker is told to forget an ended attempt, and to stop
    /// one that has not ended.
    pub ended: bool,
}

/// Sum and count of measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SampleSum {
    /// Sum of the measurements.
    pub sum: f64,
    /// Number of measurements.
    pub count: u32,
}

impl SampleSum {
    /// Adds a measurement.
    pub fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// Mean of the measurements; NaN if there are none.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sum / f64::from(self.count)
    }
}

/// A machine and the worker on it. Times are seconds of the leader's monotonic clock.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name of the machine.
    pub name: String,
    /// Address of its agent for direct messages; empty until known.
    pub endpoint: String,
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented, as far as known.
    pub rented_at: f64,
    /// When it was first known to exist.
    pub known_at: f64,
    /// Agent incarnation of the newest heartbeat; 0 before the first.
    pub incarnation: u64,
    /// Order of the messages of its agent, to detect late and duplicate ones.
    pub message_order: MessageOrder,
    /// Highest fencing token that its heartbeats have carried.
    pub fencing_token: u64,
    /// Whether messages sent to it arrive, as inferred from its heartbeats.
    pub reachability: Reachability,
    /// Since when its heartbeats have arrived without a gap longer than the heartbeat
    /// timeout.
    pub heartbeats_steady_since: f64,
    /// Whether the response to its last heartbeat carried something that its next
    /// heartbeat must reflect: this leader's fencing token, or a command for an attempt
    /// that is `awaiting_acknowledgement`.
    pub acknowledgement_due: bool,
    /// When the first heartbeat of the current incarnation arrived.
    pub incarnation_seen_at: f64,
    /// When the machine list first showed it as running. It has booted then, although its
    /// worker may be unreachable.
    pub booted_at: Option<f64>,
    /// All incarnations up to and including this one have certainly ended.
    pub last_dead_incarnation: u64,
    /// Whether its agent has restarted since the last heartbeat of a live incarnation.
    pub agent_restarted: bool,
    /// When a heartbeat first carried this leader's fencing token.
    pub fencing_token_seen_at: Option<f64>,
    /// Since when its heartbeats are not answered so that its lease expires.
    pub renewal_withheld_since: Option<f64>,
    /// When its lease was last renewed by the response to a heartbeat.
    pub lease_renewed_at: f64,
    /// When the last heartbeat arrived.
    pub last_heartbeat_at: f64,
    /// When the cloud reclaims the machine, once a spot notice was received.
    pub spot_reclaim_at: Option<f64>,
    /// Attempts placed on it that it has not forgotten.
    pub attempts: Vec<Attempt>,
    /// Attempts on it that no leader placed. The worker is told to stop and forget them.
    pub orphaned_attempts: Vec<OrphanedAttempt>,
    /// Resources that its attempts do not occupy.
    pub free_resources: Resources,
    /// Images that it has cached or is fetching, as far as known.
    pub images: ImageCache,
    /// The decisions to return the machine, one for each reason.
    pub return_decisions: ReturnDecisions,
    /// Whether the open jobs do not need it. A surplus machine is the last choice for new
    /// tasks and is returned as soon as it is empty.
    pub surplus: bool,
    /// The last request to return it.
    pub return_request: ReturnRequest,
    /// Whether a direct message to it is in flight.
    pub direct_message_in_flight: bool,
    /// Whether it was asked for a heartbeat since the last periodic one.
    pub heartbeat_requested: bool,
    /// Number of the hold of the response to its last periodic heartbeat, while that is held.
    pub held_response: Option<u64>,
    /// Number of consecutive direct messages that it did not answer.
    pub direct_failures: u32,
    /// No direct message is sent to it before this time.
    pub next_direct_message_at: f64,
    /// Since when no attempt has occupied its capacity.
    pub idle_since: f64,
    /// Ids of the jobs with attempts that failed on it since a task last completed on it.
    pub failed_jobs: BTreeSet<String>,
    /// Ratios of the run times of tasks on it to those of the same job on other machines.
    pub runtime_ratio: SampleSum,
}

impl Worker {
    /// Creates a machine that has sent no heartbeat yet.
    #[must_use]
    pub(crate) fn new(name: &str, kind: MachineKind, capacity: Resources, now: f64) -> Self {
        Self {
            name: name.to_string(),
            endpoint: String::new(),
            machine_type: kind.machine_type,
            zone: kind.zone,
            spot: kind.spot,
            rented_at: now,
            known_at: now,
            incarnation: 0,
            message_order: MessageOrder::default(),
            fencing_token: 0,
            reachability: Reachability::default(),
            heartbeats_steady_since: f64::INFINITY,
            acknowledgement_due: false,
            incarnation_seen_at: now,
            booted_at: None,
            last_dead_incarnation: 0,
            agent_restarted: false,
            fencing_token_seen_at: None,
            renewal_withheld_since: None,
            lease_renewed_at: f64::NEG_INFINITY,
            last_heartbeat_at: f64::NEG_INFINITY,
            spot_reclaim_at: None,
            attempts: Vec::new(),
            orphaned_attempts: Vec::new(),
            free_resources: capacity,
            images: ImageCache::default(),
            return_decisions: ReturnDecisions::default(),
            surplus: false,
            return_request: ReturnRequest::None,
            direct_message_in_flight: false,
            heartbeat_requested: false,
            held_response: None,
            direct_failures: 0,
            next_direct_message_at: f64::NEG_INFINITY,
            idle_since: now,
            failed_jobs: BTreeSet::new(),
            runtime_ratio: SampleSum::default(),
        }
    }

    /// Whether tasks may be placed on it.
    #[must_use]
    pub fn accepts_work(&self, now: f64, config: &Config) -> bool {
        self.incarnation > self.last_dead_incarnation
            && self.fencing_token_seen_at.is_some()
            && !self.is_being_returned()
            && self.spot_reclaim_at.is_none()
            && self.renewal_withheld_since.is_none()
            && !self.has_undelivered_cancelled_start()
            && now - self.last_heartbeat_at < config.heartbeat_timeout_s()
            && self
                .reachability
                .accepts_work(now, &config.reachability_thresholds())
    }

    /// Decides to return the machine for this reason, unless that was decided before. Returns
    /// whether the decision is new; a new one is added to `events`.
    pub(crate) fn decide_return(
        &mut self,
        reason: ReturnReason,
        now: f64,
        events: &mut Vec<ClusterEvent>,
    ) -> bool {
        let is_new = self.return_decisions.add(reason, now);
        if is_new {
            events.push(ClusterEvent::MachineReturnDecided {
                machine: self.name.clone(),
                reason,
            });
        }
        is_new
    }

    /// Revokes the decisions to return the machine that were made for these reasons, unless
    /// a request to return it may be executed.
    pub(crate) fn revoke_return(&mut self, reasons: &[ReturnReason]) {
        if self.return_request.may_be_executed() {
            return;
        }
        self.return_decisions.revoke(reasons);
        if !self.is_being_returned() {
            self.keep_undelivered_attempts();
        }
    }

    /// Whether the machine is to be returned to the cloud.
    #[must_use]
    pub fn is_being_returned(&self) -> bool {
        !self.return_decisions.is_empty()
    }

    /// The attempts that it reports once their starts have been executed. Those of earlier
    /// incarnations are only retained.
    pub(crate) fn reportable_attempts(&self) -> impl Iterator<Item = &Attempt> {
        let attempts = self.attempts.iter();
        attempts.filter(|attempt| attempt.incarnation >= self.incarnation)
    }

    /// Number of its ended attempts that it can't be told to forget, because the direct message
    /// with their start may still arrive.
    #[must_use]
    pub fn undelivered_ended_attempts(&self) -> usize {
        self.reportable_attempts()
            .filter(|attempt| attempt.is_ended() && attempt.start_undelivered)
            .count()
    }

    /// Whether this leader has received a heartbeat from it.
    #[must_use]
    pub fn has_reported(&self) -> bool {
        self.incarnation > 0
    }
}
