//! An attempt to run a task on a worker, from its placement to its end.

use std::sync::Arc;
use tallygauge_protocol::{
    users::JobSpec,
    workers::{EndCause, TaskState},
};

/// Phase of an attempt's life.
///
/// | From | To | By |
/// |---|---|---|
/// | - | `Planned` | [`Attempt::new`]: placed by a scheduling round |
/// | - | `Recorded` | [`Attempt::restored`]: recovered from a batch of an earlier leader, or adopted from a heartbeat |
/// | `Planned` | `Recorded` | `record_committed`: its placement batch is durable |
/// | `Recorded`, `Observed` | `Observed` | `observe`: a heartbeat shows it |
/// | `Recorded`, `Observed` | `Ended` | `end`: a heartbeat shows that it is over |
///
/// An attempt in `Planned` is seen by no worker, as its start is sent only once it
/// is durable. `Ended` is final. In every phase an attempt may be removed: a
/// `Planned` one when its batch is rejected, the others when their agent
/// incarnation is over or the worker has forgotten them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Placed by a scheduling round, not durable yet.
    Planned,
    /// Durable; its start is to be sent or was sent, but no heartbeat has shown it.
    Recorded,
    /// A heartbeat has shown it in this state.
    Observed(TaskState),
    /// Over; kept until the worker has forgotten it.
    Ended(EndCause),
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or is over.
    Cancelled,
    /// For a job with a higher claim.
    Preempted,
    /// The cloud reclaims its spot instance.
    SpotNotice,
    /// Its machine is to be returned.
    Drained,
    /// The task is done by another attempt.
    Duplicate,
}

/// An attempt that is to go into the next placement batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnbatchedAttempt {
    /// Worker that it is on.
    pub(crate) worker: String,
    /// Number of the attempt.
    pub(crate) attempt: u64,
}

/// A decision to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopDecision {
    /// Why.
    pub reason: StopReason,
    /// When it was made, in seconds of the leader's steady clock.
    pub at: f64,
}

/// An attempt of a task on a worker, from its placement until the worker has
/// forgotten it. Times are seconds of the leader's steady clock.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// Number of the task within the job.
    pub index: u32,
    /// Number of the attempt, unique over all terms.
    pub number: u64,
    /// Agent incarnation that it was placed in or last reported by.
    pub incarnation: u64,
    /// Phase of its life.
    pub phase: AttemptPhase,
    /// When it was placed.
    pub placed_at: f64,
    /// When it was first known to run.
    pub running_since: Option<f64>,
    /// Run time that its checkpoint held when it was placed, in seconds.
    pub checkpointed_s: f64,
    /// The decision to stop it.
    pub stop: Option<StopDecision>,
    /// Whether an earlier leader placed it.
    pub restored: bool,
    /// Whether its start was sent, in a heartbeat response or a direct message.
    pub start_sent: bool,
    /// Direct messages with its start that are unanswered.
    pub start_messages_in_flight: u32,
    /// Since when a direct message with its start is in doubt: it timed out but may
    /// yet arrive. Until this incarnation is over the worker must know the attempt.
    pub start_in_doubt_since: Option<f64>,
    /// Whether all that follows from its end is durable.
    pub end_durable: bool,
    /// The durable placement batch that it is in.
    pub batch: Option<Arc<str>>,
    /// Whether the last heartbeat response carried its start, or told the worker to
    /// forget it: the next heartbeat must show that.
    pub awaiting_acknowledgement: bool,
}

impl Attempt {
    /// A planned attempt.
    #[must_use]
    pub fn new(
        spec: Arc<JobSpec>,
        index: u32,
        number: u64,
        incarnation: u64,
        placed_at: f64,
    ) -> Self {
        Self {
            spec,
            index,
            number,
            incarnation,
            phase: AttemptPhase::Planned,
            placed_at,
            running_since: None,
            checkpointed_s: 0.0,
            stop: None,
            restored: false,
            start_sent: false,
            start_messages_in_flight: 0,
            start_in_doubt_since: None,
            end_durable: false,
            batch: None,
            awaiting_acknowledgement: false,
        }
    }

    /// An attempt that an earlier leader placed: it is recorded, and its start may
    /// have been sent.
    #[must_use]
    pub fn restored(
        spec: Arc<JobSpec>,
        index: u32,
        number: u64,
        incarnation: u64,
        placed_at: f64,
    ) -> Self {
        Self {
            phase: AttemptPhase::Recorded,
            restored: true,
            start_sent: true,
            ..Self::new(spec, index, number, incarnation, placed_at)
        }
    }

    /// Its placement batch is durable. An attempt that a heartbeat has shown before
    /// keeps its phase.
    pub(crate) fn record_committed(&mut self, batch: &Arc<str>) {
        if self.phase == AttemptPhase::Planned {
            self.phase = AttemptPhase::Recorded;
        }
        self.batch = Some(batch.clone());
    }

    /// A heartbeat shows it, not ended, in this state.
    pub(crate) fn observe(&mut self, state: TaskState) {
        self.phase = AttemptPhase::Observed(state);
    }

    /// A heartbeat shows that it is over.
    pub(crate) fn end(&mut self, cause: EndCause) {
        self.phase = AttemptPhase::Ended(cause);
    }

    /// Decides to stop it; replaces an earlier decision.
    pub(crate) fn request_stop(&mut self, reason: StopReason, now: f64) {
        self.stop = Some(StopDecision { reason, at: now });
    }

    /// Whether it is over.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(_))
    }

    /// Whether it occupies capacity of its machine.
    #[must_use]
    pub fn occupies_capacity(&self) -> bool {
        !self.is_ended()
    }

    /// Whether it occupies capacity but is in no durable placement batch.
    #[must_use]
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.occupies_capacity() && self.batch.is_none()
    }

    /// Whether the worker may be told to forget it.
    #[must_use]
    pub fn can_forget(&self) -> bool {
        self.is_ended() && self.end_durable && !self.may_yet_start()
    }

    /// Whether a direct message with its start may still arrive.
    #[must_use]
    pub fn may_yet_start(&self) -> bool {
        self.start_messages_in_flight > 0 || self.start_in_doubt_since.is_some()
    }

    /// When it is over at the latest, given when its incarnation's lease expires.
    /// Infinite while a direct message with its start is unanswered. If such a start
    /// is in doubt, the agent may have restarted without our knowledge: the start is
    /// executed if it arrives in the incarnation of the same number, and what it
    /// starts lives for one more lease. A message that is delayed for longer than a
    /// lease, to a machine that restarted meanwhile, is not covered.
    #[must_use]
    pub fn latest_end(&self, lease_expiry: f64, lease_s: f64) -> f64 {
        match self.start_in_doubt_since {
            _ if self.start_messages_in_flight > 0 => f64::INFINITY,
            Some(since) => lease_expiry.max(since + 2.0 * lease_s),
            None => lease_expiry,
        }
    }

    /// The task's name on the wire, such as `req-000412/3`.
    #[must_use]
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.spec.id, self.index)
    }

    /// Whether this is its task's name, without building it.
    #[must_use]
    pub fn has_task_name(&self, name: &str) -> bool {
        name.strip_prefix(self.spec.id.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|index| index.parse() == Ok(self.index))
    }

    /// Run time of this attempt until now, in seconds.
    #[must_use]
    pub fn run_time_s(&self, now: f64) -> f64 {
        self.running_since
            .map_or(0.0, |since| (now - since).max(0.0))
    }
}

/// Bits of an attempt's number below the term. The term is part of the number, so
/// that numbers never repeat; terms and attempts stay exact integers in any JSON
/// reader.
pub(crate) const ATTEMPT_SEQUENCE_BITS: u32 = 28;

/// The number before that of a term's first attempt.
pub(crate) fn number_before_first_attempt(term: u64) -> u64 {
    (term << ATTEMPT_SEQUENCE_BITS) + 1
}
