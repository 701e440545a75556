//! Tests of cutoffs and priority ranks in the cluster state.

use super::*;
use std::collections::BTreeSet;
use tallygauge_deadlines::{CutoffDays, CutoffRule};
use tallygauge_priority::{DeclaredRules, PriorityRules, RankRule, RulesChange};

/// Unix time, in seconds, at which the tests start: 1000 s before midnight, which is the
/// cutoff of [`nightly`] rules.
const TEST_START: f64 = 86_400.0 * 20_000.0 - 1000.0;

/// A rule for a class with a cutoff at midnight each day.
fn nightly(class: &str) -> CutoffRule {
    let rule_name = format!("{class} each night");
    let zone = "UTC";
    CutoffRule {
        name: rule_name,
        zone: time_zone(zone),
        classes: BTreeSet::from([class.to_string()]),
        teams: BTreeSet::new(),
        days: CutoffDays::Daily,
        at: civil_time("00:00"),
        opens: civil_time("12:00"),
        opens_before: 1,
        holidays: BTreeSet::new(),
    }
}

fn time_zone(name: &str) -> jiff::tz::TimeZone {
    jiff::tz::TimeZone::get(name).unwrap()
}

fn civil_time(text: &str) -> jiff::civil::Time {
    text.parse().unwrap()
}

fn job(number: usize, class: &str, tasks: u32) -> JobSpec {
    let mut spec = spec(number, tasks, 4.0);
    spec.class = class.into();
    spec
}

/// A cluster whose monotonic clock shows 100 s at [`TEST_START`].
fn cluster_with_rules(rules: Vec<CutoffRule>) -> ClusterState {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.set_unix_time(100.0, TEST_START);
    cluster.set_cutoff_rules(rules, false);
    cluster
}

/// Adds a job that was accepted at the Unix time `accepted`, on the clock of
/// [`cluster_with_rules`].
fn add_job(cluster: &mut ClusterState, spec: JobSpec, accepted: f64) {
    let id = spec.id.clone();
    cluster.add_job(spec, 1, 100.0 + accepted - TEST_START, &RangeSet::default());
    cluster.set_accepted_unix_time(&id, accepted);
}

/// Ids of the jobs in the order in which the mapping places their tasks: by utility per
/// time, then by age.
fn pending_order(cluster: &mut ClusterState, now: f64) -> Vec<String> {
    cluster.update_deadline_risk(now);
    let mut jobs: Vec<&Job> = cluster.jobs.values().collect();
    let upt = |j: &Job| cluster.ordering_utility(j, now) / cluster.remaining_s(j, 0.0);
    jobs.sort_by(|a, b| {
        upt(b)
            .total_cmp(&upt(a))
            .then(a.accepted_at.total_cmp(&b.accepted_at))
    });
    jobs.iter().map(|j| j.spec.id.clone()).collect()
}

#[test]
fn cutoff_at_risk_boosts_jobs_within_their_priority() {
    let mut cluster = cluster_with_rules(vec![nightly("lecture")]);
    // With four CPUs and 1000 s left, 24 tasks of 40 s take up almost all capacity.
    add_job(&mut cluster, job(1, "archive", 2), TEST_START - 50.0);
    add_job(&mut cluster, job(2, "lecture", 5), TEST_START - 10.0);
    assert_eq!(
        pending_order(&mut cluster, 100.0),
        ["req-1", "req-2"],
        "without risk, the older job is first"
    );
    add_job(&mut cluster, job(3, "lecture", 18), TEST_START - 5.0);
    assert_eq!(
        pending_order(&mut cluster, 100.0),
        ["req-2", "req-3", "req-1"]
    );
    let cutoff = &cluster.cutoff_statuses(100.0)[0];
    assert_eq!((cutoff.open, cutoff.forecast.unwrap().at_risk), (2, true));
    // A job of a higher priority stays ahead, and the boost doesn't change the utility that
    // preemption goes by.
    let mut high_priority = job(4, "archive", 1);
    high_priority.priority = Priority::High;
    add_job(&mut cluster, high_priority, TEST_START);
    assert_eq!(pending_order(&mut cluster, 100.0)[0], "req-4");
    let boosted = &cluster.jobs["req-2"];
    assert!(cluster.ordering_utility(boosted, 100.0) > cluster.utility(boosted, 100.0));
    // Jobs lose their boost when their cutoff can't be met any more.
    assert_eq!(pending_order(&mut cluster, 100.0 + 990.0)[1], "req-1");
}

#[test]
fn cutoff_counts_survive_failover_and_close() {
    let rules = vec![nightly("lecture")];
    let mut cluster = cluster_with_rules(rules.clone());
    for n in 1..=3 {
        add_job(&mut cluster, job(n, "lecture", 2), TEST_START - 10.0);
    }
    let finish = |cluster: &mut ClusterState, id: &str, now: f64| {
        let job = cluster.jobs.get_mut(id).unwrap();
        (job.completed, job.pending) = (RangeSet::first(2), RangeSet::default());
        cluster.remove_job(id, now);
    };
    finish(&mut cluster, "req-1", 110.0);
    cluster.remove_job("req-3", 111.0);
    cluster.update_deadline_risk(111.0);
    let statuses = cluster.cutoff_statuses(111.0);
    assert_eq!(
        (statuses[0].done, statuses[0].open),
        ((1, 0), 1),
        "a cancelled job counts neither as done nor as open"
    );
    // The next leader, whose monotonic clock differs, has the same counts.
    let tracker_json = serde_json::to_string(cluster.deadline_tracker()).unwrap();
    let mut next = ClusterState::new(config(), 7000.0, 16, 4096);
    next.set_machine_types(&machine_types());
    next.set_unix_time(7000.0, TEST_START + 15.0);
    next.set_cutoff_rules(rules, false);
    next.restore_deadline_tracker(serde_json::from_str(&tracker_json).unwrap());
    add_earlier_job(&mut next, job(2, "lecture", 2), TEST_START - 10.0, 7000.0);
    next.update_deadline_risk(7000.0);
    let next_statuses = next.cutoff_statuses(7000.0);
    assert_eq!(
        (
            &next_statuses[0].name,
            next_statuses[0].done,
            next_statuses[0].open
        ),
        (&statuses[0].name, (1, 0), 1)
    );
    assert!(
        next.events
            .iter()
            .all(|e| !matches!(e, ClusterEvent::Cutoff(CutoffAlert::Opened { .. }))),
        "the cutoff was open before the failover"
    );
    // The cutoff passes with one open job, and closes when that job is done.
    next.update_deadline_risk(7000.0 + 990.0);
    assert!(next.events.iter().any(|e| matches!(
        e,
        ClusterEvent::Cutoff(CutoffAlert::Passed { open_jobs: 1, .. })
    )));
    finish(&mut next, "req-2", 8005.0);
    next.update_deadline_risk(8006.0);
    assert!(
        next.events
            .iter()
            .any(|e| matches!(e, ClusterEvent::Cutoff(CutoffAlert::Missed { late_s, .. }) if (late_s - 20.0).abs() <= 0.5)),
        "{:?}",
        next.events
    );
    assert_eq!(next.deadline_tracker().closed_cutoffs().count(), 1);
}

/// Adds a job that was accepted 20 s before `now` of the monotonic clock, and at the Unix
/// time `accepted`.
fn add_earlier_job(cluster: &mut ClusterState, spec: JobSpec, accepted: f64, now: f64) {
    let id = spec.id.clone();
    cluster.add_job(spec, 1, now - 20.0, &RangeSet::default());
    cluster.set_accepted_unix_time(&id, accepted);
}

#[test]
fn inferred_cutoffs_do_not_boost_by_default() {
    let mut cluster = cluster_with_rules(Vec::new());
    let mut with_deadline = job(1, "x", 40);
    with_deadline.deadline_s = Some(60.0);
    add_job(&mut cluster, with_deadline, TEST_START);
    add_job(&mut cluster, job(2, "y", 1), TEST_START);
    cluster.update_deadline_risk(100.0);
    assert_eq!(cluster.cutoff_statuses(100.0).len(), 1);
    assert!(cluster.jobs.values().all(|j| j.boost == 0.0));
}

// A rank that holds during a window puts lectures ahead of archive jobs. A leader whose
// rules file is older than the recorded rules must not replace them.
#[test]
fn ranks_order_jobs_of_equal_priority_under_every_leader() {
    let rank = |class: &str, cutoff_rule: Option<&str>, rank| RankRule {
        class: Some(class.into()),
        team: None,
        cutoff_rule: cutoff_rule.map(str::to_string),
        rank,
    };
    let declared = DeclaredRules {
        version: 7,
        rules: vec![
            rank("lecture", Some("lecture each night"), 80),
            rank("archive", None, 10),
        ],
    };
    let RulesChange::New(rules) = PriorityRules::default().declare(&declared, TEST_START - 500.0)
    else {
        panic!("a newer version of the rules must be accepted");
    };
    let mut cluster = cluster_with_rules(vec![nightly("lecture")]);
    add_job(&mut cluster, job(1, "routine", 1), TEST_START - 90.0);
    add_job(&mut cluster, job(2, "archive", 1), TEST_START - 50.0);
    add_job(&mut cluster, job(3, "lecture", 1), TEST_START - 10.0);
    assert_eq!(
        pending_order(&mut cluster, 100.0),
        ["req-1", "req-2", "req-3"],
        "the rules are not in force yet"
    );
    cluster.set_priority_rules(rules.clone());
    assert_eq!(
        pending_order(&mut cluster, 100.0),
        ["req-3", "req-2", "req-1"]
    );
    let older = DeclaredRules {
        version: 6,
        rules: vec![rank("routine", None, 99)],
    };
    assert_eq!(rules.declare(&older, TEST_START), RulesChange::Unchanged);
    // The window has ended; the lecture job was accepted in it and keeps its rank.
    assert_eq!(
        pending_order(&mut cluster, 100.0 + 1500.0),
        ["req-3", "req-2", "req-1"]
    );
}
