//! Tombstones of deregistered machines.

use std::collections::BTreeMap;

/// Names of deregistered machines and the times of their deregistration, kept for as long
/// as late messages from these machines may arrive.
///
/// The number of tombstones is bounded. Beyond the limit, the machines with the lowest
/// names are dropped: these are the oldest, as names ascend in the order of creation.
#[derive(Debug, Clone)]
pub struct Tombstones {
    deregistered_at: BTreeMap<String, f64>,
    max_names: usize,
    retention_s: f64,
}

impl Tombstones {
    /// Creates a set of at most `max_names` tombstones, each kept for `retention_s` seconds.
    #[must_use]
    pub fn new(max_names: usize, retention_s: f64) -> Self {
        Self {
            deregistered_at: BTreeMap::new(),
            max_names,
            retention_s,
        }
    }

    /// Records that a machine was deregistered at `now`.
    pub fn record_deregistration(&mut self, name: &str, now: f64) {
        self.deregistered_at.insert(name.to_string(), now);
        while self.deregistered_at.len() > self.max_names {
            self.deregistered_at.pop_first();
        }
    }

    /// Drops the tombstones that are older than the retention time.
    pub fn expire(&mut self, now: f64) {
        let retention_s = self.retention_s;
        self.deregistered_at
            .retain(|_, deregistered_at| now - *deregistered_at <= retention_s);
    }

    /// Whether there is a tombstone for a machine.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.deregistered_at.contains_key(name)
    }

    /// Whether the machine was deregistered after `listed_at`, so that a machine list as of
    /// that time, which still contains the machine, is out of date.
    ///
    /// A machine that was deregistered at or before `listed_at` and is listed nevertheless
    /// exists, so its tombstone is removed.
    pub fn overrules_listing(&mut self, name: &str, listed_at: f64) -> bool {
        match self.deregistered_at.get(name) {
            Some(deregistered_at) if *deregistered_at > listed_at => true,
            Some(_) => {
                self.deregistered_at.remove(name);
                false
            }
            None => false,
        }
    }
}

#[cfg(test)]
mod tests;
