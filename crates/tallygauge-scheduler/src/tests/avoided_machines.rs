//! Machines that a task avoids after it failed there or was refused.

use super::*;

/// When the first attempt ends in these tests.
const FAILED_AT: f64 = 101.0;

/// How long a job may wait beside a machine with room, in seconds.
const LONGEST_WAIT_S: f64 = 90.0;

/// A cluster whose only machine `sa` runs a long task of `req-1` on 2 of its 4 CPUs. The only
/// task of `req-2`, which needs 2 CPUs, has ended there with `cause`.
fn cluster_after_end(cause: EndCause) -> ClusterState {
    let mut c = cluster(&["sa"], 100.0);
    let mut urgent = spec(2, 1, 2.0);
    urgent.priority = Priority::High;
    c.add_job(spec(1, 1, 2.0), 1, 90.0, &RangeSet::default());
    c.add_job(urgent, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 2);
    report(&mut c, cause, FAILED_AT);
    c
}

/// Sends a heartbeat of `sa`: the attempts of `req-2` have ended, all others run.
fn report(c: &mut ClusterState, cause: EndCause, now: f64) {
    let status = |attempt: &Attempt| {
        if attempt.spec.id == "req-2" {
            task(
                &attempt.task_name(),
                attempt.number,
                TaskState::Ended,
                Some(cause),
            )
        } else {
            task(
                &attempt.task_name(),
                attempt.number,
                TaskState::Running,
                None,
            )
        }
    };
    let tasks = c.workers["sa"].attempts.iter().map(status).collect();
    let heartbeat = heartbeat_from("sa", 1, now as u64, TERM, tasks);
    c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
}

fn backoff_end(c: &ClusterState) -> f64 {
    c.jobs["req-2"].resumable[&0].not_before
}

/// The end of the time for which the task of `req-2` avoids the machine.
fn avoidance_end(c: &ClusterState) -> f64 {
    avoidance_end_after(c, FAILED_AT)
}

/// As [`avoidance_end`], for a task that failed at `failed_at`.
fn avoidance_end_after(c: &ClusterState, failed_at: f64) -> f64 {
    let (lease_s, interval_s) = (c.config.lease_s, c.config.heartbeat_interval_s);
    (failed_at + lease_s).max(backoff_end(c) + interval_s)
}

#[test]
fn task_that_failed_once_is_placed_again_on_the_only_machine_that_fits() {
    // Guards against a task that waits for ever beside free capacity: it avoided the machine on
    // which it had failed for good, and no other machine was there or was rented.
    for cause in [EndCause::Error, EndCause::NoRoom, EndCause::Busy] {
        let mut c = cluster_after_end(cause);
        let (backoff_end, avoidance_end) = (backoff_end(&c), avoidance_end(&c));
        report(&mut c, cause, backoff_end);
        assert!(round(&mut c, backoff_end).is_empty(), "{cause:?}");
        assert_eq!(c.next_restriction_end(), Some(avoidance_end));
        report(&mut c, cause, avoidance_end);
        let placed = round(&mut c, avoidance_end);
        assert_eq!(
            placed,
            [("req-2".to_string(), 0, "sa".to_string())],
            "{cause:?}"
        );
    }
}

#[test]
fn wait_after_many_failures_ends_in_time() {
    // Guards against a backoff and a time of avoidance that add up to more than a job may wait
    // beside a machine with room.
    let mut c = cluster_after_end(EndCause::Error);
    c.config.lease_s = 26.5;
    c.config.heartbeat_interval_s = 5.0;
    c.jobs.get_mut("req-2").unwrap().consecutive_failures = 1000;
    let retried_at = avoidance_end(&c);
    report(&mut c, EndCause::Error, retried_at);
    assert_eq!(round(&mut c, retried_at).len(), 1);
    let failed_at = retried_at + 1.0;
    report(&mut c, EndCause::Error, failed_at);
    let avoidance_end = avoidance_end_after(&c, failed_at);
    assert!(avoidance_end - failed_at < LONGEST_WAIT_S);
    report(&mut c, EndCause::Error, avoidance_end);
    assert_eq!(round(&mut c, avoidance_end).len(), 1);
}

#[test]
fn machine_is_rented_while_a_task_avoids_the_only_machine_that_fits() {
    // Guards against a rental plan that counts on a machine on which no round places the task.
    let mut c = cluster_after_end(EndCause::Error);
    let (backoff_end, avoidance_end) = (backoff_end(&c), avoidance_end(&c));
    assert!(c.rentals(FAILED_AT).is_empty(), "in backoff");
    report(&mut c, EndCause::Error, backoff_end);
    let rented: u32 = c.rentals(backoff_end).iter().map(|r| r.count).sum();
    assert_eq!(rented, 1);
    c.register_machine("s2a", "small", "a", true, "", backoff_end);
    assert!(c.rentals(backoff_end).is_empty(), "one machine is booting");
    c.workers.remove("s2a");
    report(&mut c, EndCause::Error, avoidance_end);
    assert!(c.rentals(avoidance_end).is_empty(), "the machine has room");
}

#[test]
fn nothing_is_preempted_on_a_machine_that_the_task_avoids() {
    // Guards against stopping other tasks, round after round, to make room on a machine on
    // which the failed task is not placed.
    let stopped = |c: &ClusterState| {
        let attempts = c.workers["sa"].attempts.iter();
        attempts.filter(|a| a.stop.is_some()).count()
    };
    let mut c = cluster_after_end(EndCause::Error);
    let mut low = spec(3, 2, 2.0);
    low.priority = Priority::Low;
    c.add_job(low, 1, FAILED_AT, &RangeSet::default());
    assert_eq!(round(&mut c, FAILED_AT).len(), 1);
    let (backoff_end, avoidance_end) = (backoff_end(&c), avoidance_end(&c));
    report(&mut c, EndCause::Error, backoff_end);
    round(&mut c, backoff_end);
    assert_eq!(stopped(&c), 0);
    // Once the failed task no longer avoids the machine, it may use the room.
    report(&mut c, EndCause::Error, avoidance_end);
    round(&mut c, avoidance_end);
    assert_eq!(stopped(&c), 1);
}

#[test]
fn no_machine_is_reserved_for_a_job_whose_tasks_avoid_it() {
    // Guards against keeping other jobs from a machine for an overdue job that can't use it.
    let mut c = cluster_after_end(EndCause::Error);
    for number in 3..12 {
        c.add_job(spec(number, 1, 0.5), 1, FAILED_AT, &RangeSet::default());
    }
    let overdue_for_s = c.config.minimum_share.start_within_s;
    c.jobs.get_mut("req-2").unwrap().accepted_at -= overdue_for_s;
    for (now, is_reserved) in [(backoff_end(&c), false), (avoidance_end(&c), true)] {
        report(&mut c, EndCause::Error, now);
        c.update_start_claims(now);
        assert!(c.start_deadlines.claims["req-2"].needs_first_start);
        assert_eq!(c.start_deadlines.reserved.contains_key("sa"), is_reserved);
    }
}
