use super::*;
use proptest::prelude::*;

fn due(n: u32) -> CutoffWindow {
    CutoffWindow {
        name: format!("night@{n}").into(),
        opens: 0.0,
        cutoff: f64::from(n) * 100.0,
        declared: true,
    }
}

#[test]
fn a_cutoff_opens_is_missed_and_closes_once() {
    let mut book = DeadlineTracker::default();
    assert_eq!(
        book.add_job(&due(1)),
        Some(CutoffEvent::Opened("night@1".into()))
    );
    assert_eq!(book.add_job(&due(1)), None);
    book.record_job_done("night@1", 5, 90.0);
    let one_open = |_: &str| 1;
    assert!(book.expire(99.0, &one_open).is_empty());
    assert_eq!(
        book.expire(101.0, &one_open),
        [CutoffEvent::Missed("night@1".into())]
    );
    assert!(book.expire(102.0, &one_open).is_empty(), "said once");
    book.record_job_done("night@1", 7, 130.0);
    let none_open = |_: &str| 0;
    assert_eq!(
        book.expire(131.0, &none_open),
        [CutoffEvent::Closed("night@1".into(), false, 30.0)]
    );
    let results: Vec<(&str, (u32, u32), u64)> =
        book.results().map(|(n, l)| (n, l.done, l.tasks)).collect();
    assert_eq!(results, [("night@1", (2, 1), 12)]);
    // Last night's is late while tonight's has opened.
    book.add_job(&due(2));
    book.add_job(&due(3));
    assert_eq!(
        book.expire(250.0, &|n| usize::from(n == "night@2")),
        [CutoffEvent::Missed("night@2".into())]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(101), failure_persistence: None, ..ProptestConfig::default() })]
    // Whatever leaders come and go, each with the record as it was last
    // written: counts are those of the jobs, and it stays small.
    #[test]
    fn nothing_is_lost_or_counted_twice(steps in prop::collection::vec((0u8..4, 0u32..6), 1..120)) {
        let mut book = DeadlineTracker::default();
        let mut open: BTreeMap<u32, usize> = BTreeMap::new();
        let mut done: BTreeMap<u32, u32> = BTreeMap::new();
        let mut now = 0.0;
        for (what, n) in steps {
            match what {
                0 => { book.add_job(&due(n)); *open.entry(n).or_default() += 1; }
                1 => if let Some(count) = open.get_mut(&n).filter(|c| **c > 0) {
                    *count -= 1;
                    *done.entry(n).or_default() += 1;
                    book.record_job_done(&format!("night@{n}"), 1, now);
                },
                2 => {
                    let text = serde_json::to_string(&book).unwrap();
                    prop_assert!(text.len() < 6500);
                    book = serde_json::from_str(&text).unwrap();
                }
                _ => {
                    now += 20.0;
                    book.expire(now, &|name| open.get(&name[6..].parse().unwrap()).copied().unwrap_or(0));
                }
            }
            for (n, count) in &done {
                let name = format!("night@{n}");
                let all = book.open().chain(book.results());
                let counted: Vec<u32> = all.filter(|l| l.0 == name).map(|l| l.1.done.0).collect();
                prop_assert_eq!(counted, vec![*count]);
            }
        }
    }
}

#[test]
fn it_stays_small() {
    let mut book = DeadlineTracker::default();
    for n in 0..1000 {
        book.add_job(&due(n));
        book.record_job_done(&format!("night@{n}"), 1, 0.0);
        if n % 3 == 0 {
            book.expire(f64::from(n) * 50.0, &|_| 0);
        }
    }
    assert!(book.open().count() <= MOST_OPEN && book.results().count() <= RESULTS);
    assert!(serde_json::to_string(&book).unwrap().len() < 6500);
}
