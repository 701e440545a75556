//! Scenarios drawn from seeds, in which faults of every kind coincide.
//! `TALLYGAUGE_SEEDS=500 cargo test --release -p tallygauge-sim --test drawn_scenarios`
//! runs more of them.

use tallygauge_sim::{
    scenario::{InjectedViolation, run_each_seed, run_scenario, scenario_digest},
    show_log,
};

/// Runs one scenario by itself, with its log: `TALLYGAUGE_SEED=7 LOG_LEVEL=debug cargo
/// test -p tallygauge-sim --test drawn_scenarios single -- --nocapture`.
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

#[test]
fn drawn_scenarios_break_no_invariant_and_answer_every_user() {
    let seeds = std::env::var("TALLYGAUGE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(40);
    assert!(seeds > 0, "no scenario is run");
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let scenarios = run_each_seed(0..=seeds - 1, threads, |seed| {
        run_scenario(seed, InjectedViolation::None)
    });
    let failed: Vec<_> = scenarios
        .into_iter()
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[tokio::test(start_paused = true)]
async fn each_checker_detects_its_injected_violation() {
    for (injected, word) in [
        (InjectedViolation::StoreDown, "forgotten"),
        (InjectedViolation::TaskRunsTwice, "starts twice"),
        (InjectedViolation::CancelledTaskRunsOn, "still runs"),
        (InjectedViolation::JobLost, "forgotten"),
        (InjectedViolation::DoneTooSoon, "is not done"),
        (InjectedViolation::NothingPlaced, "is left waiting"),
    ] {
        let violations = run_scenario(7, injected).await;
        assert!(
            violations.iter().any(|violation| violation.contains(word)),
            "{injected:?}: {violations:?}"
        );
    }
}

#[test]
fn replayed_scenario_exchanges_identical_messages() {
    let first = run_each_seed(1..=4, 4, scenario_digest);
    let again = run_each_seed(1..=4, 2, scenario_digest);
    assert_eq!(first, again);
    assert!(first.windows(2).all(|pair| pair[0].1 != pair[1].1));
}
