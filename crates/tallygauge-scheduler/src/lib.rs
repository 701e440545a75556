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
mod demand_history;
mod fleet_capacity;
mod heartbeats;
mod image_locality;
mod machines;
mod mapping;
mod minimum_share;
mod model;
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

pub use batch_deadlines::CutoffStatus;
pub use cluster_state::ClusterState;
pub use commands::DirectMessage;
pub use completion_pages::{ChunkId, CompletionPageRecord, CompletionPages, PageFlush, PageWrite};
pub use heartbeats::{HeartbeatOutcome, HeartbeatSource};
pub use minimum_share::GroupStatus;
pub use model::*;
pub use pending_reasons::{PendingExplanation, PendingReason};
pub use placements::PlacementBatch;
pub use progress::{Completion, Flush};
pub use range_set::RangeSet;
pub use scale_out::Rental;
pub use tallygauge_deadlines::{
    CutoffDays, CutoffRule, CutoffRuleError, DeadlineTracker as CalendarBook,
};
pub use tallygauge_fairness::{GroupKind, ServiceCountsRecord as FloorRecord};
pub use tallygauge_health::{Reachability, SequenceMark};
pub use tallygauge_locality::{ImageLocations as ImagesPart, ReplicaSpread};
pub use tallygauge_priority::{
    DeclaredRules, MAX_RANK, PriorityRules, RankRule, RulesChange as LedgerChange,
};
