//! What a new leader knows of the direct starts that earlier leaders sent.

use super::{undelivered_starts::*, *};

/// The state of a new leader that has restored the attempt 77 of `req-1/0` on `sa`. The machine
/// `sb` has sent a heartbeat.
fn cluster_of_next_leader() -> ClusterState {
    let mut c = cluster(&["sb"], 100.0);
    c.add_job(spec(1, 1, 1.5), 1, 90.0, &RangeSet::default());
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    c
}

#[test]
fn machine_that_the_next_leader_never_hears_is_returned_with_its_attempts() {
    // Guards against a task that waits for ever for a machine that hangs for good.
    let mut c = cluster_of_next_leader();
    c.workers.get_mut("sa").unwrap().booted_at = Some(100.0);
    c.advance_time(100.0 + c.config.lease_s * 3.9);
    assert!(!c.workers["sa"].is_being_returned());
    c.advance_time(100.0 + c.config.lease_s * 4.1);
    assert_eq!(due_return(&mut c, MUCH_LATER), Some(ReturnReason::Silent));
    assert!(round(&mut c, MUCH_LATER).is_empty());
}

#[test]
fn start_of_an_earlier_leader_may_arrive_when_the_agent_has_restarted() {
    // Guards against a task on two machines: the restarted agent has heard of no leader, and
    // executes what an earlier one sent.
    let mut c = cluster_of_next_leader();
    let running = task("req-1/0", 77, TaskState::Running, None);
    let heartbeat = heartbeat_from("sa", 1, 9, TERM, vec![running]);
    c.apply_heartbeat(101.0, &heartbeat, HeartbeatSource::Periodic);
    let without_token = heartbeat_from("sa", 1, 10, 0, vec![]);
    c.apply_heartbeat(102.0, &without_token, HeartbeatSource::Periodic);
    assert_eq!(
        due_return(&mut c, 102.0),
        Some(ReturnReason::UndeliveredStart)
    );
    c.advance_time(MUCH_LATER);
    send_heartbeat(&mut c, "sb", (1, 2), MUCH_LATER);
    assert!(round(&mut c, MUCH_LATER).is_empty());
    c.deregister_machine("sa", MUCH_LATER);
    assert_eq!(round(&mut c, MUCH_LATER).len(), 1);
}

/// The state of a new leader as [`cluster_of_next_leader`], for which an earlier leader recorded
/// that the start of attempt 77 was given up.
fn cluster_of_next_leader_with_record() -> ClusterState {
    let mut c = cluster_of_next_leader();
    let record = UndeliveredStartsRecord {
        attempts: vec![77, 78],
    };
    c.restore_undelivered_starts([("2-1".into(), record)].into());
    c
}

#[test]
fn record_of_an_earlier_version_is_kept_until_its_attempts_are_gone() {
    let mut c = cluster_of_next_leader_with_record();
    assert!(c.workers["sa"].attempts[0].start_undelivered);
    assert!(c.obsolete_undelivered_starts(9).is_empty());
    c.deregister_machine("sa", MUCH_LATER);
    let obsolete = c.obsolete_undelivered_starts(9);
    assert_eq!(obsolete.len(), 1);
    c.record_undelivered_starts_removed(&obsolete[0]);
    assert!(c.obsolete_undelivered_starts(9).is_empty());
}

#[test]
fn record_of_attempts_that_are_on_no_machine_is_obsolete() {
    // Guards against records that are never removed.
    let mut c = cluster_of_next_leader();
    let record = UndeliveredStartsRecord { attempts: vec![78] };
    c.restore_undelivered_starts([("2-1".into(), record)].into());
    assert_eq!(c.obsolete_undelivered_starts(9), ["2-1".into()]);
}

#[test]
fn start_that_an_earlier_leader_gave_up_is_repeated_on_its_machine() {
    // Guards against a task on two machines: the next leader heard the machine, which lacked the
    // attempt, and placed the task elsewhere; the start arrived after a restart of the agent.
    let mut c = cluster_of_next_leader_with_record();
    send_heartbeat(&mut c, "sa", (1, 9), 102.0);
    assert!(round(&mut c, 102.0).is_empty());
    assert_eq!(
        start_commands(&c, "sa", 102.0),
        [("req-1/0".to_string(), 77)]
    );
    send_heartbeat(&mut c, "sa", (2, 10), 130.0);
    assert_eq!(start_commands(&c, "sa", 130.0).len(), 1);
    let done = task("req-1/0", 77, TaskState::Ended, Some(EndCause::Done));
    let heartbeat = heartbeat_from("sa", 2, 11, TERM, vec![done]);
    c.apply_heartbeat(140.0, &heartbeat, HeartbeatSource::Periodic);
    assert!(c.jobs["req-1"].is_complete());
}

#[test]
fn machine_is_returned_if_a_start_that_an_earlier_leader_gave_up_is_of_a_cancelled_job() {
    // Guards against a team over its quota: a cancelled task started again after the leader had
    // changed and the agent had restarted.
    let mut c = cluster_of_next_leader_with_record();
    c.remove_job("req-1", 101.0);
    let halted = task("req-1/0", 77, TaskState::Ended, Some(EndCause::Halted));
    let heartbeat = heartbeat_from("sa", 1, 9, TERM, vec![halted]);
    c.apply_heartbeat(102.0, &heartbeat, HeartbeatSource::Periodic);
    assert_eq!(c.quota_usage[0].cpus, 1.5);
    let overdue = 101.0 + c.config.cancel_timeout_s * 0.8;
    assert_eq!(
        due_return(&mut c, overdue),
        Some(ReturnReason::CancelUnconfirmed)
    );
}

#[test]
fn machine_is_returned_if_its_agent_restarted_before_an_incarnation_that_is_recorded() {
    // Guards against a task that waits for an incarnation that its agent may never reach.
    let mut c = cluster(&["sb"], 100.0);
    c.add_job(spec(1, 1, 1.5), 1, 90.0, &RangeSet::default());
    let mut batch = earlier_leader_batch();
    batch.workers[0].incarnation = 3;
    c.restore_placements("2-7", &batch, 100.0, 0.0);
    let record = UndeliveredStartsRecord { attempts: vec![77] };
    c.restore_undelivered_starts([("2-1".into(), record)].into());
    let late_copy = heartbeat_from("sa", 1, 1, TERM - 1, vec![]);
    c.apply_heartbeat(101.0, &late_copy, HeartbeatSource::Periodic);
    c.advance_time(101.0);
    assert!(
        !c.workers["sa"].is_being_returned(),
        "it may be of a former incarnation"
    );
    send_heartbeat(&mut c, "sa", (1, 2), 102.0);
    assert_eq!(
        due_return(&mut c, 102.0),
        Some(ReturnReason::UndeliveredStart)
    );
}

#[test]
fn recorded_start_is_not_repeated_if_its_task_was_placed_again() {
    // Guards against a task on two machines if a leader in between does not read the records.
    let mut c = cluster_of_next_leader();
    let mut later = earlier_leader_batch();
    later.first_attempt = 99;
    later.workers[0].name = "sb".into();
    c.restore_placements("2-8", &later, 100.0, 0.0);
    let record = UndeliveredStartsRecord { attempts: vec![77] };
    c.restore_undelivered_starts([("2-1".into(), record)].into());
    send_heartbeat(&mut c, "sa", (1, 9), 102.0);
    assert!(start_commands(&c, "sa", 102.0).is_empty());
    assert_eq!(c.obsolete_undelivered_starts(9).len(), 1);
}
