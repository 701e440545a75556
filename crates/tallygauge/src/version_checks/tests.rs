//! Tests which of the waiting version checks are taken into a batch, and in which order.

use super::*;

fn version_check(
    priority: RequestPriority,
    unanswered_since: f64,
    condition_count: usize,
) -> VersionCheck {
    let condition = Condition {
        key: format!("o/req-{unanswered_since}"),
        version: 1,
    };
    VersionCheck {
        urgency: Urgency {
            priority,
            unanswered_since,
        },
        requested_at: unanswered_since,
        conditions: vec![condition; condition_count],
        reply: oneshot::channel().0,
    }
}

fn unanswered_times(checks: &[VersionCheck]) -> Vec<f64> {
    let times = checks.iter().map(|check| check.urgency.unanswered_since);
    times.collect()
}

#[test]
fn a_batch_takes_writes_before_polls_and_the_longest_unanswered_polls_first() {
    let mut waiting = vec![
        version_check(RequestPriority::Polls, 2.0, 1),
        version_check(RequestPriority::Polls, 1.0, 1),
        version_check(RequestPriority::Users, 3.0, 1),
    ];
    let batch = take_most_urgent(&mut waiting, 2);
    assert_eq!(unanswered_times(&batch), [3.0, 1.0]);
    assert_eq!(unanswered_times(&waiting), [2.0]);
}

#[test]
fn a_batch_ends_before_the_first_check_that_would_exceed_the_condition_limit() {
    let mut waiting = vec![
        version_check(RequestPriority::Polls, 1.0, 1),
        version_check(RequestPriority::Polls, 2.0, 2),
        version_check(RequestPriority::Polls, 3.0, 1),
    ];
    let batch = take_most_urgent(&mut waiting, 2);
    assert_eq!(unanswered_times(&batch), [1.0]);
    assert_eq!(unanswered_times(&waiting), [2.0, 3.0]);
}
