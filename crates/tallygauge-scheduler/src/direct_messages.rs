//! Direct messages to workers, between their heartbeats: which are due, what they carry, and
//! what follows from their outcomes. A copy of a message may be executed at any later time.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_health::{Evidence, SequenceMark};
use tallygauge_protocol::workers::{Command, TaskState};

/// Of the direct messages that may be in flight, at most one in this many may be a probe.
const MESSAGES_PER_PROBE: usize = 4;

/// Consecutive failures of direct messages to a worker beyond which the backoff grows
/// no further.
const MAX_BACKOFF_FAILURES: u32 = 4;

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    /// Name of the worker's machine.
    pub worker: String,
    /// Address of the worker.
    pub endpoint: String,
    /// Agent incarnation that the message is meant for.
    pub incarnation: u64,
    /// Commands; empty if the message only carries the fencing token or is a probe
    /// with nothing to execute.
    pub commands: Vec<Command>,
    /// The worker's newest message when this one was built: a live agent answers
    /// with a later one.
    pub sent_after: SequenceMark,
    /// Whether the message is sent to learn whether the worker is alive and reachable.
    pub is_probe: bool,
}

impl DirectMessage {
    /// Whether the commands ask the worker for an early heartbeat.
    #[must_use]
    pub fn requests_heartbeat(&self) -> bool {
        self.commands.iter().any(Command::is_heartbeat_request)
    }
}

/// Why a direct message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessagePurpose {
    /// To show the worker this leader's fencing token.
    Fence,
    /// To deliver commands.
    Commands,
    /// To learn whether the worker is alive and reachable.
    Probe,
}

/// Numbers of direct messages that have neither been answered nor timed out.
#[derive(Debug, Default)]
pub(crate) struct InFlightMessages {
    total: usize,
    /// Probes among the `total`.
    probes: usize,
}

impl InFlightMessages {
    fn add(&mut self, is_probe: bool) {
        self.total += 1;
        self.probes += usize::from(is_probe);
    }

    fn remove(&mut self, is_probe: bool) {
        self.total = self.total.saturating_sub(1);
        self.probes = self.probes.saturating_sub(usize::from(is_probe));
    }
}

impl ClusterState {
    /// Direct messages that should be sent now: fencing tokens, starts that were not
    /// sent yet, stops, and probes. Marks them as in flight.
    ///
    /// `limit_fraction`, from 0 to 1, is the fraction of the limit of messages in flight
    /// that the process has time for; at least one message may always be in flight.
    /// Commands and tokens that are not sent now are in the response to the worker's
    /// next heartbeat.
    pub fn take_direct_messages(&mut self, now: f64, limit_fraction: f64) -> Vec<DirectMessage> {
        let mut messages = Vec::new();
        let max_in_flight =
            ((self.config.max_direct_messages as f64 * limit_fraction) as usize).max(1);
        let max_probes = max_in_flight.div_ceil(MESSAGES_PER_PROBE);
        let mut due = std::mem::take(&mut self.needs_direct_message).into_iter();
        while self.in_flight_messages.total < max_in_flight {
            let Some(machine) = due.next() else { break };
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            let Some(purpose) = worker.direct_message_purpose() else {
                continue;
            };
            // Many workers may be unreachable at once, and probes of them must not delay
            // starts. The next heartbeat of a skipped worker makes it due again.
            if purpose == MessagePurpose::Probe && self.in_flight_messages.probes >= max_probes {
                continue;
            }
            // A worker that has a message in flight or is in backoff is checked again
            // in the next call.
            if worker.direct_message_in_flight || now < worker.next_direct_message_at {
                self.needs_direct_message.insert(machine);
                continue;
            }
            messages.extend(self.prepare_direct_message(machine, purpose, now));
        }
        self.needs_direct_message.extend(due);
        messages
    }

    /// Builds a direct message and marks it as in flight.
    fn prepare_direct_message(
        &mut self,
        machine: String,
        purpose: MessagePurpose,
        now: f64,
    ) -> Option<DirectMessage> {
        let commands = match purpose {
            MessagePurpose::Fence => Vec::new(),
            MessagePurpose::Commands | MessagePurpose::Probe => self.direct_commands(&machine, now),
        };
        let worker = self.workers.get_mut(&machine)?;
        let is_probe = purpose == MessagePurpose::Probe;
        self.in_flight_messages.add(is_probe);
        worker.direct_message_in_flight = true;
        worker.message_order.liveness_probe_sent();
        Some(DirectMessage {
            endpoint: worker.endpoint.clone(),
            incarnation: worker.addressed_incarnation(),
            commands,
            sent_after: worker.message_order.newest,
            is_probe,
            worker: machine,
        })
    }

    /// Commands that a direct message to a worker carries: stops, and a request for a heartbeat if
    /// starts wait for one.
    fn direct_commands(&mut self, machine: &str, now: f64) -> Vec<Command> {
        let mut commands = self.commands(machine, now);
        commands.retain(may_send_directly);
        commands.extend(self.take_heartbeat_request(machine));
        commands
    }

    /// Records that a direct message was answered, or failed (`answered` is false).
    pub fn record_direct_message_result(
        &mut self,
        message: &DirectMessage,
        answered: bool,
        now: f64,
    ) {
        let heartbeat_interval_s = self.config.heartbeat_interval_s;
        let thresholds = self.config.reachability_thresholds();
        self.in_flight_messages.remove(message.is_probe);
        self.needs_direct_message.insert(message.worker.clone());
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        worker.direct_message_in_flight = false;
        if message.requests_heartbeat() && !answered {
            worker.heartbeat_requested = false;
        }
        if answered {
            worker.direct_failures = 0;
        } else {
            worker.direct_failures += 1;
            // The worker sends heartbeats but does not answer: evidence that messages
            // do not reach it.
            if now - worker.last_heartbeat_at < heartbeat_interval_s * 1.5 {
                worker
                    .reachability
                    .record(Evidence::Unanswered, now, &thresholds);
            }
            let doublings = worker.direct_failures.min(MAX_BACKOFF_FAILURES) - 1;
            let backoff_s = heartbeat_interval_s * 0.5 * f64::from(1u32 << doublings);
            worker.next_direct_message_at = now + backoff_s;
        }
    }
}

impl Worker {
    /// Why the worker should get a direct message; `None` if it needs none, has no known
    /// endpoint, or is being returned.
    fn direct_message_purpose(&self) -> Option<MessagePurpose> {
        if self.endpoint.is_empty() || self.return_request.may_be_executed() {
            return None;
        }
        let is_fenced = self.fencing_token_seen_at.is_some();
        if !is_fenced && (self.has_reported() || !self.attempts.is_empty()) {
            return Some(MessagePurpose::Fence);
        }
        let is_alive = self.incarnation > self.last_dead_incarnation;
        if is_fenced && is_alive && self.has_unsent_command() {
            return Some(MessagePurpose::Commands);
        }
        let is_probe_due = self.message_order.needs_liveness_probe()
            || (is_fenced && self.reachability.needs_probe());
        (is_alive && is_probe_due).then_some(MessagePurpose::Probe)
    }

    /// Whether a heartbeat should be requested, or a stop was decided since the last heartbeat.
    fn has_unsent_command(&self) -> bool {
        let mut attempts = self
            .attempts
            .iter()
            .filter(|attempt| attempt.incarnation == self.incarnation);
        self.needs_heartbeat_request()
            || attempts.any(|attempt| match (attempt.phase, attempt.stop) {
                (
                    AttemptPhase::Recorded
                    | AttemptPhase::Observed(TaskState::Fetching | TaskState::Running),
                    Some(stop),
                ) => attempt.start_sent && stop.at >= self.last_heartbeat_at,
                _ => false,
            })
    }

    /// The incarnation that a direct message is meant for: that of the newest heartbeat.
    /// Before the first heartbeat, it is the newest incarnation in which an attempt was
    /// placed, or 1 if there is none.
    fn addressed_incarnation(&self) -> u64 {
        if self.incarnation > 0 {
            return self.incarnation;
        }
        self.attempts
            .iter()
            .map(|attempt| attempt.incarnation)
            .max()
            .unwrap_or(1)
    }
}

/// Whether a command may be sent in a direct message, of which a copy may be executed again at any
/// later time. A start may not: it would run the task again after the worker has forgotten the
/// attempt.
fn may_send_directly(command: &Command) -> bool {
    match command {
        Command::Stop { .. } => true,
        Command::Start { .. } | Command::Clear { .. } => false,
    }
}
