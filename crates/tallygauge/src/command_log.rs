//! The commands of a message to a worker, for the log: which attempts are started, stopped and
//! cleared, and whether a heartbeat is requested.

use tallygauge_protocol::workers::Command;

/// Numbers of the attempts that the commands of one message affect, by kind of command.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct AffectedAttempts {
    pub(crate) started: Vec<u64>,
    pub(crate) stopped: Vec<u64>,
    pub(crate) cleared: Vec<u64>,
    /// Whether the commands request a heartbeat.
    pub(crate) requests_heartbeat: bool,
}

impl AffectedAttempts {
    /// The attempts that these commands affect, in the order of the commands.
    pub(crate) fn of(commands: &[Command]) -> Self {
        let mut affected = Self::default();
        for command in commands {
            if command.is_heartbeat_request() {
                affected.requests_heartbeat = true;
                continue;
            }
            match command {
                Command::Start { attempt, .. } => affected.started.push(*attempt),
                Command::Stop { attempt, .. } => affected.stopped.push(*attempt),
                Command::Clear { attempt, .. } => affected.cleared.push(*attempt),
            }
        }
        affected
    }
}
