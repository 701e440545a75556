//! Tests that jobs start within the start deadline.

use super::*;
use std::collections::BTreeSet;

/// Start deadline in [`config`].
const START_DEADLINE_S: f64 = 240.0;

/// Reference model of the mapping with start claims, in three steps:
///
/// 1. Each job whose first task is overdue gets one task on the best machine, in the order
///    of their acceptance.
/// 2. Jobs all of whose tasks have priority get further tasks.
/// 3. All other tasks are placed by utility per time, except on reserved machines.
fn reference_placements_with_start_claims(
    cluster: &ClusterState,
    now: f64,
) -> Vec<(String, u32, String)> {
    let mut model = ReferenceModel::new(cluster, now);
    let mut claims: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        cluster.start_deadlines.claims.iter().collect();
    claims.retain(|c| {
        c.1.needs_first_start
            && cluster.jobs[c.0].attempts_by_task.len() <= c.1.attempts_when_claimed
    });
    claims.sort_by_key(|c| c.1.order);
    for (id, _) in claims {
        let job = &cluster.jobs[id];
        let Some(position) = model.pending.iter().position(|w| w.0 == *id) else {
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
            model.start(position, name);
        }
    }
    // Further tasks may use up to a tenth of the usable CPUs.
    let usable = cluster
        .workers
        .values()
        .filter(|w| w.accepts_work(now, &cluster.config));
    let mut cpus_left = usable
        .map(|w| cluster.machine_types[&w.machine_type].cpus)
        .sum::<f64>()
        * 0.1;
    let mut near: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        cluster.start_deadlines.claims.iter().collect();
    for (id, _) in &near {
        cpus_left -= cluster.jobs[*id].attempts_by_task.len() as f64 * cluster.jobs[*id].spec.cpus;
    }
    near.sort_by_key(|c| c.1.order);
    for (id, _) in near.into_iter().filter(|c| c.1.prioritizes_all_tasks) {
        while cpus_left > 0.0
            && let Some(position) = model.pending.iter().position(|w| w.0 == *id)
            && let Some((_, name)) = model.best_machine(id)
        {
            model.start(position, name);
            cpus_left -= cluster.jobs[id].spec.cpus;
        }
    }
    model.place_by_upt();
    model.placements
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(53), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn mapping_with_start_claims_equals_reference_model(
        jobs in prop::collection::vec((any_job(), 0.0f64..200.0), 2..14),
    ) {
        let names = mixed_machine_names(6);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cluster = cluster(&names, 200.0);
        for team in &mut cluster.config.teams { team.max_cpus = 24.0; }
        let (earlier, later) = jobs.split_at(jobs.len() / 2);
        for (n, (job, at)) in earlier.iter().enumerate() {
            cluster.add_job(generated_spec(n, *job, 2), 1, *at, &RangeSet::default());
        }
        round(&mut cluster, 200.0);
        for (n, (job, at)) in later.iter().enumerate() {
            cluster.add_job(generated_spec(20 + n, *job, 2), 1, *at, &RangeSet::default());
        }
        cluster.select_underserved(201.0);
        cluster.minimum_share.claims.clear();
        cluster.minimum_share.reserved.clear();
        cluster.update_start_claims(201.0);
        let expected = reference_placements_with_start_claims(&cluster, 201.0);
        cluster.run_round(201.0, false);
        let mut placements: Vec<(u64, (String, u32, String))> = cluster.workers.values().flat_map(|w| w.attempts.iter().filter(|a| a.phase == AttemptPhase::Planned).map(|a| (a.number, (a.spec.id.clone(), a.index, w.name.clone())))).collect();
        placements.sort();
        prop_assert_eq!(placements.into_iter().map(|p| p.1).collect::<Vec<_>>(), expected);
    }
}

/// Simulates a flood of small jobs of high priority on three machines, and one large job with
/// a lower utility per time. Returns when the first task of the large job that ran for at
/// least 30 s started, if there was one.
#[allow(
    clippy::too_many_lines,
    reason = "one simulation loop, easier to follow in one piece"
)]
fn large_job_started_at(start_within_s: f64, team_max_cpus: f64) -> Option<f64> {
    let names = ["l1a", "l2b", "l3a"];
    let mut cluster = cluster(&names, 0.0);
    cluster.config.minimum_share.start_within_s = start_within_s;
    for team in &mut cluster.config.teams {
        (team.guaranteed_cpus, team.max_cpus) = (1.0, team_max_cpus);
    }
    let mut large = spec(1, 4, 12.0);
    (large.priority, large.expected_s) = (Priority::Low, 60.0);
    cluster.add_job(large, 1, 0.0, &RangeSet::default());
    let (mut heartbeat_number, mut next_job) = (1, 10);
    // End time of each attempt that has been started, by its number. Small tasks run for 20 to
    // 35 s.
    let mut end_times: BTreeMap<u64, f64> = BTreeMap::new();
    for second in 0..(START_DEADLINE_S as u32 + 200) {
        let now = f64::from(second);
        if second % 2 == 0 {
            for _ in 0..if second == 0 { 7 } else { 2 } {
                let mut small = spec(next_job, 8, 1.0);
                (small.priority, small.expected_s) = (Priority::High, 25.0);
                small.checkpoint_every_s = 0.0;
                cluster.add_job(small, 1, now, &RangeSet::default());
                next_job += 1;
            }
        }
        heartbeat_number += 1;
        for name in names {
            let tasks: Vec<TaskStatus> = cluster.workers[name]
                .attempts
                .iter()
                .filter(|a| a.phase != AttemptPhase::Planned)
                .map(|a| {
                    let has_ended = end_times.get(&a.number).is_some_and(|end| *end <= now);
                    let (state, cause) =
                        match has_ended || matches!(a.phase, AttemptPhase::Ended(_)) {
                            true => (TaskState::Ended, Some(EndCause::Done)),
                            false => (TaskState::Running, None),
                        };
                    task(&a.task_name(), a.number, state, cause)
                })
                .collect();
            for status in &tasks {
                let run_s = match status.task.starts_with("req-1/") {
                    true => 60.0,
                    false => 20.0 + (status.attempt % 16) as f64,
                };
                end_times.entry(status.attempt).or_insert(now + run_s);
            }
            cluster.apply_heartbeat(
                now,
                &heartbeat_from(name, 1, heartbeat_number, TERM, tasks),
                HeartbeatSource::Periodic,
            );
        }
        if let Some(flush) = cluster.next_progress_flush(9, 60_000) {
            cluster.record_flushed(&flush, 1);
        }
        let completed_jobs: Vec<String> = cluster
            .job_completions(99, &BTreeSet::new())
            .into_iter()
            .map(|c| c.job)
            .collect();
        for id in completed_jobs {
            cluster.remove_job(&id, now);
        }
        let forgettable: Vec<(String, u64)> = names
            .iter()
            .flat_map(|n| {
                cluster.workers[*n]
                    .attempts
                    .iter()
                    .filter(|a| a.can_forget())
                    .map(|a| (n.to_string(), a.number))
            })
            .collect();
        for (name, attempt) in forgettable {
            cluster.remove_attempts(&name, |a| a.number == attempt);
        }
        cluster.config.minimum_share.share = 1e-9;
        cluster.select_underserved(now);
        cluster.update_start_claims(now);
        round(&mut cluster, now);
        let job = &cluster.jobs["req-1"];
        if job.started {
            // Its tasks must not be preempted, before they have run for 30 s, for tasks with a
            // higher utility per time.
            let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
            let is_counted_start = |a: &&Attempt| a.spec.id == "req-1" && a.run_time_s(now) >= 30.0;
            if let Some(a) = attempts
                .filter(|a| a.occupies_capacity())
                .find(is_counted_start)
            {
                return a.running_since;
            }
        }
    }
    None
}

// Regression: a job with large tasks waited for 287 s, and for 317 s, because small tasks of
// higher priority took all resources as they became free.
#[test]
fn large_job_starts_in_time_despite_many_small_jobs() {
    assert_eq!(
        large_job_started_at(0.0, 60.0),
        None,
        "without a start deadline the large job never starts"
    );
    let started_at = large_job_started_at(START_DEADLINE_S, 60.0).expect("the large job starts");
    assert!(
        started_at > START_DEADLINE_S * 0.4 && started_at < START_DEADLINE_S * 0.8,
        "{started_at}"
    );
}

// Small tasks of a team at its quota must not take up, one by one, the quota that becomes free
// and that the overdue first task of a large job needs.
#[test]
fn team_at_its_quota_keeps_freed_quota_for_overdue_start() {
    assert_eq!(large_job_started_at(0.0, 20.0), None);
    let started_at = large_job_started_at(START_DEADLINE_S, 20.0).expect("the large job starts");
    assert!(started_at < START_DEADLINE_S * 0.8, "{started_at}");
}

// Jobs that have started, and jobs that are far from their start deadline, are placed by utility
// per time, without a claim.
#[test]
fn jobs_far_from_the_start_deadline_get_no_claim() {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 9, 1.0), 1, 100.0, &RangeSet::first(8));
    cluster.jobs.get_mut("req-1").unwrap().completed = RangeSet::default();
    cluster.add_job(spec(2, 1, 1.0), 1, -200.0, &RangeSet::first(1));
    // Many other jobs, accepted before req-1.
    for n in 3..9 {
        cluster.add_job(spec(n, 1, 1.0), 1, 40.0, &RangeSet::default());
    }
    cluster.update_start_claims(180.0);
    assert!(
        cluster.start_deadlines.claims.is_empty() && cluster.start_deadlines.reserved.is_empty()
    );
    cluster.update_start_claims(221.0);
    assert_eq!(
        cluster.start_deadlines.claims.keys().collect::<Vec<_>>(),
        ["req-1"]
    );
    // One start is enough: after the first placement, no second one has priority, even before a
    // heartbeat confirms that the task runs.
    cluster.apply_heartbeat(
        221.0,
        &heartbeat_from("sa", 1, 2, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    cluster.jobs.get_mut("req-1").unwrap().pending = RangeSet::first(1);
    assert_eq!(cluster.start_claim_order("req-1"), Some(0));
    round(&mut cluster, 221.0);
    assert_eq!(cluster.start_claim_order("req-1"), None);
    cluster.update_start_claims(222.0);
    assert!(
        cluster.start_deadlines.claims.contains_key("req-1"),
        "the task has not run for 30 s, so it is still protected"
    );
    assert_eq!(cluster.start_claim_order("req-1"), None);
    // When very little time is left, the jobs that are not large get claims as well, unless the
    // minimum share gives jobs priority.
    cluster.update_start_claims(245.0);
    assert_eq!(
        cluster
            .start_deadlines
            .claims
            .values()
            .filter(|c| c.needs_first_start && !c.large)
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
    cluster.update_start_claims(246.0);
    assert!(cluster.start_deadlines.claims.values().all(|c| c.large));
}

// Regression: under overload, jobs that were not large had no task started for 300 to 700 s while
// the minimum share gave other jobs priority, although machines had free resources. Each such job
// has to get one task placed, on a small share of the machines.
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
    cluster.update_start_claims(245.0);
    let small_jobs = cluster
        .start_deadlines
        .claims
        .values()
        .filter(|c| c.needs_first_start && !c.large);
    let cpus: f64 = names
        .iter()
        .map(|n| cluster.machine_types[&cluster.workers[*n].machine_type].cpus)
        .sum();
    assert_eq!(small_jobs.count(), (cpus * 0.05) as usize);
    assert!(cpus * 0.05 >= 1.0, "{cpus}");
}
