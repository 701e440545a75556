//! Which work comes first among what is equally urgent.
//!
//! Pure: no clock, no input or output. Operators declare ranks by class, team
//! and calendar window ([`Declared`]); a leader puts them into the [`Ledger`],
//! which is on record before anybody acts on it. A change is an [`Epoch`], with
//! the time of day from which it is in force; the last ones are kept, so that
//! any leader works out alike which rank a job was accepted with. Of two
//! declarations the later version wins; an older file never sets it back, and
//! one that lacks a class takes nothing away. `docs/ledger.md` says why.

mod priority_rules;
mod rank;

pub use priority_rules::{PriorityRules, RulesChange, RulesRevision};
pub use rank::{DeclaredRules, MAX_RANK, Rank, RankRule};
