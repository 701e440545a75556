//! Settings of the scheduler.

use super::RetryRestriction;
use std::collections::HashMap;
use tallygauge_health::ReachabilityThresholds;
use tallygauge_locality::ReplicaSpread;
use tallygauge_protocol::users::Priority;

/// A team's guaranteed resources and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// CPU quota; infinite if the team has none.
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    pub guaranteed_gpus: f64,
    /// GPU quota; infinite if the team has none.
    pub max_gpus: f64,
}

/// Settings of the scheduler. All durations are in seconds.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams that may submit jobs.
    pub teams: Vec<TeamConfig>,
    /// Time between a worker's heartbeats.
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must have ended.
    pub cancel_timeout_s: f64,
    /// How long a leader that cannot confirm its term keeps answering workers.
    pub fencing_timeout_s: f64,
    /// Nominal time, in seconds, by which the cloud's machine list lags behind the actual
    /// state of the machines.
    pub list_lag_s: f64,
    /// Maximum drift between two monotonic clocks, as a fraction of the elapsed time.
    pub clock_drift: f64,
    /// Lower bound of a task's remaining run time when its utility per time is computed.
    pub min_remaining_s: f64,
    /// Utility of each priority, lowest priority first (see [`priority_index`]).
    pub utility_by_priority: [f64; 4],
    /// Fraction of its utility that a job keeps after its deadline.
    pub late_utility_factor: f64,
    /// Idle time after which a machine is returned, as a multiple of the boot time of its
    /// type.
    pub idle_timeout_boot_times: f64,
    /// Time over which pending work is spread when machines are rented, as a multiple of
    /// the boot time of the machine type.
    pub rental_horizon_boot_times: f64,
    /// Soft deadline of the jobs of a class, by class.
    pub class_deadline_s: HashMap<String, f64>,
    /// Service-level objectives, by class.
    pub objectives: HashMap<String, ServiceLevelObjective>,
    /// Minimum share of each group of jobs.
    pub minimum_share: MinimumShareConfig,
    /// How the risk of losing replicas of an image is weighed against the time to fetch
    /// it.
    pub replica_spread: ReplicaSpread,
    /// Maximum number of attempts on one machine, including ended ones that have not been
    /// cleared; bounded so that a heartbeat that reports them fits into a request.
    pub max_attempts_per_worker: usize,
    /// Maximum number of direct messages in flight.
    pub max_direct_messages: usize,
    /// The leader's term.
    pub term: u64,
}

/// Service-level objective of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// The job must complete within this multiple of its own deadline.
    pub deadline_factor: Option<f64>,
    /// The job must complete within this time, in seconds.
    pub within_s: Option<f64>,
}

/// Settings of the minimum share that each class of jobs and each team gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MinimumShareConfig {
    /// Minimum fraction that completed jobs make up of all completed or overdue jobs of a
    /// group; 0 disables the minimum share.
    pub share: f64,
    /// Time after its acceptance within which every job must start, in seconds; 0 for no
    /// bound.
    pub start_within_s: f64,
}

impl Config {
    /// Allowance for jitter in timers and message delays, in seconds.
    #[must_use]
    pub fn timing_margin_s(&self) -> f64 {
        self.heartbeat_interval_s * 0.2
    }

    /// Time without a heartbeat after which no tasks are placed on a worker, in seconds.
    #[must_use]
    pub fn heartbeat_timeout_s(&self) -> f64 {
        self.heartbeat_interval_s * 2.5
    }

    /// When a task that ended now may be placed again after a backoff, and until when it avoids
    /// the machine that it was on: for a lease, and for a heartbeat interval beyond the backoff
    /// at least, in which it is placed on any other machine that has room.
    #[must_use]
    pub(crate) fn retry_restriction(&self, now: f64, backoff_s: f64) -> RetryRestriction {
        let not_before = now + backoff_s;
        RetryRestriction {
            not_before,
            avoids_machine_until: (now + self.lease_s).max(not_before + self.heartbeat_interval_s),
        }
    }

    /// Upper bound, on this machine's clock, of a duration that measures `seconds` on
    /// another machine's clock.
    #[must_use]
    pub fn with_clock_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + 2.0 * self.clock_drift) + self.timing_margin_s()
    }

    /// Numbers of pieces of evidence at which a machine gets no new tasks and at which it
    /// counts as unreachable. A single lost response is not enough: the responses that follow it
    /// decide, within a lease but not before three heartbeats.
    #[must_use]
    pub fn reachability_thresholds(&self) -> ReachabilityThresholds {
        ReachabilityThresholds {
            no_new_work: 2,
            unreachable: 3,
            min_interval_s: self.heartbeat_interval_s * 0.5,
            expiry_s: self.lease_s,
        }
    }

    /// Index of the team in [`Config::teams`].
    #[must_use]
    pub fn team_index(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }
}

/// Index of a priority's utility in [`Config::utility_by_priority`].
#[must_use]
pub fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
