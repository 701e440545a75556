//! Batch deadlines in civil time: the cutoffs of nightly and month-end batches.
//!
//! The crate does no I/O and reads no clock; the time zone data is compiled in.
//!
//! - A [`CutoffRule`] says which days have a cutoff and which jobs count for it: those
//!   accepted within its window. The [`CutoffWindow`] that a job counts for follows from
//!   the job's record alone, so every leader derives the same one.
//! - The [`DeadlineTracker`] counts the jobs done for each cutoff and keeps the results of
//!   the latest closed cutoffs.
//! - [`forecast_cutoffs`] estimates which cutoffs can still be met.
//!
//! The scheduler's batch deadlines use it. `docs/cutoff-rules.md` gives the reasons for the
//! rules.

mod deadline_tracker;
mod forecast;
mod rule;

pub use deadline_tracker::{CutoffEvent, CutoffProgress, DeadlineTracker, DoneJobs};
pub use forecast::{CutoffLoad, Forecast, forecast_cutoffs};
pub use rule::{CutoffDays, CutoffRule, CutoffRuleError, CutoffWindow, infer_cutoff};
