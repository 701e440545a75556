//! Staging of records: which ones are written, and in which order.

use crate::{
    error::EncodeError,
    record::{Durability, Record, WRITTEN_AT_FIELD, encode, record_name},
};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// One record to be written under its key.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Name of the record.
    pub name: String,
    /// Encoded record.
    pub value: Value,
}

/// Records that are written in one transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WriteBatch {
    /// Records to write.
    pub entries: Vec<Entry>,
    /// Generation of each entry when it was added to the batch; same order as `entries`.
    generations: Vec<u64>,
}

/// Staging state of one record.
#[derive(Debug, Clone)]
struct PendingRecord {
    durability: Durability,
    /// Encoded record as last staged.
    desired: Value,
    /// Number of times that `desired` has changed.
    generation: u64,
    /// Latest generation that is known to be durable.
    durable_generation: Option<u64>,
    /// Size of `desired` in bytes.
    bytes: usize,
    /// When the record was last committed; negative infinity before the first time.
    committed_at: f64,
}

impl PendingRecord {
    fn new(durability: Durability) -> Self {
        Self {
            durability,
            desired: Value::Null,
            generation: 0,
            durable_generation: None,
            bytes: 0,
            committed_at: f64::NEG_INFINITY,
        }
    }

    fn is_durable(&self) -> bool {
        self.durable_generation == Some(self.generation)
    }
}

/// Status of one record, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordStatus {
    /// Name of the record.
    pub name: String,
    /// Size of its value in bytes.
    pub bytes: usize,
    /// Seconds since it was last written; `None` if it has not been written yet.
    pub age_s: Option<f64>,
}

/// The records of a leader: their desired state, and which generation of it is durable.
/// Memory is bounded by the number of record names and the size limit of a record.
#[derive(Debug, Default)]
pub struct StagedRecords {
    pending: BTreeMap<String, PendingRecord>,
    max_record_bytes: usize,
    /// Names of records that have exceeded the size limit. The value is the size in bytes
    /// when the record last exceeded it.
    too_large: BTreeMap<String, usize>,
}

impl StagedRecords {
    /// Creates an empty staging area for records of at most `max_record_bytes` each.
    #[must_use]
    pub fn new(max_record_bytes: usize) -> Self {
        Self {
            pending: BTreeMap::new(),
            max_record_bytes,
            too_large: BTreeMap::new(),
        }
    }

    /// Sets the desired state of a record, or of one of its shards. Returns whether any
    /// field other than the time of writing has changed.
    ///
    /// # Errors
    /// If the record can't be encoded or is too large. The state staged before is kept. A
    /// record that is too large is reported only once per name; afterwards the result is
    /// `Ok(false)`.
    pub fn stage<T: Record>(
        &mut self,
        shard: Option<usize>,
        record: &T,
        now: f64,
    ) -> Result<bool, EncodeError> {
        let name = record_name::<T>(shard);
        let value = encode(record, now)?;
        let is_same = |pending: &PendingRecord| is_equal_except_time(&pending.desired, &value);
        if self.pending.get(&name).is_some_and(is_same) {
            return Ok(false);
        }
        let bytes = value.to_string().len();
        if bytes > self.max_record_bytes {
            return self.reject_too_large(name, bytes);
        }
        let pending = self
            .pending
            .entry(name)
            .or_insert_with(|| PendingRecord::new(T::DURABILITY));
        pending.desired = value;
        pending.generation += 1;
        pending.bytes = bytes;
        Ok(true)
    }

    /// Returns an error the first time that a record is too large, `Ok(false)` afterwards.
    fn reject_too_large(&mut self, name: String, bytes: usize) -> Result<bool, EncodeError> {
        let is_known = self.too_large.insert(name.clone(), bytes).is_some();
        if is_known {
            return Ok(false);
        }
        Err(EncodeError::TooLarge {
            name,
            bytes,
            max_bytes: self.max_record_bytes,
        })
    }

    /// Desired state of a record, as last staged.
    #[must_use]
    pub fn desired<T: Record>(&self) -> Option<T> {
        let pending = self.pending.get(T::NAME)?;
        serde_json::from_value(pending.desired.clone()).ok()
    }

    /// Whether the last staged state of a record is durable.
    #[must_use]
    pub fn is_durable(&self, name: &str) -> bool {
        self.pending
            .get(name)
            .is_some_and(PendingRecord::is_durable)
    }

    /// Selects the records to write next, in one transaction of at most `max_entries`
    /// records and `max_bytes` in total: write-ahead records first, then the records that
    /// were written longest ago. Returns `None` if no record is selected.
    #[must_use]
    pub fn next_batch(
        &self,
        max_entries: usize,
        max_bytes: usize,
        only_write_ahead: bool,
    ) -> Option<WriteBatch> {
        let mut batch = WriteBatch::default();
        let mut bytes_left = max_bytes;
        for (name, pending) in self.due(only_write_ahead) {
            let Some(bytes_after) = bytes_left.checked_sub(pending.bytes) else {
                continue;
            };
            if batch.entries.len() >= max_entries {
                break;
            }
            bytes_left = bytes_after;
            batch.entries.push(Entry {
                name: name.clone(),
                value: pending.desired.clone(),
            });
            batch.generations.push(pending.generation);
        }
        (!batch.entries.is_empty()).then_some(batch)
    }

    /// Records whose last staged state is not durable, in the order of writing.
    fn due(&self, only_write_ahead: bool) -> Vec<(&String, &PendingRecord)> {
        let is_write_behind =
            |pending: &PendingRecord| pending.durability == Durability::WriteBehind;
        let mut due: Vec<(&String, &PendingRecord)> = self
            .pending
            .iter()
            .filter(|(_, pending)| !pending.is_durable())
            .filter(|(_, pending)| !only_write_ahead || !is_write_behind(pending))
            .collect();
        due.sort_by(|(a_name, a), (b_name, b)| {
            is_write_behind(a)
                .cmp(&is_write_behind(b))
                .then(a.committed_at.total_cmp(&b.committed_at))
                .then(a_name.cmp(b_name))
        });
        due
    }

    /// Records that a batch was committed. A record that was staged again after the batch
    /// was created is not yet durable.
    pub fn mark_written(&mut self, batch: &WriteBatch, now: f64) {
        for (entry, generation) in batch.entries.iter().zip(&batch.generations) {
            if let Some(pending) = self.pending.get_mut(&entry.name) {
                pending.durable_generation = pending.durable_generation.max(Some(*generation));
                pending.committed_at = now;
            }
        }
    }

    /// Status of all records, for operators.
    #[must_use]
    pub fn status(&self, now: f64) -> Vec<RecordStatus> {
        self.pending
            .iter()
            .map(|(name, pending)| RecordStatus {
                name: name.clone(),
                bytes: pending.bytes,
                age_s: pending
                    .committed_at
                    .is_finite()
                    .then_some(now - pending.committed_at),
            })
            .collect()
    }
}

/// Whether two encoded records are equal apart from the time of writing.
fn is_equal_except_time(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            field_count_except_time(a) == field_count_except_time(b)
                && a.iter()
                    .all(|(name, value)| name == WRITTEN_AT_FIELD || b.get(name) == Some(value))
        }
        _ => a == b,
    }
}

fn field_count_except_time(fields: &Map<String, Value>) -> usize {
    fields
        .keys()
        .filter(|name| *name != WRITTEN_AT_FIELD)
        .count()
}

#[cfg(test)]
mod tests;
