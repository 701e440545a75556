//! The floor: no class of jobs and no team is served by less than a set part.
//!
//! Pure: no clock, no input or output. [`Book`] counts what is over, by class,
//! by team and for the largest jobs of each class; [`elect`] compares that with what is open and names the jobs
//! that should come first where a class or a team has fallen behind. Below
//! overload it names none. `docs/floor.md` says why it is so.

mod selection;
mod service_counts;
mod size_histogram;
mod sliding_window;

pub use selection::{Candidate, Demand, Election, Level, Seat, elect};
pub use service_counts::{Book, End, Key, Kind, Places, Record, Tally};
pub use size_histogram::{LARGEST, Limits, Size, Sizes};
pub use sliding_window::{BUCKETS, Ring};
