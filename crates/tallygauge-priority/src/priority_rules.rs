//! The stored priority rules and their latest revisions.

use crate::rank::{DeclaredRules, Rank, RankRule, merge_rules, rank_of};
use serde::{Deserialize, Serialize};
use tallygauge_records::{Durability, Record};

/// Maximum number of revisions that are kept, including the one in force.
const MAX_REVISIONS: usize = 8;

/// Maximum number of rules in a revision; further rules are dropped.
const MAX_RULES: usize = 64;

/// Revision of the rules, in force from `since` until the next revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RulesRevision {
    /// Number of the revision, which increases by one with each change.
    #[serde(rename = "e")]
    pub number: u64,
    /// Version of the declaration that the revision was made from.
    #[serde(rename = "d")]
    pub declared_version: u64,
    /// When the revision came into force, Unix time in seconds. Never earlier than that of
    /// the previous revision.
    #[serde(rename = "s")]
    pub since: f64,
    /// Rules of the revision.
    #[serde(rename = "r")]
    pub rules: Vec<RankRule>,
}

/// Result of a declaration.
#[derive(Debug, Clone, PartialEq)]
pub enum RulesChange {
    /// No change: this declaration or a newer one is already in force.
    Unchanged,
    /// No change, because a different declaration with the same version is in force. This is
    /// an error to be reported to the operators.
    VersionConflict,
    /// Rules with a new revision, to be stored. The previous rules stay in force until these
    /// are durable.
    New(PriorityRules),
}

/// Priority rules: the revision in force and the latest ones before it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityRules {
    /// Revisions, the oldest first.
    #[serde(rename = "e")]
    revisions: Vec<RulesRevision>,
}

impl Record for PriorityRules {
    const NAME: &'static str = "ledger";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

impl PriorityRules {
    /// The revision in force; `None` if no rules were declared yet.
    #[must_use]
    pub fn current(&self) -> Option<&RulesRevision> {
        self.revisions.last()
    }

    /// Determines the result of a declaration at `unix_time_s`. Changes nothing itself.
    #[must_use]
    pub fn declare(&self, declared: &DeclaredRules, unix_time_s: f64) -> RulesChange {
        let Some(current) = self.current() else {
            if declared.rules.is_empty() {
                return RulesChange::Unchanged;
            }
            let rules = merge_rules(&[], &declared.rules);
            return self.with_revision(declared.version, 1, unix_time_s, rules);
        };
        if declared.version < current.declared_version {
            return RulesChange::Unchanged;
        }
        let rules = merge_rules(&current.rules, &declared.rules);
        if declared.version == current.declared_version {
            return if rules == current.rules {
                RulesChange::Unchanged
            } else {
                RulesChange::VersionConflict
            };
        }
        // The clocks of controllers differ, and a clock may be set back.
        let since = unix_time_s.max(current.since);
        self.with_revision(declared.version, current.number + 1, since, rules)
    }

    /// The rules with a revision added; the oldest revisions beyond the limit are dropped.
    fn with_revision(
        &self,
        declared_version: u64,
        number: u64,
        since: f64,
        mut rules: Vec<RankRule>,
    ) -> RulesChange {
        rules.truncate(MAX_RULES);
        let mut changed = self.clone();
        changed.revisions.push(RulesRevision {
            number,
            declared_version,
            since,
            rules,
        });
        let excess = changed.revisions.len().saturating_sub(MAX_REVISIONS);
        changed.revisions.drain(..excess);
        RulesChange::New(changed)
    }

    /// The rank of a job of a class and team: the higher of its rank at acceptance and its
    /// rank now, each by the revision in force at that time. If the revision in force at
    /// acceptance is no longer kept, the rank at acceptance counts as 0.
    ///
    /// `accepted_at` and `now` are Unix times in seconds. `is_window_open` returns whether a
    /// window of the cutoff rule with a name is open at a Unix time.
    #[must_use]
    pub fn rank(
        &self,
        (class, team): (&str, &str),
        accepted_at: f64,
        now: f64,
        is_window_open: &dyn Fn(&str, f64) -> bool,
    ) -> Rank {
        let rank_at = |revision: &RulesRevision, unix_time_s: f64| {
            rank_of(&revision.rules, class, team, &|cutoff_rule| {
                is_window_open(cutoff_rule, unix_time_s)
            })
        };
        let mut newest_first = self.revisions.iter().rev();
        let revision_at_acceptance = newest_first.find(|revision| revision.since <= accepted_at);
        let rank_at_acceptance = revision_at_acceptance.map_or(0, |r| rank_at(r, accepted_at));
        let rank_now = self.current().map_or(0, |r| rank_at(r, now));
        rank_now.max(rank_at_acceptance)
    }
}

#[cfg(test)]
mod tests;
