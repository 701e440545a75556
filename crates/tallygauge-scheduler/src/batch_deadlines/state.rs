//! State of batch deadlines, as part of the cluster state.

use std::{collections::BTreeMap, sync::Arc};
use tallygauge_deadlines::{CutoffRule, DeadlineTracker, Forecast};
use tallygauge_priority::PriorityRules;

/// State of batch deadlines (cutoffs) and of priority rules.
#[derive(Debug, Default)]
pub(crate) struct BatchDeadlines {
    /// Cutoffs that operators declared.
    pub(crate) rules: Vec<CutoffRule>,
    /// Whether inferred cutoffs boost jobs as well.
    pub(crate) act_on_inferred: bool,
    /// Counts for each open cutoff.
    pub(crate) tracker: DeadlineTracker,
    /// The rules that give classes and teams their ranks.
    pub(crate) priority_rules: PriorityRules,
    /// Forecast for each open cutoff, by name, as of the last update.
    pub(crate) forecasts: BTreeMap<Arc<str>, Forecast>,
}
