//! Log lines that are wanted once per cause.

use std::{collections::BTreeSet, sync::Mutex};

/// Causes that were logged before.
#[derive(Default)]
pub struct Causes(Mutex<BTreeSet<String>>);

/// Most causes that are told apart.
const MOST: usize = 100;

impl Causes {
    /// Whether this cause was not seen before.
    pub fn first(&self, cause: &str) -> bool {
        let mut seen = self.0.lock().expect("causes lock");
        seen.len() < MOST && seen.insert(cause.to_string())
    }
}
