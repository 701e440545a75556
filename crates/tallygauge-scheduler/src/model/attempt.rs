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
/// | `Recorded`, `Observed` | `Observed` | `observe`: a heartbeat reports it as not ended |
/// | `Recorded`, `Observed` | `Ended` | `end`: a heartbeat reports that it has ended |
/// | `Recorded`, `Observed` | `Recorded` | `repeat`: its agent has lost it, and is to start it again because its start is undelivered |
///
/// A `Planned` attempt is not yet visible to any worker, because its start command is
/// sent only after its placement batch is durable. `Ended` is final. An attempt may be
/// removed in any phase:
/// - a `Planned` one when its batch is rejected;
/// - one in another phase when its agent incarnation has ended or the worker has
///   forgotten it, unless its start is undelivered: then only when its machine no longer
///   exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Placed by a scheduling round, not durable yet.
    Planned,
    /// Durable. Its start command is due or was sent, but no heartbeat has reported
    /// the attempt.
    Recorded,
    /// The last heartbeat that reported it showed this state.
    Observed(TaskState),
    /// Ended with this cause; kept until the worker has forgotten it.
    Ended(EndCause),
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or has completed.
    Cancelled,
    /// Preempted for a job that takes precedence.
    Preempted,
    /// The cloud is about to reclaim its spot instance.
    SpotNotice,
    /// Its machine is to be returned to the cloud.
    Drained,
    /// Another attempt completed the task.
    Duplicate,
}

/// An attempt that still has to be written into a placement batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnbatchedAttempt {
    /// Name of the worker that the attempt is on.
    pub(crate) worker: String,
    /// Number of the attempt.
    pub(crate) attempt: u64,
}

/// A decision to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopDecision {
    /// Why the attempt is stopped.
    pub reason: StopReason,
    /// When the decision was made, in seconds of the leader's monotonic clock.
    pub at: f64,
}

/// An attempt of a task on a worker, from its placement until the worker has
/// forgotten it. Times are seconds of the leader's monotonic clock.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Spec of the job that the task belongs to.
    pub spec: Arc<JobSpec>,
    /// Number of the task within the job.
    pub index: u32,
    /// Number of the attempt, unique across all terms.
    pub number: u64,
    /// Agent incarnation that the attempt was placed on, or that last reported it.
    pub incarnation: u64,
    /// Current phase.
    pub phase: AttemptPhase,
    /// When it was placed.
    pub placed_at: f64,
    /// When it was first known to be running.
    pub running_since: Option<f64>,
    /// Run time saved in the checkpoint from which the attempt resumes, in seconds, as known
    /// when the attempt was placed.
    pub checkpointed_s: f64,
    /// The decision to stop it, if one was made.
    pub stop: Option<StopDecision>,
    /// Whether it was placed by an earlier leader: recovered from a placement batch, or
    /// adopted from a heartbeat.
    pub restored: bool,
    /// When this leader learnt that its placement is durable.
    pub committed_at: Option<f64>,
    /// Whether its start command was sent, or a worker has the attempt.
    pub start_sent: bool,
    /// Whether a leader of an earlier version sent its start in a direct message that was given
    /// up. The message may arrive for as long as the machine exists. The worker must not be told
    /// to forget the attempt: it would execute the late start.
    pub start_undelivered: bool,
    /// Whether everything that follows from its end is durable.
    pub end_durable: bool,
    /// Whether it occupies its task, capacity and quota although it has ended: its start may
    /// still arrive and run the task once more.
    pub retained_after_end: bool,
    /// Id of the durable placement batch that contains it, if any.
    pub batch: Option<Arc<str>>,
    /// Whether the last heartbeat response carried its start command or told the worker
    /// to forget it. The next heartbeat must reflect that.
    pub awaiting_acknowledgement: bool,
}

impl Attempt {
    /// Creates an attempt in the `Planned` phase.
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
            committed_at: None,
            start_sent: false,
            start_undelivered: false,
            end_durable: false,
            retained_after_end: false,
            batch: None,
            awaiting_acknowledgement: false,
        }
    }

    /// Creates an attempt that an earlier leader placed, in the `Recorded` phase. Its
    /// start command may have been sent.
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

    /// Records that its placement batch is durable. An attempt that a heartbeat has
    /// already reported keeps its phase.
    pub(crate) fn record_committed(&mut self, batch: &Arc<str>, now: f64) {
        if self.phase == AttemptPhase::Planned {
            self.phase = AttemptPhase::Recorded;
        }
        self.batch = Some(batch.clone());
        self.committed_at = Some(now);
    }

    /// Records that a heartbeat reports it in this state, which is not `Ended`.
    pub(crate) fn observe(&mut self, state: TaskState) {
        self.phase = AttemptPhase::Observed(state);
    }

    /// Records that a heartbeat reports its end.
    pub(crate) fn end(&mut self, cause: EndCause) {
        self.phase = AttemptPhase::Ended(cause);
    }

    /// Records the decision to stop it. It replaces an earlier decision, except that a
    /// cancellation is final.
    pub(crate) fn request_stop(&mut self, reason: StopReason, now: f64) {
        if !self.is_cancelled() {
            self.stop = Some(StopDecision { reason, at: now });
        }
    }

    /// Whether it is to be stopped because its job has ended.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        self.stop
            .is_some_and(|stop| stop.reason == StopReason::Cancelled)
    }

    /// Whether a heartbeat has reported its end.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(_))
    }

    /// Whether it occupies capacity of its machine: until its end is reported, and after that
    /// for as long as it is retained.
    #[must_use]
    pub fn occupies_capacity(&self) -> bool {
        !self.is_ended() || self.retained_after_end
    }

    /// Whether it is being stopped: it occupies capacity until its end is reported.
    #[must_use]
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.is_some() && !self.is_ended()
    }

    /// Whether it occupies capacity but no durable placement batch contains it.
    #[must_use]
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.occupies_capacity() && self.batch.is_none()
    }

    /// Whether the worker may be told to forget it.
    #[must_use]
    pub fn can_forget(&self) -> bool {
        self.is_ended() && self.end_durable && !self.start_undelivered
    }

    /// The task's name on the wire, such as `req-000412/3`.
    #[must_use]
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.spec.id, self.index)
    }

    /// Whether `name` is the name of its task on the wire. Does not allocate.
    #[must_use]
    pub fn has_task_name(&self, name: &str) -> bool {
        name.strip_prefix(self.spec.id.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|index| index.parse() == Ok(self.index))
    }

    /// Run time of this attempt until `now`, in seconds; 0 if it is not known to run.
    #[must_use]
    pub fn run_time_s(&self, now: f64) -> f64 {
        self.running_since
            .map_or(0.0, |since| (now - since).max(0.0))
    }
}

/// Number of low bits of an attempt's number that count the attempts of a term. The
/// higher bits hold the term, so that numbers never repeat. The width is chosen so that terms
/// and attempt numbers stay exact integers in any JSON reader.
pub(crate) const ATTEMPT_SEQUENCE_BITS: u32 = 28;

/// The number that precedes the first attempt number of a term.
pub(crate) fn number_before_first_attempt(term: u64) -> u64 {
    (term << ATTEMPT_SEQUENCE_BITS) + 1
}
