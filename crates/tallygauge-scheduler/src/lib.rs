//! Pure scheduling: no input or output, no clock, nothing asynchronous.
//!
//! [`Cluster`] is the leader's picture. Reports, lists and answers change it,
//! time is an argument, and what should happen comes out as values: placements
//! to make durable, commands, machines to rent or return.

mod attempt_accounting;
mod batch_deadlines;
mod cluster_state;
mod commands;
mod completion_pages;
mod heartbeats;
mod image_locality;
mod machines;
mod mapping;
mod minimum_share;
mod model;
mod parts;
mod pending_reasons;
mod placements;
mod progress;
mod range_set;
mod reconciliation;
mod scale_in;
mod scale_out;
mod start_deadline;
#[cfg(test)]
mod tests;

pub use batch_deadlines::Cutoff;
pub use cluster_state::Cluster;
pub use commands::DirectMessage;
pub use completion_pages::{PageFlush, PageRecord, PageWrite, Pages, Part};
pub use heartbeats::{Source, Verdict};
pub use minimum_share::Standing;
pub use model::*;
pub use pending_reasons::{Reason, Why};
pub use placements::Batch;
pub use progress::{Completion, Flush};
pub use range_set::RangeSet;
pub use scale_out::{Rental, SpotKind};
pub use tallygauge_deadlines::{Book as CalendarBook, Days, Rule as CutoffRule};
pub use tallygauge_fairness::{Kind, Record as FloorRecord};
pub use tallygauge_health::{Hearing, Mark};
pub use tallygauge_locality::{Part as ImagesPart, Spread};
pub use tallygauge_priority::{
    Change as LedgerChange, Declared, HIGHEST, Ledger, Rule as RankRule,
};
