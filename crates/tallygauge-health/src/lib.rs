//! Health of machines, as far as it shows in the messages of their workers and in
//! those that are missing.
//!
//! Pure: no clock, no input or output; times are seconds of the caller's clock.
//! [`MessageOrder`] classifies a message by its place among those that its worker
//! has sent: new, overtaken by a direct response, or an old copy. [`Reachability`]
//! weighs the evidence that messages to a machine don't arrive. [`Tombstones`]
//! remember deregistered machines, which late messages must not register again.
//!
//! None of it frees capacity or a task by itself: that rests on the proofs of
//! `docs/design.md`, "Attempt retention". The cluster state of the scheduler calls it.

mod message_order;
mod reachability;
mod tombstones;

pub use message_order::{Arrival, MessageOrder, SequenceMark};
pub use reachability::{Evidence, Reachability, ReachabilityThresholds};
pub use tombstones::Tombstones;
