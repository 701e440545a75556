//! Load of this process: its scheduling delay, the duration of its scheduling rounds, and
//! whether it sheds user load.

use crate::{controller::Controller, locking::lock};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Scheduling delay of Tokio tasks at which the process has no time left for optional
/// work, as a fraction of the heartbeat interval.
const MAX_DELAY_HEARTBEAT_FRACTION: f64 = 0.05;

/// Time between two samples of the scheduling delay, as a fraction of the heartbeat
/// interval.
const SAMPLE_INTERVAL_HEARTBEAT_FRACTION: f64 = 0.04;

/// Weight of a new sample in the exponential moving average of the scheduling delay.
const SAMPLE_WEIGHT: f64 = 0.5;

/// Measured load of this process.
pub struct ProcessLoad {
    /// Scheduling delay at which no time is left for optional work.
    max_delay_s: f64,
    /// Moving average of the scheduling delay.
    scheduling_delay_s: Mutex<f64>,
    /// Time until which user load is shed, on the controller's clock.
    shedding_until: Mutex<f64>,
    /// Longest scheduling round since it was last reported.
    longest_round_s: Mutex<f64>,
}

impl ProcessLoad {
    /// Creates the state before any measurement: no load.
    #[must_use]
    pub fn new(heartbeat_interval_s: f64) -> Self {
        Self {
            max_delay_s: heartbeat_interval_s * MAX_DELAY_HEARTBEAT_FRACTION,
            scheduling_delay_s: Mutex::new(0.0),
            shedding_until: Mutex::new(f64::NEG_INFINITY),
            longest_round_s: Mutex::new(0.0),
        }
    }

    /// Records a sample of the scheduling delay: how late a task ran, in seconds.
    pub fn record_scheduling_delay(&self, delay_s: f64) {
        let mut average = lock(&self.scheduling_delay_s);
        *average += (delay_s - *average) * SAMPLE_WEIGHT;
    }

    /// Moving average of the scheduling delay of this process's Tokio tasks, in seconds.
    #[must_use]
    pub fn scheduling_delay_s(&self) -> f64 {
        *lock(&self.scheduling_delay_s)
    }

    /// Fraction of its optional work that this process has time for: 1 without scheduling
    /// delay, 0 from the maximum delay on.
    #[must_use]
    pub fn spare_time_fraction(&self) -> f64 {
        (1.0 - self.scheduling_delay_s() / self.max_delay_s).clamp(0.0, 1.0)
    }

    /// Sheds user load, which leaves users to the other controllers, until the given time.
    pub fn shed_user_load_until(&self, time: f64) {
        *lock(&self.shedding_until) = time;
    }

    /// Whether users should be left to the other controllers because of the load.
    #[must_use]
    pub fn should_shed_user_load(&self, now: f64) -> bool {
        now < *lock(&self.shedding_until)
    }

    /// Records the duration of a scheduling round.
    pub fn record_round(&self, duration_s: f64) {
        let mut longest = lock(&self.longest_round_s);
        *longest = longest.max(duration_s);
    }

    /// The longest duration of a scheduling round since the last call, in seconds.
    #[must_use]
    pub fn take_longest_round_s(&self) -> f64 {
        std::mem::take(&mut *lock(&self.longest_round_s))
    }
}

/// Measures the scheduling delay while the process runs. It must be spawned as a Tokio
/// task of its own, so that it queues as the requests of workers do. A process that has
/// no spare time or is critically short of connections sheds user load for the duration
/// of a worker's lease.
pub async fn measure_scheduling_delay(controller: Arc<Controller>) {
    let workers = &controller.settings.deployment.workers;
    let interval_s = workers.heartbeat_interval_s * SAMPLE_INTERVAL_HEARTBEAT_FRACTION;
    let load = &controller.load;
    loop {
        let due_at = controller.now() + interval_s;
        tokio::time::sleep(Duration::from_secs_f64(interval_s)).await;
        load.record_scheduling_delay(controller.now() - due_at);
        if load.spare_time_fraction() == 0.0 || controller.connection_limits.is_critical() {
            load.shed_user_load_until(controller.now() + workers.lease_s);
        }
    }
}

#[cfg(test)]
mod tests;
