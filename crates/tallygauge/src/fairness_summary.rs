//! Service counts of classes and teams as fields of the leader's summary.

use std::fmt::Write as _;
use tallygauge_scheduler::{ClusterState, GroupKind, GroupStatus};

/// One field for the classes (`^`: the largest jobs of one) and one for the teams,
/// each group as `name:accepted/cancelled/started/done/late/overdue`. `!N` follows
/// when N of its jobs are placed first to reach its minimum share, `?N` when N of
/// them fit on no machine.
#[must_use]
pub fn format_group_statuses(cluster: &ClusterState) -> (String, String) {
    let (mut classes, mut teams) = (String::new(), String::new());
    for status in cluster.group_statuses() {
        let (field, suffix) = match status.key.kind {
            GroupKind::Class => (&mut classes, ""),
            GroupKind::Largest => (&mut classes, "^"),
            GroupKind::Team => (&mut teams, ""),
        };
        if !field.is_empty() {
            field.push(' ');
        }
        write_group_status(field, suffix, &status);
    }
    (classes, teams)
}

fn write_group_status(field: &mut String, suffix: &str, status: &GroupStatus) {
    let (counts, shortfall) = (&status.counts, &status.shortfall);
    let accepted = counts.done + counts.cancelled + u64::from(status.open);
    let started = counts.done + counts.cancelled_after_start + u64::from(status.started);
    let _ = write!(
        field,
        "{}{suffix}:{accepted}/{}/{started}/{}/{}/{}",
        status.key.name, counts.cancelled, counts.done, counts.late, shortfall.overdue
    );
    if shortfall.to_target_share > 0 {
        let _ = write!(field, "!{}", shortfall.to_target_share);
    }
    if shortfall.unfit > 0 {
        let _ = write!(field, "?{}", shortfall.unfit);
    }
}
