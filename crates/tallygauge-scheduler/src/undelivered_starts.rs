//! Direct messages with starts that were given up. Such a message may arrive at any later
//! time, and its start is executed if its incarnation matches that of the agent. A later
//! incarnation does not rule that out: an agent that restarts begins with the first
//! incarnation again, and has forgotten the attempt.
//!
//! So the task of such an attempt is bound to its machine for as long as the machine exists:
//! - the attempt is not taken as over when its incarnation ends;
//! - when the agent reports in a later incarnation, heartbeat responses start the same
//!   attempt there; a late start of an attempt that the agent knows has no effect;
//! - when the agent has restarted, or the attempt is cancelled, the machine is returned to the
//!   cloud. The task is released when the machine no longer exists.

use crate::{cluster_state::ClusterState, model::*};

impl ClusterState {
    /// Ends the attempts on a machine of agent incarnations before `incarnation`, in which its
    /// agent now reports. Those whose start may still arrive are kept; unless they are
    /// cancelled, they are started again in this incarnation.
    pub(crate) fn end_earlier_incarnations(&mut self, machine: &str, incarnation: u64, now: f64) {
        self.end_attempts(machine, now, |attempt| {
            attempt.incarnation < incarnation && !attempt.outlives_incarnation()
        });
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let kept = worker.attempts.iter().enumerate();
        let carried_over: Vec<(usize, f64)> = kept
            .filter(|(_, attempt)| attempt.incarnation < incarnation && !attempt.is_cancelled())
            .map(|(position, attempt)| (position, self.checkpoint_after_loss(attempt, now)))
            .collect();
        if let Some(worker) = self.workers.get_mut(machine) {
            for (position, checkpointed_s) in carried_over {
                worker.attempts[position].carry_over(incarnation, checkpointed_s);
            }
        }
    }
}

impl Attempt {
    /// Whether it is kept when its agent incarnation ends, because its start may still be
    /// executed.
    pub(crate) fn outlives_incarnation(&self) -> bool {
        self.may_yet_start() && !self.is_ended()
    }

    /// Whether a direct message with its start was given up and may still arrive.
    pub(crate) fn is_start_indeterminate(&self) -> bool {
        self.start_indeterminate_since.is_some()
    }
}

impl Worker {
    /// Whether its agent has restarted while a start may still arrive: nothing tells whether
    /// the restarted agent executes it. Only the end of the machine does.
    pub(crate) fn has_restarted_before_late_start(&self) -> bool {
        self.agent_restarted && self.attempts.iter().any(Attempt::outlives_incarnation)
    }

    /// Whether a start of a cancelled attempt was given up and may still arrive.
    pub(crate) fn has_undelivered_cancelled_start(&self) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.is_cancelled() && attempt.is_start_indeterminate() && !attempt.is_ended()
        })
    }

    /// Whether an attempt occupies capacity on the machine only because its start may still
    /// arrive there: the agent does not run it, and is not told to.
    pub(crate) fn only_awaits_late_start(&self, attempt: &Attempt) -> bool {
        let is_past_incarnation = attempt.incarnation < self.incarnation
            || attempt.incarnation <= self.last_dead_incarnation;
        let is_unseen = attempt.phase == AttemptPhase::Recorded && attempt.stop.is_some();
        attempt.is_start_indeterminate() && (is_past_incarnation || is_unseen)
    }

    /// Whether some attempt occupies capacity that is not only kept for a late start.
    pub(crate) fn has_live_attempts(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.occupies_capacity() && !self.only_awaits_late_start(attempt))
    }
}
