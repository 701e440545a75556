//! Client of the consensus-backed key-value store: compare-and-swap transactions,
//! leases, watches, and this controller's share of the store's rate limits.
//!
//! A request ends in one of three ways:
//!
//! - It was executed.
//! - It was certainly not executed ([`StoreError::NotExecuted`]).
//! - Its outcome is indeterminate, as there is no usable response: the store may have
//!   executed it, or may still do so minutes later.
//!
//! Callers therefore put a condition on the version of every key that a write was
//! computed from, so that a transaction that is executed late fails.

mod availability;
mod budget;
mod client;
mod commit;
mod connection_count;
mod error;
pub mod http;
mod indeterminate;
mod lease;
mod log_once;
mod outcome;
mod priority;
mod retry_policy;
pub mod round_trip;
mod transaction;

pub use budget::RequestBudget;
pub use client::StoreClient;
pub use commit::CommitResult;
pub use connection_count::{ConnectionCount, ConnectionGuard};
pub use error::{IndeterminateReason, NotExecutedReason, StoreError};
pub use indeterminate::IndeterminateSummary;
pub use log_once::is_first_occurrence;
pub use outcome::{Listing, TransactionOutcome, WatchOutcome};
pub use priority::RequestPriority;
