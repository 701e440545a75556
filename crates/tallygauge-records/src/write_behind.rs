//! What is to be written, and when.

use crate::record::{Record, Timing, name_of, value_of};
use serde_json::Value;
use std::collections::BTreeMap;

/// What is to be written under one key.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Name of the record.
    pub name: String,
    /// Its value.
    pub value: Value,
}

/// Records that go in one change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Parcel {
    /// The records.
    pub items: Vec<Item>,
    /// Stands for the state of each at the time it was put in.
    turns: Vec<u64>,
}

#[derive(Debug, Clone)]
struct Slot {
    timing: Timing,
    /// As it should be.
    wanted: Value,
    /// Counts how often that has changed.
    turn: u64,
    /// The count that is durable; `None`: none is, or it can't be known.
    durable: Option<u64>,
    bytes: usize,
    written_at: f64,
}

/// A record's place on the shelf, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Shown {
    /// Name of the record.
    pub name: String,
    /// Bytes of its value.
    pub bytes: usize,
    /// Seconds since it was written; `None`: it has not been yet.
    pub age_s: Option<f64>,
}

/// The records of a leader. Bounded by the number of names, and by bytes each.
#[derive(Debug, Default)]
pub struct Shelf {
    slots: BTreeMap<String, Slot>,
    most_bytes: usize,
    refused: BTreeMap<String, usize>,
}

impl Shelf {
    /// A shelf for records of at most so many bytes each.
    #[must_use]
    pub fn new(most_bytes: usize) -> Self {
        Self {
            slots: BTreeMap::new(),
            most_bytes,
            refused: BTreeMap::new(),
        }
    }

    /// Takes a record up as it should be. `part` tells several of one kind
    /// apart. Returns whether that is new.
    ///
    /// # Errors
    /// In words, when it can't be written or is too long: said once a size, and
    /// what was wanted before stays.
    pub fn put<T: Record>(
        &mut self,
        part: Option<usize>,
        record: &T,
        at: f64,
    ) -> Result<bool, String> {
        let name = name_of::<T>(part);
        let value = value_of(record, at)?;
        let same = |slot: &Slot| same_but_time(&slot.wanted, &value);
        if self.slots.get(&name).is_some_and(same) {
            return Ok(false);
        }
        let bytes = value.to_string().len();
        if bytes > self.most_bytes {
            let before = self.refused.insert(name.clone(), bytes);
            return match before {
                Some(_) => Ok(false),
                None => Err(format!(
                    "{name} has {bytes} bytes, more than {}",
                    self.most_bytes
                )),
            };
        }
        let slot = self.slots.entry(name).or_insert(Slot {
            timing: T::TIMING,
            wanted: Value::Null,
            turn: 0,
            durable: None,
            bytes: 0,
            written_at: f64::NEG_INFINITY,
        });
        slot.wanted = value;
        slot.turn += 1;
        slot.bytes = bytes;
        Ok(true)
    }

    /// A record as it was last put.
    #[must_use]
    pub fn wanted<T: Record>(&self) -> Option<T> {
        let slot = self.slots.get(T::NAME)?;
        serde_json::from_value(slot.wanted.clone()).ok()
    }

    /// Whether a record is durable as it was last put.
    #[must_use]
    pub fn is_durable(&self, name: &str) -> bool {
        let slot = self.slots.get(name);
        slot.is_some_and(|s| s.durable == Some(s.turn))
    }

    /// What should be written now in one change of at most so many records and
    /// bytes: those that are ahead first, then those that have waited longest.
    #[must_use]
    pub fn parcel(&self, most: usize, bytes: usize, only_ahead: bool) -> Option<Parcel> {
        let mut due: Vec<(&String, &Slot)> = self
            .slots
            .iter()
            .filter(|(_, s)| s.durable != Some(s.turn))
            .filter(|(_, s)| !only_ahead || s.timing == Timing::Ahead)
            .collect();
        due.sort_by(|a, b| {
            let behind = |s: &Slot| s.timing == Timing::Behind;
            behind(a.1)
                .cmp(&behind(b.1))
                .then(a.1.written_at.total_cmp(&b.1.written_at))
                .then(a.0.cmp(b.0))
        });
        let mut parcel = Parcel::default();
        let mut left = bytes;
        for (name, slot) in due {
            let Some(rest) = left.checked_sub(slot.bytes) else {
                continue;
            };
            if parcel.items.len() >= most {
                break;
            }
            left = rest;
            parcel.items.push(Item {
                name: name.clone(),
                value: slot.wanted.clone(),
            });
            parcel.turns.push(slot.turn);
        }
        (!parcel.items.is_empty()).then_some(parcel)
    }

    /// A parcel was written.
    pub fn written(&mut self, parcel: &Parcel, now: f64) {
        for (item, turn) in parcel.items.iter().zip(&parcel.turns) {
            if let Some(slot) = self.slots.get_mut(&item.name) {
                slot.durable = slot.durable.max(Some(*turn));
                slot.written_at = now;
            }
        }
    }

    /// What is on the shelf, for operators.
    #[must_use]
    pub fn shown(&self, now: f64) -> Vec<Shown> {
        let slots = self.slots.iter();
        slots
            .map(|(name, s)| Shown {
                name: name.clone(),
                bytes: s.bytes,
                age_s: s.written_at.is_finite().then_some(now - s.written_at),
            })
            .collect()
    }
}

/// Whether two values are equal but for the time at which they were made.
fn same_but_time(a: &Value, b: &Value) -> bool {
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
        const TIMING: Timing = Timing::Ahead;
    }

    impl Record for Behind {
        const NAME: &'static str = "behind";
        const VERSION: u32 = 1;
        const TIMING: Timing = Timing::Behind;
    }

    fn behind(n: usize) -> Behind {
        Behind {
            text: "x".repeat(n),
        }
    }

    #[test]
    fn what_is_ahead_goes_first_and_many_go_in_one_change() {
        let mut shelf = Shelf::new(200);
        for part in 0..4 {
            assert_eq!(shelf.put(Some(part), &behind(50), 1.0), Ok(true));
        }
        assert_eq!(shelf.put(None, &Ahead { n: 1 }, 1.0), Ok(true));
        assert_eq!(
            shelf.put(None, &Ahead { n: 1 }, 9.0),
            Ok(false),
            "as before"
        );
        assert!(!shelf.is_durable("ahead"));
        let urgent = shelf.parcel(9, 1000, true).unwrap();
        assert_eq!(urgent.items.len(), 1);
        let parcel = shelf.parcel(3, 1000, false).unwrap();
        let names: Vec<&str> = parcel.items.iter().map(|i| i.name.as_str()).collect();
        assert_eq!(names, ["ahead", "behind/0", "behind/1"]);
        // It changes while it is being written: that is not durable yet.
        assert_eq!(shelf.put(None, &Ahead { n: 2 }, 2.0), Ok(true));
        shelf.written(&parcel, 10.0);
        assert!(!shelf.is_durable("ahead") && shelf.is_durable("behind/0"));
        let parcel = shelf.parcel(9, 150, false).unwrap();
        assert!(
            parcel
                .items
                .iter()
                .map(|i| i.value.to_string().len())
                .sum::<usize>()
                <= 150
        );
        shelf.written(&parcel, 11.0);
        assert!(shelf.is_durable("ahead"));
        assert_eq!(shelf.shown(12.0)[0].age_s, Some(1.0));
    }

    #[test]
    fn what_is_too_long_is_said_once_and_what_was_before_stays() {
        let mut shelf = Shelf::new(100);
        assert_eq!(shelf.put(None, &behind(10), 1.0), Ok(true));
        let parcel = shelf.parcel(9, 999, false).unwrap();
        shelf.written(&parcel, 1.0);
        assert!(shelf.is_durable("behind") && shelf.parcel(9, 999, false).is_none());
        assert!(shelf.put(None, &behind(300), 2.0).is_err());
        assert_eq!(shelf.put(None, &behind(301), 2.0), Ok(false));
        assert!(shelf.is_durable("behind"));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]
        // Whatever is put and whichever parcels are written or lost, a record is
        // called durable only when the last that was put is what was written
        // last, and in the end all are.
        #[test]
        fn durable_is_what_was_written_last(steps in prop::collection::vec((0u8..4, 0u32..3, 0u32..5), 1..60)) {
            let mut shelf = Shelf::new(999);
            let mut stored: BTreeMap<String, Value> = BTreeMap::new();
            let mut wanted: BTreeMap<String, u32> = BTreeMap::new();
            let mut out: Option<Parcel> = None;
            for (what, part, n) in steps {
                match what {
                    0 | 1 => {
                        shelf.put(Some(part as usize), &Ahead { n }, 0.0).unwrap();
                        wanted.insert(format!("ahead/{part}"), n);
                    }
                    2 => out = shelf.parcel(2, 999, false),
                    _ => if let Some(parcel) = out.take() {
                        for item in &parcel.items { stored.insert(item.name.clone(), item.value["n"].clone()); }
                        shelf.written(&parcel, 0.0);
                    },
                }
                for (name, n) in &wanted {
                    if shelf.is_durable(name) {
                        prop_assert_eq!(stored.get(name), Some(&Value::from(*n)));
                    }
                }
            }
            while let Some(parcel) = shelf.parcel(2, 999, false) {
                shelf.written(&parcel, 0.0);
            }
            prop_assert!(wanted.keys().all(|name| shelf.is_durable(name)));
        }
    }
}
