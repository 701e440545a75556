//! How far this process lags behind its work, and whether it sheds users' load.

use crate::{controller::Controller, locking::lock};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Fraction of the heartbeat interval by which tasks may be scheduled late before
/// the process has no time left for optional work.
const MAX_DELAY_FRACTION: f64 = 0.05;

/// Fraction of the heartbeat interval between two samples of the delay.
const SAMPLE_INTERVAL_FRACTION: f64 = 0.04;

/// Weight of a new sample in the moving average of the delay.
const SAMPLE_WEIGHT: f64 = 0.5;

/// Measured load of this process.
pub struct ProcessLoad {
    /// Delay at which no time is left for optional work, seconds.
    max_delay_s: f64,
    scheduling_delay_s: Mutex<f64>,
    shedding_until: Mutex<f64>,
    longest_round_s: Mutex<f64>,
}

impl ProcessLoad {
    /// No load measured yet.
    #[must_use]
    pub fn new(heartbeat_interval_s: f64) -> Self {
        Self {
            max_delay_s: heartbeat_interval_s * MAX_DELAY_FRACTION,
            scheduling_delay_s: Mutex::new(0.0),
            shedding_until: Mutex::new(f64::NEG_INFINITY),
            longest_round_s: Mutex::new(0.0),
        }
    }

    /// Records by how many seconds a task was run late.
    pub fn record_scheduling_delay(&self, delay_s: f64) {
        let mut average = lock(&self.scheduling_delay_s);
        *average += (delay_s - *average) * SAMPLE_WEIGHT;
    }

    /// Moving average of how late tasks of this process are run, seconds.
    #[must_use]
    pub fn scheduling_delay_s(&self) -> f64 {
        *lock(&self.scheduling_delay_s)
    }

    /// Fraction of the optional work that this process has time for: 0 when tasks
    /// are run late by a good part of a heartbeat interval.
    #[must_use]
    pub fn spare_time_fraction(&self) -> f64 {
        (1.0 - self.scheduling_delay_s() / self.max_delay_s).clamp(0.0, 1.0)
    }

    /// Leaves users to the other controllers until the given time.
    pub fn shed_user_load_until(&self, time: f64) {
        *lock(&self.shedding_until) = time;
    }

    /// Whether the load is such that users should be left to the other controllers.
    #[must_use]
    pub fn should_shed_user_load(&self, now: f64) -> bool {
        now < *lock(&self.shedding_until)
    }

    /// Records how long a scheduling round took.
    pub fn record_round(&self, duration_s: f64) {
        let mut longest = lock(&self.longest_round_s);
        *longest = longest.max(duration_s);
    }

    /// The longest scheduling round since the last call, seconds.
    #[must_use]
    pub fn take_longest_round_s(&self) -> f64 {
        std::mem::take(&mut *lock(&self.longest_round_s))
    }
}

/// Measures the scheduling delay for as long as the process runs. Spawned as a task
/// of its own, so that it queues like any worker's request. A process without time
/// or connections to spare sheds users' load for the duration of a worker's lease.
pub async fn measure_scheduling_delay(controller: Arc<Controller>) {
    let workers = &controller.settings.deployment.workers;
    let interval_s = workers.heartbeat_interval_s * SAMPLE_INTERVAL_FRACTION;
    let load = &controller.load;
    loop {
        let due = controller.now() + interval_s;
        tokio::time::sleep(Duration::from_secs_f64(interval_s)).await;
        load.record_scheduling_delay(controller.now() - due);
        if load.spare_time_fraction() == 0.0 || controller.connection_limits.is_critical() {
            load.shed_user_load_until(controller.now() + workers.lease_s);
        }
    }
}

#[cfg(test)]
mod tests;
