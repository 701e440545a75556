//! Cutoffs and priority ranks in the cluster state.

use super::*;
use std::collections::BTreeSet;
use tallygauge_deadlines::{CutoffDays, CutoffRule};
use tallygauge_priority::{DeclaredRules, PriorityRules, RankRule, RulesChange};

/// 1000 s before the cutoff of a rule that is due at midnight each day.
const DAY: f64 = 86_400.0 * 20_000.0 - 1000.0;

fn nightly(class: &str) -> CutoffRule {
    let text = format!("{class} each night");
    let zone = "UTC";
    CutoffRule {
        name: text,
        zone: zoned(zone),
        classes: BTreeSet::from([class.to_string()]),
        teams: BTreeSet::new(),
        days: CutoffDays::Daily,
        at: clock("00:00"),
        opens: clock("12:00"),
        opens_before: 1,
        holidays: BTreeSet::new(),
    }
}

fn zoned(name: &str) -> jiff::tz::TimeZone {
    jiff::tz::TimeZone::get(name).unwrap()
}

fn clock(text: &str) -> jiff::civil::Time {
    text.parse().unwrap()
}

fn job(number: usize, class: &str, tasks: u32) -> JobSpec {
    let mut spec = spec(number, tasks, 4.0);
    spec.class = class.into();
    spec
}

fn cluster_with_rules(rules: Vec<CutoffRule>) -> ClusterState {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.set_time_of_day(100.0, DAY);
    cluster.set_cutoff_rules(rules, false);
    cluster
}

fn add(cluster: &mut ClusterState, spec: JobSpec, accepted: f64) {
    let id = spec.id.clone();
    cluster.add_job(spec, 1, 100.0 + accepted - DAY, &RangeSet::default());
    cluster.set_accepted_time_of_day(&id, accepted);
}

fn order(cluster: &mut ClusterState, now: f64) -> Vec<String> {
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
    // Four CPUs, 1000 s left: 24 tasks of 40 s fill them.
    add(&mut cluster, job(1, "archive", 2), DAY - 50.0);
    add(&mut cluster, job(2, "lecture", 5), DAY - 10.0);
    assert_eq!(
        order(&mut cluster, 100.0),
        ["req-1", "req-2"],
        "no risk: the older"
    );
    add(&mut cluster, job(3, "lecture", 18), DAY - 5.0);
    assert_eq!(order(&mut cluster, 100.0), ["req-2", "req-3", "req-1"]);
    let cutoff = &cluster.cutoff_statuses(100.0)[0];
    assert_eq!((cutoff.open, cutoff.forecast.unwrap().at_risk), (2, true));
    // A higher urgency stays above, and who may be stopped is as before.
    let mut urgent = job(4, "archive", 1);
    urgent.priority = Priority::High;
    add(&mut cluster, urgent, DAY);
    assert_eq!(order(&mut cluster, 100.0)[0], "req-4");
    let raised = &cluster.jobs["req-2"];
    assert!(cluster.ordering_utility(raised, 100.0) > cluster.utility(raised, 100.0));
    // A cutoff that can't be met any more loses its boost.
    assert_eq!(order(&mut cluster, 100.0 + 990.0)[1], "req-1");
}

#[test]
fn cutoff_counts_survive_failover_and_close() {
    let rules = vec![nightly("lecture")];
    let mut cluster = cluster_with_rules(rules.clone());
    for n in 1..=3 {
        add(&mut cluster, job(n, "lecture", 2), DAY - 10.0);
    }
    let finish = |cluster: &mut ClusterState, id: &str, now: f64| {
        let job = cluster.jobs.get_mut(id).unwrap();
        (job.completed, job.pending) = (RangeSet::first(2), RangeSet::default());
        cluster.remove_job(id, now);
    };
    finish(&mut cluster, "req-1", 110.0);
    cluster.remove_job("req-3", 111.0);
    cluster.update_deadline_risk(111.0);
    let seen = cluster.cutoff_statuses(111.0);
    assert_eq!(
        (seen[0].done, seen[0].open),
        ((1, 0), 1),
        "a cancelled job counts for nothing"
    );
    // The next leader, on another steady clock, finds the same.
    let text = serde_json::to_string(cluster.deadline_tracker()).unwrap();
    let mut next = ClusterState::new(config(), 7000.0, 16, 4096);
    next.set_machine_types(&machine_types());
    next.set_time_of_day(7000.0, DAY + 15.0);
    next.set_cutoff_rules(rules, false);
    next.restore_deadline_tracker(serde_json::from_str(&text).unwrap());
    add_at(&mut next, job(2, "lecture", 2), DAY - 10.0, 7000.0);
    next.update_deadline_risk(7000.0);
    let again = next.cutoff_statuses(7000.0);
    assert_eq!(
        (&again[0].name, again[0].done, again[0].open),
        (&seen[0].name, (1, 0), 1)
    );
    assert!(
        next.events
            .iter()
            .all(|e| !matches!(e, ClusterEvent::CutoffOpened { .. })),
        "it is open already"
    );
    // It passes with a job open, and closes when that is done.
    next.update_deadline_risk(7000.0 + 990.0);
    assert!(
        next.events
            .iter()
            .any(|e| matches!(e, ClusterEvent::CutoffPassed { open_jobs: 1, .. }))
    );
    finish(&mut next, "req-2", 8005.0);
    next.update_deadline_risk(8006.0);
    assert!(
        next.events
            .iter()
            .any(|e| matches!(e, ClusterEvent::CutoffMissed { late_s, .. } if (late_s - 20.0).abs() <= 0.5)),
        "{:?}",
        next.events
    );
    assert_eq!(next.deadline_tracker().results().count(), 1);
}

fn add_at(cluster: &mut ClusterState, spec: JobSpec, accepted: f64, now: f64) {
    let id = spec.id.clone();
    cluster.add_job(spec, 1, now - 20.0, &RangeSet::default());
    cluster.set_accepted_time_of_day(&id, accepted);
}

#[test]
fn inferred_cutoffs_do_not_boost_by_default() {
    let mut cluster = cluster_with_rules(Vec::new());
    let mut due = job(1, "x", 40);
    due.deadline_s = Some(60.0);
    add(&mut cluster, due, DAY);
    add(&mut cluster, job(2, "y", 1), DAY);
    cluster.update_deadline_risk(100.0);
    assert_eq!(cluster.cutoff_statuses(100.0).len(), 1);
    assert!(cluster.jobs.values().all(|j| j.boost == 0.0));
}

// Exam-week lectures above archive reprocessing, by rank and window, under the
// next leader as well, though its own file is older.
#[test]
fn ranks_order_jobs_of_equal_priority_under_every_leader() {
    let rank = |class: &str, window: Option<&str>, rank| RankRule {
        class: Some(class.into()),
        team: None,
        window: window.map(str::to_string),
        rank,
    };
    let file = DeclaredRules {
        version: 7,
        rules: vec![
            rank("lecture", Some("lecture each night"), 80),
            rank("archive", None, 10),
        ],
    };
    let RulesChange::New(rules) = PriorityRules::default().declare(&file, DAY - 500.0) else {
        panic!("it is new");
    };
    let mut cluster = cluster_with_rules(vec![nightly("lecture")]);
    add(&mut cluster, job(1, "routine", 1), DAY - 90.0);
    add(&mut cluster, job(2, "archive", 1), DAY - 50.0);
    add(&mut cluster, job(3, "lecture", 1), DAY - 10.0);
    assert_eq!(
        order(&mut cluster, 100.0),
        ["req-1", "req-2", "req-3"],
        "not in force yet"
    );
    cluster.set_priority_rules(rules.clone());
    assert_eq!(order(&mut cluster, 100.0), ["req-3", "req-2", "req-1"]);
    let older = DeclaredRules {
        version: 6,
        rules: vec![rank("routine", None, 99)],
    };
    assert_eq!(rules.declare(&older, DAY), RulesChange::Unchanged);
    // The window is over; the lecture was accepted in it and keeps its rank.
    assert_eq!(
        order(&mut cluster, 100.0 + 1500.0),
        ["req-3", "req-2", "req-1"]
    );
}
