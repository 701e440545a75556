//! Batch deadlines in civil time: the cutoff of each night's batch and of each month
//! end's runs.
//!
//! Pure: no clock, no input or output; time zones are part of the program. A
//! [`CutoffRule`] says which days have a cutoff, and which jobs count for it: those
//! accepted within its window. Which [`CutoffWindow`] a job counts for follows from its
//! record alone, so every leader finds the same. The [`DeadlineTracker`] counts what is
//! done for each cutoff and how the last ones ended; [`forecast_cutoffs`] says which can still
//! be met. The scheduler's batch deadlines call it. `docs/cutoff-rules.md` says why the
//! rules are as they are.

mod deadline_tracker;
mod forecast;
mod rule;

pub use deadline_tracker::{CutoffEvent, CutoffProgress, DeadlineTracker, DoneJobs};
pub use forecast::{CutoffLoad, Forecast, forecast_cutoffs};
pub use rule::{CutoffDays, CutoffRule, CutoffRuleError, CutoffWindow, infer_cutoff};
