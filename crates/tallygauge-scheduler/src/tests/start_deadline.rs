//! Every job begins within a bound.

use super::*;
use std::collections::BTreeSet;

const BOUND: f64 = 240.0;

/// Jobs that are to begin, as plainly as it can be said: one after the other in
/// the order of their acceptance, each with one task on the best spot that it
/// may use; then all others by UPT, without what is kept for those.
fn plain_with_begins(c: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = Plain::new(c, now);
    let mut turns: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        c.start_deadlines.claims.iter().collect();
    turns.retain(|t| {
        t.1.needs_first_start && c.jobs[t.0].attempts_by_task.len() <= t.1.attempts_when_found
    });
    turns.sort_by_key(|t| t.1.order);
    for (id, _) in turns {
        let job = &c.jobs[id];
        let Some(at) = model.waiting.iter().position(|w| w.0 == *id) else {
            continue;
        };
        let most = c.config.teams[job.team].max_cpus;
        if model.used[job.team] + job.spec.cpus > most + 1e-9 {
            model.used[job.team] += job.spec.cpus;
            continue;
        }
        model.begins = true;
        let spot = model.spot(id);
        model.begins = false;
        if let Some((_, name)) = spot {
            model.start(at, name);
        }
    }
    // Then their other tasks, on a tenth of the machines.
    let usable = c
        .workers
        .values()
        .filter(|w| w.accepts_work(now, &c.config));
    let mut left = usable
        .map(|w| c.machine_types[&w.machine_type].cpus)
        .sum::<f64>()
        * 0.1;
    let mut near: Vec<(&String, &crate::start_deadline::state::StartClaim)> =
        c.start_deadlines.claims.iter().collect();
    for (id, _) in &near {
        left -= c.jobs[*id].attempts_by_task.len() as f64 * c.jobs[*id].spec.cpus;
    }
    near.sort_by_key(|t| t.1.order);
    for (id, _) in near.into_iter().filter(|t| t.1.near_deadline) {
        while left > 0.0
            && let Some(at) = model.waiting.iter().position(|w| w.0 == *id)
            && let Some((_, name)) = model.spot(id)
        {
            model.start(at, name);
            left -= c.jobs[id].spec.cpus;
        }
    }
    model.by_upt();
    model.out
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(53), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn with_jobs_that_are_to_begin_the_mapping_is_that_of_the_plain_model(
        jobs in prop::collection::vec((any_job(), 0.0f64..200.0), 2..14),
    ) {
        let names = fleet(6);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut c = cluster(&names, 200.0);
        for team in &mut c.config.teams { team.max_cpus = 24.0; }
        let (first, later) = jobs.split_at(jobs.len() / 2);
        for (n, (job, at)) in first.iter().enumerate() {
            c.add_job(spec_of(n, *job, 2), 1, *at, &RangeSet::default());
        }
        round(&mut c, 200.0);
        for (n, (job, at)) in later.iter().enumerate() {
            c.add_job(spec_of(20 + n, *job, 2), 1, *at, &RangeSet::default());
        }
        c.select_underserved(201.0);
        c.minimum_share.claims.clear();
        c.minimum_share.reserved.clear();
        c.find_overdue_starts(201.0);
        let expected = plain_with_begins(&c, 201.0);
        c.run_round(201.0, false);
        let mut real: Vec<(u64, (String, u32, String))> = c.workers.values().flat_map(|w| w.attempts.iter().filter(|h| h.phase == AttemptPhase::Planned).map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))).collect();
        real.sort();
        prop_assert_eq!(real.into_iter().map(|r| r.1).collect::<Vec<_>>(), expected);
    }
}

/// A flood of small urgent jobs on a few machines, and one large job that is no
/// better than they are. When its first task runs, `None`: never.
fn begun_at(bound: f64, team_cpus: f64) -> Option<f64> {
    let names = ["l1a", "l2b", "l3a"];
    let mut c = cluster(&names, 0.0);
    c.config.minimum_share.start_within_s = bound;
    for team in &mut c.config.teams {
        (team.guaranteed_cpus, team.max_cpus) = (1.0, team_cpus);
    }
    let mut large = spec(1, 4, 12.0);
    (large.priority, large.expected_s) = (Priority::Low, 60.0);
    c.add_job(large, 1, 0.0, &RangeSet::default());
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
                c.add_job(small, 1, now, &RangeSet::default());
                next += 1;
            }
        }
        seq += 1;
        for name in names {
            let tasks: Vec<TaskStatus> = c.workers[name]
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
            c.apply_heartbeat(
                now,
                &report(name, 1, seq, TERM, tasks),
                HeartbeatSource::Periodic,
            );
        }
        if let Some(flush) = c.next_flush(9, 60_000) {
            c.record_flushed(&flush, 1);
        }
        let over: Vec<String> = c
            .completions(99, &BTreeSet::new())
            .into_iter()
            .map(|d| d.job)
            .collect();
        for id in over {
            c.remove_job(&id, now);
        }
        let clears: Vec<(String, u64)> = names
            .iter()
            .flat_map(|n| {
                c.workers[*n]
                    .attempts
                    .iter()
                    .filter(|h| h.can_forget())
                    .map(|h| (n.to_string(), h.number))
            })
            .collect();
        for (name, attempt) in clears {
            c.remove_attempts(&name, |h| h.number == attempt);
        }
        c.config.minimum_share.share = 1e-9;
        c.select_underserved(now);
        c.find_overdue_starts(now);
        round(&mut c, now);
        let job = &c.jobs["req-1"];
        if job.started {
            // It must go on: nobody stops it for what is better.
            let held = c.workers.values().flat_map(|w| &w.attempts);
            let ours = |h: &&Attempt| h.spec.id == "req-1" && h.run_time_s(now) >= 30.0;
            if let Some(h) = held.filter(|h| h.occupies_capacity()).find(ours) {
                return h.running_since;
            }
        }
    }
    None
}

// A job of large tasks waited for 287 and 317 s on the standard day with
// restarts, behind small urgent ones that took every room as it fell free.
#[test]
fn the_largest_begins_in_time_however_many_small_ones_come() {
    assert_eq!(begun_at(0.0, 60.0), None, "without a bound it never does");
    let begun = begun_at(BOUND, 60.0).expect("it begins");
    assert!(begun > BOUND * 0.4 && begun < BOUND * 0.8, "{begun}");
}

// Where the team is at its limit, its small tasks must not take up what falls
// free of that, one by one.
#[test]
fn a_team_at_its_limit_keeps_what_falls_free_for_its_job_that_is_to_begin() {
    assert_eq!(begun_at(0.0, 20.0), None);
    let begun = begun_at(BOUND, 20.0).expect("it begins");
    assert!(begun < BOUND * 0.8, "{begun}");
}

// Calm days stay as they are: a job that has begun, and one that waits for less
// than a good part of the bound, come in no other order than by UPT.
#[test]
fn who_is_not_near_the_bound_does_not_come_first() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 9, 1.0), 1, 100.0, &RangeSet::first(8));
    c.jobs.get_mut("req-1").unwrap().completed = RangeSet::default();
    c.add_job(spec(2, 1, 1.0), 1, -200.0, &RangeSet::first(1));
    // Many others, older than it.
    for n in 3..9 {
        c.add_job(spec(n, 1, 1.0), 1, 40.0, &RangeSet::default());
    }
    c.find_overdue_starts(180.0);
    assert!(c.start_deadlines.claims.is_empty() && c.start_deadlines.reserved.is_empty());
    c.find_overdue_starts(221.0);
    assert_eq!(
        c.start_deadlines.claims.keys().collect::<Vec<_>>(),
        ["req-1"]
    );
    // One start is enough, and no second one goes out before it is seen.
    c.apply_heartbeat(
        221.0,
        &report("sa", 1, 2, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    c.jobs.get_mut("req-1").unwrap().pending = RangeSet::first(1);
    assert_eq!(c.start_claim_order("req-1"), Some(0));
    round(&mut c, 221.0);
    assert_eq!(c.start_claim_order("req-1"), None);
    c.find_overdue_starts(222.0);
    assert!(
        c.start_deadlines.claims.contains_key("req-1"),
        "not for 30 s yet: protected"
    );
    assert_eq!(c.start_claim_order("req-1"), None);
    // When hardly anything is left, the others come as well, unless somebody is
    // behind.
    c.find_overdue_starts(245.0);
    assert_eq!(
        c.start_deadlines
            .claims
            .values()
            .filter(|t| t.needs_first_start && !t.large)
            .count(),
        6
    );
    assert!(c.start_deadlines.reserved.is_empty());
    let seat = crate::minimum_share::state::PriorityClaim {
        group: 0,
        for_min_share: true,
        order: 0,
    };
    c.minimum_share.claims.insert("req-1".into(), seat);
    c.find_overdue_starts(246.0);
    assert!(c.start_deadlines.claims.values().all(|t| t.large));
}

// On a drawn day with more work than machines, jobs that were not large had no task
// for 300 to 700 s while the floor bound, though machines with room stood beside
// them. Each begins with one task now, on a small part of the machines.
#[test]
fn others_begin_on_a_part_of_the_machines_while_the_floor_binds() {
    let names: Vec<String> = (0..10).map(|n| format!("s{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut c = cluster(&names, 100.0);
    for (n, name) in names.iter().enumerate() {
        c.apply_heartbeat(
            245.0,
            &report(name, 1, 2 + n as u64, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    for n in 1..30 {
        c.add_job(spec(n, 1, 1.0), 1, 30.0, &RangeSet::default());
    }
    let seat = crate::minimum_share::state::PriorityClaim {
        group: 0,
        for_min_share: true,
        order: 0,
    };
    c.minimum_share.claims.insert("req-1".into(), seat);
    c.find_overdue_starts(245.0);
    let others = c
        .start_deadlines
        .claims
        .values()
        .filter(|t| t.needs_first_start && !t.large);
    let cpus: f64 = names
        .iter()
        .map(|n| c.machine_types[&c.workers[*n].machine_type].cpus)
        .sum();
    assert_eq!(others.count(), (cpus * 0.05) as usize);
    assert!(cpus * 0.05 >= 1.0, "{cpus}");
}
