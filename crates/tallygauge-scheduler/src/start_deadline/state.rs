//! What the cluster state keeps for the start deadline.

use std::collections::BTreeMap;

/// A job that is near its start deadline and has tasks that never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartClaim {
    /// Place among such jobs, in the order of their acceptance.
    pub(crate) order: u32,
    /// None of its tasks is done or on a machine that sends heartbeats.
    pub(crate) needs_first_start: bool,
    /// It is one of the large jobs of its class.
    pub(crate) large: bool,
    /// It is large and little time is left: all its tasks that never ran have
    /// priority.
    pub(crate) prioritizes_all_tasks: bool,
    /// How many of its tasks were on machines when the claim was made.
    pub(crate) attempts_when_claimed: usize,
}

/// Jobs that are near their start deadline.
#[derive(Debug, Default)]
pub(crate) struct StartDeadlines {
    /// Their claims, by job id.
    pub(crate) claims: BTreeMap<String, StartClaim>,
    /// Machines reserved for their first tasks, by name, with the CPUs of the
    /// smallest task that may start there.
    pub(crate) reserved: BTreeMap<String, f64>,
}
