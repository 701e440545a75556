//! Encoding and decoding of single records.

use crate::error::{DecodeError, EncodeError};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

/// Field of a stored record that holds its version.
const VERSION_FIELD: &str = "v";

/// Field of a stored record that holds the wall-clock time at which it was encoded for
/// writing.
pub(crate) const WRITTEN_AT_FIELD: &str = "at";

/// When a record has to be durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Durability {
    /// Before any component acts on its content.
    WriteAhead,
    /// At some later time. A record that is lost is rebuilt from other stored data.
    WriteBehind,
}

/// A value that is stored as an object with named fields.
///
/// Fields may be added without a new version if they have a default. The field names `v`
/// and `at` are reserved.
pub trait Record: Serialize + DeserializeOwned {
    /// Name of the record, which is part of its key.
    const NAME: &'static str;
    /// Version of the record's format. Records of a later version are not read.
    const VERSION: u32;
    /// When the record has to be durable.
    const DURABILITY: Durability;
}

/// A record as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord<T> {
    /// The record.
    pub record: T,
    /// Wall-clock time at which the record was written, in seconds since the Unix epoch; 0
    /// if unknown.
    pub written_at: f64,
}

/// Name of a record, or of one of its shards if `shard` is given.
#[must_use]
pub fn record_name<T: Record>(shard: Option<usize>) -> String {
    match shard {
        None => T::NAME.to_string(),
        Some(shard) => format!("{}/{shard}", T::NAME),
    }
}

/// Decodes the value stored under a record's key; `None` if there is no value.
///
/// # Errors
/// If the value has no version, has a later version, or has fields that do not match the
/// record type.
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

/// Encodes a record for storage. `written_at` is the wall-clock time in seconds since the
/// Unix epoch.
///
/// # Errors
/// If the record does not serialize to an object, or has fields that can't be serialized.
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
