//! What each role of a deployment costs at the size that the fleet is to reach,
//! worked out from measured slopes.
//!
//! [`measured`] holds the points that were measured, [`fit`] puts lines through them,
//! [`target`] is the size wanted, and [`demand`] works the tables of
//! `docs/CAPACITY.md` out of the three. A test compares the page with them.

pub mod demand;
pub mod fit;
pub mod measured;
pub mod target;
