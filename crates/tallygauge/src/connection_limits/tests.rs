//! Tests the order in which connections are restricted as free connections run short.

use super::*;

#[test]
fn direct_messages_are_restricted_before_users_and_users_before_workers() {
    let outgoing = ConnectionCount::default();
    let limits = ConnectionLimits::new(320, vec![outgoing.clone()]);
    let mut guards = Vec::new();
    let mut state_changes = Vec::new();
    for opened in 1..=400 {
        let count = if opened % 3 == 0 {
            &outgoing
        } else {
            &limits.incoming
        };
        guards.push(count.acquire());
        let state = (limits.is_low(), limits.is_critical(), limits.free() == 0);
        if state_changes
            .last()
            .is_none_or(|(_, previous)| *previous != state)
        {
            state_changes.push((opened, state));
        }
    }
    assert_eq!(
        state_changes,
        [
            (1, (false, false, false)),
            (231, (true, false, false)),
            (271, (true, true, false)),
            (310, (true, true, true)),
        ]
    );
    guards.truncate(10);
    assert_eq!((limits.used(), limits.is_low()), (10, false));
}
