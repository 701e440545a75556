//! Health of machines, derived from the messages of their workers that arrive and from
//! expected messages that don't.
//!
//! This crate is pure: it reads no clock and does no I/O. Times are in seconds of the
//! caller's clock. The scheduler's cluster state calls it.
//!
//! - [`MessageOrder`] classifies a message by its position among the messages that its
//!   worker has sent: new, overtaken by a direct reply, or old.
//! - [`Reachability`] counts the evidence that messages to a machine don't arrive.
//! - [`Tombstones`] remember deregistered machines, so that late messages don't register
//!   them again.
//!
//! Nothing here releases capacity or a task: that requires the proofs described in
//! `docs/design.md`, "Attempt retention".

mod message_order;
mod reachability;
mod tombstones;

pub use message_order::{Arrival, MessageOrder, SequenceMark};
pub use reachability::{Evidence, Reachability, ReachabilityThresholds};
pub use tombstones::Tombstones;
