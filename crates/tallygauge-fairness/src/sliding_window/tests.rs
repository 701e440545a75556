use super::*;

#[test]
fn expired_events_are_dropped_and_bucket_count_is_bounded() {
    let mut window = SlidingWindow::default();
    for unix_time_s in [1000.0, 1009.0, 1041.0, 1079.0] {
        window.add(unix_time_s, 80.0);
    }
    assert_eq!(window.sum(1079.0, 80.0), 4);
    assert_eq!(window.sum(1085.0, 80.0), 2, "the first bucket has expired");
    assert_eq!(window.sum(5000.0, 80.0), 0);
    // The number of buckets stays bounded when the clock jumps forwards and backwards.
    for n in 0..100 {
        window.add(f64::from(n * 7919 % 100) * 50.0, 80.0);
        assert!(window.0.len() <= BUCKETS_PER_WINDOW);
    }
}
