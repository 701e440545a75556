use super::*;
use proptest::prelude::*;

fn rule(class: &str, team: &str, cutoff_rule: &str, rank: Rank) -> RankRule {
    let some = |s: &str| (!s.is_empty()).then(|| s.to_string());
    RankRule {
        class: some(class),
        team: some(team),
        cutoff_rule: some(cutoff_rule),
        rank,
    }
}

fn declared(version: u64, rules: &[RankRule]) -> DeclaredRules {
    DeclaredRules {
        version,
        rules: rules.to_vec(),
    }
}

fn apply_if_new(rules_on_record: &mut PriorityRules, what: &DeclaredRules, at: f64) -> bool {
    match rules_on_record.declare(what, at) {
        RulesChange::New(next) => {
            *rules_on_record = next;
            true
        }
        RulesChange::Unchanged | RulesChange::VersionConflict => false,
    }
}

#[test]
fn the_most_specific_rule_counts_while_its_window_is_open() {
    let mut rules_on_record = PriorityRules::default();
    let rules = [
        rule("lectures", "", "", 10),
        rule("lectures", "", "exams", 60),
        rule("", "ops", "", 30),
        rule("lectures", "ops", "", 20),
    ];
    assert!(apply_if_new(
        &mut rules_on_record,
        &declared(1, &rules),
        100.0
    ));
    let open = |window: &str, at: f64| window == "exams" && (200.0..300.0).contains(&at);
    let rank =
        |class, team, accepted, now| rules_on_record.rank((class, team), accepted, now, &open);
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

// Controllers with two settings files during a rolling update: whichever is the leader,
// the newest declaration stays in force.
#[test]
fn an_older_file_undoes_nothing_and_one_that_lacks_a_class_removes_nothing() {
    let mut rules_on_record = PriorityRules::default();
    let old = declared(1, &[rule("a", "", "", 10), rule("b", "", "", 5)]);
    let new = declared(2, &[rule("a", "", "", 20)]);
    assert!(apply_if_new(&mut rules_on_record, &old, 10.0));
    assert!(apply_if_new(&mut rules_on_record, &new, 20.0));
    let kept = rules_on_record.clone();
    for file in [&old, &new, &DeclaredRules::default()] {
        assert!(!apply_if_new(&mut rules_on_record, file, 30.0));
        assert_eq!(rules_on_record, kept);
    }
    let never = |_: &str, _: f64| false;
    assert_eq!(rules_on_record.rank(("a", "x"), 40.0, 50.0, &never), 20);
    assert_eq!(rules_on_record.rank(("b", "x"), 40.0, 50.0, &never), 5);
    // Another file of the same version is reported, not applied.
    let other = declared(2, &[rule("a", "", "", 99)]);
    assert_eq!(
        rules_on_record.declare(&other, 60.0),
        RulesChange::VersionConflict
    );
}

#[test]
fn a_job_keeps_the_higher_rank_as_long_as_its_revision_is_kept() {
    let mut rules_on_record = PriorityRules::default();
    let never = |_: &str, _: f64| false;
    for version in 1..=20u64 {
        let rank = if version == 1 { 90 } else { 10 };
        let file = declared(version, &[rule("a", "", "", rank)]);
        assert!(apply_if_new(
            &mut rules_on_record,
            &file,
            version as f64 * 10.0
        ));
        let now = version as f64 * 10.0 + 1.0;
        let then = rules_on_record.rank(("a", "x"), 15.0, now, &never);
        assert_eq!(then, if version <= 8 { 90 } else { 10 }, "{version}");
    }
    assert!(serde_json::to_string(&rules_on_record).unwrap().len() < 1000);
    // A clock that steps back makes no revision older than the one before it.
    assert!(apply_if_new(
        &mut rules_on_record,
        &declared(21, &[rule("a", "", "", 1)]),
        0.0
    ));
    assert!(
        rules_on_record
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
    fn the_newest_declaration_wins_under_any_leader(
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
            prop_assert_eq!(on_record.current().map(|e| e.declared_version), newest);
            if let Some(v) = newest {
                let text = serde_json::to_string(&on_record).unwrap();
                let read: PriorityRules = serde_json::from_str(&text).unwrap();
                let never = |_: &str, _: f64| false;
                prop_assert_eq!(u64::from(read.rank(("c0", "t"), 1e9, 1e9, &never)), v * 10);
            }
        }
    }
}
