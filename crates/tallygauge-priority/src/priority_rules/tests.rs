use super::*;
use proptest::prelude::*;

fn rule(class: &str, team: &str, cutoff_rule: &str, rank: Rank) -> RankRule {
    let non_empty = |name: &str| (!name.is_empty()).then(|| name.to_string());
    RankRule {
        class: non_empty(class),
        team: non_empty(team),
        cutoff_rule: non_empty(cutoff_rule),
        rank,
    }
}

fn declared(version: u64, rules: &[RankRule]) -> DeclaredRules {
    DeclaredRules {
        version,
        rules: rules.to_vec(),
    }
}

fn apply_if_new(
    stored_rules: &mut PriorityRules,
    declared: &DeclaredRules,
    unix_time_s: f64,
) -> bool {
    match stored_rules.declare(declared, unix_time_s) {
        RulesChange::New(next) => {
            *stored_rules = next;
            true
        }
        RulesChange::Unchanged | RulesChange::VersionConflict => false,
    }
}

#[test]
fn most_specific_rule_applies_while_its_window_is_open() {
    let mut stored_rules = PriorityRules::default();
    let rules = [
        rule("lectures", "", "", 10),
        rule("lectures", "", "exams", 60),
        rule("", "ops", "", 30),
        rule("lectures", "ops", "", 20),
    ];
    assert!(apply_if_new(&mut stored_rules, &declared(1, &rules), 100.0));
    let is_open =
        |cutoff_rule: &str, at: f64| cutoff_rule == "exams" && (200.0..300.0).contains(&at);
    let rank =
        |class, team, accepted, now| stored_rules.rank((class, team), accepted, now, &is_open);
    assert_eq!(rank("lectures", "x", 110.0, 120.0), 10);
    assert_eq!(
        rank("lectures", "x", 110.0, 250.0),
        60,
        "the window is open now"
    );
    assert_eq!(
        rank("lectures", "x", 250.0, 400.0),
        60,
        "the window was open at acceptance"
    );
    assert_eq!(
        rank("lectures", "ops", 110.0, 250.0),
        20,
        "a rule with class and team applies before one with a window"
    );
    assert_eq!(rank("archive", "ops", 110.0, 120.0), 30);
    assert_eq!(rank("archive", "x", 110.0, 120.0), 0);
    assert_eq!(
        rank("lectures", "x", 50.0, 120.0),
        10,
        "the present rules also apply to jobs accepted before them"
    );
}

// During a rolling update, controllers have settings files of different versions. The newest
// declaration must stay in force whichever controller leads.
#[test]
fn older_files_and_missing_classes_change_nothing() {
    let mut stored_rules = PriorityRules::default();
    let old = declared(1, &[rule("a", "", "", 10), rule("b", "", "", 5)]);
    let new = declared(2, &[rule("a", "", "", 20)]);
    assert!(apply_if_new(&mut stored_rules, &old, 10.0));
    assert!(apply_if_new(&mut stored_rules, &new, 20.0));
    let kept = stored_rules.clone();
    for file in [&old, &new, &DeclaredRules::default()] {
        assert!(!apply_if_new(&mut stored_rules, file, 30.0));
        assert_eq!(stored_rules, kept);
    }
    let never_open = |_: &str, _: f64| false;
    assert_eq!(stored_rules.rank(("a", "x"), 40.0, 50.0, &never_open), 20);
    assert_eq!(stored_rules.rank(("b", "x"), 40.0, 50.0, &never_open), 5);
    // A different file with the same version is reported as a conflict and not applied.
    let other = declared(2, &[rule("a", "", "", 99)]);
    assert_eq!(
        stored_rules.declare(&other, 60.0),
        RulesChange::VersionConflict
    );
}

#[test]
fn jobs_keep_their_higher_rank_while_its_revision_is_kept() {
    let mut stored_rules = PriorityRules::default();
    let never_open = |_: &str, _: f64| false;
    for version in 1..=20u64 {
        let rank = if version == 1 { 90 } else { 10 };
        let file = declared(version, &[rule("a", "", "", rank)]);
        assert!(apply_if_new(
            &mut stored_rules,
            &file,
            version as f64 * 10.0
        ));
        let now = version as f64 * 10.0 + 1.0;
        let job_rank = stored_rules.rank(("a", "x"), 15.0, now, &never_open);
        assert_eq!(job_rank, if version <= 8 { 90 } else { 10 }, "{version}");
    }
    assert!(serde_json::to_string(&stored_rules).unwrap().len() < 1000);
    // When the clock is set back, a new revision is still no earlier than the previous one.
    assert!(apply_if_new(
        &mut stored_rules,
        &declared(21, &[rule("a", "", "", 1)]),
        0.0
    ));
    assert!(
        stored_rules
            .revisions
            .is_sorted_by(|a, b| a.since <= b.since && a.number < b.number)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(71), failure_persistence: None, ..ProptestConfig::default() })]
    // Leaders follow each other in any order, with settings files of any version, and some of
    // their writes are lost. The version in force never decreases, and every reader of the
    // record derives the same ranks.
    #[test]
    fn newest_declaration_wins_under_any_leader(
        leaders in prop::collection::vec((0usize..4, any::<bool>()), 1..24),
    ) {
        let files: Vec<DeclaredRules> = (0..4u64).map(|v| {
            let rules: Vec<RankRule> = (0..=v).map(|n| rule(&format!("c{n}"), "", "", (v * 10 + n) as u8)).collect();
            declared(v, &rules)
        }).collect();
        let mut stored_rules = PriorityRules::default();
        let mut newest = None;
        for (n, (file, lost)) in leaders.into_iter().enumerate() {
            if let RulesChange::New(next) = stored_rules.declare(&files[file], n as f64) {
                prop_assert!(newest.is_none_or(|v| files[file].version > v));
                if !lost {
                    newest = Some(files[file].version);
                    stored_rules = next;
                }
            }
            prop_assert_eq!(stored_rules.current().map(|revision| revision.declared_version), newest);
            if let Some(v) = newest {
                let text = serde_json::to_string(&stored_rules).unwrap();
                let read: PriorityRules = serde_json::from_str(&text).unwrap();
                let never_open = |_: &str, _: f64| false;
                prop_assert_eq!(u64::from(read.rank(("c0", "t"), 1e9, 1e9, &never_open)), v * 10);
            }
        }
    }
}
