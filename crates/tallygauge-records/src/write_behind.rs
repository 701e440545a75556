//! What is to be written, and when.

use crate::record::{Durability, Record, encode, record_name};
use serde_json::Value;
use std::collections::BTreeMap;

/// What is to be written under one key.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Name of the record.
    pub name: String,
    /// Its value.
    pub value: Value,
}

/// Records that go in one change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WriteBatch {
    /// The records.
    pub entries: Vec<Entry>,
    /// Stands for the state of each at the time it was put in.
    generations: Vec<u64>,
}

#[derive(Debug, Clone)]
struct PendingRecord {
    durability: Durability,
    /// As it should be.
    desired: Value,
    /// Counts how often that has changed.
    generation: u64,
    /// The count that is durable; `None`: none is, or it can't be known.
    durable_generation: Option<u64>,
    bytes: usize,
    written_at: f64,
}

/// A record's place on the shelf, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordStatus {
    /// Name of the record.
    pub name: String,
    /// Bytes of its value.
    pub bytes: usize,
    /// Seconds since it was written; `None`: it has not been yet.
    pub age_s: Option<f64>,
}

/// The records of a leader. Bounded by the number of names, and by bytes each.
#[derive(Debug, Default)]
pub struct WriteBehind {
    pending: BTreeMap<String, PendingRecord>,
    max_record_bytes: usize,
    refused: BTreeMap<String, usize>,
}

impl WriteBehind {
    /// A shelf for records of at most so many bytes each.
    #[must_use]
    pub fn new(most_bytes: usize) -> Self {
        Self {
            pending: BTreeMap::new(),
            max_record_bytes: most_bytes,
            refused: BTreeMap::new(),
        }
    }

    /// Takes a record up as it should be. `part` tells several of one kind
    /// apart. Returns whether that is new.
    ///
    /// # Errors
    /// In words, when it can't be written or is too long: said once a size, and
    /// what was wanted before stays.
    pub fn stage<T: Record>(
        &mut self,
        part: Option<usize>,
        record: &T,
        at: f64,
    ) -> Result<bool, String> {
        let name = record_name::<T>(part);
        let value = encode(record, at)?;
        let same = |slot: &PendingRecord| is_equal_except_time(&slot.desired, &value);
        if self.pending.get(&name).is_some_and(same) {
            return Ok(false);
        }
        let bytes = value.to_string().len();
        if bytes > self.max_record_bytes {
            let before = self.refused.insert(name.clone(), bytes);
            return match before {
                Some(_) => Ok(false),
                None => Err(format!(
                    "{name} has {bytes} bytes, more than {}",
                    self.max_record_bytes
                )),
            };
        }
        let slot = self.pending.entry(name).or_insert(PendingRecord {
            durability: T::DURABILITY,
            desired: Value::Null,
            generation: 0,
            durable_generation: None,
            bytes: 0,
            written_at: f64::NEG_INFINITY,
        });
        slot.desired = value;
        slot.generation += 1;
        slot.bytes = bytes;
        Ok(true)
    }

    /// A record as it was last put.
    #[must_use]
    pub fn desired<T: Record>(&self) -> Option<T> {
        let slot = self.pending.get(T::NAME)?;
        serde_json::from_value(slot.desired.clone()).ok()
    }

    /// Whether a record is durable as it was last put.
    #[must_use]
    pub fn is_durable(&self, name: &str) -> bool {
        let slot = self.pending.get(name);
        slot.is_some_and(|s| s.durable_generation == Some(s.generation))
    }

    /// What should be written now in one change of at most so many records and
    /// bytes: those that are ahead first, then those that have waited longest.
    #[must_use]
    pub fn next_batch(&self, most: usize, bytes: usize, only_ahead: bool) -> Option<WriteBatch> {
        let mut due: Vec<(&String, &PendingRecord)> = self
            .pending
            .iter()
            .filter(|(_, s)| s.durable_generation != Some(s.generation))
            .filter(|(_, s)| !only_ahead || s.durability == Durability::WriteAhead)
            .collect();
        due.sort_by(|a, b| {
            let behind = |s: &PendingRecord| s.durability == Durability::WriteBehind;
            behind(a.1)
                .cmp(&behind(b.1))
                .then(a.1.written_at.total_cmp(&b.1.written_at))
                .then(a.0.cmp(b.0))
        });
        let mut parcel = WriteBatch::default();
        let mut left = bytes;
        for (name, slot) in due {
            let Some(rest) = left.checked_sub(slot.bytes) else {
                continue;
            };
            if parcel.entries.len() >= most {
                break;
            }
            left = rest;
            parcel.entries.push(Entry {
                name: name.clone(),
                value: slot.desired.clone(),
            });
            parcel.generations.push(slot.generation);
        }
        (!parcel.entries.is_empty()).then_some(parcel)
    }

    /// A parcel was written.
    pub fn mark_written(&mut self, parcel: &WriteBatch, now: f64) {
        for (item, turn) in parcel.entries.iter().zip(&parcel.generations) {
            if let Some(slot) = self.pending.get_mut(&item.name) {
                slot.durable_generation = slot.durable_generation.max(Some(*turn));
                slot.written_at = now;
            }
        }
    }

    /// What is on the shelf, for operators.
    #[must_use]
    pub fn status(&self, now: f64) -> Vec<RecordStatus> {
        let slots = self.pending.iter();
        slots
            .map(|(name, s)| RecordStatus {
                name: name.clone(),
                bytes: s.bytes,
                age_s: s.written_at.is_finite().then_some(now - s.written_at),
            })
            .collect()
    }
}

/// Whether two values are equal but for the time at which they were made.
fn is_equal_except_time(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Object(a), Value::Object(b)) => {
            let others =
                |m: &serde_json::Map<String, Value>| m.iter().filter(|(k, _)| *k != "at").count();
            others(a) == others(b) && a.iter().all(|(k, v)| k == "at" || b.get(k) == Some(v))
        }
        _ => a == b,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use serde::{Deserialize, Serialize};

    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    struct Ahead {
        n: u32,
    }

    #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
    struct Behind {
        text: String,
    }

    impl Record for Ahead {
        const NAME: &'static str = "ahead";
        const VERSION: u32 = 1;
        const DURABILITY: Durability = Durability::WriteAhead;
    }

    impl Record for Behind {
        const NAME: &'static str = "behind";
        const VERSION: u32 = 1;
        const DURABILITY: Durability = Durability::WriteBehind;
    }

    fn behind(n: usize) -> Behind {
        Behind {
            text: "x".repeat(n),
        }
    }

    #[test]
    fn what_is_ahead_goes_first_and_many_go_in_one_change() {
        let mut shelf = WriteBehind::new(200);
        for part in 0..4 {
            assert_eq!(shelf.stage(Some(part), &behind(50), 1.0), Ok(true));
        }
        assert_eq!(shelf.stage(None, &Ahead { n: 1 }, 1.0), Ok(true));
        assert_eq!(
            shelf.stage(None, &Ahead { n: 1 }, 9.0),
            Ok(false),
            "as before"
        );
        assert!(!shelf.is_durable("ahead"));
        let urgent = shelf.next_batch(9, 1000, true).unwrap();
        assert_eq!(urgent.entries.len(), 1);
        let parcel = shelf.next_batch(3, 1000, false).unwrap();
        let names: Vec<&str> = parcel.entries.iter().map(|i| i.name.as_str()).collect();
        assert_eq!(names, ["ahead", "behind/0", "behind/1"]);
        // It changes while it is being written: that is not durable yet.
        assert_eq!(shelf.stage(None, &Ahead { n: 2 }, 2.0), Ok(true));
        shelf.mark_written(&parcel, 10.0);
        assert!(!shelf.is_durable("ahead") && shelf.is_durable("behind/0"));
        let parcel = shelf.next_batch(9, 150, false).unwrap();
        assert!(
            parcel
                .entries
                .iter()
                .map(|i| i.value.to_string().len())
                .sum::<usize>()
                <= 150
        );
        shelf.mark_written(&parcel, 11.0);
        assert!(shelf.is_durable("ahead"));
        assert_eq!(shelf.status(12.0)[0].age_s, Some(1.0));
    }

    #[test]
    fn what_is_too_long_is_said_once_and_what_was_before_stays() {
        let mut shelf = WriteBehind::new(100);
        assert_eq!(shelf.stage(None, &behind(10), 1.0), Ok(true));
        let parcel = shelf.next_batch(9, 999, false).unwrap();
        shelf.mark_written(&parcel, 1.0);
        assert!(shelf.is_durable("behind") && shelf.next_batch(9, 999, false).is_none());
        assert!(shelf.stage(None, &behind(300), 2.0).is_err());
        assert_eq!(shelf.stage(None, &behind(301), 2.0), Ok(false));
        assert!(shelf.is_durable("behind"));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]
        // Whatever is put and whichever parcels are written or lost, a record is
        // called durable only when the last that was put is what was written
        // last, and in the end all are.
        #[test]
        fn durable_is_what_was_written_last(steps in prop::collection::vec((0u8..4, 0u32..3, 0u32..5), 1..60)) {
            let mut shelf = WriteBehind::new(999);
            let mut stored: BTreeMap<String, Value> = BTreeMap::new();
            let mut wanted: BTreeMap<String, u32> = BTreeMap::new();
            let mut out: Option<WriteBatch> = None;
            for (what, part, n) in steps {
                match what {
                    0 | 1 => {
                        shelf.stage(Some(part as usize), &Ahead { n }, 0.0).unwrap();
                        wanted.insert(format!("ahead/{part}"), n);
                    }
                    2 => out = shelf.next_batch(2, 999, false),
                    _ => if let Some(parcel) = out.take() {
                        for item in &parcel.entries { stored.insert(item.name.clone(), item.value["n"].clone()); }
                        shelf.mark_written(&parcel, 0.0);
                    },
                }
                for (name, n) in &wanted {
                    if shelf.is_durable(name) {
                        prop_assert_eq!(stored.get(name), Some(&Value::from(*n)));
                    }
                }
            }
            while let Some(parcel) = shelf.next_batch(2, 999, false) {
                shelf.mark_written(&parcel, 0.0);
            }
            prop_assert!(wanted.keys().all(|name| shelf.is_durable(name)));
        }
    }
}
