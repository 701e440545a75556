//! Heartbeat responses that are held for a moment, because starts for the worker are about to become
//! due.
//!
//! A heartbeat that reports an end frees capacity. The scheduling round that uses the capacity, and
//! the write that makes its placements durable, come after the heartbeat, so a response that left at
//! once could not carry the starts.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::workers::{Command, Heartbeat};

/// A response that is held. [`ClusterState::end_hold`] ends the hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldResponse {
    /// Name of the machine whose heartbeat is to be answered.
    pub machine: String,
    /// Number of the hold, unique within the term.
    number: u64,
    /// Number of the scheduling round that preceded the heartbeat.
    round: u64,
}

impl ClusterState {
    /// Holds the response to a heartbeat that has just been applied, if a scheduling round may start
    /// tasks on the worker and no command is urgent.
    pub fn hold_response(&mut self, heartbeat: &Heartbeat, now: f64) -> Option<HeldResponse> {
        let machine = heartbeat.machine.as_str();
        let worker = self.workers.get(machine)?;
        let may_get_starts = worker.accepts_work(now, &self.config)
            && self.jobs.values().any(Job::has_pending_tasks);
        if !may_get_starts || self.has_urgent_command(machine, now) {
            return None;
        }
        self.last_hold_number += 1;
        let held = HeldResponse {
            machine: machine.to_string(),
            number: self.last_hold_number,
            round: self.rounds_run,
        };
        self.workers.get_mut(machine)?.held_response = Some(held.number);
        Some(held)
    }

    /// Whether a worker has to start or stop something at once.
    fn has_urgent_command(&self, machine: &str, now: f64) -> bool {
        let commands = self.commands(machine, now);
        commands
            .iter()
            .any(|command| !matches!(command, Command::Clear { .. }))
    }

    /// Whether a held response should go on waiting: no start is due yet, and the round after the
    /// heartbeat is still to come, or its placements on the machine are not durable yet.
    #[must_use]
    pub fn expects_starts(&self, held: &HeldResponse) -> bool {
        let Some(worker) = self.workers.get(&held.machine) else {
            return false;
        };
        let is_planned = |attempt: &Attempt| attempt.phase == AttemptPhase::Planned;
        worker.held_response == Some(held.number)
            && !worker.has_unsent_start()
            && (self.rounds_run == held.round || worker.attempts.iter().any(is_planned))
    }

    /// Ends a hold. Returns whether the worker still waits for the response: it has sent no other
    /// heartbeat, and its agent has not restarted.
    pub fn end_hold(&mut self, held: &HeldResponse) -> bool {
        let Some(worker) = self.workers.get_mut(&held.machine) else {
            return false;
        };
        let is_waiting = worker
            .held_response
            .take_if(|number| *number == held.number)
            .is_some();
        if is_waiting {
            self.needs_direct_message.insert(held.machine.clone());
        }
        is_waiting
    }

    /// Number of heartbeat responses that are held.
    #[must_use]
    pub fn held_responses(&self) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.held_response.is_some())
            .count()
    }
}
