//! Values of the store that a leader must be able to read.

use serde::de::DeserializeOwned;
use tallygauge_protocol::state::KeyValue;
use tallygauge_store::StoreError;

/// Why a record could not be read from the store.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadError {
    /// The request was refused or not answered.
    #[error("{0}")]
    Store(StoreError),
    /// The record exists and is not understood. It must not be passed over.
    #[error("malformed record at {key}: {source}")]
    MalformedRecord {
        /// Key of the record.
        key: String,
        /// What is wrong with its value.
        source: serde_json::Error,
    },
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Decodes a record's value; logs an error when it is malformed, since an operator
/// has to mend the record before a leader can do its work.
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
