//! The page and the slopes can't part; and the lines are lines.

use tallygauge_capacity::{
    demand::{self, Leader},
    fit::Line,
    target::Target,
};

#[test]
fn the_page_holds_the_tables_as_they_are_worked_out() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let target = Target::operators();
    for table in demand::tables(&target) {
        assert!(page.contains(&table), "the page lacks:\n{table}");
    }
    let loss = format!("{:.1} s after its death", demand::leader_loss_s(&target));
    assert!(page.contains(&loss), "{loss}");
}

#[test]
fn a_line_is_found_and_its_error_is_told() {
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
fn a_worker_s_bytes_stay_below_what_operators_allow() {
    let target = Target::operators();
    let leader = Leader::of(&target);
    assert!(leader.worker_bytes[1] < target.worker_bytes_per_s);
    assert!(leader.check_ins[0] < leader.check_ins[1]);
}
