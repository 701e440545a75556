//! Durable records of attempts whose direct start a leader of an earlier version gave up. This
//! version sends no direct starts and writes no such records; it keeps what it finds in them.
//!
//! A record is removed when none of its attempts is left.

use crate::{cluster_state::ClusterState, model::*};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Which attempts with undelivered starts are durably recorded.
#[derive(Debug, Default)]
pub(crate) struct UndeliveredStartRecords {
    /// The attempts that are left, by durable record.
    durable: BTreeMap<Arc<str>, BTreeSet<u64>>,
}

impl UndeliveredStartRecords {
    /// Notes that an attempt is no longer on its machine.
    pub(crate) fn remove(&mut self, attempt: u64) {
        for attempts in self.durable.values_mut() {
            attempts.remove(&attempt);
        }
    }
}

impl ClusterState {
    /// Restores records of earlier leaders. To be called when all placements are restored.
    pub fn restore_undelivered_starts(
        &mut self,
        stored: BTreeMap<Arc<str>, UndeliveredStartsRecord>,
    ) {
        let recorded: BTreeSet<u64> = stored
            .values()
            .flat_map(|record| record.attempts.iter().copied())
            .collect();
        let restored = self.mark_undelivered(&recorded);
        for (name, record) in stored {
            let attempts = record.attempts.into_iter();
            let left = attempts.filter(|attempt| restored.contains(attempt));
            let left = left.collect();
            self.undelivered_start_records.durable.insert(name, left);
        }
    }

    /// Marks those of the attempts that were restored as undelivered. Returns their numbers.
    fn mark_undelivered(&mut self, recorded: &BTreeSet<u64>) -> BTreeSet<u64> {
        let mut restored = BTreeSet::new();
        for attempt in self.workers.values_mut().flat_map(|w| &mut w.attempts) {
            // A leader that does not read these records may have placed the task once more.
            let is_only_attempt = self
                .jobs
                .get(&attempt.spec.id)
                .is_none_or(|job| job.attempts_by_task.get(&attempt.index) == Some(&1));
            if is_only_attempt && recorded.contains(&attempt.number) {
                attempt.start_undelivered = true;
                restored.insert(attempt.number);
            }
        }
        restored
    }

    /// Names of the durable records of which no attempt is left, at most `max`.
    #[must_use]
    pub fn obsolete_undelivered_starts(&self, max: usize) -> Vec<Arc<str>> {
        let records = self.undelivered_start_records.durable.iter();
        records
            .filter(|(_, attempts)| attempts.is_empty())
            .map(|(name, _)| name.clone())
            .take(max)
            .collect()
    }

    /// Records that a record was removed.
    pub fn record_undelivered_starts_removed(&mut self, name: &str) {
        self.undelivered_start_records.durable.remove(name);
    }
}
