//! Starts that a leader of an earlier version sent in direct messages. The messages were given up
//! and may arrive at any later time.

use super::*;

/// When the direct message was given up.
const GIVEN_UP_AT: f64 = CANCELLED_AT;

/// A time many leases after the message was given up.
pub(super) const MUCH_LATER: f64 = GIVEN_UP_AT + 1000.0;

/// A cluster with the machines `sa`, which gets the task `req-1/0`, and `sb`. The direct message
/// with the start was given up.
pub(super) fn cluster_with_late_start() -> ClusterState {
    let mut c = cluster_with_late_start_on_record();
    send_heartbeat(&mut c, "sb", (1, 1), MUCH_LATER - 1.0);
    c
}

/// Why the first of the machines that are due is returned, if any is.
pub(super) fn due_return(c: &mut ClusterState, now: f64) -> Option<ReturnReason> {
    c.advance_time(now);
    c.machines_to_return(now)
        .first()
        .map(|machine| machine.reason)
}

/// Sends a heartbeat without tasks, of the given incarnation and sequence number.
pub(super) fn send_heartbeat(c: &mut ClusterState, machine: &str, mark: (u64, u64), now: f64) {
    let heartbeat = heartbeat_from(machine, mark.0, mark.1, TERM, vec![]);
    c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
}

/// Lets the agent of `sa`, which has restarted at incarnation 1, answer a probe.
fn answer_probe_after_restart(c: &mut ClusterState, now: f64) {
    send_heartbeat(c, "sa", (1, 0), now);
    let mut messages = c.take_direct_messages(now, 1.0);
    messages.retain(|message| message.worker == "sa" && message.is_probe);
    let probe = messages
        .pop()
        .expect("a restart is told from a late copy by a probe");
    c.record_direct_message_result(&probe, true, now);
    c.apply_direct_reply(now, &probe, &heartbeat_from("sa", 1, 1, TERM, vec![]));
}

fn placed_on(c: &ClusterState, machine: &str) -> usize {
    let attempts = c.workers[machine].attempts.iter();
    attempts.filter(|a| a.occupies_capacity()).count()
}

#[test]
fn task_with_undelivered_start_is_not_placed_elsewhere_however_long_the_machine_is_silent() {
    // Guards against a task on two machines: a message that a partition held for three leases
    // was executed by an agent that had restarted, after the task was started elsewhere.
    let mut c = cluster_with_late_start();
    c.advance_time(MUCH_LATER);
    assert!(round(&mut c, MUCH_LATER).is_empty());
    assert_eq!((placed_on(&c, "sa"), placed_on(&c, "sb")), (1, 0));
    assert_eq!(c.quota_usage[0].cpus, 1.0);
    c.deregister_machine("sa", MUCH_LATER);
    assert_eq!(round(&mut c, MUCH_LATER).len(), 1);
    assert_eq!(placed_on(&c, "sb"), 1);
}

#[test]
fn silent_machine_is_returned_although_the_task_of_an_undelivered_start_is_bound_to_it() {
    // Guards against a task that waits for ever for a machine that hangs for good.
    let mut c = cluster_with_late_start();
    c.advance_time(GIVEN_UP_AT + c.config.lease_s * 3.0);
    assert!(c.machines_to_return(MUCH_LATER).is_empty());
    c.advance_time(GIVEN_UP_AT + c.config.lease_s * 5.0);
    assert_eq!(due_return(&mut c, MUCH_LATER), Some(ReturnReason::Silent));
}

#[test]
fn undelivered_start_is_repeated_in_the_next_incarnation_of_its_agent() {
    // Guards against taking a later incarnation as the end of a start: the agent may restart
    // after that, at the incarnation of the same number.
    let mut c = cluster_with_late_start();
    let attempt = c.workers["sa"].attempts[0].number;
    send_heartbeat(&mut c, "sa", (2, 9), MUCH_LATER);
    assert!(round(&mut c, MUCH_LATER).is_empty());
    assert_eq!(
        start_commands(&c, "sa", MUCH_LATER),
        [("req-1/0".to_string(), attempt)]
    );
    assert!(
        c.take_direct_messages(MUCH_LATER, 1.0)
            .iter()
            .all(|message| message.commands.is_empty()),
        "a start goes out in heartbeat responses alone"
    );
    respond_to_heartbeat(&mut c, MUCH_LATER);
    let running = task("req-1/0", attempt, TaskState::Running, None);
    let heartbeat = heartbeat_from("sa", 2, 10, TERM, vec![running]);
    c.apply_heartbeat(MUCH_LATER + 2.0, &heartbeat, HeartbeatSource::Periodic);
    send_heartbeat(&mut c, "sa", (3, 11), MUCH_LATER + 30.0);
    assert_eq!(
        start_commands(&c, "sa", MUCH_LATER + 30.0).len(),
        1,
        "the copy may arrive after any number of incarnations"
    );
}

#[test]
fn machine_whose_agent_restarts_before_a_start_arrives_is_returned_at_once() {
    // Guards against waiting on a machine for a start of which nobody knows whether the
    // restarted agent has executed it.
    let mut c = cluster_with_late_start();
    answer_probe_after_restart(&mut c, GIVEN_UP_AT + 1.0);
    c.advance_time(GIVEN_UP_AT + 1.0);
    assert_eq!(placed_on(&c, "sa"), 1, "kept until the machine is gone");
    let returnable = c.machines_to_return(GIVEN_UP_AT + 1.0);
    assert_eq!(returnable[0].reason, ReturnReason::UndeliveredStart);
    c.advance_time(MUCH_LATER);
    assert!(round(&mut c, MUCH_LATER).is_empty());
}

#[test]
fn machine_is_kept_if_its_agent_reports_again_before_the_return_is_sent() {
    // Guards against a return that is not needed any more: the attempt is started in the
    // agent's next incarnation.
    let mut c = cluster_with_late_start();
    answer_probe_after_restart(&mut c, GIVEN_UP_AT + 1.0);
    c.advance_time(GIVEN_UP_AT + 1.0);
    assert!(c.workers["sa"].is_being_returned());
    send_heartbeat(&mut c, "sa", (2, 1), MUCH_LATER);
    c.advance_time(MUCH_LATER);
    assert!(!c.workers["sa"].is_being_returned());
    assert_eq!(start_commands(&c, "sa", MUCH_LATER).len(), 1);
}

#[test]
fn cancelled_undelivered_start_holds_its_quota_until_the_machine_is_gone() {
    // Guards against a team over its quota: the start of a cancelled task was executed after
    // the next incarnation was taken as its end.
    let mut c = cluster_with_late_start();
    c.remove_job("req-1", GIVEN_UP_AT);
    send_heartbeat(&mut c, "sa", (2, 9), GIVEN_UP_AT + 25.0);
    assert_eq!(c.quota_usage[0].cpus, 1.0);
    let commands = c.commands("sa", GIVEN_UP_AT + 25.0);
    assert!(commands.is_empty(), "{commands:?}");
    let overdue = GIVEN_UP_AT + c.config.cancel_timeout_s * 0.8;
    assert_eq!(
        due_return(&mut c, overdue),
        Some(ReturnReason::CancelUnconfirmed)
    );
    c.deregister_machine("sa", overdue);
    assert_eq!(c.quota_usage[0].cpus, 0.0);
}

#[test]
fn start_is_undelivered_if_the_worker_may_have_the_attempt_from_a_heartbeat_response() {
    // Guards against the reverse: the direct message is still on its way.
    let mut c = cluster_with_late_start();
    respond_to_heartbeat(&mut c, GIVEN_UP_AT);
    report_all_running(&mut c, "sa", 2, GIVEN_UP_AT + 2.0);
    assert!(c.workers["sa"].attempts[0].start_undelivered);
}

/// A cluster with the machine `sa` alone, in which a heartbeat response repeated the start that
/// was given up, and `sa` reports that the attempt runs.
fn cluster_with_repeated_start() -> ClusterState {
    let mut c = cluster_with_late_start_on_record();
    respond_to_heartbeat(&mut c, GIVEN_UP_AT);
    report_all_running(&mut c, "sa", 2, GIVEN_UP_AT);
    c
}

/// Records a heartbeat response to `sa` with all commands that are due.
fn respond_to_heartbeat(c: &mut ClusterState, now: f64) {
    let commands = c.commands("sa", now);
    c.record_heartbeat_response("sa", &commands, now);
}

#[test]
fn machine_with_a_stopped_task_of_a_cancelled_job_is_returned_before_a_late_start_of_it() {
    // Guards against a cancelled task that starts again: it ran by a heartbeat response and was
    // stopped, and the direct message arrived after a restart of the agent.
    let mut c = cluster_with_repeated_start();
    c.remove_job("req-1", GIVEN_UP_AT);
    report_all_ended(&mut c, "sa", 3, EndCause::Halted, GIVEN_UP_AT + 2.0);
    assert_eq!(c.quota_usage[0].cpus, 1.0, "it may start once more");
    assert!(!c.workers["sa"].accepts_work(GIVEN_UP_AT + 2.0, &c.config));
    let overdue = GIVEN_UP_AT + c.config.cancel_timeout_s * 0.8;
    assert_eq!(
        due_return(&mut c, overdue),
        Some(ReturnReason::CancelUnconfirmed)
    );
    c.deregister_machine("sa", overdue);
    assert_eq!(c.quota_usage[0].cpus, 0.0);
}

#[test]
fn machine_is_returned_if_the_job_of_a_completed_undelivered_start_is_cancelled_later() {
    // Guards against the same for a task that was completed before the cancellation, also if
    // its incarnation has ended by then.
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 2, 4.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    restore_undelivered_starts(&mut c, "sa");
    respond_to_heartbeat(&mut c, 100.0);
    report_all_ended(&mut c, "sa", 2, EndCause::Done, GIVEN_UP_AT);
    assert_eq!(c.quota_usage[0].cpus, 0.0, "started again, it ends at once");
    send_heartbeat(&mut c, "sa", (2, 3), GIVEN_UP_AT + 25.0);
    c.remove_job("req-1", GIVEN_UP_AT + 25.0);
    let overdue = GIVEN_UP_AT + 25.0 + c.config.cancel_timeout_s * 0.8;
    assert_eq!(
        due_return(&mut c, overdue),
        Some(ReturnReason::CancelUnconfirmed)
    );
}

#[test]
fn failed_task_whose_start_may_still_arrive_is_retried_when_the_machine_is_gone() {
    // Guards against a task on two machines: it failed, was started elsewhere, and the direct
    // message with its first start arrived after a restart of the agent.
    let mut c = cluster_with_repeated_start();
    report_all_ended(&mut c, "sa", 3, EndCause::Error, GIVEN_UP_AT);
    send_heartbeat(&mut c, "sb", (1, 1), MUCH_LATER - 1.0);
    assert!(round(&mut c, MUCH_LATER).is_empty());
    c.advance_time(GIVEN_UP_AT);
    c.add_job(spec(2, 1, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(
        round(&mut c, MUCH_LATER)[0].2,
        "sb",
        "the other takes no more work"
    );
    let drained = GIVEN_UP_AT + c.config.lease_s * 2.5;
    assert_eq!(
        due_return(&mut c, drained),
        Some(ReturnReason::UndeliveredStart)
    );
    c.deregister_machine("sa", drained);
    assert_eq!(round(&mut c, MUCH_LATER).len(), 1);
}

#[test]
fn task_that_its_worker_refused_is_requeued_and_cleared_at_once() {
    // Guards against a task that is retained although its start can't arrive again.
    let mut c = cluster_with_placed_task();
    respond_to_heartbeat(&mut c, 100.0);
    report_all_ended(&mut c, "sa", 2, EndCause::NoRoom, 100.5);
    assert_eq!(placed_on(&c, "sa"), 0);
    assert_eq!(c.quota_usage[0].cpus, 0.0);
    assert_eq!(c.jobs["req-1"].resumable.len(), 1);
    assert!(matches!(
        c.commands("sa", 101.0)[..],
        [Command::Clear { .. }]
    ));
}

#[test]
fn task_whose_start_may_still_arrive_is_not_preempted() {
    // Guards against a preempted task that can't be placed until its machine is gone.
    let mut c = cluster_with_repeated_start();
    let mut urgent = spec(2, 1, 4.0);
    urgent.priority = Priority::High;
    c.add_job(urgent, 1, 90.0, &RangeSet::default());
    round(&mut c, GIVEN_UP_AT + 1.0);
    assert!(c.workers["sa"].attempts[0].stop.is_none());
}

#[test]
fn running_task_that_its_agent_lost_unnoticed_is_started_there_again() {
    // Guards against a task that waits for ever: the agent restarted while its heartbeats were
    // lost, so that the next one that arrived seemed to follow those before.
    let mut c = cluster_with_repeated_start();
    send_heartbeat(&mut c, "sa", (1, 3), GIVEN_UP_AT + 2.0);
    assert_eq!(placed_on(&c, "sa"), 1);
    assert_eq!(start_commands(&c, "sa", GIVEN_UP_AT + 2.0).len(), 1);
}
