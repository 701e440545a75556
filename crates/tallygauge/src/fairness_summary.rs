//! Formats the service counts of classes and teams for the leader's periodic log.

use std::fmt::Write as _;
use tallygauge_scheduler::{ClusterState, GroupKind, GroupStatus};

/// Returns two log fields, one for the classes and one for the teams. Each group is formatted
/// as `name:accepted/cancelled/started/done/late/overdue`, with these marks:
///
/// - `^` after the name: the group contains the largest jobs of the class.
/// - `!N` at the end: N of its jobs are placed first, so that the group reaches its minimum
///   share.
/// - `?N` at the end: N of its open jobs fit on no machine.
#[must_use]
pub fn format_group_statuses(cluster: &ClusterState) -> (String, String) {
    let (mut classes, mut teams) = (String::new(), String::new());
    for status in cluster.group_statuses() {
        let (field, name_suffix) = match status.key.kind {
            GroupKind::Class => (&mut classes, ""),
            GroupKind::Largest => (&mut classes, "^"),
            GroupKind::Team => (&mut teams, ""),
        };
        if !field.is_empty() {
            field.push(' ');
        }
        write_group_status(field, name_suffix, &status);
    }
    (classes, teams)
}

fn write_group_status(field: &mut String, name_suffix: &str, status: &GroupStatus) {
    let (counts, shortfall) = (&status.counts, &status.shortfall);
    let accepted = counts.done + counts.cancelled + u64::from(status.open);
    let started = counts.done + counts.cancelled_after_start + u64::from(status.started);
    let _ = write!(
        field,
        "{}{name_suffix}:{accepted}/{}/{started}/{}/{}/{}",
        status.key.name, counts.cancelled, counts.done, counts.late, shortfall.overdue
    );
    if shortfall.to_target_share > 0 {
        let _ = write!(field, "!{}", shortfall.to_target_share);
    }
    if shortfall.unplaceable > 0 {
        let _ = write!(field, "?{}", shortfall.unplaceable);
    }
}
