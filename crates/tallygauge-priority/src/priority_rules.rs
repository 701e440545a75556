//! The priority rules on record, with their last revisions.

use crate::rank::{DeclaredRules, Rank, RankRule, merge_rules, rank_of};
use serde::{Deserialize, Serialize};
use tallygauge_records::{Durability, Record};

/// Most revisions that are kept, with the one in force.
const MAX_REVISIONS: usize = 8;

/// Most rules of one revision; further ones are dropped.
const MAX_RULES: usize = 64;

/// Rules in force since a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RulesRevision {
    /// Number of the revision; it grows by one with each change.
    #[serde(rename = "e")]
    pub number: u64,
    /// Version of the declaration that it was made from.
    #[serde(rename = "d")]
    pub declared_version: u64,
    /// Wall-clock time since which it is in force, seconds; never before that of the
    /// revision before it.
    #[serde(rename = "s")]
    pub since: f64,
    /// The rules.
    #[serde(rename = "r")]
    pub rules: Vec<RankRule>,
}

/// Effect of a declaration on the rules in force.
#[derive(Debug, Clone, PartialEq)]
pub enum RulesChange {
    /// None: it is in force already, or a newer one is.
    Unchanged,
    /// None, and operators should know: another declaration of the same version is in
    /// force.
    VersionConflict,
    /// The rules with a new revision, to be stored. Until they are durable, the present
    /// ones are in force.
    New(PriorityRules),
}

/// Priority rules with their last revisions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityRules {
    /// The revisions, the oldest first.
    #[serde(rename = "e")]
    revisions: Vec<RulesRevision>,
}

impl Record for PriorityRules {
    const NAME: &'static str = "ledger";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

impl PriorityRules {
    /// The revision in force, if any was declared.
    #[must_use]
    pub fn current(&self) -> Option<&RulesRevision> {
        self.revisions.last()
    }

    /// The effect of a declaration at the wall-clock time `at`, in seconds.
    #[must_use]
    pub fn declare(&self, declared: &DeclaredRules, at: f64) -> RulesChange {
        let Some(current) = self.current() else {
            if declared.rules.is_empty() {
                return RulesChange::Unchanged;
            }
            let rules = merge_rules(&[], &declared.rules);
            return self.with_revision(declared.version, 1, at, rules);
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
        // Wall clocks differ and may step back.
        let since = at.max(current.since);
        self.with_revision(declared.version, current.number + 1, since, rules)
    }

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

    /// The rank of a job of a class and team: the higher of the one it was accepted with
    /// and the one in force now.
    ///
    /// `accepted_at` and `now` are wall-clock times in seconds. `is_window_open` is asked
    /// whether the window of a cutoff, by its name, is open at such a time.
    #[must_use]
    pub fn rank(
        &self,
        (class, team): (&str, &str),
        accepted_at: f64,
        now: f64,
        is_window_open: &dyn Fn(&str, f64) -> bool,
    ) -> Rank {
        let rank_at = |revision: &RulesRevision, at: f64| {
            rank_of(&revision.rules, class, team, &|window| {
                is_window_open(window, at)
            })
        };
        let mut newest_first = self.revisions.iter().rev();
        let accepted_under = newest_first.find(|revision| revision.since <= accepted_at);
        let rank_at_acceptance = accepted_under.map_or(0, |r| rank_at(r, accepted_at));
        let rank_now = self.current().map_or(0, |r| rank_at(r, now));
        rank_now.max(rank_at_acceptance)
    }
}

#[cfg(test)]
mod tests;
