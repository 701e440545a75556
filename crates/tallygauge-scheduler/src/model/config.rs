//! Settings of the scheduler, and whether a job can ever run under them.

use super::*;
use std::collections::{BTreeSet, HashMap};
use tallygauge_health::ReachabilityThresholds;
use tallygauge_locality::ReplicaSpread;
use tallygauge_protocol::{
    cloud::MachineType,
    users::{JobSpec, Priority, Shape},
};

/// A team's guarantee and limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Most CPUs; infinite where there is no limit.
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    pub guaranteed_gpus: f64,
    /// Most GPUs; infinite where there is no limit.
    pub max_gpus: f64,
}

/// What the picture and the mapping are governed by.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams.
    pub teams: Vec<TeamConfig>,
    /// Time between a worker's reports.
    pub heartbeat_interval_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// Time a cancelled job's tasks have to be gone.
    pub cancel_timeout_s: f64,
    /// How long a leader that can't confirm its term goes on answering workers.
    pub fence_s: f64,
    /// Nominal lag of the machine list.
    pub list_lag_s: f64,
    /// Most that two steady clocks drift apart, as a ratio.
    pub clock_drift: f64,
    /// Least remaining time that UPT is worked out with.
    pub min_remaining_s: f64,
    /// Worth of each priority, lowest first.
    pub utility: [f64; 4],
    /// Part of its worth that a job keeps after its deadline.
    pub late_utility: f64,
    /// Idle time before a machine is returned, in boot times of its type.
    pub idle_boots: f64,
    /// Boot times that waiting work is spread over when machines are asked for.
    pub horizon_boots: f64,
    /// Time within which jobs of a class should be finished.
    pub class_deadline_s: HashMap<String, f64>,
    /// The loosest aims of classes.
    pub objectives: HashMap<String, ServiceLevelObjective>,
    /// The floor.
    pub minimum_share: MinimumShareConfig,
    /// Replicas at risk against seconds of fetch.
    pub replica_spread: ReplicaSpread,
    /// Most tasks on one machine, so that its record fits the state service.
    pub max_tasks_per_worker: usize,
    /// Most direct messages under way at a time.
    pub max_direct_messages: usize,
    /// The leader's term.
    pub term: u64,
}

/// The loosest aims of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLevelObjective {
    /// Done within so many times the job's own deadline.
    pub deadline_factor: Option<f64>,
    /// Done within this time.
    pub within_s: Option<f64>,
}

/// The floor under what each class of jobs and each team gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MinimumShareConfig {
    /// Part of the jobs that are done or overdue which is to be done; 0: none.
    pub share: f64,
    /// Seconds after its acceptance by which every job has begun; 0: no bound.
    pub start_within_s: f64,
}

impl Config {
    /// An allowance for the jitter of timers and messages.
    #[must_use]
    pub fn timing_margin_s(&self) -> f64 {
        self.heartbeat_interval_s * 0.2
    }

    /// Seconds after which a worker that said nothing is out of reach.
    #[must_use]
    pub fn heartbeat_timeout_s(&self) -> f64 {
        self.heartbeat_interval_s * 2.5
    }

    /// `seconds` of another machine's clock, at most, on ours.
    #[must_use]
    pub fn with_clock_drift(&self, seconds: f64) -> f64 {
        seconds * (1.0 + 2.0 * self.clock_drift) + self.timing_margin_s()
    }

    /// What speaks against a machine's hearing, and from when on it counts. A
    /// lost answer is told from a deaf machine by the next ones: within a
    /// lease, and no sooner than three reports.
    #[must_use]
    pub fn reachability_thresholds(&self) -> ReachabilityThresholds {
        ReachabilityThresholds {
            suspected: 2,
            unreachable: 3,
            min_interval_s: self.heartbeat_interval_s * 0.5,
            expiry_s: self.lease_s,
        }
    }

    /// The team's place in the configuration.
    #[must_use]
    pub fn team_index(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }
}

/// Why a job can never run.
///
/// # Errors
/// A sentence for the user.
pub fn check_feasible(
    spec: &JobSpec,
    teams: &[TeamConfig],
    types: &[MachineType],
) -> Result<(), String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("no team is called '{}'", spec.team));
    };
    let count = if spec.shape == Shape::Service {
        f64::from(spec.tasks)
    } else {
        1.0
    };
    if spec.cpus * count > team.max_cpus + EPSILON || spec.gpus * count > team.max_gpus + EPSILON {
        return Err(format!("needs more than the limit of team '{}'", spec.team));
    }
    let mut zones: BTreeSet<&str> = BTreeSet::new();
    for t in types {
        let named = spec
            .machine_types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name));
        if named && task_fits(spec, t.cpus, t.gpus, t.memory_gb) {
            zones.extend(t.zones.iter().map(String::as_str));
        }
    }
    if let Some(zone) = &spec.zone {
        zones.retain(|z| z == zone);
    }
    if zones.is_empty() {
        return Err("a task fits no allowed machine type and zone".into());
    }
    if spec.spread && spec.tasks > 1 && spec.one_zone && spec.shape == Shape::Service {
        return Err("all tasks in one zone and at most half of them there can't both be".into());
    }
    if spec.spread && spec.tasks > 1 && zones.len() < 2 && spec.shape == Shape::Service {
        return Err("spread over zones, but only one zone is allowed".into());
    }
    Ok(())
}

/// Place of a priority in the worth steps.
#[must_use]
pub fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
