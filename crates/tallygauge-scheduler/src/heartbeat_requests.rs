//! Requests for an early heartbeat of a worker for which starts are due.
//!
//! Starts go to workers in heartbeat responses alone. A worker executes a response at once or never,
//! while a copy of a direct message may arrive at any later time and be executed again. So that a
//! start need not wait for the next periodic heartbeat, the leader asks for one in a direct message,
//! with [`Command::request_heartbeat`].

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::workers::Command;

impl ClusterState {
    /// The command that asks a worker for a heartbeat, if starts wait for one. Marks the heartbeat
    /// as requested.
    pub(crate) fn take_heartbeat_request(&mut self, machine: &str) -> Option<Command> {
        let worker = self.workers.get(machine)?;
        if !worker.needs_heartbeat_request() {
            return None;
        }
        let job_id = worker.unsent_starts().next()?.spec.id.clone();
        let number = self.next_attempt_number();
        self.workers.get_mut(machine)?.heartbeat_requested = true;
        Some(Command::request_heartbeat(&job_id, number))
    }
}

impl Worker {
    /// Whether the worker should be asked for a heartbeat: starts are due, no response is held that
    /// can carry them, and none was requested since its last heartbeat.
    pub(crate) fn needs_heartbeat_request(&self) -> bool {
        !self.heartbeat_requested && self.held_response.is_none() && self.has_unsent_start()
    }

    /// Whether a start is due that was not sent yet.
    pub(crate) fn has_unsent_start(&self) -> bool {
        self.unsent_starts().next().is_some()
    }

    /// Attempts of the current incarnation whose start is due and was not sent yet.
    fn unsent_starts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| {
            attempt.incarnation == self.incarnation
                && attempt.phase == AttemptPhase::Recorded
                && attempt.stop.is_none()
                && !attempt.start_sent
        })
    }
}
