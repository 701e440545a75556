//! Order in which records are written, and which records count as durable.

use super::*;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct WriteAheadRecord {
    n: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct WriteBehindRecord {
    text: String,
}

impl Record for WriteAheadRecord {
    const NAME: &'static str = "ahead";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

impl Record for WriteBehindRecord {
    const NAME: &'static str = "behind";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

fn write_behind_record(length: usize) -> WriteBehindRecord {
    WriteBehindRecord {
        text: "x".repeat(length),
    }
}

#[test]
fn write_ahead_records_are_written_first_within_the_limits_of_a_batch() {
    let mut records = StagedRecords::new(200);
    for shard in 0..4 {
        assert!(
            records
                .stage(Some(shard), &write_behind_record(50), 1.0)
                .unwrap()
        );
    }
    assert!(
        records
            .stage(None, &WriteAheadRecord { n: 1 }, 1.0)
            .unwrap()
    );
    assert!(
        !records
            .stage(None, &WriteAheadRecord { n: 1 }, 9.0)
            .unwrap(),
        "unchanged"
    );
    assert!(!records.is_durable("ahead"));
    let write_ahead_batch = records.next_batch(9, 1000, true).unwrap();
    assert_eq!(write_ahead_batch.entries.len(), 1);
    let batch = records.next_batch(3, 1000, false).unwrap();
    let names: Vec<&str> = batch
        .entries
        .iter()
        .map(|entry| entry.name.as_str())
        .collect();
    assert_eq!(names, ["ahead", "behind/0", "behind/1"]);
    // A record that changes while its batch is being written is not durable.
    assert!(
        records
            .stage(None, &WriteAheadRecord { n: 2 }, 2.0)
            .unwrap()
    );
    records.mark_written(&batch, 10.0);
    assert!(!records.is_durable("ahead") && records.is_durable("behind/0"));
    let batch = records.next_batch(9, 150, false).unwrap();
    assert!(
        batch
            .entries
            .iter()
            .map(|entry| entry.value.to_string().len())
            .sum::<usize>()
            <= 150
    );
    records.mark_written(&batch, 11.0);
    assert!(records.is_durable("ahead"));
    assert_eq!(records.status(12.0)[0].age_s, Some(1.0));
}

#[test]
fn a_record_that_is_too_large_is_reported_once_and_the_earlier_state_is_kept() {
    let mut records = StagedRecords::new(100);
    assert!(records.stage(None, &write_behind_record(10), 1.0).unwrap());
    let batch = records.next_batch(9, 999, false).unwrap();
    records.mark_written(&batch, 1.0);
    assert!(records.is_durable("behind") && records.next_batch(9, 999, false).is_none());
    assert!(matches!(
        records.stage(None, &write_behind_record(300), 2.0),
        Err(EncodeError::TooLarge { max_bytes: 100, .. })
    ));
    assert!(!records.stage(None, &write_behind_record(301), 2.0).unwrap());
    assert!(records.is_durable("behind"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..ProptestConfig::default() })]
    // For any sequence of staged records and of written or lost batches, a record counts
    // as durable only if its last staged state is the state written last. Once all
    // batches are written, all records are durable.
    #[test]
    fn a_record_is_durable_only_if_its_last_staged_state_was_written(steps in prop::collection::vec((0u8..4, 0u32..3, 0u32..5), 1..60)) {
        let mut records = StagedRecords::new(999);
        let mut stored: BTreeMap<String, Value> = BTreeMap::new();
        let mut staged: BTreeMap<String, u32> = BTreeMap::new();
        let mut in_flight: Option<WriteBatch> = None;
        for (operation, shard, n) in steps {
            match operation {
                0 | 1 => {
                    records.stage(Some(shard as usize), &WriteAheadRecord { n }, 0.0).unwrap();
                    staged.insert(format!("ahead/{shard}"), n);
                }
                2 => in_flight = records.next_batch(2, 999, false),
                _ => if let Some(batch) = in_flight.take() {
                    for entry in &batch.entries { stored.insert(entry.name.clone(), entry.value["n"].clone()); }
                    records.mark_written(&batch, 0.0);
                },
            }
            for (name, n) in &staged {
                if records.is_durable(name) {
                    prop_assert_eq!(stored.get(name), Some(&Value::from(*n)));
                }
            }
        }
        while let Some(batch) = records.next_batch(2, 999, false) {
            records.mark_written(&batch, 0.0);
        }
        prop_assert!(staged.keys().all(|name| records.is_durable(name)));
    }
}
