//! Durable records of jobs in the key-value store. A job has exactly one of the two records
//! at a time.

use serde::{Deserialize, Serialize};
use tallygauge_protocol::users::{JobSpec, JobStatus};

/// Record of an active job. It does not change while the job is active.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in seconds since the Unix epoch.
    #[serde(rename = "at")]
    pub accepted_at: f64,
}

/// Record of a job that is done or cancelled. It is never removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    /// Status in which the job ended: `done` or `cancelled`.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u32,
}
