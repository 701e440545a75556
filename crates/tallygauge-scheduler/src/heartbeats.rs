//! Heartbeats: which of them are accepted, in which order, and from which agent
//! incarnation.
//!
//! The evidence that a heartbeat gives of its worker's reachability is in
//! `reachability`, what it says of tasks in `task_status`.

use crate::{
    cluster_state::ClusterState, commands::DirectMessage, events::ClusterEvent, model::*,
    task_status::is_unchanged,
};
use tallygauge_health::{Arrival, SequenceMark};
use tallygauge_protocol::workers::{Heartbeat, RESPONSE_TIMEOUT_S};

/// What a heartbeat means for this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Applied; it may be answered.
    Applied,
    /// Older than what is known, but its worker may wait for the response.
    Overtaken,
    /// Older than what is known: a late copy, or from an agent that restarted.
    /// Nobody waits for a response that should be kept.
    Stale,
    /// From an agent incarnation that is over: a response would serve nobody.
    DeadIncarnation,
    /// It carries a higher fencing token, which is returned: this controller is the
    /// leader no more.
    Deposed(u64),
}

/// How a heartbeat arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a request of the worker. It sends one only when it has received the
    /// response to the one before, or given up waiting for it.
    Periodic,
    /// With the response to a direct message. A heartbeat response, with starts in
    /// it, may still be on its way to the worker.
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
        let Some(is_known_incarnation) = self.record_contact(now, heartbeat, source) else {
            return HeartbeatOutcome::Stale;
        };
        // Most heartbeats say nothing new, and should cost next to nothing.
        if is_known_incarnation && self.is_routine(heartbeat) {
            return HeartbeatOutcome::Applied;
        }
        // Without our token it may come from another life of the machine that ended
        // before this term, with higher incarnations than the one that runs our tasks.
        if heartbeat.incarnation > 1 && heartbeat.token == self.config.term {
            self.end_incarnation(&heartbeat.machine, heartbeat.incarnation - 1, now);
        }
        self.apply_task_statuses(now, heartbeat, source);
        self.follow_up(now, &heartbeat.machine);
        HeartbeatOutcome::Applied
    }

    /// Applies the heartbeat in the response to a direct message: only a live agent
    /// sends one, with a sequence number above all that it had sent before the
    /// message.
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

    /// Registers the heartbeat's machine if it is not known. Returns `false` if the
    /// machine is gone: a late copy of a heartbeat must not add its capacity again.
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

    /// Checks that a heartbeat is newer than all that were applied, and of a live
    /// incarnation; else returns what it means. Records the fencing token that an
    /// accepted one shows.
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
        match worker.message_order.classify(mark, now, RESPONSE_TIMEOUT_S) {
            Arrival::New => {}
            Arrival::Overtaken => return Err(HeartbeatOutcome::Overtaken),
            Arrival::Old => {
                // A restarted agent counts from the beginning: a probe tells which
                // of the two is alive.
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
        // Heartbeats that were delayed on the way arrive all at once, and show
        // nothing of which responses their worker received.
        if now - worker.last_heartbeat_at > self.config.heartbeat_timeout_s() {
            worker.heartbeats_steady_since = now;
        }
        Ok(())
    }

    /// Records what a heartbeat says of the worker itself. Returns whether its
    /// incarnation was known before; nothing if the worker is not known.
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
        if worker.reachability.needs_probe() {
            self.needs_direct_message.insert(heartbeat.machine.clone());
        } else {
            worker.direct_failures = 0;
        }
        worker.revoke_return(&[ReturnReason::BootTimeout, ReturnReason::Silent]);
        let is_known_incarnation = heartbeat.incarnation == worker.incarnation;
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
        if worker.update_spot_notice(heartbeat.spot_notice_s, now) {
            self.needs_scheduling = true;
            self.events.push(ClusterEvent::SpotNoticeReceived {
                machine: heartbeat.machine.clone(),
            });
        }
        Some(is_known_incarnation)
    }

    /// Whether a heartbeat of a known incarnation changes nothing.
    fn is_routine(&self, heartbeat: &Heartbeat) -> bool {
        self.workers.get(&heartbeat.machine).is_some_and(|worker| {
            worker.fencing_token_seen_at.is_some()
                && worker.spot_reclaim_at.is_none()
                && worker.return_decision.is_none()
                && is_unchanged(worker, &heartbeat.tasks)
        })
    }

    /// Decides what a worker needs after its heartbeat was applied: our fencing
    /// token, or stops of what should not stay on it.
    fn follow_up(&mut self, now: f64, machine: &str) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        if worker.fencing_token_seen_at.is_none() {
            self.needs_direct_message.insert(machine.to_string());
        }
        if worker.spot_reclaim_at.is_some() || worker.return_decision.is_some() {
            self.stop_unwanted_attempts(machine, now);
        }
    }

    /// A machine's agent restarted, and its tasks are gone. Its sequence numbers are
    /// those of another life, so nothing more of this incarnation is accepted. The
    /// agent goes on with the next incarnation after a lease, as it is not answered
    /// until then. Attempts that its own heartbeat `evidence` (with our token) lacks
    /// are requeued at once, except those whose start may yet arrive: they are kept
    /// until the incarnation is over.
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
                && !attempt.may_yet_start()
                && !is_reported(attempt)
        });
        for attempt in lost.iter().filter(|attempt| attempt.occupies_capacity()) {
            self.requeue_lost(machine, attempt, now);
        }
    }
}

impl Worker {
    /// Takes over the remaining time of a spot notice, which never grows. Returns
    /// whether the notice is new.
    fn update_spot_notice(&mut self, notice_s: Option<f64>, now: f64) -> bool {
        let is_new = notice_s.is_some() && self.spot_reclaim_at.is_none();
        self.spot_reclaim_at = match (notice_s, self.spot_reclaim_at) {
            (Some(notice_s), None) => Some(now + notice_s),
            (Some(notice_s), Some(until)) => Some(until.min(now + notice_s)),
            (None, _) => None,
        };
        is_new
    }

    /// Marks the present incarnation as dead and clears what was known of the agent.
    fn reset_for_agent_restart(&mut self, fencing_token: u64, now: f64) {
        self.last_dead_incarnation = self.last_dead_incarnation.max(self.incarnation);
        self.incarnation_seen_at = now;
        self.message_order.liveness_probe_sent();
        self.images = ImageCache::default();
        self.confirm_reachable();
        self.fencing_token = fencing_token;
        self.direct_failures = 0;
        self.orphaned_attempts.clear();
    }
}

/// A heartbeat's position among its agent's messages.
fn sequence_mark(heartbeat: &Heartbeat) -> SequenceMark {
    SequenceMark {
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
    }
}
