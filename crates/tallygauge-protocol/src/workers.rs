//! What workers and controllers say to each other.

use serde::{Deserialize, Serialize};

/// Seconds that a worker waits for the answer to a report.
pub const RESPONSE_TIMEOUT_S: f64 = 4.0;

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Was told to stop and is saving.
    Saving,
    /// Ended; see the cause.
    Ended,
    /// A word this version does not know: held as if it were on the machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Start refused: not enough free resources.
    NoRoom,
    /// Start refused: the task is there with another attempt.
    Busy,
    /// Start refused: no such job or task.
    NoSuch,
    /// A word this version does not know.
    #[serde(other)]
    Unknown,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Job id, a slash, and the task's number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether its progress was saved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kept")]
    pub checkpointed: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine name.
    #[serde(rename = "bench")]
    pub machine: String,
    /// Where the worker takes direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Session; grows each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Grows with every message of the session.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub spot_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time it is given to save.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget an ended task.
    Clear {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Token of the controllers.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Token of the controllers.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The session they are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// The node to report to.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[cfg(test)]
mod tests;
