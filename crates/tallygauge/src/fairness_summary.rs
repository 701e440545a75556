//! The floor's counts, shown.

use std::fmt::Write as _;
use tallygauge_scheduler::{Cluster, Kind};

/// Classes (`^`: the largest of one) and teams in one field each: jobs accepted,
/// cancelled, started, done, of these late, of the open ones overdue; `!N` when N
/// jobs come first for it, `?N` when N of them fit nowhere.
#[must_use]
pub fn shown(c: &Cluster) -> (String, String) {
    let (mut classes, mut teams) = (String::new(), String::new());
    for s in c.standings() {
        let (out, of) = match s.key.kind {
            Kind::Class => (&mut classes, ""),
            Kind::Largest => (&mut classes, "^"),
            Kind::Team => (&mut teams, ""),
        };
        let (t, d) = (s.tally, s.demand);
        let accepted = t.done + t.cancelled + u64::from(s.open);
        let started = t.done + t.stopped + u64::from(s.started);
        if !out.is_empty() {
            out.push(' ');
        }
        let _ = write!(
            out,
            "{}{of}:{accepted}/{}/{started}/{}/{}/{}",
            s.key.name, t.cancelled, t.done, t.late, d.overdue
        );
        if d.need > 0 {
            let _ = write!(out, "!{}", d.need);
        }
        if d.unfit > 0 {
            let _ = write!(out, "?{}", d.unfit);
        }
    }
    (classes, teams)
}
