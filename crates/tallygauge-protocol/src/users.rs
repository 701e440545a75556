//! Messages of the users' interface: submissions of jobs and the answers to them
//! (HTTP with JSON bodies), served by every controller.
//!
//! The JSON names are part of the published interface and are not this code's
//! terms (`pieces`, `owner`, `bundle`, ...). They are mapped to the field's terms
//! here, once, by serde.

use serde::{Deserialize, Serialize};

/// Time that a user waits for the answer to a request for a job's state, seconds.
pub const POLL_TIMEOUT_S: f64 = 2.0;

/// Time that a task must run for its start to count as one, seconds.
pub const MIN_COUNTED_RUN_S: f64 = 30.0;

/// Whether tasks run to completion or until the job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Lowest priority.
    Low,
    /// Normal priority.
    Normal,
    /// Above normal.
    #[serde(rename = "urgent")]
    High,
    /// Highest priority.
    Production,
}

/// A submitted job: body of a submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user, see [`is_valid_job_id`].
    #[serde(rename = "nameId")]
    pub id: String,
    /// Class of jobs, named by the objectives in the settings.
    #[serde(rename = "workload")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "owner")]
    pub team: String,
    /// Job array or service.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks, numbered from 0.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Image that a machine must have in its cache to run a task.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// Whether a zone may have at most half of the tasks, rounded up.
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, seconds; 0 for services.
    #[serde(rename = "expectedS")]
    pub expected_s: f64,
    /// Run time between two checkpoints, seconds; 0: no checkpoints.
    #[serde(rename = "snapshotEveryS")]
    pub checkpoint_every_s: f64,
    /// Time that a task needs to write a checkpoint when it is stopped, seconds.
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: f64,
    /// Deadline, seconds from submission; `None`: no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Most tasks that one job may have.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Whether a job id has the form `req-` and digits.
#[must_use]
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Longest name of a class, a team or an image, bytes.
const MAX_NAME_BYTES: usize = 200;

/// What is wrong with a submitted job. Displays as a sentence for the user that
/// names the field as it is in the JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// The id has not the form that [`is_valid_job_id`] asks for.
    #[error("nameId must be 'req-' followed by digits")]
    InvalidId,
    /// No task, or more than [`MAX_TASKS_PER_JOB`].
    #[error("pieces must be 1 to {MAX_TASKS_PER_JOB}")]
    InvalidTaskCount,
    /// An amount or a time is below 0, or not finite.
    #[error("{field} must not be negative")]
    Negative {
        /// Name of the field in the JSON.
        field: &'static str,
    },
    /// A name is empty or too long.
    #[error("{field} must have 1 to {MAX_NAME_BYTES} bytes")]
    InvalidNameLength {
        /// Name of the field in the JSON.
        field: &'static str,
    },
}

impl JobSpec {
    /// Checks the values that the types alone do not rule out.
    ///
    /// # Errors
    /// The first [`JobSpecError`] that applies.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        if !is_valid_job_id(&self.id) {
            return Err(JobSpecError::InvalidId);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS_PER_JOB {
            return Err(JobSpecError::InvalidTaskCount);
        }
        for (field, value) in [
            ("cores", self.cpus),
            ("gpus", self.gpus),
            ("memGb", self.memory_gb),
            ("pullGb", self.image_gb),
            ("expectedS", self.expected_s),
            ("snapshotEveryS", self.checkpoint_every_s),
            ("snapshotS", self.checkpoint_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(JobSpecError::Negative { field });
            }
        }
        for (field, name) in [
            ("workload", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(JobSpecError::InvalidNameLength { field });
            }
        }
        Ok(())
    }
}

/// State of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by its user.
    Cancelled,
}

/// Answer about a job. The counts are given by `GET /work/{id}` only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// Job id.
    #[serde(rename = "nameId")]
    pub id: String,
    /// State of the job.
    pub status: JobStatus,
    /// Number of tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of every answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What is wrong, in words a user understands.
    pub error: String,
}

#[cfg(test)]
mod tests;
