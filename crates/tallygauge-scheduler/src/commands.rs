//! Commands to workers: start, stop or forget an attempt. Heartbeat responses carry all of them,
//! direct messages only stops.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::workers::{Command, TaskState};

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
        // Commands that free capacity precede the starts that use it.
        commands.sort_by_key(|command| match command {
            Command::Clear { .. } => 0,
            Command::Stop { .. } => 1,
            Command::Start { .. } => 2,
        });
        commands
    }

    /// Records that the response to a heartbeat carries this leader's fencing token and
    /// these commands.
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
                if is_start && let Some(wait_s) = attempt.start_wait_s(now) {
                    self.start_waits.record(wait_s);
                }
                attempt.start_sent |= is_start;
                attempt.awaiting_acknowledgement = true;
                worker.acknowledgement_due = true;
            }
        }
    }
}

impl OrphanedAttempt {
    /// The command that removes the attempt from its worker.
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
    /// What the worker should do with the attempt now, if anything.
    fn command(&self, now: f64) -> Option<Command> {
        let attempt = self.number;
        match (self.phase, self.stop) {
            (AttemptPhase::Recorded, None) if self.may_be_started() => Some(Command::Start {
                task: self.task_name(),
                attempt,
            }),
            (AttemptPhase::Recorded | AttemptPhase::Observed(_), Some(stop)) if self.start_sent => {
                let grace_s = stop_grace_s(self, stop, now);
                // An attempt that is saving a checkpoint already is sent another stop
                // only if that stop has no grace period.
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

/// Grace period of a stop, in seconds: the declared time to save a checkpoint, or 0 if
/// none can or should be saved.
fn stop_grace_s(attempt: &Attempt, stop: StopDecision, now: f64) -> f64 {
    let can_save = attempt.spec.checkpoint_every_s > 0.0;
    let should_keep_progress =
        !matches!(stop.reason, StopReason::Cancelled | StopReason::Duplicate);
    // A save that takes much longer than declared is aborted: the limit is four times
    // the declared time, plus 5 s.
    let is_overdue = now - stop.at > attempt.spec.checkpoint_s * 4.0 + 5.0;
    if can_save && should_keep_progress && !is_overdue {
        attempt.spec.checkpoint_s.max(0.001)
    } else {
        0.0
    }
}
