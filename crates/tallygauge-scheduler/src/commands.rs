//! Commands: what a worker should do now. They are sent in heartbeat responses and
//! in direct messages.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_health::{Evidence, SequenceMark};
use tallygauge_protocol::workers::{Command, TaskState};

/// One in so many direct messages may be a probe.
const PROBE_FRACTION: usize = 4;

/// Consecutive failures of direct messages that lengthen the backoff.
const MAX_COUNTED_FAILURES: u32 = 4;

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    /// Name of the worker's machine.
    pub worker: String,
    /// Its address.
    pub endpoint: String,
    /// Agent incarnation that it is meant for.
    pub incarnation: u64,
    /// Commands; empty if it only brings the fencing token, or probes.
    pub commands: Vec<Command>,
    /// Attempts whose start is in it.
    pub started_attempts: Vec<u64>,
    /// The worker's newest message when this one was built: a live agent answers
    /// with a later one.
    pub sent_after: SequenceMark,
    /// Whether it only probes that the worker is alive and reachable.
    pub is_probe: bool,
}

/// Why a direct message is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MessagePurpose {
    /// To bring our fencing token.
    Fence,
    /// To bring commands.
    Commands,
    /// To learn whether the worker is alive and reachable.
    Probe,
}

/// Direct messages that wait for an answer.
///
/// `probes` of the `total` are probes; both fall to 0 when all were answered or timed
/// out.
#[derive(Debug, Default)]
pub(crate) struct InFlightMessages {
    total: usize,
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
    /// Commands that a worker should execute now, in the order of execution.
    #[must_use]
    pub fn commands(&self, machine: &str, now: f64) -> Vec<Command> {
        let Some(worker) = self.workers.get(machine) else {
            return Vec::new();
        };
        let orphans = worker
            .orphaned_attempts
            .iter()
            .map(OrphanedAttempt::command);
        let placed = worker
            .attempts
            .iter()
            .filter(|attempt| attempt.incarnation == worker.incarnation)
            .filter_map(|attempt| attempt.command(now));
        let mut commands: Vec<Command> = orphans.chain(placed).collect();
        // Capacity is freed before it is used.
        commands.sort_by_key(|command| match command {
            Command::Clear { .. } => 0,
            Command::Stop { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Records that a heartbeat is answered with our token and these commands.
    pub fn record_heartbeat_response(&mut self, machine: &str, commands: &[Command], now: f64) {
        let term = self.config.term;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        worker.lease_renewed_at = now;
        worker.acknowledgement_due = worker.fencing_token < term;
        for command in commands {
            let number = match command {
                Command::Start { attempt, .. } | Command::Clear { attempt, .. } => *attempt,
                Command::Stop { .. } => continue,
            };
            let is_start = matches!(command, Command::Start { .. });
            for attempt in worker.attempts.iter_mut().filter(|a| a.number == number) {
                attempt.start_sent |= is_start;
                attempt.awaiting_acknowledgement = true;
                worker.acknowledgement_due = true;
            }
        }
    }

    /// Direct messages that should be sent now: fencing tokens, starts that were not
    /// sent yet, stops, and probes. Marks them as in flight. `spare` is the part, 0 to
    /// 1, of the message limit that the process has time for: what is not
    /// sent waits for the worker's next heartbeat, whose response carries the same.
    pub fn take_direct_messages(&mut self, now: f64, spare: f64) -> Vec<DirectMessage> {
        let mut messages = Vec::new();
        let max_in_flight = ((self.config.max_direct_messages as f64 * spare) as usize).max(1);
        let max_probes = max_in_flight.div_ceil(PROBE_FRACTION);
        let mut due = std::mem::take(&mut self.needs_direct_message).into_iter();
        while self.in_flight_messages.total < max_in_flight {
            let Some(machine) = due.next() else { break };
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            let Some(purpose) = worker.direct_message_purpose() else {
                continue;
            };
            // Many workers may be unreachable at once: their probes must not delay
            // starts. Their next heartbeats make them due again.
            if purpose == MessagePurpose::Probe && self.in_flight_messages.probes >= max_probes {
                continue;
            }
            // Those that can't have a message now are looked at again.
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
        let mut commands = match purpose {
            MessagePurpose::Fence => Vec::new(),
            MessagePurpose::Commands | MessagePurpose::Probe => self.commands(&machine, now),
        };
        let worker = self.workers.get_mut(&machine)?;
        commands.retain(|command| worker.may_send_directly(command));
        let started_attempts = worker.mark_starts_in_flight(&commands);
        let is_probe = purpose == MessagePurpose::Probe;
        self.in_flight_messages.add(is_probe);
        worker.direct_message_in_flight = true;
        worker.message_order.liveness_probe_sent();
        Some(DirectMessage {
            endpoint: worker.endpoint.clone(),
            incarnation: worker.addressed_incarnation(),
            commands,
            started_attempts,
            sent_after: worker.message_order.newest,
            is_probe,
            worker: machine,
        })
    }

    /// A direct message was answered, or timed out (`answered` false): then its starts
    /// may yet be executed, unless it was `never_sent` as no connection was made.
    pub fn record_direct_message_result(
        &mut self,
        message: &DirectMessage,
        answered: bool,
        never_sent: bool,
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
        if answered {
            worker.direct_failures = 0;
        } else {
            worker.direct_failures += 1;
            // It sends heartbeats, but does not receive.
            if now - worker.last_heartbeat_at < heartbeat_interval_s * 1.5 {
                worker
                    .reachability
                    .record(Evidence::Unanswered, now, &thresholds);
            }
            let doublings = worker.direct_failures.min(MAX_COUNTED_FAILURES) - 1;
            let backoff_s = heartbeat_interval_s * 0.5 * f64::from(1u32 << doublings);
            worker.next_direct_message_at = now + backoff_s;
        }
        for attempt in &mut worker.attempts {
            if message.started_attempts.contains(&attempt.number) {
                attempt.start_messages_in_flight =
                    attempt.start_messages_in_flight.saturating_sub(1);
                if !answered && !never_sent {
                    attempt.start_in_doubt_since = Some(now);
                }
            }
        }
    }
}

impl Worker {
    /// Why the worker needs a direct message, if it does and can get one.
    fn direct_message_purpose(&self) -> Option<MessagePurpose> {
        if self.endpoint.is_empty() || self.return_sent {
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
        let is_in_doubt = self.message_order.needs_liveness_probe()
            || (is_fenced && self.reachability.needs_probe());
        (is_alive && is_in_doubt).then_some(MessagePurpose::Probe)
    }

    /// Whether a start was not sent yet, or a stop was decided on since the last
    /// heartbeat.
    fn has_unsent_command(&self) -> bool {
        self.attempts
            .iter()
            .filter(|attempt| attempt.incarnation == self.incarnation)
            .any(|attempt| match (attempt.phase, attempt.stop) {
                (AttemptPhase::Recorded, None) => !attempt.start_sent,
                (
                    AttemptPhase::Recorded
                    | AttemptPhase::Observed(TaskState::Fetching | TaskState::Running),
                    Some(stop),
                ) => attempt.start_sent && stop.at >= self.last_heartbeat_at,
                _ => false,
            })
    }

    /// Whether a command may be in a direct message. A start is in one direct message
    /// at most, which may arrive late: heartbeat responses carry it again.
    fn may_send_directly(&self, command: &Command) -> bool {
        match command {
            Command::Start { attempt, .. } => self
                .attempts
                .iter()
                .find(|known| known.number == *attempt)
                .is_some_and(|known| !known.start_sent),
            Command::Stop { .. } => true,
            Command::Clear { .. } => false,
        }
    }

    /// Marks the starts among these commands as sent in a direct message. Returns
    /// the numbers of their attempts.
    fn mark_starts_in_flight(&mut self, commands: &[Command]) -> Vec<u64> {
        let mut started = Vec::new();
        for command in commands {
            let Command::Start {
                attempt: number, ..
            } = command
            else {
                continue;
            };
            started.push(*number);
            for attempt in self.attempts.iter_mut().filter(|a| a.number == *number) {
                attempt.start_sent = true;
                attempt.start_messages_in_flight += 1;
            }
        }
        started
    }

    /// The incarnation that a direct message is meant for: that of the newest heartbeat,
    /// or before the first heartbeat the newest one that an attempt was placed in.
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

impl OrphanedAttempt {
    /// The command that removes it from its worker.
    fn command(&self) -> Command {
        let (task, attempt) = (self.task.clone(), self.attempt);
        if self.ended {
            Command::Clear { task, attempt }
        } else {
            Command::Stop {
                task,
                attempt,
                grace_s: 0.0,
            }
        }
    }
}

impl Attempt {
    /// What its worker should do with it now, if anything.
    fn command(&self, now: f64) -> Option<Command> {
        let attempt = self.number;
        match (self.phase, self.stop) {
            (AttemptPhase::Recorded, None) if !self.restored => Some(Command::Start {
                task: self.task_name(),
                attempt,
            }),
            (AttemptPhase::Recorded | AttemptPhase::Observed(_), Some(stop)) if self.start_sent => {
                let grace_s = stop_grace_s(self, stop, now);
                // One that saves already is stopped only if it must not go on.
                let is_saving = self.phase == AttemptPhase::Observed(TaskState::Saving);
                (!is_saving || grace_s == 0.0).then(|| Command::Stop {
                    task: self.task_name(),
                    attempt,
                    grace_s,
                })
            }
            (AttemptPhase::Ended(_), _) if self.can_forget() => Some(Command::Clear {
                task: self.task_name(),
                attempt,
            }),
            _ => None,
        }
    }
}

/// Grace period of a stop, in seconds: enough to save a checkpoint, or none.
fn stop_grace_s(attempt: &Attempt, stop: StopDecision, now: f64) -> f64 {
    let can_save = attempt.spec.checkpoint_every_s > 0.0;
    let is_progress_wanted = !matches!(stop.reason, StopReason::Cancelled | StopReason::Duplicate);
    // A save that takes many times what was declared is cut off.
    let is_overdue = now - stop.at > attempt.spec.checkpoint_s * 4.0 + 5.0;
    if can_save && is_progress_wanted && !is_overdue {
        attempt.spec.checkpoint_s.max(0.001)
    } else {
        0.0
    }
}
