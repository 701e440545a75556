//! Tests of the averages and thresholds of the measured load.

use super::*;

const HEARTBEAT_INTERVAL_S: f64 = 10.0;

#[test]
fn spare_time_decreases_with_the_average_delay_and_recovers() {
    let load = ProcessLoad::new(HEARTBEAT_INTERVAL_S);
    assert_eq!(load.spare_time_fraction(), 1.0);
    load.record_scheduling_delay(0.5);
    assert_eq!(load.scheduling_delay_s(), 0.25);
    assert_eq!(load.spare_time_fraction(), 0.5);
    load.record_scheduling_delay(4.0);
    assert_eq!(load.spare_time_fraction(), 0.0);
    for _ in 0..10 {
        load.record_scheduling_delay(0.0);
    }
    assert!(load.spare_time_fraction() > 0.99);
}

#[test]
fn user_load_is_shed_until_the_given_time() {
    let load = ProcessLoad::new(HEARTBEAT_INTERVAL_S);
    assert!(!load.should_shed_user_load(1.0));
    load.shed_user_load_until(5.0);
    assert!(load.should_shed_user_load(4.9));
    assert!(!load.should_shed_user_load(5.0));
}

#[test]
fn the_longest_round_is_reported_once() {
    let load = ProcessLoad::new(HEARTBEAT_INTERVAL_S);
    for duration_s in [0.1, 0.3, 0.2] {
        load.record_round(duration_s);
    }
    assert_eq!(load.take_longest_round_s(), 0.3);
    assert_eq!(load.take_longest_round_s(), 0.0);
}
