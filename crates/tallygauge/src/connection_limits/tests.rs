//! Order in which callers are refused connections as they run short.

use super::*;

#[test]
fn direct_messages_are_limited_before_users_and_users_before_workers() {
    let outgoing = ConnectionCount::default();
    let limits = ConnectionLimits::new(320, vec![outgoing.clone()]);
    let mut guards = Vec::new();
    let mut changes = Vec::new();
    for n in 1..=400 {
        let count = if n % 3 == 0 {
            &outgoing
        } else {
            &limits.incoming
        };
        guards.push(count.acquire());
        let now = (limits.is_low(), limits.is_critical(), limits.free() == 0);
        if changes.last().is_none_or(|(_, before)| *before != now) {
            changes.push((n, now));
        }
    }
    assert_eq!(
        changes,
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
