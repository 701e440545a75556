//! Events in the cluster that an operator may want to know of.
//!
//! The scheduler has no log of its own: it appends events to
//! [`ClusterState::events`](crate::ClusterState::events), and its caller drains and
//! logs them.

use crate::model::ReturnReason;
use std::sync::Arc;
use tallygauge_health::Evidence;
use tallygauge_protocol::workers::{EndCause, TaskState};

/// An event in the cluster. Durations are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum ClusterEvent {
    /// The cloud announced that it will reclaim a spot instance.
    SpotNoticeReceived {
        /// Name of the machine.
        machine: String,
    },
    /// A worker sends heartbeats, but messages sent to it do not seem to arrive.
    MachineUnreachable {
        /// Name of the machine.
        machine: String,
        /// The most recent evidence.
        evidence: Evidence,
    },
    /// A worker's agent restarted; the tasks on it are lost.
    AgentRestarted {
        /// Name of the machine.
        machine: String,
    },
    /// The scheduler decided to return a machine to the cloud.
    MachineReturnDecided {
        /// Name of the machine.
        machine: String,
        /// Why the machine is returned.
        reason: ReturnReason,
    },
    /// A worker's heartbeats are no longer answered, because a cancelled task may still start
    /// there. Its lease expires unless the task is seen to end.
    LeaseRenewalWithheld {
        /// Name of the machine.
        machine: String,
    },
    /// Jobs of underserved groups take precedence from now on.
    MinimumShareEnforced {
        /// Number of jobs that take precedence.
        jobs: usize,
        /// The groups that are below their minimum share.
        groups: Vec<UnderservedGroup>,
    },
    /// No group is underserved any more.
    MinimumShareReached,
    /// Something that happened to an attempt.
    Attempt(AttemptEvent),
    /// A step in the life of a job.
    Job(JobEvent),
    /// A change of a batch deadline.
    Cutoff(CutoffAlert),
}

/// Something that happened to an attempt. Durations are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// An attempt was lost because its agent incarnation has ended.
    Lost {
        /// Name of the task, `JOB/INDEX`.
        task: String,
        /// Name of the machine that it was on.
        machine: String,
        /// Whether its start, sent by a leader of an earlier version, may still arrive at the machine.
        start_undelivered: bool,
    },
    /// A heartbeat reported an attempt for the first time.
    FirstObserved {
        /// Name of the task, `JOB/INDEX`.
        task: String,
        /// Name of the machine that it is on.
        machine: String,
        /// Number of the attempt.
        attempt: u64,
        /// Its state on the machine.
        state: TaskState,
    },
    /// A worker has an attempt of this term that it had been told to forget: a copy of its start
    /// has arrived.
    Reappeared {
        /// Name of the task, `JOB/INDEX`.
        task: String,
        /// Name of the machine that it is on.
        machine: String,
        /// Number of the attempt.
        attempt: u64,
        /// Its state on the machine.
        state: TaskState,
    },
    /// An attempt is stopped for a job that takes precedence.
    Preempted {
        /// Name of the task, `JOB/INDEX`.
        task: String,
        /// Name of the machine that it is on.
        machine: String,
        /// Id of the job that the attempt makes room for.
        preempted_by: String,
    },
    /// An attempt ended without completing its task.
    Ended {
        /// Name of the task, `JOB/INDEX`.
        task: String,
        /// Name of the machine that it was on.
        machine: String,
        /// Why it ended.
        cause: EndCause,
        /// Whether its checkpoint was saved, if the worker said so.
        checkpointed: Option<bool>,
    },
}

/// A step in the life of a job. Durations are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum JobEvent {
    /// A job has ended, and its attempts that have not ended are to be stopped.
    Stopping {
        /// Id of the job.
        job: String,
        /// Number of attempts to be stopped.
        attempts: usize,
        /// Numbers of those among them whose start may still arrive at their workers.
        undelivered_starts: Vec<u64>,
    },
    /// A task of a job was seen running for the first time.
    Started {
        /// Id of the job.
        job: String,
        /// Time since the job was accepted.
        wait_s: f64,
        /// Class of the job.
        class: String,
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// No task of a job is pending any more.
    Placed {
        /// Id of the job.
        job: String,
        /// Time since the job was accepted.
        wait_s: f64,
        /// Class of the job.
        class: String,
        /// Number of tasks of the job.
        tasks: u32,
        /// Whether it is among the largest jobs of its class.
        is_large: bool,
    },
}

/// A change of a batch deadline. Durations are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum CutoffAlert {
    /// The first job that counts for a cutoff was added.
    Opened {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Whether an operator declared the cutoff; otherwise it was inferred from jobs.
        is_declared: bool,
    },
    /// A cutoff is expected to be missed.
    AtRisk {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Whether an operator declared the cutoff; otherwise it was inferred from jobs.
        is_declared: bool,
        /// Number of jobs that are not completed.
        open_jobs: usize,
        /// Remaining work in CPU seconds.
        remaining_cpu_s: f64,
        /// By how much it is expected to be missed.
        late_s: f64,
        /// Additional CPUs that would be needed to meet it.
        missing_cpus: f64,
    },
    /// The time of a cutoff passed while it had open jobs.
    Passed {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// Number of jobs that are not completed.
        open_jobs: usize,
    },
    /// All jobs of a cutoff were completed in time.
    Met {
        /// Name of the cutoff.
        cutoff: Arc<str>,
    },
    /// All jobs of a cutoff are completed, the last one after the cutoff.
    Missed {
        /// Name of the cutoff.
        cutoff: Arc<str>,
        /// How long after the cutoff the last job was completed.
        late_s: f64,
    },
}

/// A group of jobs that is below its minimum share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnderservedGroup {
    /// Name of the group.
    pub name: String,
    /// Number of jobs that were completed within a day.
    pub done_within_day: u32,
    /// Number of open jobs that should have been served by now.
    pub overdue: u32,
    /// Number of jobs that must be completed to reach the target share.
    pub to_target_share: u32,
}
