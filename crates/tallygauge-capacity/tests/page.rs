//! The page has the tables as they are computed, and lines are fitted as they should be.

use tallygauge_capacity::{
    demand::{self, LeaderLoad},
    fit::Line,
    target::Target,
};

#[test]
fn the_page_has_the_tables_as_they_are_computed() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let target = Target::operators();
    for table in demand::tables(&target) {
        assert!(page.contains(&table), "the page lacks:\n{table}");
    }
    let failover = format!("{:.1} s after its death", demand::failover_s(&target));
    assert!(page.contains(&failover), "{failover}");
}

#[test]
fn a_line_is_fitted_with_its_largest_error() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((line.fixed - 3.0).abs() < 1e-9 && (line.each - 2.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
    assert!((line.reaches(23.0).unwrap() - 10.0).abs() < 1e-9);
    let bent = Line::through(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)]).unwrap();
    assert!(bent.residual > 0.1);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Line::through(&[(1.0, 0.0), (2.0, 2.0)]), None);
    let falling = Line::through(&[(1.0, 3.0), (2.0, 2.0)]).unwrap();
    assert_eq!(falling.reaches(9.0), None);
}

#[test]
fn control_traffic_of_a_worker_stays_below_its_limit() {
    let target = Target::operators();
    let load = LeaderLoad::of(&target);
    assert!(load.worker_bytes_per_s[1] < target.worker_bytes_per_s);
    assert!(load.heartbeats_per_s[0] < load.heartbeats_per_s[1]);
}
