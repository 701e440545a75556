//! Pure scheduling: no input or output, no clock, nothing asynchronous.
//!
//! [`Cluster`] is the leader's picture. Reports, lists and answers change it,
//! time is an argument, and what should happen comes out as values: placements
//! to make durable, commands, machines to rent or return.

mod begins;
mod cluster;
mod commands;
mod demand;
mod floor;
mod ledgers;
mod machines;
mod mapping;
mod model;
mod pages;
mod parts;
mod placements;
mod progress;
mod ranges;
mod reports;
mod surplus;
mod sweep;
#[cfg(test)]
mod tests;
mod trade;
mod weights;
mod why;

pub use cluster::Cluster;
pub use commands::DirectMessage;
pub use demand::{Rental, SpotKind};
pub use floor::Standing;
pub use model::*;
pub use pages::{PageFlush, PageRecord, PageWrite, Pages, Part};
pub use placements::Batch;
pub use progress::{Completion, Flush};
pub use ranges::RangeSet;
pub use reports::{Source, Verdict};
pub use tallygauge_deadlines::{Book as CalendarBook, Days, Rule as CutoffRule};
pub use tallygauge_fairness::{Kind, Record as FloorRecord};
pub use tallygauge_health::{Hearing, Mark};
pub use tallygauge_locality::{Part as ImagesPart, Spread};
pub use tallygauge_priority::{
    Change as LedgerChange, Declared, HIGHEST, Ledger, Rule as RankRule,
};
pub use trade::Cutoff;
pub use why::{Reason, Why};
