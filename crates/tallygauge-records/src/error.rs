//! Why a record can't be written or read.

/// Why a record can't be written. Nothing was staged; an earlier state stays.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The record has fields that can't be serialized.
    #[error("{name} can't be serialized: {source}")]
    Serialize {
        /// Name of the record.
        name: String,
        /// What the serializer rejected.
        source: serde_json::Error,
    },
    /// The record serializes to something else than an object with named fields.
    #[error("{name} is not an object")]
    NotAnObject {
        /// Name of the record.
        name: String,
    },
    /// The record is longer than a value may be.
    #[error("{name} has {bytes} bytes, more than {max_bytes}")]
    TooLarge {
        /// Name of the record, with its shard.
        name: String,
        /// Bytes of the value.
        bytes: usize,
        /// Bytes that a value may have.
        max_bytes: usize,
    },
}

/// Why a stored record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It has no version, or none that is a number.
    #[error("it has no version")]
    MissingVersion,
    /// It was written by a later program.
    #[error("it is of version {version}, which is later than {supported}")]
    NewerVersion {
        /// Version of the stored record.
        version: u32,
        /// Version that this program reads.
        supported: u32,
    },
    /// Its fields are not those of the record.
    #[error("it can't be read: {0}")]
    Fields(#[from] serde_json::Error),
}
