//! Acceptance of heartbeats, by their order and by agent incarnation.
//!
//! The `reachability` module evaluates what a heartbeat shows of the reachability of its
//! worker; the `task_status` module applies the task statuses in it.

use crate::{
    cluster_state::ClusterState, direct_messages::DirectMessage, events::ClusterEvent, model::*,
    task_status::is_unchanged,
};
use tallygauge_health::{Arrival, SequenceMark};
use tallygauge_protocol::workers::{HEARTBEAT_RESPONSE_TIMEOUT_S, Heartbeat};

/// Outcome of a heartbeat for this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Applied; it may be answered.
    Applied,
    /// Not applied: older than a heartbeat that was applied, but its worker may still be
    /// waiting for the response.
    Overtaken,
    /// Not applied: older than a heartbeat that was applied, either a late copy or from an
    /// agent that restarted. No agent that a response should keep alive is waiting for one.
    Stale,
    /// From an agent incarnation that has ended, so that a response would be of no use.
    DeadIncarnation,
    /// Not applied: it carries a higher fencing token, which is returned. This controller
    /// is no longer the leader.
    Deposed(u64),
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request of the worker. The worker sends the next one only when it has received
    /// the response to the previous one, or has given up waiting for it.
    Periodic,
    /// In the reply to a direct message. A heartbeat response with start commands may
    /// still be in transit to the worker at that time.
    DirectReply,
}

impl ClusterState {
    /// Applies a worker's heartbeat.
    pub fn apply_heartbeat(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) -> HeartbeatOutcome {
        if heartbeat.token > self.config.term {
            return HeartbeatOutcome::Deposed(heartbeat.token);
        }
        if !self.ensure_registered(heartbeat, now) {
            return HeartbeatOutcome::DeadIncarnation;
        }
        if let Err(outcome) = self.accept_in_order(now, heartbeat, source) {
            return outcome;
        }
        self.assess_reachability(now, heartbeat, source);
        let Some(is_current_incarnation) = self.record_contact(now, heartbeat, source) else {
            return HeartbeatOutcome::Stale;
        };
        // Most heartbeats contain nothing new. This fast path keeps them cheap.
        if is_current_incarnation && self.is_routine(heartbeat) {
            return HeartbeatOutcome::Applied;
        }
        // Without this leader's token the heartbeat may come from an earlier run of the
        // agent that ended before this term, with higher incarnation numbers than the one
        // that now runs this leader's tasks.
        if heartbeat.token == self.config.term {
            self.end_earlier_incarnations(&heartbeat.machine, heartbeat.incarnation, now);
        }
        self.apply_task_statuses(now, heartbeat, source);
        self.follow_up(now, &heartbeat.machine);
        HeartbeatOutcome::Applied
    }

    /// Applies the heartbeat in the reply to a direct message. Only a live agent replies,
    /// with a sequence number above all that it had sent before the message.
    pub fn apply_direct_reply(
        &mut self,
        now: f64,
        message: &DirectMessage,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if heartbeat.token > self.config.term {
            return HeartbeatOutcome::Deposed(heartbeat.token);
        }
        if sequence_mark(heartbeat).is_restart_since(message.sent_after) {
            self.handle_agent_restart(&heartbeat.machine, Some(heartbeat), now);
            return HeartbeatOutcome::DeadIncarnation;
        }
        if let Some(worker) = self.workers.get_mut(&heartbeat.machine) {
            worker.confirm_reachable();
        }
        self.apply_heartbeat(now, heartbeat, HeartbeatSource::DirectReply)
    }

    /// Registers the machine of the heartbeat if it is not registered. Returns `false` if
    /// the machine no longer exists: a late copy of a heartbeat must not add its capacity
    /// again.
    fn ensure_registered(&mut self, heartbeat: &Heartbeat, now: f64) -> bool {
        if self.workers.contains_key(&heartbeat.machine) {
            return true;
        }
        if self.tombstones.contains(&heartbeat.machine) {
            return false;
        }
        self.register_machine(
            &heartbeat.machine,
            &heartbeat.machine_type,
            &heartbeat.zone,
            heartbeat.spot,
            &heartbeat.endpoint,
            now,
        );
        true
    }

    /// Checks that a heartbeat is newer than all heartbeats applied so far, and from a live
    /// incarnation. Records the fencing token of an accepted heartbeat, and returns the
    /// outcome of a rejected one as the error.
    fn accept_in_order(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) -> Result<(), HeartbeatOutcome> {
        let Some(worker) = self.workers.get_mut(&heartbeat.machine) else {
            return Err(HeartbeatOutcome::Stale);
        };
        if heartbeat.incarnation <= worker.last_dead_incarnation {
            return Err(HeartbeatOutcome::DeadIncarnation);
        }
        let mark = sequence_mark(heartbeat);
        match worker
            .message_order
            .classify(mark, now, HEARTBEAT_RESPONSE_TIMEOUT_S)
        {
            Arrival::New => {}
            Arrival::Overtaken => return Err(HeartbeatOutcome::Overtaken),
            Arrival::Old => {
                // A restarted agent counts its messages from the beginning. A probe tells
                // whether the new or the old agent process is alive.
                if source == HeartbeatSource::Periodic && mark != worker.message_order.newest {
                    worker.message_order.request_liveness_probe();
                    self.needs_direct_message.insert(heartbeat.machine.clone());
                }
                return Err(HeartbeatOutcome::Stale);
            }
        }
        // An agent's fencing token never decreases while it lives.
        if heartbeat.token < worker.fencing_token && source == HeartbeatSource::Periodic {
            self.handle_agent_restart(&heartbeat.machine, None, now);
            return Err(HeartbeatOutcome::DeadIncarnation);
        }
        worker.fencing_token = worker.fencing_token.max(heartbeat.token);
        // Heartbeats that were delayed in transit arrive all at once, and do not show
        // which responses their worker received.
        if now - worker.last_heartbeat_at > self.config.heartbeat_timeout_s() {
            worker.heartbeats_steady_since = now;
        }
        Ok(())
    }

    /// Records the data of a heartbeat about the worker itself. Returns whether the
    /// heartbeat is from the worker's current incarnation, or `None` if the worker is not
    /// registered.
    fn record_contact(
        &mut self,
        now: f64,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) -> Option<bool> {
        let worker = self.workers.get_mut(&heartbeat.machine)?;
        if worker.endpoint != heartbeat.endpoint {
            worker.endpoint.clone_from(&heartbeat.endpoint);
        }
        worker.last_heartbeat_at = now;
        worker.agent_restarted = false;
        if source == HeartbeatSource::Periodic {
            worker.heartbeat_requested = false;
            worker.held_response = None;
        }
        if worker.reachability.needs_probe() {
            self.needs_direct_message.insert(heartbeat.machine.clone());
        } else {
            worker.direct_failures = 0;
        }
        worker.revoke_return(&[ReturnReason::BootTimeout, ReturnReason::Silent]);
        let is_current_incarnation = heartbeat.incarnation == worker.incarnation;
        if heartbeat.incarnation > worker.incarnation {
            self.needs_scheduling = true;
            worker.incarnation_seen_at = now;
        }
        worker.incarnation = heartbeat.incarnation;
        worker.message_order.advance(
            sequence_mark(heartbeat),
            source == HeartbeatSource::DirectReply,
            now,
        );
        if heartbeat.token == self.config.term && worker.fencing_token_seen_at.is_none() {
            self.needs_scheduling = true;
            worker.fencing_token_seen_at = Some(now);
        }
        if worker.update_spot_notice(heartbeat.spot_reclaim_in_s, now) {
            self.needs_scheduling = true;
            self.events.push(ClusterEvent::SpotNoticeReceived {
                machine: heartbeat.machine.clone(),
            });
        }
        Some(is_current_incarnation)
    }

    /// Whether a heartbeat of the current incarnation leaves the cluster state unchanged.
    fn is_routine(&self, heartbeat: &Heartbeat) -> bool {
        self.workers.get(&heartbeat.machine).is_some_and(|worker| {
            worker.fencing_token_seen_at.is_some()
                && worker.spot_reclaim_at.is_none()
                && !worker.is_being_returned()
                && is_unchanged(worker, &heartbeat.tasks)
        })
    }

    /// Decides what a worker needs after its heartbeat was applied: a direct message with
    /// this leader's fencing token, or stops of attempts that should not stay on it.
    fn follow_up(&mut self, now: f64, machine: &str) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        if worker.fencing_token_seen_at.is_none() {
            self.needs_direct_message.insert(machine.to_string());
        }
        if worker.spot_reclaim_at.is_some() || worker.is_being_returned() {
            self.stop_unwanted_attempts(machine, now);
        }
    }

    /// Handles the restart of a machine's agent, with which the tasks on the machine were
    /// lost.
    ///
    /// The restarted agent counts its messages anew, so nothing more of this incarnation is
    /// accepted. It is not answered either, so that it continues with the next incarnation
    /// after a lease.
    ///
    /// `evidence` is a heartbeat of the restarted agent, if there is one. If it carries this
    /// leader's token, the attempts that it does not report are requeued at once, except
    /// those whose start may still arrive: they are kept until the incarnation has ended.
    fn handle_agent_restart(&mut self, machine: &str, evidence: Option<&Heartbeat>, now: f64) {
        let term = self.config.term;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.reset_for_agent_restart(evidence.map_or(0, |heartbeat| heartbeat.token), now);
        self.needs_scheduling = true;
        self.events.push(ClusterEvent::AgentRestarted {
            machine: machine.to_string(),
        });
        let Some(evidence) = evidence.filter(|heartbeat| heartbeat.token == term) else {
            return;
        };
        let is_reported = |attempt: &Attempt| {
            evidence
                .tasks
                .iter()
                .any(|task| task.attempt == attempt.number)
        };
        let lost = self.remove_attempts(machine, |attempt| {
            attempt.phase != AttemptPhase::Planned
                && !attempt.start_undelivered
                && !is_reported(attempt)
        });
        for attempt in lost.iter().filter(|attempt| attempt.occupies_capacity()) {
            self.requeue_lost(machine, attempt, now);
        }
    }
}

impl Worker {
    /// Updates the reclaim time from the remaining seconds of a spot notice. While a notice
    /// persists, the reclaim time never moves later. Returns whether the notice is new.
    fn update_spot_notice(&mut self, notice_s: Option<f64>, now: f64) -> bool {
        let is_new = notice_s.is_some() && self.spot_reclaim_at.is_none();
        self.spot_reclaim_at = match (notice_s, self.spot_reclaim_at) {
            (Some(notice_s), None) => Some(now + notice_s),
            (Some(notice_s), Some(until)) => Some(until.min(now + notice_s)),
            (None, _) => None,
        };
        is_new
    }

    /// Marks the current incarnation as dead, and resets the state of the agent that ended
    /// with it.
    fn reset_for_agent_restart(&mut self, fencing_token: u64, now: f64) {
        self.last_dead_incarnation = self.last_dead_incarnation.max(self.incarnation);
        self.agent_restarted = true;
        self.incarnation_seen_at = now;
        self.message_order.liveness_probe_sent();
        self.images = ImageCache::default();
        self.confirm_reachable();
        self.fencing_token = fencing_token;
        self.direct_failures = 0;
        self.orphaned_attempts.clear();
        self.held_response = None;
    }
}

/// Position of a heartbeat in the sequence of its agent's messages.
fn sequence_mark(heartbeat: &Heartbeat) -> SequenceMark {
    SequenceMark {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    }
}
