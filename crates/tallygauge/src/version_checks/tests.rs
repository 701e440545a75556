//! Tests of the order in which version checks are batched.

use super::*;

fn check(priority: RequestPriority, unanswered_since: f64, condition_count: usize) -> VersionCheck {
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

fn unanswered_since(checks: &[VersionCheck]) -> Vec<f64> {
    let since = checks.iter().map(|check| check.urgency.unanswered_since);
    since.collect()
}

#[test]
fn a_batch_takes_writers_before_polls_and_the_longest_unanswered_first() {
    let mut waiting = vec![
        check(RequestPriority::Polls, 2.0, 1),
        check(RequestPriority::Polls, 1.0, 1),
        check(RequestPriority::Users, 3.0, 1),
    ];
    let batch = take_most_urgent(&mut waiting, 2);
    assert_eq!(unanswered_since(&batch), [3.0, 1.0]);
    assert_eq!(unanswered_since(&waiting), [2.0]);
}

#[test]
fn a_batch_stops_at_the_first_check_that_exceeds_its_conditions() {
    let mut waiting = vec![
        check(RequestPriority::Polls, 1.0, 1),
        check(RequestPriority::Polls, 2.0, 2),
        check(RequestPriority::Polls, 3.0, 1),
    ];
    let batch = take_most_urgent(&mut waiting, 2);
    assert_eq!(unanswered_since(&batch), [1.0]);
    assert_eq!(unanswered_since(&waiting), [2.0, 3.0]);
}
