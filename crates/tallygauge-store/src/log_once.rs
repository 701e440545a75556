//! Log lines that are wanted once per cause.

use std::{collections::BTreeSet, sync::Mutex};

/// Causes that this process has logged.
static SEEN: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Most causes that are told apart.
const MOST: usize = 100;

/// Whether this cause was not seen before.
pub fn is_first_occurrence(cause: &str) -> bool {
    let mut seen = SEEN.lock().expect("causes lock");
    seen.len() < MOST && seen.insert(cause.to_string())
}
