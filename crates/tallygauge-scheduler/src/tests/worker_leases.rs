//! Which heartbeats may be answered, so that they renew the lease of their worker.

use super::*;

/// Time after which the lease of a worker with an undelivered start is no longer renewed.
const WITHHELD_AT: f64 = 100.0 + 17.5;

#[test]
fn lease_is_not_renewed_while_a_cancelled_task_may_still_start() {
    let mut c = cluster_with_undelivered_start();
    assert!(c.may_renew_lease("sa", CANCELLED_AT));
    assert!(!c.may_renew_lease("sa", WITHHELD_AT));
    let latest_renewal = c.config.fencing_timeout_s;
    let lease_end = latest_renewal + c.config.with_clock_drift(c.config.lease_s);
    assert!(lease_end < c.config.cancel_timeout_s);
    assert!(!c.workers["sa"].accepts_work(CANCELLED_AT, &c.config));
    let withheld = |c: &ClusterState| c.confirmation_backlog(WITHHELD_AT).withheld_leases;
    assert_eq!(withheld(&c), 1);
    // The next incarnation refuses the start, but not an agent that restarts later. So its
    // attempt is kept until the machine is gone, which must be before the cancel timeout.
    let heartbeat = heartbeat_from("sa", 2, 900, TERM, vec![]);
    c.apply_heartbeat(WITHHELD_AT + 20.0, &heartbeat, HeartbeatSource::Periodic);
    assert!(c.may_renew_lease("sa", WITHHELD_AT + 20.0));
    assert_eq!(withheld(&c), 0);
    assert_eq!(c.workers["sa"].attempts.len(), 1);
    c.advance_time(CANCELLED_AT + c.config.cancel_timeout_s * 0.8);
    let returnable = c.machines_to_return(CANCELLED_AT + c.config.cancel_timeout_s * 0.8);
    assert_eq!(returnable[0].reason, ReturnReason::CancelUnconfirmed);
    c.deregister_machine("sa", CANCELLED_AT + c.config.cancel_timeout_s * 0.8);
    assert_eq!(c.quota_usage[0].cpus, 0.0);
}

#[test]
fn lease_is_renewed_once_the_worker_has_shown_the_cancelled_attempt() {
    let mut c = cluster_with_undelivered_start();
    assert!(!c.may_renew_lease("sa", WITHHELD_AT));
    let attempt = c.workers["sa"].attempts[0].number;
    let running = task("req-1/0", attempt, TaskState::Running, None);
    let heartbeat = heartbeat_from("sa", 1, 900, TERM, vec![running]);
    c.apply_heartbeat(WITHHELD_AT, &heartbeat, HeartbeatSource::Periodic);
    assert!(c.may_renew_lease("sa", WITHHELD_AT));
    let commands = c.commands("sa", WITHHELD_AT);
    assert!(
        matches!(commands[..], [Command::Stop { .. }]),
        "{commands:?}"
    );
}

#[test]
fn undelivered_start_of_an_active_job_leaves_the_lease_alone() {
    let mut c = cluster_with_late_start_on_record();
    assert!(c.may_renew_lease("sa", WITHHELD_AT));
}

#[test]
fn start_of_a_cancelled_task_in_a_response_leaves_the_lease_alone() {
    let mut c = cluster_with_placed_task();
    let commands = c.commands("sa", 100.0);
    c.record_heartbeat_response("sa", &commands, 100.0);
    c.remove_job("req-1", CANCELLED_AT);
    assert!(c.may_renew_lease("sa", WITHHELD_AT));
    assert!(matches!(
        c.commands("sa", WITHHELD_AT)[..],
        [Command::Stop { .. }]
    ));
}
