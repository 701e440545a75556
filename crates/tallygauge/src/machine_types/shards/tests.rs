//! Distribution of machine types over shards, and what a change of the types writes.

use super::*;
use crate::machine_types::tests::machine_type;
use tallygauge_records::encode;

/// Limit of a shard in bytes: three of the types of these tests fit.
const MAX_BYTES: usize = 600;

fn types(names: impl IntoIterator<Item = u32>) -> Vec<MachineType> {
    let names = names.into_iter().map(|n| format!("type-{n:03}"));
    names.map(|name| machine_type(&name, 8.0)).collect()
}

/// Commits all changes, and returns the numbers of the shards that were written.
fn commit(stored: &mut StoredTypes, types: &[MachineType]) -> Vec<usize> {
    let writes = stored.changes(types, MAX_BYTES);
    let numbers = writes.iter().map(|write| write.number).collect();
    for write in writes {
        let value = record_value(&write);
        assert!(value.to_string().len() <= MAX_BYTES, "shard too large");
        stored.mark_written(write, 17.5, 3);
    }
    numbers
}

fn record_value(write: &ShardWrite) -> Value {
    let record = MachineTypesRecord {
        types: write.types.clone(),
    };
    encode(&record, 1_750_000_000.5).unwrap()
}

fn stored_names(stored: &StoredTypes) -> Vec<String> {
    let mut names: Vec<String> = stored.types().map(|t| t.machine_type.name).collect();
    names.sort();
    names
}

// A catalogue may be larger than a value of the store. Adding or withdrawing a type must not
// rewrite it, nor may a change of prices, which move all the time.
#[test]
fn change_of_one_type_writes_one_shard_and_change_of_prices_none() {
    let mut stored = StoredTypes::default();
    let mut current = types((0..10).map(|n| n * 2));
    assert_eq!(commit(&mut stored, &current), [0, 1, 2, 3]);
    assert!(stored.changes(&current, MAX_BYTES).is_empty());
    current.iter_mut().for_each(|t| t.spot_price *= 1.3);
    assert!(stored.changes(&current, MAX_BYTES).is_empty());
    current[4].boot_s = 60.0;
    assert_eq!(commit(&mut stored, &current), [1]);
    current.extend(types([3]));
    assert_eq!(commit(&mut stored, &current), [3]);
    current.retain(|t| t.name != "type-002");
    assert_eq!(commit(&mut stored, &current), [0]);
    assert_eq!(stored.up_to_date(&current).len(), 10);
}

// A type that outgrows its shard is written elsewhere first: a leader that fails between the
// two writes must not leave it in neither.
#[test]
fn type_that_outgrows_its_shard_is_in_another_before_it_leaves() {
    let mut stored = StoredTypes::default();
    let mut current = types(0..3);
    commit(&mut stored, &current);
    current[2].zones = (0..20).map(|n| format!("zone-{n}")).collect();
    let mut writes = stored.changes(&current, MAX_BYTES);
    assert_eq!(writes.iter().map(|w| w.number).collect::<Vec<_>>(), [1, 0]);
    stored.mark_written(writes.remove(0), 18.0, 4);
    assert_eq!(
        stored_names(&stored),
        ["type-000", "type-001", "type-002", "type-002"]
    );
    commit(&mut stored, &current);
    assert_eq!(stored_names(&stored), ["type-000", "type-001", "type-002"]);
}

// A shard that cannot be decoded is written again, but not one of a later release, which would
// lose it in a rolling update. A type that is larger than any shard keeps no other from being
// recorded.
#[test]
fn unreadable_shard_is_replaced_and_shard_of_later_release_kept() {
    let mut later = record_value(&StoredTypes::default().changes(&types([7]), MAX_BYTES)[0]);
    later["v"] = 99.into();
    let torn = serde_json::json!({"v": 1, "t": "torn"});
    let other = serde_json::json!({"v": 1});
    let records = [
        ("floor", &other, 5),
        ("types/0", &later, 6),
        ("types/1", &torn, 7),
    ];
    let mut stored = StoredTypes::decode(records);
    assert!(stored_names(&stored).is_empty());
    let mut current = types(0..4);
    current[3].zones = vec!["z".repeat(MAX_BYTES)];
    assert!(!fits_shard(&current[3], MAX_BYTES));
    assert_eq!(stored.changes(&current, MAX_BYTES)[0].version, 7);
    assert_eq!(commit(&mut stored, &current), [1]);
    assert_eq!(stored_names(&stored), ["type-000", "type-001", "type-002"]);
}
