//! Auxiliary records of the leader, from which its successor recovers what can't be
//! derived from jobs and placements.
//!
//! Pure: no clock, no input or output. A [`Record`] has a name, a version and a
//! durability: a write-ahead record is durable before anybody acts on it; a
//! write-behind record may be lost and is rebuilt from what else is stored.
//! [`decode`] reads a stored record back. One that is malformed or of a later version is
//! an error that the caller logs; it never keeps a controller from leading.
//! [`StagedRecords`] decides what is written when, many records per transaction.
//! `docs/batch-deadlines.md` says what is stored where.

mod error;
mod record;
mod staging;

pub use error::{DecodeError, EncodeError};
pub use record::{Durability, Record, StoredRecord, decode, encode, record_name};
pub use staging::{Entry, RecordStatus, StagedRecords, WriteBatch};
