//! Simulations of the minimum share with more work than capacity: which jobs are served.

#[path = "../examples/overload/day/mod.rs"]
#[allow(dead_code, reason = "the overload example uses the rest")]
mod day;

use day::{BULK, CPUS, Class, Day, FIX, RUSH, STEP_S, Setup, SubmittedJob, draw_jobs};
use proptest::prelude::*;
use std::collections::BTreeMap;
use tallygauge_scheduler::GroupKind;

const SHARE: f64 = 0.65;

fn setup(machines: usize, duration_s: f64, classes: Vec<Class>) -> Setup {
    Setup {
        machines,
        teams: 4,
        duration_s,
        minimum_share: SHARE,
        partitioned_fraction: 0.0,
        classes,
    }
}

/// Three classes whose work adds up to `load`, as a fraction of the capacity of the machines.
fn mix(load: f64) -> Vec<Class> {
    let with = |class: Class, fraction: f64| Class {
        load: load * fraction,
        ..class
    };
    vec![with(BULK, 0.4), with(RUSH, 0.36), with(FIX, 0.24)]
}

fn simulate(setup: &Setup, jobs: Vec<SubmittedJob>) -> Day {
    let mut day = Day::new(setup);
    day.run(jobs, |_, _| {});
    day
}

/// The lowest share of jobs served of any class.
fn min_class_share(day: &Day, classes: usize) -> f64 {
    let shares = (0..classes).map(|n| day.served(|job| job.class == n).1);
    shares.fold(1.0, f64::min)
}

// The minimum share acts under overload only: without overload, no placement may differ from those
// without a minimum share.
#[test]
fn without_overload_placements_equal_those_without_minimum_share() {
    for (seed, load, arrival_s) in [(1, 0.3, 150.0), (2, 0.35, 150.0), (3, 0.6, 300.0)] {
        let with = setup(40, 300.0, mix(load));
        let without = Setup {
            minimum_share: 0.0,
            ..with.clone()
        };
        let day_with = simulate(&with, draw_jobs(&with, arrival_s, seed));
        let day_without = simulate(&without, draw_jobs(&without, arrival_s, seed));
        assert!(day_with.started > 500, "too little work was started");
        assert!(
            day_with.placement_batches == day_without.placement_batches,
            "the placements of seed {seed} differ"
        );
        assert_eq!(
            (day_with.started, day_with.stopped),
            (day_without.started, day_without.stopped)
        );
    }
}

#[test]
fn under_overload_no_class_or_team_falls_below_minimum_share() {
    let with = setup(40, 900.0, mix(1.8));
    let without = Setup {
        minimum_share: 0.0,
        ..with.clone()
    };
    let day_without = simulate(&without, draw_jobs(&without, 300.0, 5));
    assert!(
        min_class_share(&day_without, 3) < 0.3,
        "without a minimum share, one class starves"
    );
    let day = simulate(&with, draw_jobs(&with, 300.0, 5));
    assert!(day.attainable_share(3, |job| job.class) > 0.8);
    assert!(
        min_class_share(&day, 3) > 0.6,
        "{}",
        min_class_share(&day, 3)
    );
    for team in 0..4 {
        assert!(day.served(|job| job.team == team).1 > 0.6);
    }
}

// Classes and teams must be served even with constraints that make it hard: a team with only
// tasks as large as a machine, jobs restricted to a zone, a class with a single job, arrays of
// thousands of tasks, many teams, and a network partition of a zone.
#[test]
fn constrained_classes_and_teams_are_served_under_overload() {
    let mut classes = mix(1.2);
    let large = |name, cpus, load| Class {
        name,
        cpus,
        load,
        median_tasks: 10.0,
        ..BULK
    };
    classes.push(Class {
        team: Some(0),
        ..large("whole", CPUS, 0.2)
    });
    classes.push(Class {
        zone: Some("a"),
        ..large("bound", 8.0, 0.2)
    });
    classes.push(large("single", 8.0, 0.0));
    classes.push(large("array", 1.0, 0.0));
    let setup = Setup {
        teams: 12,
        partitioned_fraction: 0.2,
        ..setup(40, 900.0, classes.clone())
    };
    let mut jobs = draw_jobs(&setup, 300.0, 9);
    for (class, tasks) in [(5, 6), (6, 3000), (6, 2000)] {
        let mut spec = classes[class].job_spec(1, tasks, 30.0, 0);
        spec.id = format!("req-9{class}{tasks}");
        jobs.push(SubmittedJob {
            class,
            team: 1,
            submitted_at: 100.0,
            run_s: 30.0,
            spec,
            done_at: None,
        });
    }
    jobs.sort_by(|a, b| a.submitted_at.total_cmp(&b.submitted_at));
    let day = simulate(&setup, jobs);
    for (index, class) in classes.iter().enumerate() {
        let (jobs, done, _) = day.served(|job| job.class == index);
        assert!(jobs > 0 && done >= 0.5, "{}: {done} of {jobs}", class.name);
    }
    for team in 0..12 {
        let (jobs, done, _) = day.served(|job| job.team == team);
        assert!(done > 0.55, "team {team}: {done} of {jobs}");
    }
}

/// Maximum seconds for which an underserved class or team has none of its jobs done.
///
/// The group's jobs have priority on an equal part of the machines. These machines become
/// free within `longest_s`, the run time of the longest task, and the jobs then run for at
/// most another `longest_s`. Jobs that wait for earlier jobs of the group take another
/// `longest_s` for each of the `rounds` of such jobs.
fn max_unserved_s(longest_s: f64, rounds: f64) -> f64 {
    longest_s * (2.0 + rounds) + 4.0 * day::HEARTBEAT_INTERVAL_S
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, rng_seed: proptest::test_runner::RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]
    // In whatever order jobs arrive, an underserved group with work that fits a machine has a
    // job done within [`max_unserved_s`].
    #[test]
    fn underserved_groups_are_served_within_max_unserved_time(
        arrivals in prop::collection::vec((0usize..3, 0usize..4, 0.0f64..200.0, 2u32..9, 10.0f64..40.0), 150..220),
    ) {
        let classes = mix(1.0);
        let setup = setup(6, 600.0, classes.clone());
        let mut jobs: Vec<SubmittedJob> = arrivals.into_iter().enumerate().map(|(n, (class, team, submitted_at, tasks, run_s))| {
            let mut spec = classes[class].job_spec(team, tasks, run_s, 0);
            spec.id = format!("req-{n:05}");
            SubmittedJob { class, team, submitted_at, run_s, spec, done_at: None }
        }).collect();
        jobs.sort_by(|a, b| a.submitted_at.total_cmp(&b.submitted_at));
        let mut day = Day::new(&setup);
        // For each group, its number of jobs done and the seconds since that last changed.
        let mut unserved_by_group: BTreeMap<(GroupKind, String), (u64, f64)> = BTreeMap::new();
        let (mut longest_unserved_s, mut underserved_steps) = (0.0f64, 0);
        // The largest jobs of a class come after the minimum share of all classes and teams: the
        // time until they are served isn't bounded.
        day.run(jobs, |day, _| for s in day.cluster.group_statuses().into_iter().filter(|s| s.key.kind != GroupKind::Largest) {
            let key = (s.key.kind, s.key.name.to_string());
            let entry = unserved_by_group.entry(key).or_insert((s.counts.done, 0.0));
            if entry.0 != s.counts.done || s.shortfall.to_target_share == 0 || s.shortfall.unplaceable >= s.open {
                *entry = (s.counts.done, 0.0);
            } else {
                entry.1 += STEP_S;
                underserved_steps += 1;
                longest_unserved_s = longest_unserved_s.max(entry.1);
            }
        });
        prop_assert!(underserved_steps > 0, "no group was underserved");
        // Tasks run for at most 40 s, and fetching their images takes up to 15 s more.
        prop_assert!(longest_unserved_s <= max_unserved_s(55.0, 1.0), "a group had no job done for {} s", longest_unserved_s);
    }
}
