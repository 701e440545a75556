//! Ranks as operators declare them.

use serde::{Deserialize, Serialize};

/// The highest rank. 0 is what all work has that nothing is declared for.
pub const MAX_RANK: u8 = 100;

/// A rank, 0 to [`HIGHEST`].
pub type Rank = u8;

/// One declared rank. Of several that fit a job the one that says most of it
/// counts: class and team before class, before team; within a window before
/// always.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankRule {
    /// Class of jobs; `None`: any.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Team; `None`: any.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Only while this window of the calendar is open; `None`: always.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub window: Option<String>,
    /// The rank.
    #[serde(rename = "r")]
    pub rank: Rank,
}

impl RankRule {
    /// What the rule is for: one declared later for the same takes its place.
    fn scope(&self) -> (&Option<String>, &Option<String>, &Option<String>) {
        (&self.class, &self.team, &self.window)
    }

    fn matches(&self, class: &str, team: &str, open: &dyn Fn(&str) -> bool) -> bool {
        self.class.as_ref().is_none_or(|c| c == class)
            && self.team.as_ref().is_none_or(|t| t == team)
            && self.window.as_ref().is_none_or(|w| open(w))
    }

    fn specificity(&self) -> (bool, bool, bool) {
        (
            self.class.is_some(),
            self.team.is_some(),
            self.window.is_some(),
        )
    }
}

/// What one settings file declares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredRules {
    /// Grows with every change that operators make.
    pub version: u64,
    /// The ranks.
    pub rules: Vec<RankRule>,
}

/// The rank that rules give a job, while the windows that `open` names are open.
pub(crate) fn rank_of(
    rules: &[RankRule],
    class: &str,
    team: &str,
    open: &dyn Fn(&str) -> bool,
) -> Rank {
    let fitting = rules.iter().filter(|r| r.matches(class, team, open));
    let best = fitting.max_by(|a, b| {
        a.specificity()
            .cmp(&b.specificity())
            .then(a.rank.cmp(&b.rank))
    });
    best.map_or(0, |r| r.rank)
}

/// Rules in force and those declared later, which take the place of those about
/// the same; what is not declared any more stays.
pub(crate) fn merged(before: &[RankRule], later: &[RankRule]) -> Vec<RankRule> {
    let mut rules: Vec<RankRule> = before.to_vec();
    for rule in later {
        rules.retain(|r| r.scope() != rule.scope());
        rules.push(rule.clone());
    }
    rules.sort();
    rules
}
