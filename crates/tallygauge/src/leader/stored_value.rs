//! Decoding of stored records that a leader must be able to read.

use serde::de::DeserializeOwned;
use tallygauge_protocol::state::KeyValue;
use tallygauge_store::StoreError;

/// Why a record could not be read from the store.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The store refused the request or did not answer it.
    #[error("{0}")]
    Store(StoreError),
    /// The record exists but cannot be decoded. It must not be skipped.
    #[error("malformed record at {key}: {source}")]
    MalformedRecord {
        /// Key of the record.
        key: String,
        /// Why its value could not be decoded.
        source: serde_json::Error,
    },
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Decodes a record's value. A malformed record is also logged as an error, since an
/// operator has to repair it before any leader can work.
pub(super) fn decode_value<T: DeserializeOwned>(row: KeyValue) -> Result<T, ReadError> {
    serde_json::from_value(row.value).map_err(|source| {
        tracing::error!(error = %source, key = row.key, "malformed record");
        ReadError::MalformedRecord {
            key: row.key,
            source,
        }
    })
}

#[cfg(test)]
mod tests;
