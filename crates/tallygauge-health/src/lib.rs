//! What a machine's words, and its silence, tell of it.
//!
//! Pure: no clock, no input or output. [`Order`] places a message among those
//! that its worker has sent: new, overtaken by a direct answer, an old copy.
//! [`Hearing`] weighs the signs that what is sent to a machine does not reach
//! it. [`Departed`] remembers machines that are gone, whose late words must not
//! bring them back. None of it frees a room or a task by itself: that rests on
//! the proofs of `docs/design.md`, "Holding".

mod message_order;
mod reachability;
mod tombstones;

pub use message_order::{Arrival, MessageOrder, SequenceMark};
pub use reachability::{Evidence, Reachability, ReachabilityThresholds};
pub use tombstones::Tombstones;
