//! Pauses of the leader's loops, in multiples of the deployment's heartbeat interval.

use crate::controller::Controller;
use std::time::Duration;

/// The duration of `count` heartbeat intervals of the workers.
pub(crate) fn heartbeat_intervals(controller: &Controller, count: f64) -> Duration {
    let interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    Duration::from_secs_f64(interval_s * count)
}
