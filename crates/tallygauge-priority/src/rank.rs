//! Ranks, and the rules declared by operators that assign them to jobs.

use serde::{Deserialize, Serialize};

/// The highest rank.
pub const MAX_RANK: u8 = 100;

/// A rank from 0 to [`MAX_RANK`]. Jobs with a higher rank come first. Jobs that no rule
/// matches have rank 0.
pub type Rank = u8;

/// Rule that assigns a rank to jobs. If several rules match a job, the most specific one
/// applies:
///
/// 1. Rules with a class and a team come before those with a class only, and these before
///    those with a team only.
/// 2. Among rules with the same of these, those that are limited to a window come before
///    those that always apply.
/// 3. Of equally specific rules, the one with the highest rank applies.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankRule {
    /// Class of the jobs; `None`: any class.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Team of the jobs; `None`: any team.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Name of the cutoff rule in whose windows the rule applies; `None`: it always applies.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub cutoff_rule: Option<String>,
    /// Rank of the jobs that the rule matches.
    #[serde(rename = "r")]
    pub rank: Rank,
}

/// Class, team and cutoff rule of a rank rule.
type Scope<'a> = (&'a Option<String>, &'a Option<String>, &'a Option<String>);

impl RankRule {
    /// Scope of the rule. A rule that is declared later for the same scope replaces it.
    fn scope(&self) -> Scope<'_> {
        (&self.class, &self.team, &self.cutoff_rule)
    }

    fn matches(&self, class: &str, team: &str, is_window_open: &dyn Fn(&str) -> bool) -> bool {
        self.class.as_ref().is_none_or(|expected| expected == class)
            && self.team.as_ref().is_none_or(|expected| expected == team)
            && self
                .cutoff_rule
                .as_ref()
                .is_none_or(|name| is_window_open(name))
    }

    /// Sort key by which rules are more specific: by class, then team, then window.
    fn specificity(&self) -> [bool; 3] {
        [
            self.class.is_some(),
            self.team.is_some(),
            self.cutoff_rule.is_some(),
        ]
    }
}

/// Rules declared by one settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredRules {
    /// Version of the file, which operators raise with every change.
    pub version: u64,
    /// The declared rules.
    pub rules: Vec<RankRule>,
}

/// Rank of a job of a class and team by `rules`. `is_window_open` returns whether a window
/// of the cutoff rule with a name is open.
pub(crate) fn rank_of(
    rules: &[RankRule],
    class: &str,
    team: &str,
    is_window_open: &dyn Fn(&str) -> bool,
) -> Rank {
    rules
        .iter()
        .filter(|rule| rule.matches(class, team, is_window_open))
        .max_by_key(|rule| (rule.specificity(), rule.rank))
        .map_or(0, |rule| rule.rank)
}

/// Merges `later` rules into `earlier` ones. Later rules replace earlier rules of the same
/// scope. Earlier rules whose scope is no longer declared are kept.
pub(crate) fn merge_rules(earlier: &[RankRule], later: &[RankRule]) -> Vec<RankRule> {
    let mut rules: Vec<RankRule> = earlier.to_vec();
    for rule in later {
        rules.retain(|other| other.scope() != rule.scope());
        rules.push(rule.clone());
    }
    rules.sort();
    rules
}
