//! Log lines that are wanted once per cause.

use std::{collections::BTreeSet, sync::Mutex};

/// Causes that this process has logged.
static LOGGED_CAUSES: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Causes that are told apart; later ones count as logged.
const MAX_CAUSES: usize = 100;

/// Whether this is the first occurrence of a cause in this process. Callers log the
/// cause only then.
pub fn is_first_occurrence(cause: &str) -> bool {
    let mut logged = LOGGED_CAUSES.lock().expect("logged causes lock");
    logged.len() < MAX_CAUSES && logged.insert(cause.to_string())
}
