//! Minimum share: no class of jobs and no team is served less than a set fraction of
//! its work.
//!
//! Pure: no clock, no input or output. [`ServiceCounts`] counts the jobs that have
//! ended by class, by team, and for the largest jobs of each class.
//! [`select_underserved`] compares the counts with the open jobs and selects those that
//! come first where a class or a team has fallen behind; below overload it selects
//! none. The minimum share of the scheduler calls both. `docs/minimum-share.md` says why the
//! rules are as they are.

mod selection;
mod service_counts;
mod service_counts_record;
mod size_histogram;
mod sliding_window;

pub use selection::{
    Candidate, SelectedJob, Selection, ShareTarget, Shortfall, select_underserved,
};
pub use service_counts::{Counts, GroupIds, GroupKey, GroupKind, JobEnd, ServiceCounts};
pub use service_counts_record::ServiceCountsRecord;
pub use size_histogram::{JobSize, LARGEST_FRACTION, SizeHistogram, SizeThresholds};
pub use sliding_window::{BUCKETS_PER_WINDOW, SlidingWindow};
