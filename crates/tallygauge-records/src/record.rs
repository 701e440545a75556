//! Encoding and decoding of one record.

use crate::error::{DecodeError, EncodeError};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// Field of a stored record that holds its version.
const VERSION_FIELD: &str = "v";

/// Field of a stored record that holds the time of day when it was written.
pub(crate) const WRITTEN_AT_FIELD: &str = "at";

/// When a record must be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// Before anybody acts on what it says.
    WriteAhead,
    /// Some time later: if lost, it is rebuilt from what else is stored.
    WriteBehind,
}

/// A value that is stored as an object with named fields. Fields may be added within a
/// version, with a default; the field names `v` and `at` are reserved.
pub trait Record: Serialize + DeserializeOwned {
    /// Name of the record, part of its key.
    const NAME: &'static str;
    /// Version of the record. A program does not read records of a later version.
    const VERSION: u32;
    /// When the record must be durable.
    const DURABILITY: Durability;
}

/// A record as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord<T> {
    /// The record.
    pub record: T,
    /// Time of day when it was written, in seconds since the epoch; 0 if unknown.
    pub written_at: f64,
}

/// Name of a record, or of one of its shards.
#[must_use]
pub fn record_name<T: Record>(shard: Option<usize>) -> String {
    match shard {
        None => T::NAME.to_string(),
        Some(shard) => format!("{}/{shard}", T::NAME),
    }
}

/// Decodes the value stored under a record's key; `None` when there is none.
///
/// # Errors
/// When the value has no version, a later one, or other fields than the record.
pub fn decode<T: Record>(stored: Option<Value>) -> Result<Option<StoredRecord<T>>, DecodeError> {
    let Some(value) = stored else {
        return Ok(None);
    };
    let version = value.get(VERSION_FIELD).and_then(Value::as_u64);
    let version = version
        .and_then(|version| u32::try_from(version).ok())
        .ok_or(DecodeError::MissingVersion)?;
    if version > T::VERSION {
        return Err(DecodeError::NewerVersion {
            version,
            supported: T::VERSION,
        });
    }
    let written_at = value.get(WRITTEN_AT_FIELD).and_then(Value::as_f64);
    Ok(Some(StoredRecord {
        record: serde_json::from_value(value)?,
        written_at: written_at.unwrap_or(0.0),
    }))
}

/// Encodes a record as it is stored, written at a time of day in seconds.
///
/// # Errors
/// When it is not an object, or has fields that can't be serialized.
pub fn encode<T: Record>(record: &T, written_at: f64) -> Result<Value, EncodeError> {
    let value = serde_json::to_value(record).map_err(|source| EncodeError::Serialize {
        name: T::NAME.to_string(),
        source,
    })?;
    let Value::Object(fields) = value else {
        return Err(EncodeError::NotAnObject {
            name: T::NAME.to_string(),
        });
    };
    let mut stored = Map::from_iter(fields);
    stored.insert(VERSION_FIELD.into(), T::VERSION.into());
    stored.insert(WRITTEN_AT_FIELD.into(), written_at.into());
    Ok(Value::Object(stored))
}

#[cfg(test)]
mod tests;
