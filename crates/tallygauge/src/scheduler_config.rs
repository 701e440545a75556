//! Builds the scheduler's configuration from the platform's and the operators'
//! settings.

use crate::{controller::Controller, settings::Settings};
use tallygauge_scheduler::{Config, MinimumShareConfig, ReplicaSpread};

/// Upper bound on the size of the status of one task in a heartbeat, in bytes.
const MAX_TASK_STATUS_BYTES: usize = 160;

/// Maximum rate at which the clocks of two machines drift apart, in seconds per second.
const MAX_CLOCK_DRIFT: f64 = 0.0005;

/// Connections in the process's limit for each direct message that may be in flight.
const CONNECTIONS_PER_DIRECT_MESSAGE: usize = 16;

/// Lower bound on the number of direct messages that may be in flight, which applies if
/// the connection limit is small.
const MIN_DIRECT_MESSAGE_LIMIT: usize = 8;

/// Kind of the service-level objectives that set a soft deadline for a class of jobs.
const FINISHED_OBJECTIVE: &str = "finished";

/// The scheduler's configuration for a term in which this controller is the leader.
#[must_use]
pub fn scheduler_config(controller: &Controller, term: u64) -> Config {
    let deployment = &controller.settings.deployment;
    let operator = &controller.operator_settings;
    Config {
        teams: controller.settings.teams(),
        heartbeat_interval_s: deployment.workers.heartbeat_interval_s,
        lease_s: deployment.workers.lease_s,
        cancel_timeout_s: deployment.workers.cancel_timeout_s,
        fencing_timeout_s: controller.fencing_timeout_s(),
        list_lag_s: deployment.cloud.list_lag_s,
        clock_drift: MAX_CLOCK_DRIFT,
        min_remaining_s: operator.min_remaining_s,
        utility_by_priority: [
            operator.utility.low,
            operator.utility.normal,
            operator.utility.high,
            operator.utility.production,
        ],
        late_utility_factor: operator.late_utility_factor,
        idle_timeout_boot_times: operator.idle_timeout_boot_times,
        rental_horizon_boot_times: operator.rental_horizon_boot_times,
        class_deadline_s: deployment
            .objectives
            .iter()
            .filter(|objective| objective.kind == FINISHED_OBJECTIVE)
            .filter_map(|objective| Some((objective.class.clone()?, objective.within_s?)))
            .collect(),
        objectives: controller.settings.loosest_completion_objectives(),
        minimum_share: MinimumShareConfig {
            share: operator.minimum_share.share,
            start_within_s: operator.minimum_share.start_within_s,
        },
        replica_spread: ReplicaSpread {
            risk_s: operator.locality.replica_risk_s,
        },
        // A heartbeat must fit in the body of one request.
        max_attempts_per_worker: tallygauge_protocol::MAX_REQUEST_BODY_BYTES
            / MAX_TASK_STATUS_BYTES,
        max_direct_messages: max_direct_messages(&controller.settings),
        term,
    }
}

/// Maximum number of direct messages to workers that may be in flight at the same time.
#[must_use]
pub fn max_direct_messages(settings: &Settings) -> usize {
    let connections = settings.deployment.resource_limits.connections as usize;
    (connections / CONNECTIONS_PER_DIRECT_MESSAGE).max(MIN_DIRECT_MESSAGE_LIMIT)
}
