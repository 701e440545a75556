//! Durable records of jobs in the key-value store. A job has one of them at a time.

use serde::{Deserialize, Serialize};
use tallygauge_protocol::users::{JobSpec, JobStatus};

/// Record of an active job. It never changes while the job is active.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in seconds since the epoch.
    #[serde(rename = "at")]
    pub accepted_at: f64,
}

/// Record of a job that is done or cancelled. It is never removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    /// `done` or `cancelled`.
    pub status: JobStatus,
    /// Tasks done.
    pub done: u32,
}
