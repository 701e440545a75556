//! Golden test of the stored leadership records: their keys and values must not change.

use super::*;
use serde::de::DeserializeOwned;

fn decode_and_encode<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let record: T = serde_json::from_str(text).unwrap();
    serde_json::to_value(&record).unwrap().to_string()
}

#[test]
fn leadership_records_are_read_and_written_unchanged_under_their_keys() {
    let lines = include_str!("../../../tests/golden/terms.txt").lines();
    let rows: Vec<Vec<&str>> = lines.map(|line| line.splitn(3, ' ').collect()).collect();
    assert_eq!(rows.len(), 2);
    assert_eq!((rows[0][0], rows[1][0]), (LEADER_KEY, TERM_KEY));
    assert_eq!(decode_and_encode::<LeaderRecord>(rows[0][2]), rows[0][2]);
    assert_eq!(decode_and_encode::<TermRecord>(rows[1][2]), rows[1][2]);
}
