use super::*;

// Without tombstones, copies of a returned machine's heartbeats that arrive a lease late
// would register it again, as capacity that does not exist.
#[test]
fn a_deregistered_machine_stays_deregistered_unless_a_later_list_contains_it() {
    let mut tombstones = Tombstones::new(3, 100.0);
    tombstones.record_deregistration("host-1", 10.0);
    assert!(tombstones.contains("host-1"));
    assert!(
        tombstones.overrules_listing("host-1", 9.0),
        "the list is older than the deregistration"
    );
    assert!(tombstones.contains("host-1"));
    assert!(!tombstones.overrules_listing("host-1", 11.0));
    assert!(!tombstones.contains("host-1"));
    for n in 2..9 {
        tombstones.record_deregistration(&format!("host-{n}"), 20.0 + f64::from(n));
    }
    assert!(tombstones.contains("host-8") && !tombstones.contains("host-4"));
    tombstones.expire(127.5);
    assert!(tombstones.contains("host-8") && !tombstones.contains("host-7"));
}
