//! Capacity planning: extrapolates measured costs to the target size of the fleet.
//!
//! - [`measured`] has the measured data points.
//! - [`fit`] fits lines through data points.
//! - [`target`] has the target size of the fleet, with its load and settings.
//! - [`demand`] computes the tables of `docs/CAPACITY.md` from these. A test checks that the
//!   page has the computed tables.

pub mod demand;
pub mod fit;
pub mod measured;
pub mod target;
