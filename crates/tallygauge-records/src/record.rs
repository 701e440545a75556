//! One record, as it is found and as it is written.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// When a record must be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Before anybody acts on what it says.
    Ahead,
    /// Some time later: lost, it is rebuilt from what else is on record.
    Behind,
}

/// Something that is kept as an object with named fields. Fields may be added
/// within a version, with a default; `v` and `at` are the keeper's own.
pub trait Record: Serialize + DeserializeOwned {
    /// Name, part of its key.
    const NAME: &'static str;
    /// Version. A program passes a record over that is of a later one.
    const VERSION: u32;
    /// When it must be durable.
    const TIMING: Timing;
}

/// A record as it was found.
#[derive(Debug, Clone, PartialEq)]
pub enum Found<T> {
    /// Readable, and the time of day when it was written, 0 if it doesn't say.
    Read(T, f64),
    /// There is none.
    Missing,
    /// It was written by a later program; this is its version.
    Later(u32),
    /// It can't be read, and why.
    Torn(String),
}

impl<T> Found<T> {
    /// What was read.
    #[must_use]
    pub fn value(self) -> Option<T> {
        match self {
            Self::Read(value, _) => Some(value),
            Self::Missing | Self::Later(_) | Self::Torn(_) => None,
        }
    }

    /// Why nothing was read, in words for the log, if that is not as usual.
    #[must_use]
    pub fn complaint(&self) -> Option<String> {
        match self {
            Self::Read(..) | Self::Missing => None,
            Self::Later(version) => Some(format!("it is of version {version}, which is later")),
            Self::Torn(why) => Some(format!("it can't be read: {why}")),
        }
    }
}

/// Name of a record, or of one of its parts.
#[must_use]
pub fn name_of<T: Record>(part: Option<usize>) -> String {
    match part {
        None => T::NAME.to_string(),
        Some(part) => format!("{}/{part}", T::NAME),
    }
}

/// Takes up what was found under a record's key.
#[must_use]
pub fn read<T: Record>(found: Option<Value>) -> Found<T> {
    let Some(value) = found else {
        return Found::Missing;
    };
    let version = value.get("v").and_then(Value::as_u64);
    match version.and_then(|v| u32::try_from(v).ok()) {
        None => return Found::Torn("it has no version".into()),
        Some(version) if version > T::VERSION => return Found::Later(version),
        Some(_) => {}
    }
    let at = value.get("at").and_then(Value::as_f64).unwrap_or(0.0);
    match serde_json::from_value(value) {
        Ok(record) => Found::Read(record, at),
        Err(error) => Found::Torn(error.to_string()),
    }
}

/// A record as it is written at a time of day.
///
/// # Errors
/// When it is no object, or has fields that can't be written.
pub fn value_of<T: Record>(record: &T, at: f64) -> Result<Value, String> {
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
        const TIMING: Timing = Timing::Behind;
    }

    impl Record for New {
        const NAME: &'static str = "test";
        const VERSION: u32 = 2;
        const TIMING: Timing = Timing::Behind;
    }

    // A roll from an older program to a newer one and back: each reads what the
    // other wrote, as far as it knows it.
    #[test]
    fn programs_of_a_version_read_each_other() {
        let more = New {
            sum: 3,
            more: vec![1],
        };
        let written = value_of(&more, 17.5).unwrap();
        assert_eq!(read::<New>(Some(written.clone())), Found::Read(more, 17.5));
        let old = read::<Old>(Some(written)).value().unwrap();
        assert_eq!(old, Old { sum: 3 });
        let back = read::<New>(Some(value_of(&old, 18.0).unwrap()));
        let none = New {
            sum: 3,
            more: vec![],
        };
        assert_eq!(back, Found::Read(none, 18.0));
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
            let found = read::<Old>(Some(serde_json::from_str(text).unwrap()));
            assert!(found.complaint().unwrap().contains(word), "{text}");
            assert_eq!(found.value(), None);
        }
        let none = read::<Old>(None);
        assert_eq!((none.complaint(), none.value()), (None, None));
    }
}
