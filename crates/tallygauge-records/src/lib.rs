//! Auxiliary records of the leader, from which its successor recovers what can't be
//! derived from jobs and placements.
//!
//! This crate is pure: it reads no clock and does no I/O.
//!
//! - A [`Record`] has a name, a version and a durability. A write-ahead record is durable
//!   before any component acts on it. A write-behind record may be lost, and is then
//!   rebuilt from other stored data.
//! - [`decode`] reads a stored record. A record that is malformed or of a later version
//!   gives an error, which the caller logs; it never prevents a controller from becoming
//!   or remaining the leader.
//! - [`StagedRecords`] selects which records are written next, many per transaction.
//!
//! `docs/batch-deadlines.md` describes which record is stored where.

mod error;
mod record;
mod staging;

pub use error::{DecodeError, EncodeError};
pub use record::{Durability, Record, StoredRecord, decode, encode, record_name};
pub use staging::{Entry, RecordStatus, StagedRecords, WriteBatch};
