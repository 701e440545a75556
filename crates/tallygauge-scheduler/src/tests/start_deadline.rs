//! Jobs start within the start deadline.

use super::*;
use std::collections::BTreeSet;

const BOUND: f64 = 240.0;

/// Plain model with start claims: jobs whose first task is overdue get one task each
/// on the best machine, in the order of their acceptance; then all others are placed
/// by utility per time, without what is reserved.
fn plain_with_start_claims(cluster: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = Plain::new(cluster, now);
    let mut claims: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        cluster.start_deadlines.claims.iter().collect();
    claims.retain(|t| {
        t.1.needs_first_start && cluster.jobs[t.0].attempts_by_task.len() <= t.1.attempts_when_found
    });
    claims.sort_by_key(|t| t.1.order);
    for (id, _) in claims {
        let job = &cluster.jobs[id];
        let Some(at) = model.waiting.iter().position(|w| w.0 == *id) else {
            continue;
        };
        let max_cpus = cluster.config.teams[job.team].max_cpus;
        if model.cpus_used[job.team] + job.spec.cpus > max_cpus + 1e-9 {
            model.cpus_used[job.team] += job.spec.cpus;
            continue;
        }
        model.is_overdue_start = true;
        let machine = model.best_machine(id);
        model.is_overdue_start = false;
        if let Some((_, name)) = machine {
            model.start(at, name);
        }
    }
    // Then their other tasks, on a tenth of the machines.
    let usable = cluster
        .workers
        .values()
        .filter(|w| w.accepts_work(now, &cluster.config));
    let mut left = usable
        .map(|w| cluster.machine_types[&w.machine_type].cpus)
        .sum::<f64>()
        * 0.1;
    let mut near: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        cluster.start_deadlines.claims.iter().collect();
    for (id, _) in &near {
        left -= cluster.jobs[*id].attempts_by_task.len() as f64 * cluster.jobs[*id].spec.cpus;
    }
    near.sort_by_key(|t| t.1.order);
    for (id, _) in near.into_iter().filter(|t| t.1.near_deadline) {
        while left > 0.0
            && let Some(at) = model.waiting.iter().position(|w| w.0 == *id)
            && let Some((_, name)) = model.best_machine(id)
        {
            model.start(at, name);
            left -= cluster.jobs[id].spec.cpus;
        }
    }
    model.place_by_upt();
    model.out
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(53), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn mapping_with_start_claims_equals_plain_model(
        jobs in prop::collection::vec((any_job(), 0.0f64..200.0), 2..14),
    ) {
        let names = fleet(6);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cluster = cluster(&names, 200.0);
        for team in &mut cluster.config.teams { team.max_cpus = 24.0; }
        let (first, later) = jobs.split_at(jobs.len() / 2);
        for (n, (job, at)) in first.iter().enumerate() {
            cluster.add_job(spec_of(n, *job, 2), 1, *at, &RangeSet::default());
        }
        round(&mut cluster, 200.0);
        for (n, (job, at)) in later.iter().enumerate() {
            cluster.add_job(spec_of(20 + n, *job, 2), 1, *at, &RangeSet::default());
        }
        cluster.select_underserved(201.0);
        cluster.minimum_share.claims.clear();
        cluster.minimum_share.reserved.clear();
        cluster.find_overdue_starts(201.0);
        let expected = plain_with_start_claims(&cluster, 201.0);
        cluster.run_round(201.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|w| w.attempts.iter().filter(|h| h.phase == AttemptPhase::Planned).map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }
}

/// Simulates a flood of small urgent jobs on a few machines, and one large job with a lower
/// utility per time. Returns when the large job's first task started, if it did.
#[allow(
    clippy::too_many_lines,
    reason = "one table or one course of events, read from top to bottom"
)]
fn first_start_at(bound: f64, team_cpus: f64) -> Option<f64> {
    let names = ["l1a", "l2b", "l3a"];
    let mut cluster = cluster(&names, 0.0);
    cluster.config.minimum_share.start_within_s = bound;
    for team in &mut cluster.config.teams {
        (team.guaranteed_cpus, team.max_cpus) = (1.0, team_cpus);
    }
    let mut large = spec(1, 4, 12.0);
    (large.priority, large.expected_s) = (Priority::Low, 60.0);
    cluster.add_job(large, 1, 0.0, &RangeSet::default());
    // What ends when: tasks run for 20 to 35 s.
    let (mut seq, mut next) = (1, 10);
    let mut running: BTreeMap<u64, f64> = BTreeMap::new();
    for second in 0..(BOUND as u32 + 200) {
        let now = f64::from(second);
        if second % 2 == 0 {
            for _ in 0..if second == 0 { 7 } else { 2 } {
                let mut small = spec(next, 8, 1.0);
                (small.priority, small.expected_s) = (Priority::High, 25.0);
                small.checkpoint_every_s = 0.0;
                cluster.add_job(small, 1, now, &RangeSet::default());
                next += 1;
            }
        }
        seq += 1;
        for name in names {
            let tasks: Vec<TaskStatus> = cluster.workers[name]
                .attempts
                .iter()
                .filter(|h| h.phase != AttemptPhase::Planned)
                .map(|h| {
                    let over = running.get(&h.number).is_some_and(|end| *end <= now);
                    let (state, cause) = match over || matches!(h.phase, AttemptPhase::Ended(_)) {
                        true => (TaskState::Ended, Some(EndCause::Done)),
                        false => (TaskState::Running, None),
                    };
                    task(&h.task_name(), h.number, state, cause)
                })
                .collect();
            for t in &tasks {
                let run = match t.task.starts_with("req-1/") {
                    true => 60.0,
                    false => 20.0 + (t.attempt % 16) as f64,
                };
                running.entry(t.attempt).or_insert(now + run);
            }
            cluster.apply_heartbeat(
                now,
                &heartbeat_from(name, 1, seq, TERM, tasks),
                HeartbeatSource::Periodic,
            );
        }
        if let Some(flush) = cluster.next_progress_flush(9, 60_000) {
            cluster.record_flushed(&flush, 1);
        }
        let over: Vec<String> = cluster
            .job_completions(99, &BTreeSet::new())
            .into_iter()
            .map(|d| d.job)
            .collect();
        for id in over {
            cluster.remove_job(&id, now);
        }
        let clears: Vec<(String, u64)> = names
            .iter()
            .flat_map(|n| {
                cluster.workers[*n]
                    .attempts
                    .iter()
                    .filter(|h| h.can_forget())
                    .map(|h| (n.to_string(), h.number))
            })
            .collect();
        for (name, attempt) in clears {
            cluster.remove_attempts(&name, |h| h.number == attempt);
        }
        cluster.config.minimum_share.share = 1e-9;
        cluster.select_underserved(now);
        cluster.find_overdue_starts(now);
        round(&mut cluster, now);
        let job = &cluster.jobs["req-1"];
        if job.started {
            // It must not be preempted for tasks with a higher utility per time.
            let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
            let ours = |h: &&Attempt| h.spec.id == "req-1" && h.run_time_s(now) >= 30.0;
            if let Some(h) = attempts.filter(|h| h.occupies_capacity()).find(ours) {
                return h.running_since;
            }
        }
    }
    None
}

// Regression: a job of large tasks waited for 287 and 317 s behind small urgent ones that
// took all resources as they became free.
#[test]
fn large_job_starts_in_time_despite_many_small_jobs() {
    assert_eq!(
        first_start_at(0.0, 60.0),
        None,
        "without a start deadline it never does"
    );
    let started_at = first_start_at(BOUND, 60.0).expect("it starts");
    assert!(
        started_at > BOUND * 0.4 && started_at < BOUND * 0.8,
        "{started_at}"
    );
}

// A team's small tasks must not take up, one by one, what becomes free of its limit.
#[test]
fn team_at_its_limit_keeps_freed_quota_for_overdue_start() {
    assert_eq!(first_start_at(0.0, 20.0), None);
    let started_at = first_start_at(BOUND, 20.0).expect("it starts");
    assert!(started_at < BOUND * 0.8, "{started_at}");
}

// A job that has started, and one that has waited for only a small part of the bound, keep
// their place by utility per time.
#[test]
fn jobs_far_from_the_start_deadline_get_no_claim() {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 9, 1.0), 1, 100.0, &RangeSet::first(8));
    cluster.jobs.get_mut("req-1").unwrap().completed = RangeSet::default();
    cluster.add_job(spec(2, 1, 1.0), 1, -200.0, &RangeSet::first(1));
    // Many others, older than it.
    for n in 3..9 {
        cluster.add_job(spec(n, 1, 1.0), 1, 40.0, &RangeSet::default());
    }
    cluster.find_overdue_starts(180.0);
    assert!(
        cluster.start_deadlines.claims.is_empty() && cluster.start_deadlines.reserved.is_empty()
    );
    cluster.find_overdue_starts(221.0);
    assert_eq!(
        cluster.start_deadlines.claims.keys().collect::<Vec<_>>(),
        ["req-1"]
    );
    // One start is enough, and no second one goes out before it is seen.
    cluster.apply_heartbeat(
        221.0,
        &heartbeat_from("sa", 1, 2, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    cluster.jobs.get_mut("req-1").unwrap().pending = RangeSet::first(1);
    assert_eq!(cluster.start_claim_order("req-1"), Some(0));
    round(&mut cluster, 221.0);
    assert_eq!(cluster.start_claim_order("req-1"), None);
    cluster.find_overdue_starts(222.0);
    assert!(
        cluster.start_deadlines.claims.contains_key("req-1"),
        "not for 30 s yet: protected"
    );
    assert_eq!(cluster.start_claim_order("req-1"), None);
    // When hardly anything is left, the others come as well, unless somebody is
    // behind.
    cluster.find_overdue_starts(245.0);
    assert_eq!(
        cluster
            .start_deadlines
            .claims
            .values()
            .filter(|t| t.needs_first_start && !t.large)
            .count(),
        6
    );
    assert!(cluster.start_deadlines.reserved.is_empty());
    let claim = crate::minimum_share::state::PriorityClaim {
        group: 0,
        for_min_share: true,
        order: 0,
    };
    cluster.minimum_share.claims.insert("req-1".into(), claim);
    cluster.find_overdue_starts(246.0);
    assert!(cluster.start_deadlines.claims.values().all(|t| t.large));
}

// Regression: with more work than machines, jobs that were not large had no task for 300 to
// 700 s while the minimum share gave others priority, although machines had free resources.
// Each starts with one task, on a small part of the machines.
#[test]
fn small_jobs_start_on_limited_share_while_claims_exist() {
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = cluster(&names, 100.0);
    for (n, name) in names.iter().enumerate() {
        cluster.apply_heartbeat(
            245.0,
            &heartbeat_from(name, 1, 2 + n as u64, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    for n in 1..30 {
        cluster.add_job(spec(n, 1, 1.0), 1, 30.0, &RangeSet::default());
    }
    let claim = crate::minimum_share::state::PriorityClaim {
        group: 0,
        for_min_share: true,
        order: 0,
    };
    cluster.minimum_share.claims.insert("req-1".into(), claim);
    cluster.find_overdue_starts(245.0);
    let others = cluster
        .start_deadlines
        .claims
        .values()
        .filter(|t| t.needs_first_start && !t.large);
    let cpus: f64 = names
        .iter()
        .map(|n| cluster.machine_types[&cluster.workers[*n].machine_type].cpus)
        .sum();
    assert_eq!(others.count(), (cpus * 0.05) as usize);
    assert!(cpus * 0.05 >= 1.0, "{cpus}");
}
