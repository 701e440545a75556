//! Priority rules: the order of work that is equally urgent.
//!
//! The crate does no I/O and reads no clock.
//!
//! - Operators declare ranks by class, team and cutoff window ([`DeclaredRules`]).
//! - The leader merges the declarations into the [`PriorityRules`]. They are stored before
//!   they take effect.
//! - Each change is a [`RulesRevision`] with the Unix time from which it is in force. The
//!   latest revisions are kept, so that every leader derives the rank with which a job was
//!   accepted.
//!
//! The declaration with the higher version wins: an older settings file never replaces a
//! newer one. A file that lacks a class does not remove the rules of that class.
//! `docs/priority-rules.md` gives the reasons.

mod priority_rules;
mod rank;

pub use priority_rules::{PriorityRules, RulesChange, RulesRevision};
pub use rank::{DeclaredRules, MAX_RANK, Rank, RankRule};
