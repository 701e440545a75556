//! Commands: what a worker should do now, in answers and direct messages.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_health::{Evidence, SequenceMark};
use tallygauge_protocol::workers::{Command, TaskState};

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    /// Worker.
    pub worker: String,
    /// Its address.
    pub endpoint: String,
    /// Session it is meant for.
    pub incarnation: u64,
    /// Commands; empty to fence only.
    pub commands: Vec<Command>,
    /// Attempts whose start is in it.
    pub started_attempts: Vec<u64>,
    /// The worker's newest message when this was made up: whoever lives answers
    /// with a later one.
    pub sent_after: SequenceMark,
    /// Only asks whether the worker lives and hears.
    pub is_probe: bool,
}

/// One in so many direct messages may be a question.
const PROBE_FRACTION: usize = 4;

impl ClusterState {
    /// Commands that a worker should execute now.
    #[must_use]
    pub fn commands(&self, name: &str, now: f64) -> Vec<Command> {
        let mut out = Vec::new();
        let Some(worker) = self.workers.get(name) else {
            return out;
        };
        for orphan in &worker.orphaned_attempts {
            let (task, attempt) = (orphan.task.clone(), orphan.attempt);
            out.push(if orphan.ended {
                Command::Clear { task, attempt }
            } else {
                Command::Stop {
                    task,
                    attempt,
                    grace_s: 0.0,
                }
            });
        }
        for held in worker
            .attempts
            .iter()
            .filter(|h| h.incarnation == worker.incarnation)
        {
            let attempt = held.number;
            match (held.phase, held.stop) {
                (AttemptPhase::Recorded, None) if !held.restored => {
                    let task = held.task_name();
                    out.push(Command::Start { task, attempt });
                }
                (AttemptPhase::Recorded | AttemptPhase::Observed(_), Some(stop))
                    if held.start_sent =>
                {
                    let grace_s = stop_grace_s(held, stop, now);
                    if held.phase != AttemptPhase::Observed(TaskState::Saving) || grace_s == 0.0 {
                        out.push(Command::Stop {
                            task: held.task_name(),
                            attempt,
                            grace_s,
                        });
                    }
                }
                (AttemptPhase::Ended(_), _) if held.can_forget() => {
                    let task = held.task_name();
                    out.push(Command::Clear { task, attempt });
                }
                _ => {}
            }
        }
        // Room is made before it is used.
        out.sort_by_key(|c| match c {
            Command::Clear { .. } => 0,
            Command::Stop { .. } => 1,
            Command::Start { .. } => 2,
        });
        out
    }

    /// Notes that a check-in is answered with our token and these commands.
    pub fn record_heartbeat_response(&mut self, name: &str, commands: &[Command], now: f64) {
        let term = self.config.term;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.lease_renewed_at = now;
        worker.acknowledgement_due = worker.fencing_token < term;
        for command in commands {
            let attempt = match command {
                Command::Start { attempt, .. } | Command::Clear { attempt, .. } => *attempt,
                Command::Stop { .. } => continue,
            };
            let start = matches!(command, Command::Start { .. });
            for held in worker.attempts.iter_mut().filter(|h| h.number == attempt) {
                held.start_sent |= start;
                held.awaiting_acknowledgement = true;
                worker.acknowledgement_due = true;
            }
        }
    }

    /// Direct messages that should go out now: fences, starts that were not
    /// sent yet, and stops. Marks them as under way. `spare` is the part of
    /// them that the process has time for: what does not go out waits for the
    /// worker's next check-in, whose answer carries the same.
    pub fn take_direct_messages(&mut self, now: f64, spare: f64) -> Vec<DirectMessage> {
        let mut out = Vec::new();
        let most = ((self.config.max_direct_messages as f64 * spare) as usize).max(1);
        let mut due = std::mem::take(&mut self.needs_direct_message).into_iter();
        while self.direct_messages_in_flight < most {
            let Some(name) = due.next() else { break };
            let Some(w) = self.workers.get(&name) else {
                continue;
            };
            if w.endpoint.is_empty() || w.return_sent {
                continue;
            }
            let fence = w.fencing_token_seen_at.is_none() && (w.is_up() || !w.attempts.is_empty());
            let act = w.fencing_token_seen_at.is_some()
                && w.incarnation > w.last_dead_incarnation
                && w.attempts.iter().any(|h| {
                    h.incarnation == w.incarnation
                        && match (h.phase, h.stop) {
                            (AttemptPhase::Recorded, None) => !h.start_sent,
                            (
                                AttemptPhase::Recorded
                                | AttemptPhase::Observed(TaskState::Fetching | TaskState::Running),
                                Some(s),
                            ) => h.start_sent && s.at >= w.last_heartbeat_at,
                            _ => false,
                        }
                });
            // Who is in doubt is asked: whoever lives and hears answers.
            let ask = w.incarnation > w.last_dead_incarnation
                && (w.message_order.needs_liveness_probe()
                    || (w.fencing_token_seen_at.is_some() && w.reachability.needs_probe()));
            if !fence && !act {
                // Many may be deaf at once: their questions must not stand in
                // the way of starts. The next check-in brings them up again.
                if !ask || self.probes_in_flight >= most.div_ceil(PROBE_FRACTION) {
                    continue;
                }
            }
            // Those that can't have one now are looked at again.
            if w.direct_message_in_flight || now < w.next_direct_message_at {
                self.needs_direct_message.insert(name);
                continue;
            }
            let commands = if fence {
                Vec::new()
            } else {
                self.commands(&name, now)
            };
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            // A start goes out in one direct message at most, which may be late:
            // check-ins bring it again.
            let fresh = |c: &Command| match c {
                Command::Start { attempt, .. } => {
                    let held = worker.attempts.iter().find(|h| h.number == *attempt);
                    held.is_some_and(|h| !h.start_sent)
                }
                Command::Stop { .. } => true,
                Command::Clear { .. } => false,
            };
            let commands: Vec<Command> = commands.into_iter().filter(fresh).collect();
            let mut starts = Vec::new();
            for command in &commands {
                if let Command::Start { attempt, .. } = command {
                    starts.push(*attempt);
                    for held in worker.attempts.iter_mut().filter(|h| h.number == *attempt) {
                        held.start_sent = true;
                        held.start_messages_in_flight += 1;
                    }
                }
            }
            let question = !fence && !act;
            self.probes_in_flight += usize::from(question);
            worker.direct_message_in_flight = true;
            worker.message_order.liveness_probe_sent();
            self.direct_messages_in_flight += 1;
            let session = if worker.incarnation > 0 {
                worker.incarnation
            } else {
                worker
                    .attempts
                    .iter()
                    .map(|h| h.incarnation)
                    .max()
                    .unwrap_or(1)
            };
            out.push(DirectMessage {
                worker: name,
                endpoint: worker.endpoint.clone(),
                incarnation: session,
                commands,
                started_attempts: starts,
                sent_after: worker.message_order.newest,
                is_probe: question,
            });
        }
        self.needs_direct_message.extend(due);
        out
    }

    /// A direct message was answered, or given up (`answered` false). When
    /// given up, its starts may yet be executed. `never_sent` tells that no
    /// connection came about.
    pub fn record_direct_message_result(
        &mut self,
        message: &DirectMessage,
        answered: bool,
        never_sent: bool,
        now: f64,
    ) {
        let (report_s, limits) = (
            self.config.heartbeat_interval_s,
            self.config.reachability_thresholds(),
        );
        self.direct_messages_in_flight = self.direct_messages_in_flight.saturating_sub(1);
        self.probes_in_flight = self
            .probes_in_flight
            .saturating_sub(usize::from(message.is_probe));
        self.needs_direct_message.insert(message.worker.clone());
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        worker.direct_message_in_flight = false;
        if answered {
            worker.direct_failures = 0;
        } else {
            worker.direct_failures += 1;
            // It speaks, and does not hear.
            if now - worker.last_heartbeat_at < report_s * 1.5 {
                worker
                    .reachability
                    .record(Evidence::Unanswered, now, &limits);
            }
            let doublings = worker.direct_failures.min(4) - 1;
            worker.next_direct_message_at = now + report_s * 0.5 * f64::from(1u32 << doublings);
        }
        for held in &mut worker.attempts {
            if message.started_attempts.contains(&held.number) {
                held.start_messages_in_flight = held.start_messages_in_flight.saturating_sub(1);
                if !answered && !never_sent {
                    held.start_in_doubt_since = Some(now);
                }
            }
        }
    }
}

/// Grace that a stop gives: enough to save, or none.
fn stop_grace_s(held: &Attempt, stop: StopDecision, now: f64) -> f64 {
    let saves = held.spec.checkpoint_every_s > 0.0;
    let wanted = !matches!(stop.reason, StopReason::Cancelled | StopReason::Duplicate);
    // A save that takes many times what was said is ended.
    let overdue = now - stop.at > held.spec.checkpoint_s * 4.0 + 5.0;
    if saves && wanted && !overdue {
        held.spec.checkpoint_s.max(0.001)
    } else {
        0.0
    }
}
