//! Messages of the user interface (HTTP with JSON bodies), which every controller serves:
//! job submissions and the responses about jobs.
//!
//! The JSON names (`pieces`, `owner`, `bundle`, ...) are part of the published interface and
//! differ from the terms of this code. Only this module maps between the two, with serde
//! attributes.

use serde::{Deserialize, Serialize};

/// Time for which a user waits for the response to a poll of a job's state, seconds.
pub const POLL_TIMEOUT_S: f64 = 2.0;

/// Minimum run time of an attempt for the task to count as started, seconds.
pub const MIN_COUNTED_RUN_S: f64 = 30.0;

/// Kind of a job: whether its tasks run to completion or until the job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Job array: independent tasks, each of which runs to completion.
    Array,
    /// Service: replicas that run until the job is cancelled.
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

/// Specification of a job: the body of a submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user; see [`is_valid_job_id`].
    #[serde(rename = "nameId")]
    pub id: String,
    /// Class of the job; the objectives in the settings refer to classes by name.
    #[serde(rename = "workload")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "owner")]
    pub team: String,
    /// Whether the job is an array or a service.
    pub shape: Shape,
    /// Priority.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks; they are numbered from 0.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// CPUs per task.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs per task.
    pub gpus: f64,
    /// Memory per task, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Image that must be in a machine's cache before a task runs there.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Machine types on which tasks may run; `None` allows all.
    #[serde(rename = "builds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone in which tasks must run; `None` allows all.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may be in the same zone.
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Run time of a task as estimated by the user, seconds; 0 for services.
    #[serde(rename = "expectedS")]
    pub expected_s: f64,
    /// Run time between two checkpoints, seconds; 0 means that no checkpoints are written.
    #[serde(rename = "snapshotEveryS")]
    pub checkpoint_every_s: f64,
    /// Time that a task needs to write its checkpoint when it is stopped, seconds.
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: f64,
    /// Deadline, seconds after submission; `None` means no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Whether a job id consists of `req-` and 1 to 20 decimal digits.
#[must_use]
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// Maximum length of the name of a class, a team or an image, bytes.
const MAX_NAME_BYTES: usize = 200;

/// Why a submitted job is invalid. The displayed text is shown to the user, so it names the
/// field as in the JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// The id does not have the form that [`is_valid_job_id`] checks for.
    #[error("nameId must be 'req-' followed by digits")]
    InvalidId,
    /// The job has no tasks, or more than [`MAX_TASKS_PER_JOB`].
    #[error("pieces must be 1 to {MAX_TASKS_PER_JOB}")]
    InvalidTaskCount,
    /// An amount or a duration is negative or not finite.
    #[error("{field} must not be negative")]
    Negative {
        /// Field name in the JSON.
        field: &'static str,
    },
    /// A name is empty or longer than `MAX_NAME_BYTES`.
    #[error("{field} must have 1 to {MAX_NAME_BYTES} bytes")]
    InvalidNameLength {
        /// Field name in the JSON.
        field: &'static str,
    },
}

impl JobSpec {
    /// Checks the constraints on values that the types do not enforce.
    ///
    /// # Errors
    /// Returns a [`JobSpecError`] for the first violated constraint.
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

/// State of a job as shown to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// No task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled by the user.
    Cancelled,
}

/// Response about a job. Only the response to `GET /work/{id}` has the counts.
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

/// Body of every response that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What is wrong, in terms that users understand.
    pub error: String,
}

#[cfg(test)]
mod tests;
