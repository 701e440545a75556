//! Encoding and decoding of records across releases and versions.

use super::*;
use serde::Deserialize;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RecordWithoutAddedField {
    sum: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RecordWithAddedField {
    sum: u32,
    #[serde(default)]
    more: Vec<u32>,
}

impl Record for RecordWithoutAddedField {
    const NAME: &'static str = "test";
    const VERSION: u32 = 2;
    const DURABILITY: Durability = Durability::WriteBehind;
}

impl Record for RecordWithAddedField {
    const NAME: &'static str = "test";
    const VERSION: u32 = 2;
    const DURABILITY: Durability = Durability::WriteBehind;
}

fn decode_stored<T: Record>(value: Value) -> StoredRecord<T> {
    decode(Some(value)).unwrap().unwrap()
}

// During a rolling upgrade and a rollback, each release has to read the records of the
// other: unknown fields are ignored, and missing ones get their default.
#[test]
fn releases_with_the_same_record_version_read_each_others_records() {
    let new = RecordWithAddedField {
        sum: 3,
        more: vec![1],
    };
    let written = encode(&new, 17.5).unwrap();
    let stored = StoredRecord {
        record: new,
        written_at: 17.5,
    };
    assert_eq!(
        decode_stored::<RecordWithAddedField>(written.clone()),
        stored
    );
    let old = decode_stored::<RecordWithoutAddedField>(written).record;
    assert_eq!(old, RecordWithoutAddedField { sum: 3 });
    let stored = StoredRecord {
        record: RecordWithAddedField {
            sum: 3,
            more: vec![],
        },
        written_at: 18.0,
    };
    assert_eq!(
        decode_stored::<RecordWithAddedField>(encode(&old, 18.0).unwrap()),
        stored
    );
}

#[test]
fn undecodable_records_give_errors_that_name_the_cause() {
    let cases = [
        (r#"{"v":3,"sum":1}"#, "later"),
        (r#"{"sum":1}"#, "no version"),
        (r#"{"v":2,"sum":"x"}"#, "can't be decoded"),
        (r#"[2]"#, "no version"),
        (r#"{"v":-2,"sum":1}"#, "no version"),
    ];
    for (text, expected_words) in cases {
        let error = decode::<RecordWithoutAddedField>(Some(serde_json::from_str(text).unwrap()))
            .unwrap_err();
        assert!(error.to_string().contains(expected_words), "{text}");
    }
    assert_eq!(decode::<RecordWithoutAddedField>(None).unwrap(), None);
}
