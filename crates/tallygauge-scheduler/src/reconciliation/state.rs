//! What the cluster state keeps for reconciliation.

/// Where the last reconciliation pass stopped.
#[derive(Debug, Default)]
pub(crate) struct ReconciliationCursor {
    /// Id of the last job that was checked.
    pub(crate) last_job: String,
    /// Name of the last machine that was checked.
    pub(crate) last_machine: String,
}
