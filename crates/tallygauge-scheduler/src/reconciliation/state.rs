//! State of reconciliation that is kept between its calls.

/// Where the last call stopped; the next one continues after it. Empty strings stand for
/// the beginning.
#[derive(Debug, Default)]
pub(crate) struct ReconciliationCursor {
    /// Id of the last job that was checked.
    pub(crate) last_job: String,
    /// Name of the last machine that was checked.
    pub(crate) last_machine: String,
}
