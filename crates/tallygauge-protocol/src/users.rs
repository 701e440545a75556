//! What users send and receive.

use serde::{Deserialize, Serialize};

/// Seconds that a user waits for the state of a job.
pub const POLL_TIMEOUT_S: f64 = 2.0;

/// Seconds that a task must run for its start to count.
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
    /// Lowest.
    Low,
    /// The usual.
    Normal,
    /// Above normal.
    #[serde(rename = "urgent")]
    High,
    /// Highest.
    Production,
}

/// A submitted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id chosen by the user.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Class of jobs, named by the objectives in the settings.
    #[serde(rename = "workload")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array or service.
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
    /// Image the machine must hold.
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
    /// All tasks in one zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The owner's estimate of a task's run time; 0 for services.
    #[serde(rename = "expectedS")]
    pub expected_s: f64,
    /// Interval of progress between checkpoints; 0: never saves.
    #[serde(rename = "snapshotEveryS")]
    pub checkpoint_every_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "snapshotS")]
    pub checkpoint_s: f64,
    /// Deadline measured from submission.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

/// Most tasks that one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// Whether a job id has the form `req-` and digits.
#[must_use]
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("req-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

impl JobSpec {
    /// Checks the values that the types alone do not rule out.
    ///
    /// # Errors
    /// A sentence for the user naming the field.
    pub fn validate(&self) -> Result<(), String> {
        if !is_valid_job_id(&self.id) {
            return Err("nameId must be 'req-' followed by digits".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("pieces must be 1 to {MAX_TASKS}"));
        }
        for (name, value) in [
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
                return Err(format!("{name} must not be negative"));
            }
        }
        for (name, text) in [
            ("workload", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name} must have 1 to 200 bytes"));
            }
        }
        Ok(())
    }
}

/// State of a job as told to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// No task runs.
    Pending,
    /// Some task runs.
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
    /// Its state.
    pub status: JobStatus,
    /// Tasks done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks running.
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
