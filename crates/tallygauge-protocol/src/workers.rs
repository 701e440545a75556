//! Messages between workers and controllers: heartbeats, which workers send, their
//! responses with commands, and commands that the leader sends directly (HTTP with
//! JSON bodies).
//!
//! The JSON names are given by the workers and are not this code's terms (`bench`,
//! `shift`, `baton`, ...). They are mapped to the field's terms here, once, by serde.

use serde::{Deserialize, Serialize};

/// Time that a worker waits for the response to a heartbeat, seconds.
pub const HEARTBEAT_RESPONSE_TIMEOUT_S: f64 = 4.0;

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// It runs.
    Running,
    /// It was told to stop and writes its checkpoint.
    Saving,
    /// It has ended, see [`TaskStatus::cause`].
    Ended,
    /// A state that this version does not know: the task counts as being on the
    /// machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// It completed.
    Done,
    /// It was stopped by a command.
    Halted,
    /// It failed.
    Error,
    /// The start was refused: not enough free resources.
    NoRoom,
    /// The start was refused: another attempt of the task is on the machine.
    Busy,
    /// The start was refused: no such job or task.
    NoSuch,
    /// A cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job id, a slash, and the task's number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether it left a checkpoint when it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kept")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat with the status of its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine name.
    #[serde(rename = "bench")]
    pub machine: String,
    /// Address on which the worker takes direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Agent incarnation; grows each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number; grows with every message of the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud reclaims the spot instance, once that is announced.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub spot_reclaim_in_s: Option<f64>,
    /// Status of all tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    Start {
        /// Job id, a slash, and the task's number.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// Job id, a slash, and the task's number.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that it has for its checkpoint, seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget a task that has ended.
    Clear {
        /// Job id, a slash, and the task's number.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that the leader sends outside of a heartbeat's response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Agent incarnation that they are for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421: the controller is not the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the leader, if it is known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[cfg(test)]
mod tests;
