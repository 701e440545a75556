use super::*;

// Copies of a returned machine's heartbeats, a lease late, registered it again: it was
// capacity that did not exist.
#[test]
fn a_departed_machine_stays_departed_unless_a_later_list_shows_it() {
    let mut tombstones = Tombstones::new(3, 100.0);
    tombstones.record_departure("host-1", 10.0);
    assert!(tombstones.contains("host-1"));
    assert!(tombstones.overrules_listing("host-1", 9.0), "an old list");
    assert!(tombstones.contains("host-1"));
    assert!(!tombstones.overrules_listing("host-1", 11.0));
    assert!(!tombstones.contains("host-1"));
    for n in 2..9 {
        tombstones.record_departure(&format!("host-{n}"), 20.0 + f64::from(n));
    }
    assert!(tombstones.contains("host-8") && !tombstones.contains("host-4"));
    tombstones.expire(127.5);
    assert!(tombstones.contains("host-8") && !tombstones.contains("host-7"));
}
