//! Capacity planning: what each role of a deployment costs at the size that the fleet is
//! to reach, extrapolated from measurements.
//!
//! [`measured`] has the points that were measured, [`fit`] fits lines through them,
//! [`target`] is the size to reach, and [`demand`] computes the tables of
//! `docs/CAPACITY.md` from the three. A test compares the page with them.

pub mod demand;
pub mod fit;
pub mod measured;
pub mod target;
