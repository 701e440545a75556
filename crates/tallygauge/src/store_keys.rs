//! Keys of the records in the key-value store, which replicates them by consensus.

/// Prefix of the leader key and of the term key.
pub const ELECTION_PREFIX: &str = "t/";
/// Key of the leader record, which the store removes when the leader's lease ends.
pub const LEADER_KEY: &str = "t/leader";
/// Key of the term record, which is not bound to a lease.
pub const TERM_KEY: &str = "t/term";
/// Prefix of the records of active jobs.
pub const ACTIVE_JOB_PREFIX: &str = "o/";
/// Prefix of the completion pages, which record completed tasks.
pub const COMPLETION_PAGE_PREFIX: &str = "f/";
/// Prefix of the placement batches.
pub const PLACEMENT_BATCH_PREFIX: &str = "p/";

/// Prefix of the records of direct starts that leaders of earlier versions gave up.
pub const UNDELIVERED_STARTS_PREFIX: &str = "u/";

/// Prefix of the records of terminal jobs.
const TERMINAL_JOB_PREFIX: &str = "j/";

/// Key of the record of an active (pending or running) job.
#[must_use]
pub fn active_job_key(id: &str) -> String {
    format!("{ACTIVE_JOB_PREFIX}{id}")
}

/// The id of the active job whose record has this key; `None` for other keys.
#[must_use]
pub fn active_job_id(key: &str) -> Option<&str> {
    key.strip_prefix(ACTIVE_JOB_PREFIX)
}

/// Key of the record of a job in a terminal state.
#[must_use]
pub fn terminal_job_key(id: &str) -> String {
    format!("{TERMINAL_JOB_PREFIX}{id}")
}

/// Key of a completion page.
#[must_use]
pub fn completion_page_key(page: u32) -> String {
    format!("{COMPLETION_PAGE_PREFIX}{page}")
}

/// Key of a placement batch.
#[must_use]
pub fn placement_batch_key(name: &str) -> String {
    format!("{PLACEMENT_BATCH_PREFIX}{name}")
}

/// Key of a record of undelivered starts.
#[must_use]
pub fn undelivered_starts_key(name: &str) -> String {
    format!("{UNDELIVERED_STARTS_PREFIX}{name}")
}
