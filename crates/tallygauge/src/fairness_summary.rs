//! The floor's counts, shown.

use std::fmt::Write as _;
use tallygauge_scheduler::{ClusterState, GroupKind};

/// Classes (`^`: the largest of one) and teams in one field each: jobs accepted,
/// cancelled, started, done, of these late, of the open ones overdue; `!N` when N
/// jobs come first for it, `?N` when N of them fit nowhere.
#[must_use]
pub fn format_group_statuses(c: &ClusterState) -> (String, String) {
    let (mut classes, mut teams) = (String::new(), String::new());
    for s in c.group_statuses() {
        let (out, of) = match s.key.kind {
            GroupKind::Class => (&mut classes, ""),
            GroupKind::Largest => (&mut classes, "^"),
            GroupKind::Team => (&mut teams, ""),
        };
        let (t, d) = (s.counts, s.shortfall);
        let accepted = t.done + t.cancelled + u64::from(s.open);
        let started = t.done + t.cancelled_after_start + u64::from(s.started);
        if !out.is_empty() {
            out.push(' ');
        }
        let _ = write!(
            out,
            "{}{of}:{accepted}/{}/{started}/{}/{}/{}",
            s.key.name, t.cancelled, t.done, t.late, d.overdue
        );
        if d.to_target_share > 0 {
            let _ = write!(out, "!{}", d.to_target_share);
        }
        if d.unfit > 0 {
            let _ = write!(out, "?{}", d.unfit);
        }
    }
    (classes, teams)
}
