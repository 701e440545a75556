//! The floor: no class of jobs and no team is served by less than a set part.
//!
//! Pure: no clock, no input or output. [`Book`] counts what is over, by class,
//! by team and for the largest jobs of each class; [`elect`] compares that with what is open and names the jobs
//! that should come first where a class or a team has fallen behind. Below
//! overload it names none. `docs/floor.md` says why it is so.

mod book;
mod elect;
mod ring;
mod sizes;

pub use book::{Book, End, Key, Kind, Places, Record, Tally};
pub use elect::{Candidate, Demand, Election, Level, Seat, elect};
pub use ring::{BUCKETS, Ring};
pub use sizes::{LARGEST, Limits, Size, Sizes};
