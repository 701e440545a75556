use super::*;

#[test]
fn what_is_older_than_the_window_is_forgotten() {
    let mut ring = SlidingWindow::default();
    for at in [1000.0, 1009.0, 1041.0, 1079.0] {
        ring.add(at, 80.0);
    }
    assert_eq!(ring.sum(1079.0, 80.0), 4);
    assert_eq!(ring.sum(1085.0, 80.0), 2, "the first part is over");
    assert_eq!(ring.sum(5000.0, 80.0), 0);
    // However time leaps, it stays small.
    for n in 0..100 {
        ring.add(f64::from(n * 7919 % 100) * 50.0, 80.0);
        assert!(ring.0.len() <= BUCKETS);
    }
}
