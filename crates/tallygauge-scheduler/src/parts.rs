//! What the picture keeps for those of its parts that have a module of their own:
//! floor, bound on beginning, sweep, trade, surplus.

use crate::model::Config;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};
use tallygauge_deadlines::{CutoffRule, DeadlineTracker, Forecast};
use tallygauge_fairness::{ServiceCounts, Shortfall};
use tallygauge_priority::PriorityRules;

/// Length of the shorter window, in patience of the class that has most of it.
const RECENT_PATIENCES: f64 = 4.0;

/// A job that comes first: on behalf of which class, and which of its jobs it
/// is. Those without which the least part is not reached go before others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PriorityClaim {
    pub(crate) group: usize,
    pub(crate) for_min_share: bool,
    pub(crate) order: u32,
}

/// What a machine is set aside for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Reservation {
    /// The class whose jobs come first there.
    pub(crate) group: usize,
    /// CPUs of the least task that may start there.
    pub(crate) min_task_cpus: f64,
}

/// The floor's part of the picture.
pub(crate) struct MinimumShare {
    pub(crate) service_counts: ServiceCounts,
    /// Time of day less the steady clock.
    pub(crate) time_of_day_offset: f64,
    /// Jobs that come first, by id.
    pub(crate) claims: HashMap<String, PriorityClaim>,
    /// Jobs that are among their class's largest, and where those count.
    pub(crate) largest_group_by_job: HashMap<String, usize>,
    /// Machines set aside.
    pub(crate) reserved: BTreeMap<String, Reservation>,
    /// Part of the machines that jobs which come first may use.
    pub(crate) machine_share: f64,
    pub(crate) shortfalls: Vec<Shortfall>,
}

impl MinimumShare {
    pub(crate) fn new(cfg: &Config) -> Self {
        let longest = cfg.objectives.values().filter_map(|a| a.within_s);
        let longest = longest.fold(cfg.lease_s, f64::max);
        Self {
            service_counts: ServiceCounts::new(longest * RECENT_PATIENCES),
            time_of_day_offset: 0.0,
            claims: HashMap::new(),
            largest_group_by_job: HashMap::new(),
            reserved: BTreeMap::new(),
            machine_share: 0.0,
            shortfalls: Vec::new(),
        }
    }
}

/// A job that is near its bound, with tasks that have not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartClaim {
    /// The one accepted first comes first.
    pub(crate) order: u32,
    /// No task of it is on a machine that is heard of.
    pub(crate) needs_first_start: bool,
    /// It is one of the large ones of its class.
    pub(crate) large: bool,
    /// It is, and little of the bound is left: all its tasks that never ran come
    /// first.
    pub(crate) near_deadline: bool,
    /// How many of its tasks were on machines when that was found.
    pub(crate) attempts_when_found: usize,
}

/// Jobs that are near their bound.
#[derive(Debug, Default)]
pub(crate) struct StartDeadlines {
    pub(crate) claims: BTreeMap<String, StartClaim>,
    /// Machines set aside for them, with the CPUs of the least task that may
    /// start there.
    pub(crate) reserved: BTreeMap<String, f64>,
}

/// Where the sweep stands.
#[derive(Debug, Default)]
pub(crate) struct ReconciliationCursor {
    /// The job looked at last.
    pub(crate) last_job: String,
    /// The machine looked at last.
    pub(crate) last_machine: String,
}

/// The trade's part of the picture.
#[derive(Debug, Default)]
pub(crate) struct BatchDeadlines {
    pub(crate) rules: Vec<CutoffRule>,
    /// Cutoffs drawn from jobs raise them as well.
    pub(crate) act_on_inferred: bool,
    pub(crate) tracker: DeadlineTracker,
    pub(crate) priority_rules: PriorityRules,
    /// How open cutoffs stand, as last looked at.
    pub(crate) forecasts: BTreeMap<Arc<str>, Forecast>,
}

/// Boot times over which rises of demand are remembered.
const MEMORY_BOOTS: f64 = 6.0;

/// Demand over time, and what it rose by within a boot.
#[derive(Debug, Default)]
pub(crate) struct DemandHistory {
    /// Time and CPUs wanted.
    demand: VecDeque<(f64, f64)>,
    /// Time and rise.
    rises: VecDeque<(f64, f64)>,
}

impl DemandHistory {
    /// Notes demand, and returns the greatest rise that is remembered.
    pub(crate) fn record(&mut self, now: f64, demand: f64, boot_s: f64) -> f64 {
        while self.demand.front().is_some_and(|d| d.0 < now - boot_s) {
            self.demand.pop_front();
        }
        self.demand.push_back((now, demand));
        let least = self.demand.iter().map(|d| d.1).fold(demand, f64::min);
        let horizon = now - boot_s * MEMORY_BOOTS;
        while self.rises.front().is_some_and(|r| r.0 < horizon) {
            self.rises.pop_front();
        }
        self.rises.push_back((now, demand - least));
        self.rises.iter().map(|r| r.1).fold(0.0, f64::max)
    }
}
