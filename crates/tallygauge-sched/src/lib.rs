//! Pure scheduling: no input or output, no clock, nothing asynchronous.
//!
//! [`Cluster`] is the leader's picture. Reports, lists and answers change it,
//! time is an argument, and what should happen comes out as values: placements
//! to make durable, commands, machines to rent or return.

mod cluster;
mod demand;
mod mapping;
mod model;
mod ranges;
#[cfg(test)]
mod tests;

pub use cluster::{Cluster, DirectMessage, Finish, PlacementWrite, Source, Verdict};
pub use demand::{Rental, SpotKind};
pub use model::*;
pub use ranges::RangeSet;
