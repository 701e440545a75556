use super::*;

// Copies of a returned machine's reports, a lease late, made it a room that
// nobody has.
#[test]
fn who_went_stays_gone_unless_a_later_list_shows_it() {
    let mut departed = Tombstones::new(3, 100.0);
    departed.record_departure("host-1", 10.0);
    assert!(departed.contains("host-1"));
    assert!(departed.is_newer_than("host-1", 9.0), "an old list");
    assert!(departed.contains("host-1"));
    assert!(!departed.is_newer_than("host-1", 11.0));
    assert!(!departed.contains("host-1"));
    for n in 2..9 {
        departed.record_departure(&format!("host-{n}"), 20.0 + f64::from(n));
    }
    assert!(departed.contains("host-8") && !departed.contains("host-4"));
    departed.expire(127.5);
    assert!(departed.contains("host-8") && !departed.contains("host-7"));
}
