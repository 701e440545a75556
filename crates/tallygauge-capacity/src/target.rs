//! Target size of the fleet, as given by the operators.

/// Size, load and settings of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Number of workers; each machine has one.
    pub workers: f64,
    /// Number of tasks that run at the same time.
    pub running_tasks: f64,
    /// Task starts per second at peak load.
    pub peak_starts_per_s: f64,
    /// Number of controllers.
    pub controllers: f64,
    /// Number of zones.
    pub zones: f64,
    /// Number of regions.
    pub regions: f64,
    /// Machine failures per day.
    pub failures_per_day: f64,
    /// Machine restarts per day.
    pub restarts_per_day: f64,
    /// Time within which high-priority jobs are to start, seconds.
    pub high_priority_start_s: f64,
    /// Limit on the control traffic of each worker, bytes/s.
    pub max_worker_bytes_per_s: f64,
    /// Heartbeat interval of workers, seconds, as in the current fleet deployments.
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease, seconds, as in the current fleet deployments.
    pub lease_s: f64,
}

impl Target {
    /// Target that the operators gave.
    #[must_use]
    pub fn operator_target() -> Self {
        Self {
            workers: 7_100.0,
            running_tasks: 170_000.0,
            peak_starts_per_s: 1_600.0,
            controllers: 7.0,
            zones: 12.0,
            regions: 3.0,
            failures_per_day: 110.0,
            restarts_per_day: 530.0,
            high_priority_start_s: 5.6,
            max_worker_bytes_per_s: 3_000.0,
            heartbeat_interval_s: 5.0,
            lease_s: 26.5,
        }
    }

    /// Mean number of running tasks per worker.
    #[must_use]
    pub fn tasks_per_worker(&self) -> f64 {
        self.running_tasks / self.workers
    }
}
