//! Tests that `docs/CAPACITY.md` has the computed tables, and that lines are fitted correctly.

use tallygauge_capacity::{
    demand::{self, LeaderLoad},
    fit::Line,
    target::Target,
};

#[test]
fn page_contains_the_computed_tables() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("failed to read docs/CAPACITY.md");
    let target = Target::operator_target();
    for table in demand::tables(&target) {
        assert!(
            page.contains(&table),
            "docs/CAPACITY.md lacks this table:\n{table}"
        );
    }
    let failover = format!("{:.1} s after its death", demand::failover_s(&target));
    assert!(
        page.contains(&failover),
        "docs/CAPACITY.md lacks this text: {failover}"
    );
}

#[test]
fn fit_reports_the_largest_relative_error() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((line.intercept - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!(line.max_relative_error < 1e-9);
    assert!((line.size_at(23.0).unwrap() - 10.0).abs() < 1e-9);
    let nonlinear = Line::through(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)]).unwrap();
    assert!(nonlinear.max_relative_error > 0.1);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Line::through(&[(1.0, 0.0), (2.0, 2.0)]), None);
    let decreasing = Line::through(&[(1.0, 3.0), (2.0, 2.0)]).unwrap();
    assert_eq!(decreasing.size_at(9.0), None);
}

#[test]
fn control_traffic_per_worker_stays_below_the_limit() {
    let target = Target::operator_target();
    let load = LeaderLoad::of(&target);
    assert!(load.worker_bytes_per_s[1] < target.max_worker_bytes_per_s);
    assert!(load.heartbeats_per_s[0] < load.heartbeats_per_s[1]);
}
