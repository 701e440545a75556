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

pub use selection::{
    Candidate, SelectedJob, Selection, ShareTarget, Shortfall, select_underserved,
};
pub use service_counts::{
    Counts, GroupIds, GroupKey, GroupKind, JobEnd, ServiceCounts, ServiceCountsRecord,
};
pub use size_histogram::{JobSize, LARGEST_FRACTION, SizeHistogram, SizeThresholds};
pub use sliding_window::{BUCKETS, SlidingWindow};
