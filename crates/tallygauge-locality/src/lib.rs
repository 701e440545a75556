//! Image locality, and the spread of replicas over machines and zones.
//!
//! The crate does no I/O and reads no clock.
//!
//! Heartbeats do not report which images a machine holds, so the leader infers it.
//! [`ImageIndex`] holds what an earlier leader inferred. It is stored in shards of bounded
//! size ([`ImageLocations`]), which prefer the images whose fetches would cost the most. A
//! wrong entry costs only fetch time and violates no constraint.
//!
//! [`ReplicaSpread`] weighs fetch time against the number of replicas that a single failure
//! would take down. The scheduler's mapping uses it. `docs/locality.md` gives the reasons
//! for the rules.

mod image;
mod image_index;
mod image_locations;
mod replica_spread;

pub use image::Image;
pub use image_index::{CachedImage, ImageIndex};
pub use image_locations::ImageLocations;
pub use replica_spread::{ReplicaCounts, ReplicaSpread};
