//! Messages between workers and controllers (HTTP with JSON bodies): heartbeats from
//! workers, the responses to them, which carry commands, and commands that the leader sends
//! directly.
//!
//! The workers define the JSON names (`bench`, `shift`, `baton`, ...), which differ from the
//! terms of this code. Only this module maps between the two, with serde attributes.

use crate::users::MAX_TASKS_PER_JOB;
use serde::{Deserialize, Serialize};

/// Time for which a worker waits for the response to a heartbeat, seconds.
pub const HEARTBEAT_RESPONSE_TIMEOUT_S: f64 = 4.0;

/// Minimum time between two heartbeats of a worker, seconds, whatever it has to report.
pub const MIN_HEARTBEAT_GAP_S: f64 = 0.5;

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The image of the task is being fetched.
    Fetching,
    /// The task is running.
    Running,
    /// The task received a stop command and is writing its checkpoint.
    Saving,
    /// The task has ended; see [`TaskStatus::cause`].
    Ended,
    /// A state that this version does not know. The task is treated as present on the
    /// machine.
    #[serde(other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task completed.
    Done,
    /// A command stopped the task.
    Halted,
    /// The task failed.
    Error,
    /// The worker rejected the start: not enough free resources.
    NoRoom,
    /// The worker rejected the start: another attempt of the task is on the machine.
    Busy,
    /// The worker rejected the start: the job or the task does not exist.
    NoSuch,
    /// A cause that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task name, `<job id>/<task number>`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task when the heartbeat was sent.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the task ended, if it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EndCause>,
    /// Whether the task left a checkpoint when it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kept")]
    pub checkpointed: Option<bool>,
}

/// Heartbeat of a worker, with the status of its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine name.
    #[serde(rename = "bench")]
    pub machine: String,
    /// Address on which the worker receives direct commands.
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
    /// Agent incarnation; increases each time the worker's lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number; increases with every message of the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Time until the cloud reclaims the spot instance, seconds; `None` unless the cloud has
    /// announced it.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub spot_reclaim_in_s: Option<f64>,
    /// Status of all tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    Start {
        /// Task name, `<job id>/<task number>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "kill")]
    Stop {
        /// Task name, `<job id>/<task number>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time that the task has to write its checkpoint, seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget an ended task, so that heartbeats no longer report it.
    Clear {
        /// Task name, `<job id>/<task number>`.
        #[serde(rename = "piece")]
        task: String,
        /// Attempt number.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Command {
    /// A command that makes a worker send a heartbeat early, for a direct message.
    ///
    /// A worker reports at once what changes its tasks. This starts a task number that no job has,
    /// so the worker refuses it and reports the refusal. It is refused again whenever a copy of the
    /// message arrives, whatever the worker has forgotten meanwhile. `attempt` must be new, because
    /// an attempt that the worker knows changes nothing.
    #[must_use]
    pub fn request_heartbeat(job_id: &str, attempt: u64) -> Self {
        Self::Start {
            task: format!("{job_id}/{MAX_TASKS_PER_JOB}"),
            attempt,
        }
    }

    /// Whether this is a command of [`Self::request_heartbeat`].
    #[must_use]
    pub fn is_heartbeat_request(&self) -> bool {
        match self {
            Self::Start { task, .. } => {
                parse_task_name(task).is_some_and(|(_, number)| number == MAX_TASKS_PER_JOB)
            }
            Self::Stop { .. } | Self::Clear { .. } => false,
        }
    }
}

/// Parses the name of a task into the id of its job and the number of the task.
#[must_use]
pub fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (job_id, number) = name.rsplit_once('/')?;
    Some((job_id, number.parse().ok()?))
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that the leader sends directly, not in the response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Agent incarnation that the commands are for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, in the order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421 response: the controller is not the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the leader, if known.
    #[serde(rename = "foreman", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
}

#[cfg(test)]
mod tests;
