//! Settings of the scheduler.

use std::collections::HashMap;
use tallygauge_health::ReachabilityThresholds;
use tallygauge_locality::ReplicaSpread;
use tallygauge_protocol::users::Priority;

/// A team's guaranteed resources and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Quota of CPUs; infinite if there is none.
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    pub guaranteed_gpus: f64,
    /// Quota of GPUs; infinite if there is none.
    pub max_gpus: f64,
}

/// Settings of the scheduler. Times are seconds.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams.
    pub teams: Vec<TeamConfig>,
    /// Time between a worker's heartbeats.
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Time within which a cancelled job's tasks must have ended.
    pub cancel_timeout_s: f64,
    /// How long a leader that can't confirm its term still answers workers.
    pub fence_s: f64,
    /// Nominal lag of the cloud's machine list.
    pub list_lag_s: f64,
    /// Maximum drift between two steady clocks, as a ratio.
    pub clock_drift: f64,
    /// Lower bound of the remaining time in utility per time.
    pub min_remaining_s: f64,
    /// Utility of each priority, lowest first.
    pub utility: [f64; 4],
    /// Part of its utility that a job keeps after its deadline.
    pub late_utility: f64,
    /// Idle time before a machine is returned, in boot times of its type.
    pub idle_boots: f64,
    /// Boot times over which pending work is spread when machines are rented.
    pub horizon_boots: f64,
    /// Soft deadline of the jobs of a class.
    pub class_deadline_s: HashMap<String, f64>,
    /// Service-level objectives, by class.
    pub objectives: HashMap<String, ServiceLevelObjective>,
    /// Minimum share of each group.
    pub minimum_share: MinimumShareConfig,
    /// How the risk of losing replicas of an image is weighed against fetch time.
    pub replica_spread: ReplicaSpread,
    /// Maximum number of tasks on one machine, so that its record fits the key-value
    /// store.
    pub max_tasks_per_worker: usize,
    /// Maximum number of direct messages in flight.
    pub max_direct_messages: usize,
    /// The leader's term.
    pub term: u64,
}

/// Service-level objective of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// Completion within this multiple of the job's own deadline.
    pub deadline_factor: Option<f64>,
    /// Completion within this time, seconds.
    pub within_s: Option<f64>,
}

/// Minimum share that each class of jobs and each team gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MinimumShareConfig {
    /// Part of the completed or overdue jobs that must be completed; 0 turns the
    /// minimum share off.
    pub share: f64,
    /// Seconds after its acceptance within which every job must start; 0: no bound.
    pub start_within_s: f64,
}

impl Config {
    /// An allowance for the jitter of timers and messages.
    #[must_use]
    pub fn timing_margin_s(&self) -> f64 {
        self.heartbeat_interval_s * 0.2
    }

    /// Seconds without a heartbeat after which no work is placed on a worker.
    #[must_use]
    pub fn heartbeat_timeout_s(&self) -> f64 {
        self.heartbeat_interval_s * 2.5
    }

    /// Upper bound on our clock of a duration of `seconds` on another machine's.
    #[must_use]
    pub fn with_clock_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + 2.0 * self.clock_drift) + self.timing_margin_s()
    }

    /// How much evidence makes a machine suspected or unreachable. Single lost
    /// responses are told from an unreachable machine by the following ones: within a
    /// lease, and not before three heartbeats.
    #[must_use]
    pub fn reachability_thresholds(&self) -> ReachabilityThresholds {
        ReachabilityThresholds {
            no_new_work: 2,
            unreachable: 3,
            min_interval_s: self.heartbeat_interval_s * 0.5,
            expiry_s: self.lease_s,
        }
    }

    /// The team's index in the configuration.
    #[must_use]
    pub fn team_index(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }
}

/// Index of a priority's utility in [`Config::utility`].
#[must_use]
pub fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
