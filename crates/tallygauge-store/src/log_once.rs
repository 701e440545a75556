//! Deduplication of log lines: each cause is logged once per process.

use std::{collections::BTreeSet, sync::Mutex};

/// Causes that this process has logged so far.
static LOGGED_CAUSES: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Bound on the number of remembered causes. Further causes are treated as already
/// logged.
const MAX_CAUSES: usize = 100;

/// Whether this is the first occurrence of a cause in this process; records the cause.
/// Callers log the cause only if this returns `true`.
pub fn is_first_occurrence(cause: &str) -> bool {
    let mut logged = LOGGED_CAUSES.lock().expect("logged causes lock");
    logged.len() < MAX_CAUSES && logged.insert(cause.to_string())
}
