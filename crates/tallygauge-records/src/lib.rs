//! Records that a leader keeps beside the jobs, so that its successor knows what
//! it knew.
//!
//! Pure: no clock, no input or output. A [`Record`] has a name, a version and a
//! timing: what is *ahead* is durable before anybody acts on it, what is
//! *behind* may be lost and is rebuilt from what else is on record. [`read`]
//! takes one up as it was found: missing, torn, or of a version that this
//! program doesn't know, which is said and never keeps a node from leading. A
//! [`Shelf`] says what is to be written when, many records in one change.
//! `docs/trade.md` says what is kept where.

mod record;
mod write_behind;

pub use record::{Durability, Record, StoredRecord, decode, encode, record_name};
pub use write_behind::{Entry, RecordStatus, WriteBatch, WriteBehind};
