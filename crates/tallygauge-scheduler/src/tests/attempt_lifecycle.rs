//! How long an attempt occupies its task, capacity and quota.

use super::*;

#[test]
fn overloaded_leader_sends_few_direct_messages_and_leaves_starts_to_heartbeat_responses() {
    // Hundreds of direct messages at once delayed a leader's own lease renewal by
    // seconds. They can wait: the next heartbeat responses carry the same commands.
    let mut cluster = cluster(&["sa", "sb", "sc"], 100.0);
    cluster.add_job(spec(1, 3, 4.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut cluster, 100.0).len(), 3);
    let first = cluster.take_direct_messages(100.0, 0.0);
    assert_eq!(first.len(), 1, "at least one direct message is sent");
    assert!(
        cluster.take_direct_messages(100.0, 0.0).is_empty(),
        "no other message is sent while the first is in flight"
    );
    let carried_starts = start_commands(&cluster, "sb", 100.5);
    assert_eq!(carried_starts.len(), 1);
    let commands = cluster.commands("sb", 100.5);
    cluster.record_heartbeat_response("sb", &commands, 100.5);
    // Once the leader has time to spare, it sends only the start commands that no
    // heartbeat response carried.
    let rest = cluster.take_direct_messages(101.0, 1.0);
    let workers: Vec<&str> = rest.iter().map(|message| message.worker.as_str()).collect();
    assert_eq!((first[0].worker.as_str(), workers), ("sa", vec!["sc"]));
}

#[test]
fn attempt_with_indeterminate_start_is_not_forgotten_until_its_incarnation_ends() {
    // The start command may be delivered minutes late. If the worker had been told to
    // forget the attempt, it would run the task again.
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut cluster, 100.0);
    restore_undelivered_starts(&mut cluster, "sa");
    let (name, attempt) = start_commands(&cluster, "sa", 104.0).remove(0);
    let commands = cluster.commands("sa", 104.0);
    cluster.record_heartbeat_response("sa", &commands, 104.0);
    let done = task(&name, attempt, TaskState::Ended, Some(EndCause::Done));
    cluster.apply_heartbeat(
        110.0,
        &heartbeat_from("sa", 1, 5, TERM, vec![done.clone()]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(cluster.job_completions(9, &BTreeSet::new()).len(), 1);
    cluster.remove_job("req-1", 110.0);
    assert!(
        cluster.commands("sa", 110.0).is_empty(),
        "the worker must not be told to forget the attempt"
    );
    // While it is indeterminate whether the start command was executed, the attempt occupies
    // its capacity even if a heartbeat does not report it.
    cluster.apply_heartbeat(
        111.0,
        &heartbeat_from("sa", 1, 6, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(cluster.workers["sa"].attempts.len(), 1);
    // The next incarnation does not know the attempt and refuses a late start.
    cluster.apply_heartbeat(
        140.0,
        &heartbeat_from("sa", 2, 1, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(cluster.workers["sa"].attempts.is_empty());
}

#[allow(
    clippy::too_many_lines,
    reason = "one table or one sequence of events, read from top to bottom"
)]
#[test]
fn restored_attempts_occupy_capacity_until_certainly_over() {
    let record = earlier_leader_batch();
    let restored_cluster = || {
        let mut cluster = cluster(&["l1a"], 100.0);
        cluster.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
        cluster.restore_placements("2-7", &record, 100.0, 0.0);
        cluster
    };
    // A heartbeat without this leader's token does not end the attempt: a start command
    // of the earlier leader may be in transit.
    let mut cluster = restored_cluster();
    cluster.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 4, TERM - 1, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut cluster, 101.0).is_empty());
    cluster.apply_heartbeat(
        102.0,
        &heartbeat_from("sa", 1, 5, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(round(&mut cluster, 102.0).len(), 1);
    // A heartbeat shows another incarnation. Either the recorded incarnation has ended, or
    // the heartbeat is from an earlier run of the agent. Only a heartbeat with this
    // leader's token is certainly newer than the record.
    let mut cluster = restored_cluster();
    cluster.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 2, 1, TERM - 1, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut cluster, 101.0).is_empty());
    cluster.apply_heartbeat(
        102.0,
        &heartbeat_from("sa", 2, 2, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(round(&mut cluster, 102.0).len(), 1);
    // An incarnation below the recorded one belongs to a run of the agent that began after
    // the record was written.
    let mut cluster = restored_cluster();
    let mut later = record.clone();
    later.workers[0].incarnation = 3;
    cluster.restore_placements("2-8", &later, 100.0, 0.0);
    for (incarnation, sequence) in [(1, 5), (2, 1)] {
        cluster.apply_heartbeat(
            102.0,
            &heartbeat_from("sa", incarnation, sequence, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert!(
        cluster.workers["sa"].attempts.is_empty(),
        "the attempt must not stay on the machine for ever"
    );
    // Without a heartbeat, the attempt stays however long ago the lease of its worker expired: an
    // agent that restarts may still execute its start, until it has heard of this leader.
    let mut cluster = restored_cluster();
    for now in [110.0, 125.0, 137.0, 200.0] {
        cluster.apply_heartbeat(
            now,
            &heartbeat_from("l1a", 1, now as u64, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
        cluster.advance_time(now);
        assert!(round(&mut cluster, now).is_empty(), "too soon at {now}");
    }
    cluster.apply_heartbeat(
        202.0,
        &heartbeat_from("sa", 1, 9, TERM - 1, vec![]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut cluster, 202.0).is_empty(), "not fenced yet");
    cluster.apply_heartbeat(
        204.0,
        &heartbeat_from("sa", 1, 10, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(round(&mut cluster, 204.0).len(), 1);
    // The machine no longer exists if it is not in a machine list that was requested well
    // after it was first known to exist.
    let mut cluster = restored_cluster();
    let listed = |name: &str| Machine {
        name: name.into(),
        endpoint: String::new(),
        machine_type: "large".into(),
        zone: "a".into(),
        spot: false,
        state: MachineState::Running,
        age_s: 500.0,
    };
    assert!(
        cluster
            .apply_machine_list(&[listed("l1a")], 105.0, 105.0)
            .is_empty(),
        "the list may be older than the machine"
    );
    assert_eq!(
        cluster.apply_machine_list(&[listed("l1a")], 109.0, 109.0),
        ["sa"]
    );
    // An older list that still contains the machine does not add it again.
    let mut outdated = listed("sa");
    outdated.machine_type = "small".into();
    cluster.apply_machine_list(&[outdated, listed("l1a")], 110.0, 110.0);
    assert!(!cluster.workers.contains_key("sa"));
}

#[test]
fn direct_reply_without_the_attempt_does_not_requeue_a_start_in_transit() {
    // A heartbeat response carries a start command. Before it reaches the worker, the
    // worker replies to a direct message. The heartbeat in that reply cannot show the
    // attempt yet.
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut cluster, 100.0);
    let commands = cluster.commands("sa", 100.0);
    cluster.record_heartbeat_response("sa", &commands, 100.0);
    let attempt = &mut cluster.workers.get_mut("sa").unwrap().attempts[0];
    attempt.stop = Some(StopDecision {
        reason: StopReason::Drained,
        at: 100.5,
    });
    cluster.apply_heartbeat(
        100.6,
        &heartbeat_from("sa", 1, 5, TERM, vec![]),
        HeartbeatSource::DirectReply,
    );
    assert!(cluster.jobs["req-1"].resumable.is_empty() && cluster.jobs["req-1"].pending.is_empty());
    // The next periodic heartbeat is sent only after that response arrived or timed out.
    cluster.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 6, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(cluster.jobs["req-1"].pending.len(), 1);
}

#[test]
fn routine_heartbeat_is_skipped_but_changes_are_applied() {
    // The fast path for routine heartbeats must not skip the end of an attempt, an
    // orphaned attempt or an absent task.
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut cluster, 100.0);
    let running: Vec<TaskStatus> = start_commands(&cluster, "sa", 100.0)
        .iter()
        .map(|start| task(&start.0, start.1, TaskState::Running, None))
        .collect();
    let mut sequence = 4;
    let mut apply = |cluster: &mut ClusterState, tasks: &[TaskStatus]| {
        sequence += 1;
        cluster.apply_heartbeat(
            100.0 + sequence as f64,
            &heartbeat_from("sa", 1, sequence, TERM, tasks.to_vec()),
            HeartbeatSource::Periodic,
        );
        cluster.workers["sa"].last_heartbeat_at == 100.0 + sequence as f64
    };
    assert!(apply(&mut cluster, &running));
    cluster.needs_scheduling = false;
    assert!(apply(&mut cluster, &running), "the heartbeat was applied");
    assert!(!cluster.needs_scheduling);
    // Another task under the number of an attempt of the worker is an orphaned attempt, even
    // if everything else is equal.
    let mut other = running.clone();
    other[1].task = "req-9/0".into();
    apply(&mut cluster, &other);
    assert_eq!(cluster.workers["sa"].orphaned_attempts.len(), 1);
    assert_eq!(
        cluster.jobs["req-1"].attempts_by_task.len(),
        1,
        "the attempt that the heartbeat does not report is removed"
    );
    let mut ended = running[..1].to_vec();
    (ended[0].state, ended[0].cause) = (TaskState::Ended, Some(EndCause::Done));
    apply(&mut cluster, &ended);
    assert_eq!(cluster.jobs["req-1"].completed.len(), 1);
    assert!(cluster.workers["sa"].orphaned_attempts.is_empty());
}
