//! What the picture keeps for those of its parts that have a module of their own:
//! floor, bound on beginning, sweep, trade, surplus.

use crate::model::Config;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};
use tallygauge_deadlines::{Book as CalendarBook, Rule, Verdict};
use tallygauge_fairness::{Book, Demand};
use tallygauge_priority::Ledger;

/// Length of the shorter window, in patience of the class that has most of it.
const RECENT_PATIENCES: f64 = 4.0;

/// A job that comes first: on behalf of which class, and which of its jobs it
/// is. Those without which the least part is not reached go before others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Seat {
    pub(crate) place: usize,
    pub(crate) least: bool,
    pub(crate) order: u32,
}

/// What a machine is set aside for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Aside {
    /// The class whose jobs come first there.
    pub(crate) place: usize,
    /// CPUs of the least task that may start there.
    pub(crate) least: f64,
}

/// The floor's part of the picture.
pub(crate) struct Floor {
    pub(crate) book: Book,
    /// Time of day less the steady clock.
    pub(crate) day: f64,
    /// Jobs that come first, by id.
    pub(crate) seats: HashMap<String, Seat>,
    /// Jobs that are among their class's largest, and where those count.
    pub(crate) largest: HashMap<String, usize>,
    /// Machines set aside.
    pub(crate) aside: BTreeMap<String, Aside>,
    /// Part of the machines that jobs which come first may use.
    pub(crate) part: f64,
    pub(crate) demands: Vec<Demand>,
}

impl Floor {
    pub(crate) fn new(cfg: &Config) -> Self {
        let longest = cfg.aims.values().filter_map(|a| a.within_s);
        let longest = longest.fold(cfg.lease_s, f64::max);
        Self {
            book: Book::new(longest * RECENT_PATIENCES),
            day: 0.0,
            seats: HashMap::new(),
            largest: HashMap::new(),
            aside: BTreeMap::new(),
            part: 0.0,
            demands: Vec::new(),
        }
    }
}

/// A job that is near its bound, with tasks that have not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Turn {
    /// The one accepted first comes first.
    pub(crate) order: u32,
    /// No task of it is on a machine that is heard of.
    pub(crate) wants: bool,
    /// It is one of the large ones of its class.
    pub(crate) large: bool,
    /// It is, and little of the bound is left: all its tasks that never ran come
    /// first.
    pub(crate) late: bool,
    /// How many of its tasks were on machines when that was found.
    pub(crate) held: usize,
}

/// Jobs that are near their bound.
#[derive(Debug, Default)]
pub(crate) struct Begins {
    pub(crate) jobs: BTreeMap<String, Turn>,
    /// Machines set aside for them, with the CPUs of the least task that may
    /// start there.
    pub(crate) aside: BTreeMap<String, f64>,
}

/// Where the sweep stands.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    /// The job looked at last.
    pub(crate) job: String,
    /// The machine looked at last.
    pub(crate) machine: String,
}

/// The trade's part of the picture.
#[derive(Debug, Default)]
pub(crate) struct Trade {
    pub(crate) rules: Vec<Rule>,
    /// Cutoffs drawn from jobs raise them as well.
    pub(crate) act_on_drawn: bool,
    pub(crate) book: CalendarBook,
    pub(crate) ledger: Ledger,
    /// How open cutoffs stand, as last looked at.
    pub(crate) verdicts: BTreeMap<Arc<str>, Verdict>,
}

/// Boot times over which rises of demand are remembered.
const MEMORY_BOOTS: f64 = 6.0;

/// Demand over time, and what it rose by within a boot.
#[derive(Debug, Default)]
pub(crate) struct Rises {
    /// Time and CPUs wanted.
    demand: VecDeque<(f64, f64)>,
    /// Time and rise.
    rises: VecDeque<(f64, f64)>,
}

impl Rises {
    /// Notes demand, and returns the greatest rise that is remembered.
    pub(crate) fn note(&mut self, now: f64, demand: f64, boot_s: f64) -> f64 {
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
