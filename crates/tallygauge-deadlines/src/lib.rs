//! Deadlines in civil time: each night's batch, each month end's runs.
//!
//! Pure: no clock, no input or output; time zones come with the program. A
//! [`Rule`] says which days have a cutoff, and which jobs count for it: those
//! accepted within its window. Which [`Due`] a job belongs to follows from what
//! is on record of it alone, so every leader finds the same. The [`Book`] counts
//! what is done of each and how the last ones ended; [`verdicts`] says what can
//! still be met. `docs/calendar.md` says why it is so.

mod deadline_tracker;
mod forecast;
mod rule;

pub use deadline_tracker::{CutoffEvent, CutoffProgress, DeadlineTracker};
pub use forecast::{CutoffLoad, Forecast, forecasts};
pub use rule::{CutoffDays, CutoffRule, CutoffWindow, inferred};
