//! What the cluster state keeps for batch deadlines.

use std::{collections::BTreeMap, sync::Arc};
use tallygauge_deadlines::{CutoffRule, DeadlineTracker, Forecast};
use tallygauge_priority::PriorityRules;

/// State of batch deadlines (cutoffs) and priority rules.
#[derive(Debug, Default)]
pub(crate) struct BatchDeadlines {
    /// Cutoffs that operators declared.
    pub(crate) rules: Vec<CutoffRule>,
    /// Inferred cutoffs boost jobs as well.
    pub(crate) act_on_inferred: bool,
    /// Counts for each open cutoff.
    pub(crate) tracker: DeadlineTracker,
    /// Ranks of classes and teams.
    pub(crate) priority_rules: PriorityRules,
    /// Forecast for each open cutoff, by name, as of the last update.
    pub(crate) forecasts: BTreeMap<Arc<str>, Forecast>,
}
