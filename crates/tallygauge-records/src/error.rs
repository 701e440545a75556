//! Errors of encoding and decoding records.

/// Why a record can't be encoded or staged. The state staged before, if any, is kept.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The record has fields that can't be serialized.
    #[error("record {name} can't be serialized: {source}")]
    Serialize {
        /// Name of the record.
        name: String,
        /// What the serializer rejected.
        source: serde_json::Error,
    },
    /// The record does not serialize to an object with named fields.
    #[error("record {name} does not serialize to an object")]
    NotAnObject {
        /// Name of the record.
        name: String,
    },
    /// The encoded record exceeds the size limit of a value.
    #[error("record {name} has {bytes} bytes, more than the limit of {max_bytes}")]
    TooLarge {
        /// Name of the record, including its shard.
        name: String,
        /// Size of the encoded record in bytes.
        bytes: usize,
        /// Size limit in bytes.
        max_bytes: usize,
    },
}

/// Why a stored record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The version is missing or is not an unsigned 32-bit number.
    #[error("record has no version")]
    MissingVersion,
    /// The record was written by a later release.
    #[error("record version {version} is later than the supported version {supported}")]
    NewerVersion {
        /// Version of the stored record.
        version: u32,
        /// Latest version that this release reads.
        supported: u32,
    },
    /// The fields of the stored record do not match those of the record type.
    #[error("record fields can't be decoded: {0}")]
    Fields(#[from] serde_json::Error),
}
