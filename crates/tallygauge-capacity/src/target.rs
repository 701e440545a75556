//! The size of the fleet that the operators want to reach.

/// A fleet, its load and its settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Machines, each with one worker.
    pub workers: f64,
    /// Tasks running at a time.
    pub tasks: f64,
    /// Task starts a second at peak load.
    pub starts_per_s: f64,
    /// Number of controllers.
    pub controllers: f64,
    /// Number of zones.
    pub zones: f64,
    /// Number of regions.
    pub regions: f64,
    /// Machines that fail in a day.
    pub failures_per_day: f64,
    /// Machines that restart in a day.
    pub restarts_per_day: f64,
    /// Time within which jobs of high priority are to start, seconds.
    pub urgent_start_s: f64,
    /// Limit on control traffic for each worker, bytes a second.
    pub worker_bytes_per_s: f64,
    /// Heartbeat interval of workers, seconds, as in the fleet deployments of today.
    pub heartbeat_interval_s: f64,
    /// Lease of workers, seconds, as in the fleet deployments of today.
    pub lease_s: f64,
}

impl Target {
    /// The figures that the operators gave.
    #[must_use]
    pub fn operators() -> Self {
        Self {
            workers: 7_100.0,
            tasks: 170_000.0,
            starts_per_s: 1_600.0,
            controllers: 7.0,
            zones: 12.0,
            regions: 3.0,
            failures_per_day: 110.0,
            restarts_per_day: 530.0,
            urgent_start_s: 5.6,
            worker_bytes_per_s: 3_000.0,
            heartbeat_interval_s: 5.0,
            lease_s: 26.5,
        }
    }

    /// Mean number of tasks running on a worker.
    #[must_use]
    pub fn tasks_per_worker(&self) -> f64 {
        self.tasks / self.workers
    }
}
