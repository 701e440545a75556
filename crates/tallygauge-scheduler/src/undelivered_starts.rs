//! Direct messages with starts that were given up. Such a message may arrive at any later
//! time, and its start is executed if its incarnation matches that of the agent, unless the
//! agent knows the attempt. A later incarnation does not rule that out: an agent that restarts
//! begins with the first incarnation again, and knows no attempt.
//!
//! So the task of such an attempt is bound to its machine for as long as the machine exists:
//! - The attempt is not taken as over when its incarnation ends. When the agent reports in a
//!   later one, heartbeat responses start the same attempt there.
//! - An attempt that ends without completing its task is retained, and its task with it.
//! - The machine is returned to the cloud if the agent has restarted, if the task is to be
//!   placed elsewhere, or if the attempt is cancelled.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::BTreeSet;
use tallygauge_protocol::workers::EndCause;

impl ClusterState {
    /// Ends the attempts on a machine of agent incarnations before `incarnation`, in which its
    /// agent now reports. Those whose start may still arrive are kept; unless they are
    /// cancelled or have ended, they are started again in this incarnation.
    pub(crate) fn end_earlier_incarnations(&mut self, machine: &str, incarnation: u64, now: f64) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let mut earlier = worker.attempts.iter();
        if !earlier.any(|attempt| attempt.incarnation < incarnation) {
            return;
        }
        self.end_dead_attempts(machine, now, |attempt| attempt.incarnation < incarnation);
        self.repeat_attempts(machine, incarnation, now, |attempt| {
            attempt.incarnation < incarnation
        });
    }

    /// Ends the attempts on a machine that `is_dead` selects, whose agent incarnations have
    /// ended. Keeps those whose start may still arrive.
    pub(crate) fn end_dead_attempts(
        &mut self,
        machine: &str,
        now: f64,
        is_dead: impl Fn(&Attempt) -> bool,
    ) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let attempts = worker.attempts.iter();
        let over: BTreeSet<u64> = attempts
            .filter(|attempt| is_dead(attempt) && !self.outlives_incarnation(worker, attempt))
            .map(|attempt| attempt.number)
            .collect();
        self.end_attempts(machine, now, |attempt| over.contains(&attempt.number));
    }

    /// Whether an attempt is kept when its agent incarnation ends: its start may still arrive,
    /// and the task of a job that is open or was cancelled would run once more.
    fn outlives_incarnation(&self, worker: &Worker, attempt: &Attempt) -> bool {
        let is_settled = attempt.is_ended()
            && !attempt.is_cancelled()
            && !self.jobs.contains_key(&attempt.spec.id);
        worker.start_may_arrive(attempt) && !is_settled
    }

    /// Starts the attempts on a machine that `is_lost` selects again in this incarnation, if their
    /// starts may still arrive.
    pub(crate) fn repeat_attempts(
        &mut self,
        machine: &str,
        incarnation: u64,
        now: f64,
        is_lost: impl Fn(&Attempt) -> bool,
    ) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let attempts = worker.attempts.iter();
        let lost: Vec<Attempt> = attempts
            .filter(|attempt| attempt.can_be_repeated() && is_lost(attempt))
            .cloned()
            .collect();
        for attempt in lost {
            self.count_run(&attempt, now);
            let checkpointed_s = self.checkpoint_after_loss(&attempt, now);
            self.update_attempt(machine, attempt.number, |attempt| {
                attempt.repeat(incarnation, checkpointed_s);
            });
        }
    }

    fn update_attempt(&mut self, machine: &str, number: u64, update: impl FnOnce(&mut Attempt)) {
        if let Some(worker) = self.workers.get_mut(machine)
            && let Some(attempt) = worker.attempts.iter_mut().find(|a| a.number == number)
        {
            update(attempt);
        }
    }

    /// Whether an attempt that has ended for this reason goes on occupying its task, capacity
    /// and quota, because its start may still arrive. A task that is completed ends at once
    /// when it is started again.
    pub(crate) fn must_retain_after_end(&self, attempt: &Attempt, cause: EndCause) -> bool {
        attempt.start_undelivered && !self.completes_task(attempt, cause)
    }

    /// Retains an attempt that has ended. `position` is its index in the attempts of its worker.
    pub(crate) fn retain_after_end(
        &mut self,
        now: f64,
        machine: &str,
        position: usize,
        is_checkpointed: bool,
    ) {
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let attempt = worker.attempts[position].clone();
        self.count_run(&attempt, now);
        let checkpointed_s = self.checkpoint_after_end(&attempt, is_checkpointed, now);
        self.update_attempt(machine, attempt.number, |attempt| {
            attempt.retained_after_end = true;
            attempt.end_durable = true;
            attempt.checkpointed_s = checkpointed_s;
            attempt.running_since = None;
        });
    }
}

impl Attempt {
    /// Whether this leader may send its start: it placed the attempt, or the start may arrive
    /// all the same.
    pub(crate) fn may_be_started(&self) -> bool {
        !self.restored || self.start_undelivered
    }

    /// Whether it must be started again on its machine if it was lost there.
    fn can_be_repeated(&self) -> bool {
        self.start_undelivered && !self.is_ended() && !self.is_cancelled()
    }

    /// Lets it be started again in this incarnation of its agent, unless its earlier start
    /// arrives first. Any decision to stop it is dropped.
    fn repeat(&mut self, incarnation: u64, checkpointed_s: f64) {
        self.incarnation = incarnation;
        self.phase = AttemptPhase::Recorded;
        self.running_since = None;
        self.checkpointed_s = checkpointed_s;
        self.stop = None;
        self.awaiting_acknowledgement = false;
    }
}

impl Worker {
    /// Whether the start of an attempt may still be executed by the agent, although it was
    /// sent at some time before.
    pub(crate) fn start_may_arrive(&self, attempt: &Attempt) -> bool {
        attempt.start_undelivered || self.awaits_fencing(attempt)
    }

    /// Whether the agent may execute the start of an attempt that an earlier leader placed:
    /// until it has shown this leader's fencing token, and again when it has restarted.
    pub(crate) fn awaits_fencing(&self, attempt: &Attempt) -> bool {
        attempt.restored && (self.fencing_token_seen_at.is_none() || self.agent_restarted)
    }

    /// Whether a task waits until a start that was given up can't be executed any more, which
    /// only the end of the machine makes certain: its attempt has ended, or the agent has
    /// restarted and may have executed the start.
    pub(crate) fn must_end_before_late_start(&self) -> bool {
        self.attempts.iter().any(|attempt| {
            self.start_may_arrive(attempt)
                && attempt.occupies_capacity()
                && (self.agent_restarted
                    || self.has_restarted_since(attempt)
                    || attempt.is_ended() && !attempt.is_cancelled())
        })
    }

    /// Drops the decisions to drain attempts that were never observed and whose start may still
    /// arrive. No report confirms their end, so on a machine that is kept they would wait for it.
    pub(crate) fn keep_undelivered_attempts(&mut self) {
        for attempt in &mut self.attempts {
            let is_drained = attempt
                .stop
                .is_some_and(|stop| stop.reason == StopReason::Drained);
            let is_unseen = attempt.phase == AttemptPhase::Recorded;
            if attempt.start_undelivered && is_unseen && is_drained {
                attempt.stop = None;
            }
        }
    }

    /// Whether a start of a cancelled attempt was given up and may still arrive.
    pub(crate) fn has_undelivered_cancelled_start(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.is_cancelled() && attempt.start_undelivered)
    }

    /// Whether some attempt occupies capacity on the machine for another reason than that its
    /// start may still arrive.
    pub(crate) fn has_live_attempts(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.occupies_capacity() && !self.only_awaits_late_start(attempt))
    }

    /// Whether the agent does not run the attempt and is not told to, so that nothing but its
    /// late start is left of it.
    fn only_awaits_late_start(&self, attempt: &Attempt) -> bool {
        let is_past_incarnation = attempt.incarnation < self.incarnation
            || attempt.incarnation <= self.last_dead_incarnation;
        let is_unseen = attempt.phase == AttemptPhase::Recorded && attempt.stop.is_some();
        let is_gone = is_past_incarnation || self.has_restarted_since(attempt) || is_unseen;
        self.awaits_fencing(attempt) || attempt.start_undelivered && (is_gone || attempt.is_ended())
    }

    /// Whether its agent has restarted since the attempt was placed, and has not come as far as
    /// the incarnation that the attempt was placed on. A heartbeat without this leader's token
    /// does not show that: it may be a late copy of an earlier incarnation.
    fn has_restarted_since(&self, attempt: &Attempt) -> bool {
        self.fencing_token_seen_at.is_some() && self.incarnation < attempt.incarnation
    }
}
