//! Encoding and decoding of records across versions.

use super::*;
use serde::Deserialize;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Old {
    sum: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct New {
    sum: u32,
    #[serde(default)]
    more: Vec<u32>,
}

impl Record for Old {
    const NAME: &'static str = "test";
    const VERSION: u32 = 2;
    const DURABILITY: Durability = Durability::WriteBehind;
}

impl Record for New {
    const NAME: &'static str = "test";
    const VERSION: u32 = 2;
    const DURABILITY: Durability = Durability::WriteBehind;
}

fn read<T: Record>(value: Value) -> StoredRecord<T> {
    decode(Some(value)).unwrap().unwrap()
}

// A rolling upgrade from an older program to a newer one and back: each reads what the
// other wrote, as far as it knows it.
#[test]
fn programs_of_one_version_read_each_others_records() {
    let new = New {
        sum: 3,
        more: vec![1],
    };
    let written = encode(&new, 17.5).unwrap();
    let stored = StoredRecord {
        record: new,
        written_at: 17.5,
    };
    assert_eq!(read::<New>(written.clone()), stored);
    let old = read::<Old>(written).record;
    assert_eq!(old, Old { sum: 3 });
    let stored = StoredRecord {
        record: New {
            sum: 3,
            more: vec![],
        },
        written_at: 18.0,
    };
    assert_eq!(read::<New>(encode(&old, 18.0).unwrap()), stored);
}

#[test]
fn records_that_cannot_be_read_are_errors_that_say_why() {
    let cases = [
        (r#"{"v":3,"sum":1}"#, "later"),
        (r#"{"sum":1}"#, "no version"),
        (r#"{"v":2,"sum":"x"}"#, "can't be read"),
        (r#"[2]"#, "no version"),
        (r#"{"v":-2,"sum":1}"#, "no version"),
    ];
    for (text, word) in cases {
        let error = decode::<Old>(Some(serde_json::from_str(text).unwrap())).unwrap_err();
        assert!(error.to_string().contains(word), "{text}");
    }
    assert_eq!(decode::<Old>(None).unwrap(), None);
}
