//! Durable records of attempts whose direct start was given up, so that the next leader keeps
//! them as this one does. It could not tell them from other attempts of the placement batches.
//!
//! A record is written once, under a name that is never used again, and never changed: a late
//! copy of the write does no harm. It is removed when none of its attempts is left.

use crate::{cluster_state::ClusterState, model::*};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Attempts to be stored under a name that has never been used before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UndeliveredStarts {
    /// Name: `TERM-NUMBER`.
    pub name: Arc<str>,
    /// The value to be stored.
    pub record: UndeliveredStartsRecord,
}

/// Which attempts with undelivered starts are durably recorded.
#[derive(Debug, Default)]
pub(crate) struct UndeliveredStartRecords {
    /// Attempts that are in no record yet.
    unrecorded: BTreeSet<u64>,
    /// The record that is being written.
    pending: Option<UndeliveredStarts>,
    /// The attempts that are left, by durable record.
    durable: BTreeMap<Arc<str>, BTreeSet<u64>>,
    /// Highest number of a record of this term.
    last_number: u64,
}

impl UndeliveredStartRecords {
    /// Notes that the direct message with the start of an attempt was given up.
    pub(crate) fn add(&mut self, attempt: u64) {
        self.unrecorded.insert(attempt);
    }

    /// Notes that an attempt is no longer on its machine.
    pub(crate) fn remove(&mut self, attempt: u64) {
        self.unrecorded.remove(&attempt);
        for attempts in self.durable.values_mut() {
            attempts.remove(&attempt);
        }
    }
}

impl ClusterState {
    /// The attempts to be recorded next, at most `max_attempts` of them; `None` if all are
    /// recorded. Returns the same until it is known to be durable.
    pub fn next_undelivered_starts(&mut self, max_attempts: usize) -> Option<UndeliveredStarts> {
        let term = self.config.term;
        let records = &mut self.undelivered_start_records;
        if records.pending.is_none() && !records.unrecorded.is_empty() {
            records.last_number += 1;
            let attempts = records.unrecorded.iter().take(max_attempts.max(1));
            records.pending = Some(UndeliveredStarts {
                name: format!("{term}-{}", records.last_number).into(),
                record: UndeliveredStartsRecord {
                    attempts: attempts.copied().collect(),
                },
            });
        }
        records.pending.clone()
    }

    /// Records that the attempts of [`next_undelivered_starts`](Self::next_undelivered_starts)
    /// are durable.
    pub fn record_undelivered_starts_committed(&mut self, name: &str) {
        let records = &mut self.undelivered_start_records;
        let Some(written) = records.pending.take_if(|pending| &*pending.name == name) else {
            return;
        };
        let attempts = written.record.attempts.iter();
        let left: BTreeSet<u64> = attempts
            .filter(|attempt| records.unrecorded.remove(attempt))
            .copied()
            .collect();
        records.durable.insert(written.name, left);
    }

    /// Restores records of earlier leaders. To be called when all placements are restored.
    pub fn restore_undelivered_starts(
        &mut self,
        stored: BTreeMap<Arc<str>, UndeliveredStartsRecord>,
        now: f64,
    ) {
        let recorded: BTreeSet<u64> = stored
            .values()
            .flat_map(|record| record.attempts.iter().copied())
            .collect();
        let restored = self.mark_undelivered(&recorded, now);
        for (name, record) in stored {
            let attempts = record.attempts.into_iter();
            let left = attempts.filter(|attempt| restored.contains(attempt));
            let left = left.collect();
            self.undelivered_start_records.durable.insert(name, left);
        }
    }

    /// Marks those of the attempts that were restored as undelivered. Returns their numbers.
    fn mark_undelivered(&mut self, recorded: &BTreeSet<u64>, now: f64) -> BTreeSet<u64> {
        let mut restored = BTreeSet::new();
        for attempt in self.workers.values_mut().flat_map(|w| &mut w.attempts) {
            // A leader that does not read these records may have placed the task once more.
            let is_only_attempt = self
                .jobs
                .get(&attempt.spec.id)
                .is_none_or(|job| job.attempts_by_task.get(&attempt.index) == Some(&1));
            if is_only_attempt && recorded.contains(&attempt.number) {
                attempt.start_indeterminate_since = Some(now);
                attempt.start_sent_in_response = true;
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
