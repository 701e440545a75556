//! One record, as it is found and as it is written.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// When a record must be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// Before anybody acts on what it says.
    WriteAhead,
    /// Some time later: lost, it is rebuilt from what else is on record.
    WriteBehind,
}

/// Something that is kept as an object with named fields. Fields may be added
/// within a version, with a default; `v` and `at` are the keeper's own.
pub trait Record: Serialize + DeserializeOwned {
    /// Name, part of its key.
    const NAME: &'static str;
    /// Version. A program passes a record over that is of a later one.
    const VERSION: u32;
    /// When it must be durable.
    const DURABILITY: Durability;
}

/// A record as it was found.
#[derive(Debug, Clone, PartialEq)]
pub enum StoredRecord<T> {
    /// Readable, and the time of day when it was written, 0 if it doesn't say.
    Readable(T, f64),
    /// There is none.
    Missing,
    /// It was written by a later program; this is its version.
    NewerVersion(u32),
    /// It can't be read, and why.
    Malformed(String),
}

impl<T> StoredRecord<T> {
    /// What was read.
    #[must_use]
    pub fn into_record(self) -> Option<T> {
        match self {
            Self::Readable(value, _) => Some(value),
            Self::Missing | Self::NewerVersion(_) | Self::Malformed(_) => None,
        }
    }

    /// Why nothing was read, in words for the log, if that is not as usual.
    #[must_use]
    pub fn problem(&self) -> Option<String> {
        match self {
            Self::Readable(..) | Self::Missing => None,
            Self::NewerVersion(version) => {
                Some(format!("it is of version {version}, which is later"))
            }
            Self::Malformed(why) => Some(format!("it can't be read: {why}")),
        }
    }
}

/// Name of a record, or of one of its parts.
#[must_use]
pub fn record_name<T: Record>(part: Option<usize>) -> String {
    match part {
        None => T::NAME.to_string(),
        Some(part) => format!("{}/{part}", T::NAME),
    }
}

/// Takes up what was found under a record's key.
#[must_use]
pub fn decode<T: Record>(found: Option<Value>) -> StoredRecord<T> {
    let Some(value) = found else {
        return StoredRecord::Missing;
    };
    let version = value.get("v").and_then(Value::as_u64);
    match version.and_then(|v| u32::try_from(v).ok()) {
        None => return StoredRecord::Malformed("it has no version".into()),
        Some(version) if version > T::VERSION => return StoredRecord::NewerVersion(version),
        Some(_) => {}
    }
    let at = value.get("at").and_then(Value::as_f64).unwrap_or(0.0);
    match serde_json::from_value(value) {
        Ok(record) => StoredRecord::Readable(record, at),
        Err(error) => StoredRecord::Malformed(error.to_string()),
    }
}

/// A record as it is written at a time of day.
///
/// # Errors
/// When it is no object, or has fields that can't be written.
pub fn encode<T: Record>(record: &T, at: f64) -> Result<Value, String> {
    let value = serde_json::to_value(record).map_err(|e| e.to_string())?;
    let Value::Object(fields) = value else {
        return Err(format!("{} is no object", T::NAME));
    };
    let mut whole = Map::from_iter(fields);
    whole.insert("v".into(), T::VERSION.into());
    whole.insert("at".into(), at.into());
    Ok(Value::Object(whole))
}

#[cfg(test)]
mod tests {
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

    // A roll from an older program to a newer one and back: each reads what the
    // other wrote, as far as it knows it.
    #[test]
    fn programs_of_a_version_read_each_other() {
        let more = New {
            sum: 3,
            more: vec![1],
        };
        let written = encode(&more, 17.5).unwrap();
        assert_eq!(
            decode::<New>(Some(written.clone())),
            StoredRecord::Readable(more, 17.5)
        );
        let old = decode::<Old>(Some(written)).into_record().unwrap();
        assert_eq!(old, Old { sum: 3 });
        let back = decode::<New>(Some(encode(&old, 18.0).unwrap()));
        let none = New {
            sum: 3,
            more: vec![],
        };
        assert_eq!(back, StoredRecord::Readable(none, 18.0));
    }

    #[test]
    fn what_cannot_be_read_is_said_and_passed_over() {
        let cases = [
            (r#"{"v":3,"sum":1}"#, "later"),
            (r#"{"sum":1}"#, "no version"),
            (r#"{"v":2,"sum":"x"}"#, "can't be read"),
            (r#"[2]"#, "no version"),
            (r#"{"v":-2,"sum":1}"#, "no version"),
        ];
        for (text, word) in cases {
            let found = decode::<Old>(Some(serde_json::from_str(text).unwrap()));
            assert!(found.problem().unwrap().contains(word), "{text}");
            assert_eq!(found.into_record(), None);
        }
        let none = decode::<Old>(None);
        assert_eq!((none.problem(), none.into_record()), (None, None));
    }
}
