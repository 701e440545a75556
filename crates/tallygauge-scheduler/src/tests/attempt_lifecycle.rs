//! How long an attempt holds its task, capacity and quota.

use super::*;

#[test]
fn overloaded_leader_sends_few_direct_messages_and_starts_go_with_heartbeat_responses() {
    // Hundreds of direct messages at once made a leader seconds late for its
    // lease; the workers' next heartbeat responses carry the same.
    let mut c = cluster(&["sa", "sb", "sc"], 100.0);
    c.add_job(spec(1, 3, 4.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 3);
    let first = c.take_direct_messages(100.0, 0.0);
    assert_eq!(first.len(), 1, "at least one is sent");
    assert!(
        c.take_direct_messages(100.0, 0.0).is_empty(),
        "while it is in flight"
    );
    let carried = start_commands(&c, "sb", 100.5);
    assert_eq!(carried.len(), 1);
    let commands = c.commands("sb", 100.5);
    c.record_heartbeat_response("sb", &commands, 100.5);
    // With time to spare again, only what no heartbeat response carried is sent.
    let rest = c.take_direct_messages(101.0, 1.0);
    let workers: Vec<&str> = rest.iter().map(|m| m.worker.as_str()).collect();
    assert_eq!((first[0].worker.as_str(), workers), ("sa", vec!["sc"]));
}

#[test]
fn attempt_with_start_in_doubt_is_not_cleared_until_its_incarnation_ends() {
    // The start may be delivered minutes late. Cleared, it would run again.
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let message = c.take_direct_messages(100.0, 1.0).remove(0);
    assert_eq!(message.started_attempts.len(), 1);
    c.record_direct_message_result(&message, false, false, 104.0);
    let (name, attempt) = start_commands(&c, "sa", 104.0).remove(0);
    let done = task(&name, attempt, TaskState::Ended, Some(EndCause::Done));
    c.apply_heartbeat(
        110.0,
        &heartbeat_from("sa", 1, 5, TERM, vec![done.clone()]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(c.job_completions(9, &BTreeSet::new()).len(), 1);
    c.remove_job("req-1", 110.0);
    assert!(c.commands("sa", 110.0).is_empty(), "must not be cleared");
    // Absent from a heartbeat it still holds its capacity, being in doubt.
    c.apply_heartbeat(
        111.0,
        &heartbeat_from("sa", 1, 6, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(c.workers["sa"].attempts.len(), 1);
    // The next incarnation does not know it, and refuses a late start.
    c.apply_heartbeat(
        140.0,
        &heartbeat_from("sa", 2, 1, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(c.workers["sa"].attempts.is_empty());
}

#[allow(
    clippy::too_many_lines,
    reason = "one table or one course of events, read from top to bottom"
)]
#[test]
fn restored_attempts_hold_capacity_until_certainly_over() {
    let record = earlier_leader_batch();
    let fresh = || {
        let mut c = cluster(&["l1a"], 100.0);
        c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
        c.restore_placements("2-7", &record, 100.0, 0.0);
        c
    };
    // A heartbeat without our token proves nothing: a start may be in transit.
    let mut c = fresh();
    c.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 4, TERM - 1, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut c, 101.0).is_empty());
    c.apply_heartbeat(
        102.0,
        &heartbeat_from("sa", 1, 5, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(round(&mut c, 102.0).len(), 1);
    // Its incarnation ended, or this one is of a life before the recorded one: only a
    // heartbeat with our token is certainly newer than the record.
    let mut c = fresh();
    c.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 2, 1, TERM - 1, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut c, 101.0).is_empty());
    c.apply_heartbeat(
        102.0,
        &heartbeat_from("sa", 2, 2, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(round(&mut c, 102.0).len(), 1);
    // A lower incarnation than recorded is of another life, which began since.
    let mut c = fresh();
    let mut later = record.clone();
    later.workers[0].incarnation = 3;
    c.restore_placements("2-8", &later, 100.0, 0.0);
    for (incarnation, sequence) in [(1, 5), (2, 1)] {
        c.apply_heartbeat(
            102.0,
            &heartbeat_from("sa", incarnation, sequence, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert!(
        c.workers["sa"].attempts.is_empty(),
        "on the machine for ever"
    );
    // No heartbeat: until no earlier leader can have kept its lease alive.
    let mut c = fresh();
    let bound = 100.0 + 17.0 + 20.0;
    for now in [110.0, 125.0, bound] {
        c.apply_heartbeat(
            now,
            &heartbeat_from("l1a", 1, now as u64, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
        c.advance_time(now);
        assert!(round(&mut c, now).is_empty(), "too soon at {now}");
    }
    c.apply_heartbeat(
        bound + 2.0,
        &heartbeat_from("l1a", 1, 900, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    c.advance_time(bound + 2.0);
    assert_eq!(round(&mut c, bound + 2.0).len(), 1);
    // The machine is not in a list requested well after it was known.
    let mut c = fresh();
    let known = |name: &str| Machine {
        name: name.into(),
        endpoint: String::new(),
        machine_type: "large".into(),
        zone: "a".into(),
        spot: false,
        state: MachineState::Running,
        age_s: 500.0,
    };
    assert!(
        c.apply_machine_list(&[known("l1a")], 105.0, 105.0)
            .is_empty(),
        "the list may be older"
    );
    assert_eq!(c.apply_machine_list(&[known("l1a")], 109.0, 109.0), ["sa"]);
    // A list from before that still shows it does not bring it back.
    let mut old = known("sa");
    old.machine_type = "small".into();
    c.apply_machine_list(&[old, known("l1a")], 110.0, 110.0);
    assert!(!c.workers.contains_key("sa"));
}

#[test]
fn direct_reply_without_the_attempt_does_not_requeue_a_start_in_transit() {
    // A heartbeat response carries a start; before the worker has it, a direct message
    // is answered. The heartbeat in that reply can't show the start yet.
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let commands = c.commands("sa", 100.0);
    c.record_heartbeat_response("sa", &commands, 100.0);
    let attempt = &mut c.workers.get_mut("sa").unwrap().attempts[0];
    attempt.stop = Some(StopDecision {
        reason: StopReason::Drained,
        at: 100.5,
    });
    c.apply_heartbeat(
        100.6,
        &heartbeat_from("sa", 1, 5, TERM, vec![]),
        HeartbeatSource::DirectReply,
    );
    assert!(c.jobs["req-1"].resumable.is_empty() && c.jobs["req-1"].pending.is_empty());
    // The next heartbeat is sent only after that response arrived or timed out.
    c.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 6, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(c.jobs["req-1"].pending.len(), 1);
}

#[test]
fn routine_heartbeat_is_skipped_but_changes_are_applied() {
    // The short path must not skip an end, an orphaned attempt or an absent task.
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    let running: Vec<TaskStatus> = start_commands(&c, "sa", 100.0)
        .iter()
        .map(|h| task(&h.0, h.1, TaskState::Running, None))
        .collect();
    let mut seq = 4;
    let mut tell = |c: &mut ClusterState, tasks: &[TaskStatus]| {
        seq += 1;
        c.apply_heartbeat(
            100.0 + seq as f64,
            &heartbeat_from("sa", 1, seq, TERM, tasks.to_vec()),
            HeartbeatSource::Periodic,
        );
        c.workers["sa"].last_heartbeat_at == 100.0 + seq as f64
    };
    assert!(tell(&mut c, &running));
    c.needs_scheduling = false;
    assert!(tell(&mut c, &running), "it was applied");
    assert!(!c.needs_scheduling);
    // Another task with a known attempt number is orphaned, even if all else is equal.
    let mut other = running.clone();
    other[1].task = "req-9/0".into();
    tell(&mut c, &other);
    assert_eq!(c.workers["sa"].orphaned_attempts.len(), 1);
    assert_eq!(
        c.jobs["req-1"].attempts_by_task.len(),
        1,
        "and the known one is gone"
    );
    let mut ended = running[..1].to_vec();
    (ended[0].state, ended[0].cause) = (TaskState::Ended, Some(EndCause::Done));
    tell(&mut c, &ended);
    assert_eq!(c.jobs["req-1"].completed.len(), 1);
    assert!(c.workers["sa"].orphaned_attempts.is_empty());
}
