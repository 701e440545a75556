//! The size that the operators want to reach.

/// A fleet, its load and its settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Machines with a worker each.
    pub workers: f64,
    /// Tasks that run at a time.
    pub tasks: f64,
    /// Task starts a second at the peak.
    pub starts_per_s: f64,
    /// Controllers.
    pub controllers: f64,
    /// Zones.
    pub zones: f64,
    /// Regions.
    pub regions: f64,
    /// Machines that fail in a day.
    pub failures_a_day: f64,
    /// Machines that restart in a day.
    pub restarts_a_day: f64,
    /// Seconds within which urgent work is to start.
    pub urgent_start_s: f64,
    /// Bytes a second that control may cost a worker.
    pub worker_bytes_per_s: f64,
    /// Report interval of workers, seconds: as on the fleet deployments of today.
    pub report_s: f64,
    /// Lease of workers, seconds: likewise.
    pub lease_s: f64,
}

impl Target {
    /// The operators' figures.
    #[must_use]
    pub fn operators() -> Self {
        Self {
            workers: 7_100.0,
            tasks: 170_000.0,
            starts_per_s: 1_600.0,
            controllers: 7.0,
            zones: 12.0,
            regions: 3.0,
            failures_a_day: 110.0,
            restarts_a_day: 530.0,
            urgent_start_s: 5.6,
            worker_bytes_per_s: 3_000.0,
            report_s: 5.0,
            lease_s: 26.5,
        }
    }

    /// Tasks on a worker.
    #[must_use]
    pub fn tasks_on_a_worker(&self) -> f64 {
        self.tasks / self.workers
    }
}
