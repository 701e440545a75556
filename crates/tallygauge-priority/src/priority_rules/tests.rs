use super::*;
use proptest::prelude::*;

fn rule(class: &str, team: &str, window: &str, rank: Rank) -> RankRule {
    let some = |s: &str| (!s.is_empty()).then(|| s.to_string());
    RankRule {
        class: some(class),
        team: some(team),
        window: some(window),
        rank,
    }
}

fn declared(version: u64, rules: &[RankRule]) -> DeclaredRules {
    DeclaredRules {
        version,
        rules: rules.to_vec(),
    }
}

fn taken(ledger: &mut PriorityRules, what: &DeclaredRules, at: f64) -> bool {
    match ledger.declare(what, at) {
        RulesChange::New(next) => {
            *ledger = next;
            true
        }
        RulesChange::Unchanged | RulesChange::VersionConflict => false,
    }
}

#[test]
fn the_rule_that_says_most_counts_and_windows_open_and_close() {
    let mut ledger = PriorityRules::default();
    let rules = [
        rule("lectures", "", "", 10),
        rule("lectures", "", "exams", 60),
        rule("", "ops", "", 30),
        rule("lectures", "ops", "", 20),
    ];
    assert!(taken(&mut ledger, &declared(1, &rules), 100.0));
    let open = |window: &str, at: f64| window == "exams" && (200.0..300.0).contains(&at);
    let rank = |class, team, accepted, now| ledger.rank((class, team), accepted, now, &open);
    assert_eq!(rank("lectures", "x", 110.0, 120.0), 10);
    assert_eq!(
        rank("lectures", "x", 110.0, 250.0),
        60,
        "the window is open"
    );
    assert_eq!(
        rank("lectures", "x", 250.0, 400.0),
        60,
        "it was, at acceptance"
    );
    assert_eq!(rank("lectures", "ops", 110.0, 250.0), 20, "class and team");
    assert_eq!(rank("archive", "ops", 110.0, 120.0), 30);
    assert_eq!(rank("archive", "x", 110.0, 120.0), 0);
    assert_eq!(
        rank("lectures", "x", 50.0, 120.0),
        10,
        "from now on all alike"
    );
}

// Controllers of two settings files in a roll: whoever leads, the newest
// declaration stays in force.
#[test]
fn an_older_file_sets_nothing_back_and_one_that_lacks_a_class_takes_nothing_away() {
    let mut ledger = PriorityRules::default();
    let old = declared(1, &[rule("a", "", "", 10), rule("b", "", "", 5)]);
    let new = declared(2, &[rule("a", "", "", 20)]);
    assert!(taken(&mut ledger, &old, 10.0));
    assert!(taken(&mut ledger, &new, 20.0));
    let kept = ledger.clone();
    for file in [&old, &new, &DeclaredRules::default()] {
        assert!(!taken(&mut ledger, file, 30.0));
        assert_eq!(ledger, kept);
    }
    let never = |_: &str, _: f64| false;
    assert_eq!(ledger.rank(("a", "x"), 40.0, 50.0, &never), 20);
    assert_eq!(ledger.rank(("b", "x"), 40.0, 50.0, &never), 5);
    // Another file of the same version is said, not taken.
    let other = declared(2, &[rule("a", "", "", 99)]);
    assert_eq!(ledger.declare(&other, 60.0), RulesChange::VersionConflict);
}

#[test]
fn a_job_keeps_the_better_rank_as_long_as_its_epoch_is_kept() {
    let mut ledger = PriorityRules::default();
    let never = |_: &str, _: f64| false;
    for version in 1..=20u64 {
        let rank = if version == 1 { 90 } else { 10 };
        let file = declared(version, &[rule("a", "", "", rank)]);
        assert!(taken(&mut ledger, &file, version as f64 * 10.0));
        let now = version as f64 * 10.0 + 1.0;
        let then = ledger.rank(("a", "x"), 15.0, now, &never);
        assert_eq!(then, if version <= 8 { 90 } else { 10 }, "{version}");
    }
    assert!(serde_json::to_string(&ledger).unwrap().len() < 1000);
    // A clock that steps back makes no epoch older than the one before it.
    assert!(taken(
        &mut ledger,
        &declared(21, &[rule("a", "", "", 1)]),
        0.0
    ));
    assert!(
        ledger
            .revisions
            .is_sorted_by(|a, b| a.since <= b.since && a.number < b.number)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default() })]
    // Leaders with settings files of any versions, in any order, some of whose
    // writes are lost: the declaration in force only ever gets newer, and all
    // who read the record give the same ranks.
    #[test]
    fn whoever_leads_the_newest_declaration_wins(
        leaders in prop::collection::vec((0usize..4, any::<bool>()), 1..24),
    ) {
        let files: Vec<DeclaredRules> = (0..4u64).map(|v| {
            let rules: Vec<RankRule> = (0..=v).map(|n| rule(&format!("c{n}"), "", "", (v * 10 + n) as u8)).collect();
            declared(v, &rules)
        }).collect();
        let mut on_record = PriorityRules::default();
        let mut newest = None;
        for (n, (file, lost)) in leaders.into_iter().enumerate() {
            if let RulesChange::New(next) = on_record.declare(&files[file], n as f64) {
                prop_assert!(newest.is_none_or(|v| files[file].version > v));
                if !lost {
                    newest = Some(files[file].version);
                    on_record = next;
                }
            }
            prop_assert_eq!(on_record.current().map(|e| e.declared), newest);
            if let Some(v) = newest {
                let text = serde_json::to_string(&on_record).unwrap();
                let read: PriorityRules = serde_json::from_str(&text).unwrap();
                let never = |_: &str, _: f64| false;
                prop_assert_eq!(u64::from(read.rank(("c0", "t"), 1e9, 1e9, &never)), v * 10);
            }
        }
    }
}
