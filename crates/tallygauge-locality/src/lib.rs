//! Image locality, and the spread of replicas over machines and zones.
//!
//! Pure: no clock, no input or output. No heartbeat says which images a machine holds: a
//! leader infers it. [`ImageIndex`] is what it stores of that for the next leader, in
//! bounded shards ([`ImageLocations`]), with the images first whose fetches would cost
//! most. A wrong entry costs time, and breaks no rule.
//!
//! [`ReplicaSpread`] weighs fetch time against replicas that one failure would take
//! together. The scheduler's mapping calls it. `docs/locality.md` says why the rules are
//! as they are.

mod image_index;
mod image_locations;
mod replica_spread;

pub use image_index::{CachedImage, ImageIndex};
pub use image_locations::ImageLocations;
pub use replica_spread::{ReplicaCounts, ReplicaSpread};
