//! Reasons why tasks are pending.

use super::*;

/// Reports all tasks on a machine as running.
fn run_all(cluster: &mut ClusterState, machine: &str, seq: u64, now: f64) {
    let attempts: Vec<TaskStatus> = cluster.workers[machine]
        .attempts
        .iter()
        .filter(|h| h.occupies_capacity())
        .map(|h| task(&h.task_name(), h.number, TaskState::Running, None))
        .collect();
    cluster.apply_heartbeat(
        now,
        &heartbeat_from(machine, 1, seq, TERM, attempts),
        HeartbeatSource::Periodic,
    );
}

/// Reports all tasks on a machine as ended.
fn end_all(cluster: &mut ClusterState, machine: &str, seq: u64, cause: EndCause, now: f64) {
    let attempts: Vec<TaskStatus> = cluster.workers[machine]
        .attempts
        .iter()
        .filter(|h| h.occupies_capacity())
        .map(|h| task(&h.task_name(), h.number, TaskState::Ended, Some(cause)))
        .collect();
    cluster.apply_heartbeat(
        now,
        &heartbeat_from(machine, 1, seq, TERM, attempts),
        HeartbeatSource::Periodic,
    );
}

fn codes(cluster: &ClusterState, id: &str, now: f64) -> Vec<&'static str> {
    let reasons = cluster.explain_pending(id, now).unwrap().reasons;
    let code = |r: &PendingReason| match r {
        PendingReason::TeamLimit { .. } => "limit",
        PendingReason::InsufficientResources { .. } => "room",
        PendingReason::NoCloudCapacity { .. } => "capacity",
        PendingReason::ResourcesAvailable { .. } => "soon",
        PendingReason::QueuedBehind { .. } => "behind",
        PendingReason::Retry { .. } => "retry",
        PendingReason::Starting { .. } => "starting",
        PendingReason::Fetching { .. } => "fetching",
        PendingReason::Stopping { .. } => "stopping",
        PendingReason::Unreachable { .. } => "lost",
    };
    reasons.iter().map(code).collect()
}

#[test]
fn pending_reasons_follow_the_state_of_the_job() {
    let mut cluster = cluster(&["sa"], 100.0);
    assert!(cluster.explain_pending("req-1", 100.0).is_none());
    cluster.add_job(spec(1, 2, 2.0), 1, 99.0, &RangeSet::default());
    assert_eq!(codes(&cluster, "req-1", 100.0), ["soon"]);
    round(&mut cluster, 100.0);
    assert_eq!(codes(&cluster, "req-1", 100.0), ["starting"]);
    run_all(&mut cluster, "sa", 2, 101.0);
    assert!(codes(&cluster, "req-1", 101.0).is_empty(), "all run");
    let mut urgent = spec(2, 3, 2.0);
    urgent.priority = Priority::High;
    urgent.checkpoint_every_s = 0.0;
    cluster.add_job(urgent, 1, 101.0, &RangeSet::default());
    cluster.add_job(spec(3, 40, 2.0), 1, 101.0, &RangeSet::default());
    assert_eq!(codes(&cluster, "req-2", 101.0), ["room"]);
    assert_eq!(codes(&cluster, "req-3", 101.0), ["room", "behind"]);
    for rental in cluster.rentals(101.0) {
        cluster.record_no_capacity(&rental.kind, 101.0);
    }
    assert_eq!(codes(&cluster, "req-2", 101.1), ["room", "capacity"]);
    // A failure is tried again later; a silent machine is said to be one.
    end_all(&mut cluster, "sa", 3, EndCause::Error, 102.0);
    assert!(codes(&cluster, "req-1", 102.0).contains(&"retry"));
    round(&mut cluster, 102.0);
    assert_eq!(codes(&cluster, "req-2", 160.0)[..1], ["room"]);
    assert!(codes(&cluster, "req-2", 160.0).contains(&"lost"));
    let mut wide = spec(4, 20, 14.0);
    wide.machine_types = Some(vec!["large".into()]);
    cluster.add_job(wide, 1, 102.0, &RangeSet::default());
    assert_eq!(codes(&cluster, "req-4", 102.0)[..1], ["room"]);
}
