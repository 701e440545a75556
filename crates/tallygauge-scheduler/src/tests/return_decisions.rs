//! Decisions to return a machine for several reasons at once.

use super::*;

/// All reasons but that of an unconfirmed cancellation.
const OTHER_REASONS: [ReturnReason; 7] = [
    ReturnReason::Idle,
    ReturnReason::BootTimeout,
    ReturnReason::Failed,
    ReturnReason::Faulty,
    ReturnReason::Slow,
    ReturnReason::Silent,
    ReturnReason::Unreachable,
];

/// Sends heartbeats without tasks until `until`, and answers them.
fn send_empty_heartbeats(c: &mut ClusterState, until: f64) {
    let mut now = c.workers["sa"].last_heartbeat_at + 2.0;
    while now <= until {
        let heartbeat = heartbeat_from("sa", 1, now as u64, TERM, vec![]);
        c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        let commands = c.commands("sa", now);
        c.record_heartbeat_response("sa", &commands, now);
        c.advance_time(now);
        now += 2.0;
    }
}

fn decide(c: &mut ClusterState, reason: ReturnReason, now: f64) {
    let worker = c.workers.get_mut("sa").unwrap();
    assert!(worker.decide_return(reason, now, &mut Vec::new()));
}

fn return_reason(c: &mut ClusterState, now: f64) -> Option<ReturnReason> {
    c.machines_to_return(now)
        .first()
        .map(|machine| machine.reason)
}

#[test]
fn machine_is_returned_for_unconfirmed_cancellation_whatever_else_was_decided_before_or_after() {
    for reason in OTHER_REASONS {
        for is_earlier in [true, false] {
            let mut c = cluster_with_undelivered_start();
            if is_earlier {
                decide(&mut c, reason, CANCELLED_AT);
            }
            send_empty_heartbeats(&mut c, CANCELLED_AT + 30.0);
            if !is_earlier {
                decide(&mut c, reason, CANCELLED_AT + 30.0);
            }
            assert_eq!(
                return_reason(&mut c, CANCELLED_AT + 30.0),
                Some(ReturnReason::CancelUnconfirmed),
                "{reason:?}, earlier: {is_earlier}"
            );
        }
    }
}

#[test]
fn machine_found_slow_at_the_same_moment_is_returned_for_unconfirmed_cancellation() {
    let mut c = cluster_with_undelivered_start();
    send_empty_heartbeats(&mut c, CANCELLED_AT + 27.0);
    let worker = c.workers.get_mut("sa").unwrap();
    (0..3).for_each(|_| worker.runtime_ratio.add(3.0));
    send_empty_heartbeats(&mut c, CANCELLED_AT + 30.0);
    assert_eq!(c.workers["sa"].return_decisions.iter().count(), 2);
    assert_eq!(
        return_reason(&mut c, CANCELLED_AT + 30.0),
        Some(ReturnReason::CancelUnconfirmed)
    );
}

#[test]
fn attempts_of_a_failed_machine_end_at_once_although_its_return_was_decided_before() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    round(&mut c, 100.0);
    decide(&mut c, ReturnReason::Slow, 101.0);
    let failed = Machine {
        name: "sa".into(),
        endpoint: "sa:1".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: true,
        state: MachineState::Failed,
        age_s: 900.0,
    };
    c.apply_machine_list(&[failed], 102.0, 102.0);
    assert!(c.workers["sa"].attempts.is_empty());
    assert_eq!(c.jobs["req-1"].pending.len(), 1);
}

#[test]
fn revoked_return_reason_leaves_the_other_reasons_in_force() {
    let mut c = cluster_with_undelivered_start();
    decide(&mut c, ReturnReason::Unreachable, CANCELLED_AT);
    decide(&mut c, ReturnReason::Faulty, CANCELLED_AT);
    let worker = c.workers.get_mut("sa").unwrap();
    worker.confirm_reachable();
    assert_eq!(
        worker.return_decisions.first().map(|d| d.reason),
        Some(ReturnReason::Faulty)
    );
}

#[test]
fn machines_with_unconfirmed_cancellations_are_returned_before_others() {
    let mut c = cluster_with_undelivered_start();
    let silent = heartbeat_from("l1a", 1, 1, TERM, vec![]);
    c.apply_heartbeat(100.0, &silent, HeartbeatSource::Periodic);
    send_empty_heartbeats(&mut c, 200.0);
    let reasons: Vec<ReturnReason> = c
        .machines_to_return(200.0)
        .iter()
        .map(|machine| machine.reason)
        .collect();
    assert_eq!(
        reasons,
        [ReturnReason::CancelUnconfirmed, ReturnReason::Silent]
    );
}

#[test]
fn unconfirmed_cancellation_counts_from_the_cancellation_whatever_stopped_the_attempt_before() {
    for earlier in [
        StopReason::Preempted,
        StopReason::SpotNotice,
        StopReason::Drained,
        StopReason::Duplicate,
    ] {
        let mut c = cluster_with_late_start_on_record();
        let stop = |c: &mut ClusterState, reason, now| {
            let worker = c.workers.get_mut("sa").unwrap();
            worker.attempts[0].request_stop(reason, now);
        };
        stop(&mut c, earlier, 101.0);
        c.remove_job("req-1", 110.0);
        stop(&mut c, earlier, 120.0);
        let decision = c.workers["sa"].attempts[0].stop.unwrap();
        assert_eq!(
            (decision.reason, decision.at),
            (StopReason::Cancelled, 110.0)
        );
        send_empty_heartbeats(&mut c, 136.0);
        assert_eq!(return_reason(&mut c, 136.0), None, "{earlier:?}");
        send_empty_heartbeats(&mut c, 140.0);
        assert_eq!(
            return_reason(&mut c, 140.0),
            Some(ReturnReason::CancelUnconfirmed),
            "{earlier:?}"
        );
    }
}

/// A cluster whose only machine is idle for long enough to be returned at the returned time.
fn cluster_with_idle_machine() -> (ClusterState, f64) {
    let mut c = cluster(&["sa"], 100.0);
    let idle_at = 150.0;
    send_empty_heartbeats(&mut c, idle_at);
    assert_eq!(return_reason(&mut c, idle_at), Some(ReturnReason::Idle));
    c.mark_return_sent(&["sa".into()]);
    (c, idle_at)
}

// While the cloud refuses returns, idle machines must be used. But a request without an answer
// may be executed later, whatever became of those after it: tasks placed there would be lost.
#[test]
fn idle_machine_is_used_after_a_refused_return_but_not_after_an_unanswered_one() {
    for is_unanswered in [false, true] {
        let (mut c, now) = cluster_with_idle_machine();
        if is_unanswered {
            c.record_return_unanswered(&["sa".into()]);
            c.mark_return_sent(&["sa".into()]);
        }
        c.record_return_refused(&["sa".into()]);
        c.add_job(spec(1, 1, 1.0), 1, now, &RangeSet::default());
        let placed = round(&mut c, now).len();
        assert_eq!(placed, usize::from(!is_unanswered));
    }
}

// Every machine that waits for a request of its own would stay withheld: a request returns a
// limited number of machines. The decision is not reported each time that it is made again.
#[test]
fn refused_return_releases_idle_machines_that_no_request_was_sent_for() {
    let (mut c, now) = cluster_with_idle_machine();
    c.events.clear();
    c.record_return_refused(&[]);
    assert!(
        c.workers["sa"].is_being_returned(),
        "its request is in flight"
    );
    c.mark_return_sent(&[]);
    c.record_return_refused(&["sa".into()]);
    assert!(!c.workers["sa"].is_being_returned());
    assert_eq!(return_reason(&mut c, now), Some(ReturnReason::Idle));
    c.record_return_refused(&[]);
    assert!(!c.workers["sa"].is_being_returned());
    assert!(c.events.is_empty(), "{:?}", c.events);
}
