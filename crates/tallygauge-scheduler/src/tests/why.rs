//! Why tasks wait.

use super::*;

/// All tasks on a machine run, and say so.
fn run_all(c: &mut ClusterState, machine: &str, seq: u64, now: f64) {
    let held: Vec<TaskStatus> = c.workers[machine]
        .attempts
        .iter()
        .filter(|h| h.occupies_capacity())
        .map(|h| task(&h.task_name(), h.number, TaskState::Running, None))
        .collect();
    c.apply_heartbeat(
        now,
        &report(machine, 1, seq, TERM, held),
        HeartbeatSource::Periodic,
    );
}

/// Every task on a machine ends as told.
fn end_all(c: &mut ClusterState, machine: &str, seq: u64, cause: EndCause, now: f64) {
    let held: Vec<TaskStatus> = c.workers[machine]
        .attempts
        .iter()
        .filter(|h| h.occupies_capacity())
        .map(|h| task(&h.task_name(), h.number, TaskState::Ended, Some(cause)))
        .collect();
    c.apply_heartbeat(
        now,
        &report(machine, 1, seq, TERM, held),
        HeartbeatSource::Periodic,
    );
}

fn codes(c: &ClusterState, id: &str, now: f64) -> Vec<&'static str> {
    let reasons = c.explain_pending(id, now).unwrap().reasons;
    let code = |r: &PendingReason| match r {
        PendingReason::TeamLimit { .. } => "limit",
        PendingReason::NoRoom { .. } => "room",
        PendingReason::NoCapacity { .. } => "capacity",
        PendingReason::Room { .. } => "soon",
        PendingReason::Behind { .. } => "behind",
        PendingReason::Retry { .. } => "retry",
        PendingReason::Starting { .. } => "starting",
        PendingReason::Fetching { .. } => "fetching",
        PendingReason::Stopping { .. } => "stopping",
        PendingReason::OutOfReach { .. } => "lost",
    };
    reasons.iter().map(code).collect()
}

#[test]
fn it_is_told_why_tasks_wait() {
    let mut c = cluster(&["sa"], 100.0);
    assert!(c.explain_pending("req-1", 100.0).is_none());
    c.add_job(spec(1, 2, 2.0), 1, 99.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-1", 100.0), ["soon"]);
    round(&mut c, 100.0);
    assert_eq!(codes(&c, "req-1", 100.0), ["starting"]);
    run_all(&mut c, "sa", 2, 101.0);
    assert!(codes(&c, "req-1", 101.0).is_empty(), "all run");
    let mut urgent = spec(2, 3, 2.0);
    urgent.priority = Priority::High;
    urgent.checkpoint_every_s = 0.0;
    c.add_job(urgent, 1, 101.0, &RangeSet::default());
    c.add_job(spec(3, 40, 2.0), 1, 101.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-2", 101.0), ["room"]);
    assert_eq!(codes(&c, "req-3", 101.0), ["room", "behind"]);
    for rental in c.rentals(101.0) {
        c.record_no_capacity(&rental.kind, 101.0);
    }
    assert_eq!(codes(&c, "req-2", 101.1), ["room", "capacity"]);
    // A failure is tried again later; a silent machine is said to be one.
    end_all(&mut c, "sa", 3, EndCause::Error, 102.0);
    assert!(codes(&c, "req-1", 102.0).contains(&"retry"));
    round(&mut c, 102.0);
    assert_eq!(codes(&c, "req-2", 160.0)[..1], ["room"]);
    assert!(codes(&c, "req-2", 160.0).contains(&"lost"));
    let mut wide = spec(4, 20, 14.0);
    wide.machine_types = Some(vec!["large".into()]);
    c.add_job(wide, 1, 102.0, &RangeSet::default());
    assert_eq!(codes(&c, "req-4", 102.0)[..1], ["room"]);
}
