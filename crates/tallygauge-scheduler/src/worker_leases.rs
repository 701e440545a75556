//! Leases of workers: until when they are renewed, and what ends with them.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};

impl ClusterState {
    /// Whether a heartbeat of a machine may be answered, which renews the worker's lease.
    ///
    /// It may not while a cancelled task can still start there, from a time on that lets the
    /// lease expire within the cancel timeout: a stop does not prevent the start of an attempt
    /// that the worker does not know yet, but a start is refused once its incarnation has ended.
    pub fn may_renew_lease(&mut self, machine: &str, now: f64) -> bool {
        let Some(worker) = self.workers.get_mut(machine) else {
            return false;
        };
        if !worker.must_let_lease_expire(now, &self.config) {
            worker.renewal_withheld_since = None;
            return true;
        }
        if worker.renewal_withheld_since.is_none() {
            worker.renewal_withheld_since = Some(now);
            self.events.push(ClusterEvent::LeaseRenewalWithheld {
                machine: machine.to_string(),
            });
        }
        false
    }

    /// Latest time at which the lease of the worker's current incarnation expires if no
    /// further heartbeat is answered.
    #[must_use]
    pub fn lease_expiry(&self, worker: &Worker) -> f64 {
        let earlier_leaders_fenced_at = worker.fencing_token_seen_at.unwrap_or_else(|| {
            // An earlier leader that could not confirm its term may have answered
            // heartbeats until its fencing timeout.
            self.term_started_at + self.config.with_clock_drift(self.config.fencing_timeout_s)
        });
        worker
            .lease_renewed_at
            .max(earlier_leaders_fenced_at)
            .max(worker.incarnation_seen_at)
            + self.config.with_clock_drift(self.config.lease_s)
    }

    /// Ends the attempts on workers whose lease has expired.
    pub(crate) fn expire_leases(&mut self, now: f64) {
        let expired: Vec<String> = self
            .workers
            .values()
            .filter(|worker| {
                let mut attempts = worker.attempts.iter();
                let may_run_any = attempts.any(|attempt| !worker.awaits_fencing(attempt));
                may_run_any && now > self.lease_expiry(worker)
            })
            .map(|worker| worker.name.clone())
            .collect();
        for machine in expired {
            let Some(worker) = self.workers.get(&machine) else {
                continue;
            };
            let incarnations = worker.attempts.iter().map(|attempt| attempt.incarnation);
            let last_incarnation = incarnations.max().unwrap_or(0).max(worker.incarnation);
            if let Some(worker) = self.workers.get_mut(&machine) {
                worker.last_dead_incarnation = worker.last_dead_incarnation.max(last_incarnation);
            }
            self.end_dead_attempts(&machine, now, |_| true);
        }
    }
}

impl Worker {
    /// Whether an attempt of a cancelled job may still start on the machine, and was placed so
    /// long ago that the lease must not be renewed any more.
    ///
    /// No user can have been told of the cancellation before the attempt was placed, because
    /// the placement is stored only while the job is active.
    pub(crate) fn must_let_lease_expire(&self, now: f64, config: &Config) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.phase == AttemptPhase::Recorded
                && attempt.start_undelivered
                && attempt.is_cancelled()
                && attempt.incarnation == self.incarnation
                && now - attempt.placed_at > config.fencing_timeout_s
        })
    }
}
