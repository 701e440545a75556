//! Minimum share of service: no class of jobs and no team is served less than a set
//! fraction of its work.
//!
//! The crate does no I/O and reads no clock.
//!
//! - [`ServiceCounts`] counts the jobs that have ended, by class, by team, and for the
//!   largest jobs of each class.
//! - [`select_underserved`] compares these counts with the open jobs and selects the jobs
//!   to place first when a class or a team is underserved. Without overload it selects
//!   none.
//!
//! The scheduler's minimum share uses both. `docs/minimum-share.md` gives the reasons for
//! the rules.

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
