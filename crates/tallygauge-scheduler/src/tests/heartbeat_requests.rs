//! Starts go out in heartbeat responses alone, and the heartbeats for them are requested.

use super::*;
use tallygauge_protocol::{users::MAX_TASKS_PER_JOB, workers::parse_task_name};

/// A cluster whose machine `la` has a start due for each of two tasks.
fn cluster_with_due_starts() -> ClusterState {
    let mut c = cluster(&["la"], 100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 2);
    c
}

/// The direct messages that are due, which are answered at once.
fn answered_messages(c: &mut ClusterState, now: f64) -> Vec<DirectMessage> {
    let messages = c.take_direct_messages(now, 1.0);
    for message in &messages {
        c.record_direct_message_result(message, true, now);
    }
    messages
}

fn count_requests(messages: &[DirectMessage]) -> usize {
    messages.iter().filter(|m| m.requests_heartbeat()).count()
}

fn send_periodic_heartbeat(c: &mut ClusterState, sequence: u64, tasks: Vec<TaskStatus>, now: f64) {
    let heartbeat = heartbeat_from("la", 1, sequence, TERM, tasks);
    c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
}

/// Number of the task that a command names, if it is a start.
fn started_task_number(command: &Command) -> Option<u32> {
    match command {
        Command::Start { task, .. } => parse_task_name(task).map(|(_, number)| number),
        Command::Stop { .. } | Command::Clear { .. } => None,
    }
}

// Guards against `ran_twice` and `ran_cancelled`: a copy of a direct start is executed again.
#[test]
fn direct_messages_start_no_task_that_a_job_can_have() {
    let mut c = cluster_with_due_starts();
    let mut sent = 0;
    for step in 0..40u32 {
        let now = 100.0 + f64::from(step);
        for message in c.take_direct_messages(now, 1.0) {
            let numbers = message.commands.iter().filter_map(started_task_number);
            for number in numbers {
                assert!(number >= MAX_TASKS_PER_JOB, "{message:?}");
            }
            sent += 1;
            c.record_direct_message_result(&message, false, now);
        }
        if step % 5 == 4 {
            send_periodic_heartbeat(&mut c, u64::from(step), vec![], now);
        }
    }
    assert!(sent > 1, "no direct message was due");
    assert_eq!(start_commands(&c, "la", 140.0).len(), 2);
}

#[test]
fn one_heartbeat_is_requested_for_all_starts_that_are_due() {
    let mut c = cluster_with_due_starts();
    assert_eq!(count_requests(&answered_messages(&mut c, 100.0)), 1);
    c.add_job(spec(2, 1, 1.0), 1, 100.0, &RangeSet::default());
    round(&mut c, 100.1);
    assert_eq!(count_requests(&answered_messages(&mut c, 100.1)), 0);
    send_periodic_heartbeat(&mut c, 2, vec![], 100.5);
    assert_eq!(start_commands(&c, "la", 100.5).len(), 3);
}

#[test]
fn heartbeat_is_requested_again_for_starts_that_became_due_after_the_response() {
    // Guards against counting on a worker to report at once what a response has started.
    let mut c = cluster_with_due_starts();
    answered_messages(&mut c, 100.0);
    send_periodic_heartbeat(&mut c, 2, vec![], 100.5);
    let commands = c.commands("la", 100.5);
    c.record_heartbeat_response("la", &commands, 100.5);
    c.add_job(spec(2, 1, 1.0), 1, 100.6, &RangeSet::default());
    round(&mut c, 100.6);
    assert_eq!(count_requests(&answered_messages(&mut c, 100.6)), 1);
}

#[test]
fn heartbeat_is_requested_again_when_a_request_was_given_up() {
    // Guards against starts that wait for the next periodic heartbeat after one lost message.
    let mut c = cluster_with_due_starts();
    let request = c.take_direct_messages(100.0, 1.0).remove(0);
    c.record_direct_message_result(&request, false, 100.5);
    assert_eq!(count_requests(&answered_messages(&mut c, 100.6)), 0);
    let after_backoff = 100.5 + c.config.heartbeat_interval_s;
    assert_eq!(count_requests(&answered_messages(&mut c, after_backoff)), 1);
}

#[test]
fn refused_start_of_a_heartbeat_request_is_cleared_and_occupies_nothing() {
    let mut c = cluster_with_due_starts();
    let request = answered_messages(&mut c, 100.0).remove(0);
    let Some(Command::Start {
        task: name,
        attempt,
    }) = request.commands.last().cloned()
    else {
        panic!("no heartbeat was requested: {request:?}");
    };
    let refused = task(&name, attempt, TaskState::Ended, Some(EndCause::NoSuch));
    send_periodic_heartbeat(&mut c, 2, vec![refused], 100.5);
    let commands = c.commands("la", 100.5);
    assert_eq!(
        commands[0],
        Command::Clear {
            task: name,
            attempt
        }
    );
    assert_eq!(commands.len(), 3, "a clear and two starts");
    assert_eq!(c.quota_usage[0].cpus, 2.0);
    assert_eq!(c.workers["la"].attempts.len(), 2);
    assert_eq!(c.reappeared_attempts, 0);
}

#[test]
fn waits_of_starts_count_from_the_durable_placement_to_the_first_response() {
    let mut c = cluster_with_due_starts();
    let commands = c.commands("la", 100.4);
    c.record_heartbeat_response("la", &commands, 100.4);
    c.record_heartbeat_response("la", &commands, 103.0);
    let waits = c.take_start_waits();
    assert_eq!(waits.count, 2, "a repeated start does not count again");
    assert!((390..=410).contains(&waits.median_ms), "{waits:?}");
    assert!((390..=410).contains(&waits.p90_ms), "{waits:?}");
    assert_eq!(c.take_start_waits().count, 0);
}
