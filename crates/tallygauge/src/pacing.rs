//! Pauses of the leader's loops, relative to the deployment's heartbeat interval and
//! the leader's lease.

use crate::controller::Controller;
use std::time::Duration;

/// Part of the leader's lease after which a request that the store did not answer is
/// made again.
const RETRIES_PER_LEASE: u32 = 8;

/// The time of this many heartbeat intervals of the workers.
pub(crate) fn heartbeat_intervals(controller: &Controller, count: f64) -> Duration {
    let interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    Duration::from_secs_f64(interval_s * count)
}

/// Pause before a request that the store did not answer is made again.
pub(crate) fn retry_pause(controller: &Controller) -> Duration {
    controller.leader_lease_ttl() / RETRIES_PER_LEASE
}
