//! Durable records of placements, as the key-value store keeps them.

use super::Resources;
use serde::{Deserialize, Serialize};

/// A durable batch of placements of one scheduling round. It is written once, never
/// changed, and removed when all its attempts are over.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlacementBatchRecord {
    /// Time of day of the placements, seconds.
    #[serde(rename = "t")]
    pub placed_at: u64,
    /// Lowest attempt number; the others are stored as offsets from it.
    #[serde(rename = "a")]
    pub first_attempt: u64,
    /// Jobs.
    #[serde(rename = "j")]
    pub jobs: Vec<PlacedJobRecord>,
    /// Workers with their attempts.
    #[serde(rename = "w")]
    pub workers: Vec<PlacedWorkerRecord>,
}

/// What a batch stores of a job: enough to account for its attempts when the job is
/// over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacedJobRecord {
    /// Id.
    #[serde(rename = "j")]
    pub id: String,
    /// Team.
    #[serde(rename = "o")]
    pub team: String,
    /// CPUs, GPUs and memory of a task.
    #[serde(rename = "r")]
    pub resources: Resources,
}

/// A worker in a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacedWorkerRecord {
    /// Name.
    #[serde(rename = "n")]
    pub name: String,
    /// Where it takes direct commands.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "m")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Agent incarnation.
    #[serde(rename = "s")]
    pub incarnation: u64,
    /// Its attempts.
    #[serde(rename = "t")]
    pub tasks: Vec<PlacedTaskRecord>,
}

/// An attempt in a batch, stored as an array of its fields in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, u32, u64, u32)", into = "(usize, u32, u64, u32)")]
pub struct PlacedTaskRecord {
    /// Position of the job in the batch.
    pub job_position: usize,
    /// Number of the task within the job.
    pub index: u32,
    /// Number of the attempt less the batch's `first_attempt`.
    pub attempt_offset: u64,
    /// Run time that its checkpoint held, in whole seconds.
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
