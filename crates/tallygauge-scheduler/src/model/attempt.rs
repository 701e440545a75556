//! An attempt to run a task on a worker, from its placement to its end.

use std::sync::Arc;
use tallygauge_protocol::{
    users::JobSpec,
    workers::{EndCause, TaskState},
};

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Mapped in this round, not durable yet.
    Planned,
    /// Durable; its start goes out, or went out, and was not seen yet.
    Recorded,
    /// Seen on the machine.
    Observed(TaskState),
    /// Over; kept until the worker has forgotten it.
    Ended(EndCause),
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or is over.
    Cancelled,
    /// To make room.
    Preempted,
    /// Its machine is about to go.
    SpotNotice,
    /// Its machine is given up.
    Drained,
    /// Another attempt of the task counts.
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

/// A stop that was decided on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopDecision {
    /// Why.
    pub reason: StopReason,
    /// When.
    pub at: f64,
}

/// An attempt of a task on a worker, from plan to forgotten.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// Number of the task.
    pub index: u32,
    /// Attempt.
    pub number: u64,
    /// Session of the worker it was placed in.
    pub incarnation: u64,
    /// Where it stands.
    pub phase: AttemptPhase,
    /// When it was placed.
    pub placed_at: f64,
    /// When it was first known to run.
    pub running_since: Option<f64>,
    /// Progress it began with.
    pub checkpointed_s: f64,
    /// Stop decided on.
    pub stop: Option<StopDecision>,
    /// Recorded by an earlier leader.
    pub restored: bool,
    /// Its start went out in some way.
    pub start_sent: bool,
    /// Direct messages with its start that wait for an answer.
    pub start_messages_in_flight: u32,
    /// Since when a direct message with its start was given up that may yet
    /// arrive: in this session the attempt must stay known to the worker.
    pub start_in_doubt_since: Option<f64>,
    /// What its end means is durable.
    pub end_durable: bool,
    /// The batch of placements that it is on record in.
    pub batch: Option<Arc<str>>,
    /// The answer to the last check-in carried its start, or that it is to be
    /// forgotten: the next one must show that.
    pub awaiting_acknowledgement: bool,
}

impl Attempt {
    /// An attempt that nothing more is known of than where it is.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, index: u32, attempt: u64, session: u64, now: f64) -> Self {
        Self {
            spec,
            index,
            number: attempt,
            incarnation: session,
            phase: AttemptPhase::Planned,
            placed_at: now,
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

    /// Whether it counts as being on the machine.
    #[must_use]
    pub fn occupies_capacity(&self) -> bool {
        !matches!(self.phase, AttemptPhase::Ended(_))
    }

    /// Whether it is on record in no batch.
    #[must_use]
    pub(crate) fn is_unrecorded(&self) -> bool {
        self.occupies_capacity() && self.batch.is_none()
    }

    /// Whether the worker may be told to forget it.
    #[must_use]
    pub fn can_forget(&self) -> bool {
        matches!(self.phase, AttemptPhase::Ended(_)) && self.end_durable && !self.may_yet_start()
    }

    /// Whether a direct message with its start may still be on its way.
    #[must_use]
    pub fn may_yet_start(&self) -> bool {
        self.start_messages_in_flight > 0 || self.start_in_doubt_since.is_some()
    }

    /// When it is over at the latest, its worker's session ending as given. Where
    /// its start may still be on its way, the worker may have begun again unheard:
    /// in the session of the same number such a start is carried out, and what it
    /// starts lives for a lease more. What is held up for longer than a lease, on
    /// a machine that has begun again meanwhile, is not covered.
    #[must_use]
    pub fn certain_end(&self, session_end: f64, lease: f64) -> f64 {
        match self.start_in_doubt_since {
            _ if self.start_messages_in_flight > 0 => f64::INFINITY,
            Some(at) => session_end.max(at + 2.0 * lease),
            None => session_end,
        }
    }

    /// `req-000412/3`.
    #[must_use]
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.spec.id, self.index)
    }

    /// Whether this is its task's name.
    #[must_use]
    pub fn has_task_name(&self, name: &str) -> bool {
        name.strip_prefix(self.spec.id.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|index| index.parse() == Ok(self.index))
    }

    /// Run time in this attempt so far.
    #[must_use]
    pub fn run_time_s(&self, now: f64) -> f64 {
        self.running_since.map_or(0.0, |t| (now - t).max(0.0))
    }
}

/// Attempts are numbered within the term, so that they never repeat; tokens
/// and attempts stay whole numbers in any JSON reader.
pub(crate) const ATTEMPT_BITS: u32 = 28;

/// The attempt before the first of a term.
pub(crate) fn attempt_before_first(term: u64) -> u64 {
    (term << ATTEMPT_BITS) + 1
}
