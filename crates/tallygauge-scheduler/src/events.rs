//! What happened in the cluster that an operator may want to know.
//!
//! The scheduler has no log of its own: it appends events to
//! [`ClusterState::events`](crate::ClusterState::events), and its caller drains and
//! logs them.

use crate::model::ReturnReason;
use std::sync::Arc;
use tallygauge_health::Evidence;
use tallygauge_protocol::workers::EndCause;

/// Something that happened in the cluster. Times are seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterEvent {
    /// The cloud announced that it reclaims a spot instance.
    SpotNoticeReceived {
        /// Name of the machine.
        machine: String,
    },
    /// A worker sends heartbeats, but what is sent to it seems not to arrive.
    MachineUnreachable {
        /// Name of the machine.
        machine: String,
        /// What was observed last.
        evidence: Evidence,
    },
    /// A worker's agent restarted; the tasks on it are lost.
    AgentRestarted {
        /// Name of the machine.
        machine: String,
    },
    /// It was decided to return a machine.
    MachineReturnDecided {
        /// Name of the machine.
        machine: String,
        /// Why.
        reason: ReturnReason,
    },
    /// An attempt is over because its agent incarnation is.
    AttemptLost {
        /// `JOB/INDEX`.
        task: String,
        /// Machine that it was on.
        machine: String,
    },
    /// An attempt is stopped for a job with a higher claim.
    AttemptPreempted {
        /// `JOB/INDEX`.
        task: String,
        /// Machine that it is on.
        machine: String,
        /// The job that gets its place.
        preempted_by: String,
    },
    /// An attempt ended without completing its task.
    AttemptEnded {
        /// `JOB/INDEX`.
        task: String,
        /// Machine that it was on.
        machine: String,
        /// Why it ended.
        cause: EndCause,
        /// Whether its checkpoint was saved, if the worker said so.
        checkpointed: Option<bool>,
    },
    /// The first task of a job runs.
    JobStarted {
        /// Id of the job.
        job: String,
        /// Time since the job was accepted.
        wait_s: f64,
        /// Class of the job.
        class: String,
        /// Its number of tasks.
        tasks: u32,
    },
    /// No task of a job is pending any more.
    JobPlaced {
        /// Id of the job.
        job: String,
        /// Time since the job was accepted.
        wait_s: f64,
        /// Class of the job.
        class: String,
        /// Its number of tasks.
        tasks: u32,
        /// Whether it is among the largest jobs of its class.
        is_large: bool,
    },
    /// The first job of a cutoff is there.
    CutoffOpened {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Whether an operator declared it; else it was inferred from jobs.
        is_declared: bool,
    },
    /// A cutoff is forecast to be missed.
    CutoffAtRisk {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Whether an operator declared it; else it was inferred from jobs.
        is_declared: bool,
        /// Jobs that are not done.
        open_jobs: usize,
        /// Work that is left, in CPU seconds.
        remaining_cpu_s: f64,
        /// By how much it is forecast to be missed.
        late_s: f64,
        /// CPUs that would be needed on top.
        missing_cpus: f64,
    },
    /// A cutoff passed with open jobs.
    CutoffPassed {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Jobs that are not done.
        open_jobs: usize,
    },
    /// All jobs of a cutoff were done in time.
    CutoffMet {
        /// Name of the cutoff.
        cutoff: Arc<str>,
    },
    /// All jobs of a cutoff are done, the last one too late.
    CutoffMissed {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// By how much.
        late_s: f64,
    },
    /// Jobs of underserved groups take precedence from now on.
    MinimumShareEnforced {
        /// Jobs that take precedence.
        jobs: usize,
        /// The groups that are below their share.
        groups: Vec<UnderservedGroup>,
    },
    /// No group is underserved any more.
    MinimumShareReached,
}

/// A group of jobs that is below its share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnderservedGroup {
    /// Name of the group.
    pub name: String,
    /// Jobs done within a day.
    pub done_within_day: u32,
    /// Open jobs that should have been served by now.
    pub overdue: u32,
    /// Jobs that must be done until the share aimed at is reached.
    pub to_target_share: u32,
}
