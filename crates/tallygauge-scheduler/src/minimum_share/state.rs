//! What the cluster state keeps for the minimum share.

use crate::model::Config;
use std::collections::{BTreeMap, HashMap};
use tallygauge_fairness::{ServiceCounts, Shortfall};

/// Length of the recent window that services are counted in, in the longest
/// service-level objective of a class.
const RECENT_WINDOW_OBJECTIVES: f64 = 4.0;

/// A job's priority on behalf of an underserved class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PriorityClaim {
    /// Id of the class's group.
    pub(crate) group: usize,
    /// The minimum share can't be reached without the job. Such claims are before
    /// others.
    pub(crate) for_min_share: bool,
    /// Its place among the selected jobs.
    pub(crate) order: u32,
}

/// What a machine is reserved for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reservation {
    /// Id of the group whose jobs it is reserved for.
    pub(crate) group: usize,
    /// CPUs of the smallest task that may start there.
    pub(crate) min_task_cpus: f64,
}

/// State of the minimum share.
pub(crate) struct MinimumShare {
    /// Jobs done, late and cancelled, by class and team.
    pub(crate) service_counts: ServiceCounts,
    /// Time of day less the steady clock, in seconds.
    pub(crate) time_of_day_offset: f64,
    /// Jobs with priority, by id.
    pub(crate) claims: HashMap<String, PriorityClaim>,
    /// Group of its class's largest jobs, for each job that is among them, by id.
    pub(crate) largest_group_by_job: HashMap<String, usize>,
    /// Reserved machines, by name.
    pub(crate) reserved: BTreeMap<String, Reservation>,
    /// Part of the machines that jobs with a priority claim may use.
    pub(crate) machine_share: f64,
    /// What each class and team is short of, by group id, as of the last
    /// selection.
    pub(crate) shortfalls: Vec<Shortfall>,
}

impl MinimumShare {
    pub(crate) fn new(config: &Config) -> Self {
        let objectives_s = config.objectives.values().filter_map(|o| o.within_s);
        let longest_s = objectives_s.fold(config.lease_s, f64::max);
        Self {
            service_counts: ServiceCounts::new(longest_s * RECENT_WINDOW_OBJECTIVES),
            time_of_day_offset: 0.0,
            claims: HashMap::new(),
            largest_group_by_job: HashMap::new(),
            reserved: BTreeMap::new(),
            machine_share: 0.0,
            shortfalls: Vec::new(),
        }
    }
}
