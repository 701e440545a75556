//! Where images lie, a model's weights among them, and where replicas go.
//!
//! Pure: no clock, no input or output. No report says which images a machine
//! holds: a leader infers it, and forgets it with its term. [`Atlas`] is what it
//! leaves to its successor, a bitmap of machines by image, bounded, those first
//! whose fetch would cost most. A wrong belief costs seconds, never a rule.
//! [`Spread`] weighs seconds of fetch against replicas that one failure would
//! take. `docs/weights.md` says why it is so.

mod image_index;
mod replica_spread;

pub use image_index::{CachedImage, ImageIndex, ImageLocations};
pub use replica_spread::{ReplicaCounts, ReplicaSpread};
