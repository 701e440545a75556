//! Drawn days: controllers that fail, with every fault the stand-ins know, one
//! over the other. `TALLYGAUGE_SEEDS=500 cargo test --release -p tallygauge-sim
//! --test days` plays more of them.

use tallygauge_sim::{
    drawn_days::{Plant, day, digest_of_day, play_each},
    show_log,
};

/// Plays one day by itself, with its log: `TALLYGAUGE_SEED=7 LOG_LEVEL=debug cargo
/// test -p tallygauge-sim --test days one_day -- --nocapture`.
#[tokio::test(start_paused = true)]
async fn single_scenario_from_seed_breaks_no_invariant() {
    let seed = std::env::var("TALLYGAUGE_SEED").ok();
    if seed.is_some() {
        show_log();
    }
    let seed = seed.and_then(|s| s.parse().ok()).unwrap_or(7);
    let wrong = day(seed, Plant::Nothing).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn drawn_scenarios_break_no_invariant_and_answer_every_user() {
    let seeds = std::env::var("TALLYGAUGE_SEEDS").ok();
    let seeds: u64 = seeds.and_then(|s| s.parse().ok()).unwrap_or(40);
    assert!(seeds > 0, "no day is played");
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    let days = play_each(0..=seeds - 1, threads, |seed| day(seed, Plant::Nothing));
    let bad: Vec<_> = days.into_iter().filter(|d| !d.1.is_empty()).collect();
    assert!(bad.is_empty(), "{bad:#?}");
}

#[tokio::test(start_paused = true)]
async fn each_checker_detects_its_injected_violation() {
    for (plant, word) in [
        (Plant::NobodyServed, "forgotten"),
        (Plant::RanTwice, "starts twice"),
        (Plant::RunsOn, "still runs"),
        (Plant::Lost, "forgotten"),
        (Plant::NotDone, "is not done"),
        (Plant::NothingPlaced, "is left waiting"),
    ] {
        let wrong = day(7, plant).await;
        assert!(
            wrong.iter().any(|w| w.contains(word)),
            "{plant:?}: {wrong:?}"
        );
    }
}

#[test]
fn replayed_scenario_exchanges_identical_messages() {
    let first = play_each(1..=4, 4, digest_of_day);
    let again = play_each(1..=4, 2, digest_of_day);
    assert_eq!(first, again);
    assert!(first.windows(2).all(|pair| pair[0].1 != pair[1].1));
}
