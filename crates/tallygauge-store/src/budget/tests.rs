//! Precedence of priorities, and the reserve of polls.

use super::*;

#[test]
fn lower_priorities_leave_tokens_for_higher_ones() {
    let budget = RequestBudget::new(10.0, 10.0);
    // The reserve of polls is used up.
    budget.state.lock().unwrap().polls.tokens = 0.0;
    let mut taken = [0; 4];
    let priorities = [
        RequestPriority::Polls,
        RequestPriority::Progress,
        RequestPriority::Placement,
        RequestPriority::Users,
    ];
    for (i, priority) in priorities.into_iter().enumerate() {
        while budget.try_acquire(priority, 1) {
            taken[i] += 1;
        }
    }
    assert_eq!(taken, [4, 2, 1, 2]);
    assert!(
        budget.try_acquire(RequestPriority::Leadership, 1),
        "leadership never waits"
    );
    budget.charge_failed_comparison();
    budget.record_rate_limited();
    assert!(!budget.try_acquire(RequestPriority::Users, 0));
}

// Polls come last: their reserve must serve them while the others use all the rest.
#[tokio::test(start_paused = true)]
async fn polls_are_served_from_their_reserve_under_full_load() {
    let budget = RequestBudget::new(40.0, 40.0);
    let (mut polls, mut users, mut refused) = (0, 0, 0);
    for tick in 0..6000 {
        tokio::time::advance(Duration::from_millis(10)).await;
        while budget.try_acquire(RequestPriority::Users, 0) {
            users += 1;
        }
        if tick % 10 == 0 {
            match budget.try_acquire(RequestPriority::Polls, 0) {
                true => polls += 1,
                false => refused += 1,
            }
        }
    }
    // 60 s: a twentieth of 40 requests a second, part of the whole rate.
    assert!((110..=125).contains(&polls) && refused > 0, "{polls}");
    assert!(users + polls <= 40 * 61, "{users}");
    assert!((reserved_for_polls(2.0), reserved_for_polls(400.0)) == (0.5, 20.0));
}
