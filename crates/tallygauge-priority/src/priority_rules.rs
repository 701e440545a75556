//! The ledger on record.

use crate::rank::{DeclaredRules, Rank, RankRule, merged, rank_of};
use serde::{Deserialize, Serialize};
use tallygauge_records::{Durability, Record};

/// Epochs that are kept, the one in force among them.
const KEPT: usize = 8;

/// Rules of one epoch, at most.
const MOST_RULES: usize = 64;

/// Ranks in force from a time of day on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RulesRevision {
    /// Its number; it grows by one with each change.
    #[serde(rename = "e")]
    pub number: u64,
    /// Version of the declaration that it was made of.
    #[serde(rename = "d")]
    pub declared: u64,
    /// Since when it is in force, seconds of the time of day.
    #[serde(rename = "s")]
    pub since: f64,
    /// The ranks.
    #[serde(rename = "r")]
    pub rules: Vec<RankRule>,
}

/// What a declaration does to the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum RulesChange {
    /// Nothing: it is in force already, or an older one.
    Unchanged,
    /// Nothing, and operators should know: another declaration of the same
    /// version is in force.
    VersionConflict,
    /// The ledger as it should be kept. Until that is durable, the present one
    /// is in force.
    New(PriorityRules),
}

/// All epochs that are kept, the oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PriorityRules {
    /// The epochs.
    #[serde(rename = "e")]
    revisions: Vec<RulesRevision>,
}

impl Record for PriorityRules {
    const NAME: &'static str = "ledger";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

impl PriorityRules {
    /// The epoch in force, if any was declared.
    #[must_use]
    pub fn current(&self) -> Option<&RulesRevision> {
        self.revisions.last()
    }

    /// What a declaration does, at a time of day. Windows' times differ by what
    /// clocks do; an epoch is never older than the one before it.
    #[must_use]
    pub fn declare(&self, declared: &DeclaredRules, at: f64) -> RulesChange {
        let (number, before, since, rules): (u64, u64, f64, &[RankRule]) = match self.current() {
            Some(e) => (e.number, e.declared, e.since, &e.rules),
            None if declared.rules.is_empty() => return RulesChange::Unchanged,
            None => (0, 0, f64::NEG_INFINITY, &[]),
        };
        let first = self.revisions.is_empty();
        if !first && declared.version < before {
            return RulesChange::Unchanged;
        }
        let next = merged(rules, &declared.rules);
        if !first && declared.version == before {
            return if next == rules {
                RulesChange::Unchanged
            } else {
                RulesChange::VersionConflict
            };
        }
        let mut ledger = self.clone();
        let mut next = next;
        next.truncate(MOST_RULES);
        ledger.revisions.push(RulesRevision {
            number: number + 1,
            declared: declared.version,
            since: at.max(since),
            rules: next,
        });
        let over = ledger.revisions.len().saturating_sub(KEPT);
        ledger.revisions.drain(..over);
        RulesChange::New(ledger)
    }

    /// The rank of a job that was accepted at a time of day, while the windows
    /// that `open` names are open at a time: the better of the one it was
    /// accepted with and the one in force now.
    #[must_use]
    pub fn rank(
        &self,
        (class, team): (&str, &str),
        accepted_at: f64,
        now: f64,
        open: &dyn Fn(&str, f64) -> bool,
    ) -> Rank {
        let rank = |epoch: &RulesRevision, at: f64| {
            rank_of(&epoch.rules, class, team, &|window| open(window, at))
        };
        let then = self.revisions.iter().rev().find(|e| e.since <= accepted_at);
        let then = then.map_or(0, |e| rank(e, accepted_at));
        self.current().map_or(0, |e| rank(e, now)).max(then)
    }
}

#[cfg(test)]
mod tests;
