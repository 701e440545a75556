//! Ranks as operators declare them, and the rules that give them to jobs.

use serde::{Deserialize, Serialize};

/// The highest rank.
pub const MAX_RANK: u8 = 100;

/// A rank, 0 to [`MAX_RANK`]; the higher comes first. 0 is that of all jobs which no rule
/// is declared for.
pub type Rank = u8;

/// Rule that gives jobs a rank. Of several that match a job the most specific counts:
/// class and team before class, before team; within a window before always; of equally
/// specific ones the highest rank.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RankRule {
    /// Class of jobs; `None`: any.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Team; `None`: any.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Name of the cutoff in whose window alone it holds; `None`: always.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub cutoff_rule: Option<String>,
    /// The rank.
    #[serde(rename = "r")]
    pub rank: Rank,
}

/// Class, team and window of a rule.
type Scope<'a> = (&'a Option<String>, &'a Option<String>, &'a Option<String>);

impl RankRule {
    /// What the rule is for: a rule declared later for the same scope replaces it.
    fn scope(&self) -> Scope<'_> {
        (&self.class, &self.team, &self.cutoff_rule)
    }

    fn matches(&self, class: &str, team: &str, is_window_open: &dyn Fn(&str) -> bool) -> bool {
        self.class.as_ref().is_none_or(|own| own == class)
            && self.team.as_ref().is_none_or(|own| own == team)
            && self
                .cutoff_rule
                .as_ref()
                .is_none_or(|own| is_window_open(own))
    }

    /// Orders rules by how specific they are: by class, then team, then window.
    fn specificity(&self) -> [bool; 3] {
        [
            self.class.is_some(),
            self.team.is_some(),
            self.cutoff_rule.is_some(),
        ]
    }
}

/// Rules that one settings file declares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredRules {
    /// Version of the file; operators raise it with every change.
    pub version: u64,
    /// The rules.
    pub rules: Vec<RankRule>,
}

/// The rank that rules give to a job; `is_window_open` is asked by a cutoff's name.
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

/// Merges later rules into earlier ones: they replace those of the same scope. Scopes
/// that are not declared any more keep their rule.
pub(crate) fn merge_rules(earlier: &[RankRule], later: &[RankRule]) -> Vec<RankRule> {
    let mut rules: Vec<RankRule> = earlier.to_vec();
    for rule in later {
        rules.retain(|other| other.scope() != rule.scope());
        rules.push(rule.clone());
    }
    rules.sort();
    rules
}
