//! Scenarios generated from seeds, in which faults of every kind coincide. To run more
//! seeds: `TALLYGAUGE_SEEDS=500 cargo test --release -p tallygauge-sim --test
//! drawn_scenarios`.

use tallygauge_sim::{
    scenario::{InjectedViolation, run_each_seed, run_scenario, scenario_digest},
    show_log,
};

/// Runs one scenario, to reproduce a failure with its log: `TALLYGAUGE_SEED=7
/// LOG_LEVEL=debug cargo test -p tallygauge-sim --test drawn_scenarios single --
/// --nocapture`.
#[tokio::test(start_paused = true)]
async fn single_scenario_from_seed_breaks_no_invariant() {
    let seed = std::env::var("TALLYGAUGE_SEED").ok();
    if seed.is_some() {
        show_log();
    }
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(7);
    let violations = run_scenario(seed, InjectedViolation::None).await;
    assert!(violations.is_empty(), "{violations:#?}");
}

// Combinations of faults that no test injects on purpose must not break an invariant, nor
// leave a user without an answer. `TALLYGAUGE_SEEDS` sets the number of seeds.
#[test]
fn drawn_scenarios_break_no_invariant_and_answer_every_user() {
    let seeds = std::env::var("TALLYGAUGE_SEEDS").ok();
    let seed_count: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(40);
    assert!(seed_count > 0, "TALLYGAUGE_SEEDS must be above 0");
    let thread_count = std::thread::available_parallelism().map_or(4, usize::from);
    let scenarios = run_each_seed(0..=seed_count - 1, thread_count, |seed| {
        run_scenario(seed, InjectedViolation::None)
    });
    let failed: Vec<_> = scenarios
        .into_iter()
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

// Guards against late starts of earlier leaders: in these scenarios a start that the leader gave
// up was carried out after the leader had changed and the agent had restarted, and a team
// exceeded its quota.
#[tokio::test(start_paused = true)]
async fn scenarios_with_late_starts_after_a_failover_break_no_invariant() {
    for seed in [2167, 3298] {
        let violations = run_scenario(seed, InjectedViolation::None).await;
        assert!(violations.is_empty(), "{seed}: {violations:#?}");
    }
}

// Guards against machine types that no controller knows: in this scenario the cloud is out and
// all controllers restart, and no task was started on the machine that is up.
#[tokio::test(start_paused = true)]
async fn scenario_with_restarts_during_a_cloud_outage_starts_tasks() {
    let violations = run_scenario(7650, InjectedViolation::None).await;
    assert!(violations.is_empty(), "{violations:#?}");
}

// A checker that detects nothing would let every scenario pass, so each one has to report a
// violation that is injected for it.
#[tokio::test(start_paused = true)]
async fn each_checker_detects_its_injected_violation() {
    for (injected, expected_text) in [
        (InjectedViolation::StoreDown, "forgotten"),
        (InjectedViolation::TaskRunsTwice, "starts twice"),
        (InjectedViolation::CancelledTaskRunsOn, "still runs"),
        (InjectedViolation::JobLost, "forgotten"),
        (InjectedViolation::DoneTooSoon, "is not done"),
        (InjectedViolation::NothingPlaced, "is left waiting"),
    ] {
        let violations = run_scenario(7, injected).await;
        assert!(
            violations
                .iter()
                .any(|violation| violation.contains(expected_text)),
            "{injected:?}: {violations:?}"
        );
    }
}

// The same seed must lead to the same messages whatever the number of threads, or failures
// could not be reproduced from their seed; different seeds must lead to different messages.
#[test]
fn replayed_scenario_exchanges_identical_messages() {
    let first = run_each_seed(1..=4, 4, scenario_digest);
    let replayed = run_each_seed(1..=4, 2, scenario_digest);
    assert_eq!(first, replayed);
    assert!(first.windows(2).all(|pair| pair[0].1 != pair[1].1));
}
