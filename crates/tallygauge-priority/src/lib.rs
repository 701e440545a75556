//! Priority rules: which work comes first among what is equally urgent.
//!
//! Pure: no clock, no input or output. Operators declare ranks by class, team and cutoff
//! window ([`DeclaredRules`]). The leader merges them into the [`PriorityRules`], which
//! are on record before anybody acts on them. Each change is a [`RulesRevision`] with
//! the wall-clock time from which it is in force. The last revisions are kept, so that
//! every leader finds the same rank for a job as that which it was accepted with.
//!
//! Of two declarations the higher version wins: an older settings file never undoes a
//! newer one, and a file that lacks a class removes nothing. `docs/priority-rules.md` says why.

mod priority_rules;
mod rank;

pub use priority_rules::{PriorityRules, RulesChange, RulesRevision};
pub use rank::{DeclaredRules, MAX_RANK, Rank, RankRule};
