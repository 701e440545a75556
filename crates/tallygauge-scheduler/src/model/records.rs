//! Durable records of placements, in the form in which the key-value store holds them.

use super::Resources;
use serde::{Deserialize, Serialize};

/// A durable batch of placements of one scheduling round. It is written once, never
/// changed, and removed when all its attempts have ended.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlacementBatchRecord {
    /// Unix time of the placements, in seconds.
    #[serde(rename = "t")]
    pub placed_at: u64,
    /// Lowest attempt number in the batch. Attempt numbers are stored as offsets from it.
    #[serde(rename = "a")]
    pub first_attempt: u64,
    /// Jobs whose tasks are placed. Tasks refer to a job by its position in this list.
    #[serde(rename = "j")]
    pub jobs: Vec<PlacedJobRecord>,
    /// Workers with the attempts placed on them.
    #[serde(rename = "w")]
    pub workers: Vec<PlacedWorkerRecord>,
}

/// A job in a batch. Stores what is needed to account for its attempts after the job
/// itself has been removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacedJobRecord {
    /// Id of the job.
    #[serde(rename = "j")]
    pub id: String,
    /// Name of its team.
    #[serde(rename = "o")]
    pub team: String,
    /// CPUs, GPUs and memory that one task needs.
    #[serde(rename = "r")]
    pub resources: Resources,
}

/// A worker in a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacedWorkerRecord {
    /// Name of the machine.
    #[serde(rename = "n")]
    pub name: String,
    /// Address for direct messages.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Name of the machine type.
    #[serde(rename = "m")]
    pub machine_type: String,
    /// Name of the zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Agent incarnation that the attempts were placed on.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Attempts placed on it.
    #[serde(rename = "t")]
    pub tasks: Vec<PlacedTaskRecord>,
}

/// Attempts of placement batches whose start a leader of an earlier version sent in a direct message
/// that it gave up.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UndeliveredStartsRecord {
    /// Numbers of the attempts.
    #[serde(rename = "a")]
    pub attempts: Vec<u64>,
}

/// An attempt in a batch. Serialized as an array of its fields, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, u32, u64, u32)", into = "(usize, u32, u64, u32)")]
pub struct PlacedTaskRecord {
    /// Position of the job in the list of jobs of the batch.
    pub job_position: usize,
    /// Number of the task within the job.
    pub index: u32,
    /// Number of the attempt minus `first_attempt` of the batch.
    pub attempt_offset: u64,
    /// Run time saved in the checkpoint that the attempt resumes from, in whole seconds.
    pub checkpointed_s: u32,
}

impl From<(usize, u32, u64, u32)> for PlacedTaskRecord {
    fn from((job_position, index, attempt_offset, checkpointed_s): (usize, u32, u64, u32)) -> Self {
        Self {
            job_position,
            index,
            attempt_offset,
            checkpointed_s,
        }
    }
}

impl From<PlacedTaskRecord> for (usize, u32, u64, u32) {
    fn from(task: PlacedTaskRecord) -> Self {
        (
            task.job_position,
            task.index,
            task.attempt_offset,
            task.checkpointed_s,
        )
    }
}
