//! State of the start deadline, as part of the cluster state.

use std::collections::BTreeMap;

/// Claim to early placement of a job that is near its start deadline and has tasks that
/// never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartClaim {
    /// Position of the job among those with a claim, in the order of their acceptance.
    pub(crate) order: u32,
    /// None of its tasks is done, and none is on a machine that sends heartbeats: its
    /// first task is overdue.
    pub(crate) needs_first_start: bool,
    /// The job is one of the large jobs of its class.
    pub(crate) large: bool,
    /// The job is large and little time is left to its start deadline: all its tasks that
    /// never ran have priority.
    pub(crate) prioritizes_all_tasks: bool,
    /// Number of its tasks that were on machines when the claim was made.
    pub(crate) attempts_when_claimed: usize,
}

/// Claims and reservations of the jobs that are near their start deadline.
#[derive(Debug, Default)]
pub(crate) struct StartDeadlines {
    /// Claims by job id.
    pub(crate) claims: BTreeMap<String, StartClaim>,
    /// Machines reserved for first tasks. Maps the name of each machine to the CPUs of the
    /// smallest task that may start on it.
    pub(crate) reserved: BTreeMap<String, f64>,
}
