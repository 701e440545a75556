use super::*;
use proptest::prelude::*;

fn window(n: u32) -> CutoffWindow {
    CutoffWindow {
        name: format!("night@{n}").into(),
        opens: 0.0,
        cutoff: f64::from(n) * 100.0,
        declared: true,
    }
}

#[test]
fn opening_missing_and_closing_are_reported_once_each() {
    let mut tracker = DeadlineTracker::default();
    assert_eq!(
        tracker.track_cutoff(&window(1)),
        Some(CutoffEvent::Opened("night@1".into()))
    );
    assert_eq!(tracker.track_cutoff(&window(1)), None);
    tracker.record_job_done("night@1", 5, 90.0);
    let one_open = |_: &str| 1;
    assert!(tracker.expire(99.0, &one_open).is_empty());
    assert_eq!(
        tracker.expire(101.0, &one_open),
        [CutoffEvent::Missed("night@1".into())]
    );
    assert!(
        tracker.expire(102.0, &one_open).is_empty(),
        "a missed cutoff is reported once"
    );
    tracker.record_job_done("night@1", 7, 130.0);
    let none_open = |_: &str| 0;
    assert_eq!(
        tracker.expire(131.0, &none_open),
        [CutoffEvent::Closed("night@1".into(), false, 30.0)]
    );
    let results: Vec<(&str, DoneJobs, u64)> = tracker
        .closed_cutoffs()
        .map(|(name, progress)| (name, progress.done, progress.tasks))
        .collect();
    let done = DoneJobs { total: 2, late: 1 };
    assert_eq!(results, [("night@1", done, 12)]);
    // A cutoff is missed while the next one is already open.
    tracker.track_cutoff(&window(2));
    tracker.track_cutoff(&window(3));
    assert_eq!(
        tracker.expire(250.0, &|n| usize::from(n == "night@2")),
        [CutoffEvent::Missed("night@2".into())]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(101), failure_persistence: None, ..ProptestConfig::default() })]
    // A new leader starts from the record as it was last written: the counts stay correct,
    // and the size of the record is bounded.
    #[test]
    fn counts_match_the_jobs_across_leader_changes(steps in prop::collection::vec((0u8..4, 0u32..6), 1..120)) {
        let mut tracker = DeadlineTracker::default();
        let mut open: BTreeMap<u32, usize> = BTreeMap::new();
        let mut done: BTreeMap<u32, u32> = BTreeMap::new();
        let mut now = 0.0;
        for (step, n) in steps {
            match step {
                0 => { tracker.track_cutoff(&window(n)); *open.entry(n).or_default() += 1; }
                1 => if let Some(count) = open.get_mut(&n).filter(|c| **c > 0) {
                    *count -= 1;
                    *done.entry(n).or_default() += 1;
                    tracker.record_job_done(&format!("night@{n}"), 1, now);
                },
                2 => {
                    let text = serde_json::to_string(&tracker).unwrap();
                    prop_assert!(text.len() < 6500);
                    tracker = serde_json::from_str(&text).unwrap();
                }
                _ => {
                    now += 20.0;
                    tracker.expire(now, &|name| open.get(&name[6..].parse().unwrap()).copied().unwrap_or(0));
                }
            }
            for (n, count) in &done {
                let name = format!("night@{n}");
                let all = tracker.open_cutoffs().chain(tracker.closed_cutoffs());
                let counted: Vec<u32> = all.filter(|cutoff| cutoff.0 == name).map(|cutoff| cutoff.1.done.total).collect();
                prop_assert_eq!(counted, vec![*count]);
            }
        }
    }
}

#[test]
fn stored_tracker_is_bounded() {
    let mut tracker = DeadlineTracker::default();
    for n in 0..1000 {
        tracker.track_cutoff(&window(n));
        tracker.record_job_done(&format!("night@{n}"), 1, 0.0);
        if n % 3 == 0 {
            tracker.expire(f64::from(n) * 50.0, &|_| 0);
        }
    }
    assert!(
        tracker.open_cutoffs().count() <= MAX_OPEN_CUTOFFS
            && tracker.closed_cutoffs().count() <= MAX_CLOSED_CUTOFFS
    );
    assert!(serde_json::to_string(&tracker).unwrap().len() < 6500);
}
