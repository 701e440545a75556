//! The scheduler's configuration, from the platform's and the operators' settings.

use crate::{controller::Controller, settings::Settings};
use tallygauge_scheduler::{Config, MinimumShareConfig, ReplicaSpread};

/// Upper bound of the bytes that one task takes in a heartbeat.
const TASK_STATUS_BYTES: usize = 160;

/// Rate at which the clocks of two machines may drift apart.
const CLOCK_DRIFT: f64 = 0.0005;

/// Connections of the process for each direct message that may be in flight.
const CONNECTIONS_PER_DIRECT_MESSAGE: usize = 16;

/// Direct messages that may be in flight however few connections there are.
const MIN_DIRECT_MESSAGES: usize = 8;

/// Kind of the objectives that set a deadline for a class of jobs.
const FINISHED_OBJECTIVE: &str = "finished";

/// The scheduler's configuration for a term of this controller.
#[must_use]
pub fn scheduler_config(controller: &Controller, term: u64) -> Config {
    let deployment = &controller.settings.deployment;
    let operator = &controller.operator_settings;
    Config {
        teams: controller.settings.teams(),
        heartbeat_interval_s: deployment.workers.heartbeat_interval_s,
        lease_s: deployment.workers.lease_s,
        cancel_timeout_s: deployment.workers.cancel_timeout_s,
        fencing_timeout_s: controller.fence_s(),
        list_lag_s: deployment.cloud.list_lag_s,
        clock_drift: CLOCK_DRIFT,
        min_remaining_s: operator.min_remaining,
        utility_by_priority: [
            operator.utility.low,
            operator.utility.normal,
            operator.utility.high,
            operator.utility.production,
        ],
        late_utility_factor: operator.late_utility,
        idle_timeout_boot_times: operator.idle_wait,
        rental_horizon_boot_times: operator.rent_horizon,
        class_deadline_s: deployment
            .objectives
            .iter()
            .filter(|objective| objective.kind == FINISHED_OBJECTIVE)
            .filter_map(|objective| Some((objective.class.clone()?, objective.within_s?)))
            .collect(),
        objectives: controller.settings.loosest_completion_objectives(),
        minimum_share: MinimumShareConfig {
            share: operator.minimum_share.share,
            start_within_s: operator.minimum_share.start_within,
        },
        replica_spread: ReplicaSpread {
            risk_s: operator.locality.replica_risk,
        },
        // A heartbeat must fit in a request's body.
        max_tasks_per_worker: tallygauge_protocol::MAX_REQUEST_BODY_BYTES / TASK_STATUS_BYTES,
        max_direct_messages: max_direct_messages(&controller.settings),
        term,
    }
}

/// Direct messages to workers that may be in flight at the same time.
#[must_use]
pub fn max_direct_messages(settings: &Settings) -> usize {
    let connections = settings.deployment.resource_limits.connections as usize;
    (connections / CONNECTIONS_PER_DIRECT_MESSAGE).max(MIN_DIRECT_MESSAGES)
}
