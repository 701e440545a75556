//! What the leader still waits for: ends of cancelled attempts, starts whose delivery is
//! unknown, and returns of machines. For the summary in the log.

use crate::{cluster_state::ClusterState, model::*};

/// Counts and ages, in seconds, of what the leader waits for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ConfirmationBacklog {
    /// Attempts of ended jobs whose own end no heartbeat has confirmed.
    pub unconfirmed_cancellations: usize,
    /// Age of the oldest decision to stop one of these.
    pub oldest_unconfirmed_s: f64,
    /// Attempts whose start was sent in a direct message that was given up but may still
    /// arrive.
    pub indeterminate_starts: usize,
    /// Ended attempts that can't be cleared for that reason.
    pub uncleared_attempts: usize,
    /// Workers whose lease is not renewed because a cancelled task may still start there.
    pub withheld_leases: usize,
    /// Machines that are to be returned to the cloud.
    pub pending_returns: usize,
    /// Age of the oldest decision to return one of these.
    pub oldest_return_s: f64,
}

impl ClusterState {
    /// What the leader still waits for.
    #[must_use]
    pub fn confirmation_backlog(&self, now: f64) -> ConfirmationBacklog {
        let mut backlog = ConfirmationBacklog::default();
        for worker in self.workers.values() {
            backlog.withheld_leases += usize::from(worker.renewal_withheld_since.is_some());
            backlog.uncleared_attempts += worker.undelivered_ended_attempts();
            if let Some(decision) = worker.return_decisions.first() {
                backlog.pending_returns += 1;
                backlog.oldest_return_s = backlog.oldest_return_s.max(now - decision.at);
            }
            for attempt in worker.attempts.iter().filter(|a| a.occupies_capacity()) {
                backlog.add_attempt(attempt, now);
            }
        }
        backlog
    }
}

impl ConfirmationBacklog {
    fn add_attempt(&mut self, attempt: &Attempt, now: f64) {
        self.indeterminate_starts += usize::from(attempt.start_undelivered);
        if attempt.is_cancelled()
            && let Some(stop) = attempt.stop
        {
            self.unconfirmed_cancellations += 1;
            self.oldest_unconfirmed_s = self.oldest_unconfirmed_s.max(now - stop.at);
        }
    }
}
