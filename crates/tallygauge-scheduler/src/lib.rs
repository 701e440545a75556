//! The scheduler as a pure state machine: it does no I/O, reads no clock and has no
//! asynchronous code.
//!
//! [`ClusterState`] is the leader's model of the cluster. Callers feed it heartbeats,
//! machine lists and responses, and pass the current time as an argument. It returns
//! its decisions as values: placements to make durable, commands to send to workers,
//! and machines to rent or return.

mod attempt_accounting;
mod batch_deadlines;
mod cluster_state;
mod commands;
mod completion_pages;
mod confirmation_backlog;
mod demand_history;
mod direct_messages;
mod events;
mod fleet_capacity;
mod heartbeat_requests;
mod heartbeats;
mod held_responses;
mod image_locality;
mod machine_reservations;
mod machine_types;
mod machines;
mod mapping;
mod minimum_share;
mod model;
mod pending_reasons;
mod placements;
mod progress;
mod range_set;
mod reachability;
mod reconciliation;
mod return_requests;
mod runtime_estimates;
mod scale_in;
mod scale_out;
mod start_deadline;
mod start_waits;
mod task_end;
mod task_status;
#[cfg(test)]
mod tests;
mod undelivered_start_records;
mod undelivered_starts;
mod worker_leases;

pub use batch_deadlines::CutoffStatus;
pub use cluster_state::ClusterState;
pub use completion_pages::{ChunkId, CompletionPageRecord, CompletionPages, PageFlush, PageWrite};
pub use confirmation_backlog::ConfirmationBacklog;
pub use direct_messages::DirectMessage;
pub use events::{AttemptEvent, ClusterEvent, CutoffAlert, JobEvent, UnderservedGroup};
pub use heartbeats::{HeartbeatOutcome, HeartbeatSource};
pub use held_responses::HeldResponse;
pub use machines::CpuUsage;
pub use mapping::RoundOutcome;
pub use minimum_share::GroupStatus;
pub use model::*;
pub use pending_reasons::{PendingExplanation, PendingReason, WaitingRetry};
pub use placements::{JobVersion, PlacementBatch};
pub use progress::{JobCompletion, ProgressFlush};
pub use range_set::RangeSet;
pub use return_requests::ReturnRequest;
pub use scale_in::ReturnableMachine;
pub use scale_out::Rental;
pub use start_waits::StartWaitSummary;
pub use tallygauge_deadlines::{CutoffDays, CutoffRule, CutoffRuleError, DeadlineTracker};
pub use tallygauge_fairness::{GroupKind, ServiceCountsRecord};
pub use tallygauge_health::{Reachability, SequenceMark};
pub use tallygauge_locality::{ImageLocations, ReplicaSpread};
pub use tallygauge_priority::{DeclaredRules, MAX_RANK, PriorityRules, RankRule, RulesChange};
