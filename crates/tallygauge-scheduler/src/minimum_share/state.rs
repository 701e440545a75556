//! State of the minimum share, as part of the cluster state.

use crate::model::Config;
use std::collections::{BTreeMap, HashMap};
use tallygauge_fairness::{ServiceCounts, Shortfall};

/// Length of the shorter time window over which the service counts are kept, as a
/// multiple of the longest service-level objective of any class, or of the lease
/// duration if that is longer.
const RECENT_WINDOW_OBJECTIVES: f64 = 4.0;

/// A job's priority on behalf of an underserved class or team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PriorityClaim {
    /// Group id of the job's class.
    pub(crate) group: usize,
    /// A class or team can't reach its minimum share without the job. Such claims come
    /// before others.
    pub(crate) for_min_share: bool,
    /// Position of the job among the selected jobs.
    pub(crate) order: u32,
}

/// What a machine is reserved for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reservation {
    /// Group id of the class whose jobs it is reserved for.
    pub(crate) group: usize,
    /// CPUs of the smallest task that may start on the machine.
    pub(crate) min_task_cpus: f64,
}

/// State of the minimum share.
pub(crate) struct MinimumShare {
    /// Numbers of jobs done, late and cancelled, by class and team.
    pub(crate) service_counts: ServiceCounts,
    /// Unix time minus the time of the monotonic clock, in seconds.
    pub(crate) unix_time_offset_s: f64,
    /// Priority claims by job id.
    pub(crate) claims: HashMap<String, PriorityClaim>,
    /// For each open job that is among the largest of its class, by job id: the group of
    /// these largest jobs.
    pub(crate) largest_group_by_job: HashMap<String, usize>,
    /// Reservations by name of the machine.
    pub(crate) reserved: BTreeMap<String, Reservation>,
    /// Fraction of the machines that jobs with a priority claim may use.
    pub(crate) machine_share: f64,
    /// Shortfall of each class and team, by group id, as of the last selection.
    pub(crate) shortfalls: Vec<Shortfall>,
}

impl MinimumShare {
    pub(crate) fn new(config: &Config) -> Self {
        let objectives_s = config.objectives.values().filter_map(|o| o.within_s);
        let longest_s = objectives_s.fold(config.lease_s, f64::max);
        Self {
            service_counts: ServiceCounts::new(longest_s * RECENT_WINDOW_OBJECTIVES),
            unix_time_offset_s: 0.0,
            claims: HashMap::new(),
            largest_group_by_job: HashMap::new(),
            reserved: BTreeMap::new(),
            machine_share: 0.0,
            shortfalls: Vec::new(),
        }
    }
}
