//! Precedence of the priorities, and the reserve for polls.

use super::*;

#[test]
fn lower_priorities_leave_tokens_for_higher_priorities() {
    let budget = RequestBudget::new(10.0, 10.0);
    // Without the reserve for polls, only the shared buckets grant permits.
    budget.state.lock().unwrap().polls.tokens = 0.0;
    let mut granted = [0; 4];
    let priorities = [
        RequestPriority::Polls,
        RequestPriority::Progress,
        RequestPriority::Placement,
        RequestPriority::Users,
    ];
    for (i, priority) in priorities.into_iter().enumerate() {
        while budget.try_acquire(priority, 1) {
            granted[i] += 1;
        }
    }
    assert_eq!(granted, [4, 2, 1, 2]);
    assert!(
        budget.try_acquire(RequestPriority::Leadership, 1),
        "leadership never waits"
    );
    budget.charge_failed_comparison();
    budget.record_rate_limited();
    assert!(!budget.try_acquire(RequestPriority::Users, 0));
}

// Polls have the lowest priority: without their reserve they would never be granted a
// permit while requests of higher priorities use up the shared bucket.
#[tokio::test(start_paused = true)]
async fn polls_are_served_from_their_reserve_under_full_load() {
    let budget = RequestBudget::new(40.0, 40.0);
    let (mut granted_polls, mut granted_users, mut denied_polls) = (0, 0, 0);
    for tick in 0..6000 {
        tokio::time::advance(Duration::from_millis(10)).await;
        while budget.try_acquire(RequestPriority::Users, 0) {
            granted_users += 1;
        }
        if tick % 10 == 0 {
            match budget.try_acquire(RequestPriority::Polls, 0) {
                true => granted_polls += 1,
                false => denied_polls += 1,
            }
        }
    }
    // 60 s at 5% of 40 requests per second are 120 polls, which count against the total
    // rate.
    assert!(
        (110..=125).contains(&granted_polls) && denied_polls > 0,
        "{granted_polls}"
    );
    assert!(granted_users + granted_polls <= 40 * 61, "{granted_users}");
    assert!((reserved_for_polls(2.0), reserved_for_polls(400.0)) == (0.5, 20.0));
}
