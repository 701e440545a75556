use super::*;
use proptest::prelude::*;

#[test]
fn a_cutoff_is_at_risk_if_it_can_be_met_but_has_too_little_slack() {
    let load = |left_s, work, max_cpus, longest_task_s| CutoffLoad {
        left_s,
        cpu_s: work,
        max_cpus,
        longest_task_s,
    };
    let loads = [
        load(100.0, 500.0, 100.0, 20.0),  // enough slack
        load(200.0, 1400.0, 100.0, 20.0), // late beside the first
        load(50.0, 10.0, 100.0, 80.0),    // its task is longer than the time left
        load(300.0, 900.0, 3.0, 20.0),    // bound by its team's limit
        load(10.0, 0.0, 9.0, 0.0),        // nothing left to do
    ];
    let found = forecast_cutoffs(&loads, 10.0);
    let risk: Vec<bool> = found.iter().map(|v| v.at_risk).collect();
    assert_eq!(risk, [false, true, false, true, false]);
    assert_eq!(found[0].slack_s, 100.0 - 51.0);
    assert!(found[2].latest_start_s < 0.0, "can't be met any more");
    assert_eq!(found[3].latest_start_s, 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(97), failure_persistence: None, ..ProptestConfig::default() })]
    // Work done in small steps, earliest cutoff first, ends as forecast, to the step, where
    // only the CPUs of all together limit it.
    #[test]
    fn the_end_is_that_of_a_simulation_in_small_steps(works in prop::collection::vec((1.0f64..300.0, 0.0f64..500.0), 1..8), cpus in 1.0f64..20.0) {
        let loads: Vec<CutoffLoad> = works.iter().map(|(left_s, work)| CutoffLoad { left_s: *left_s, cpu_s: *work, max_cpus: f64::MAX, longest_task_s: 0.0 }).collect();
        let found = forecast_cutoffs(&loads, cpus);
        let mut left: Vec<f64> = loads.iter().map(|l| l.cpu_s).collect();
        let mut ends = vec![0.0; loads.len()];
        let (step, mut now) = (0.05, 0.0);
        while left.iter().any(|w| *w > 0.0) {
            now += step;
            let mut capacity = cpus * step;
            let mut order: Vec<usize> = (0..loads.len()).filter(|n| left[*n] > 0.0).collect();
            order.sort_by(|a, b| loads[*a].left_s.total_cmp(&loads[*b].left_s).then(a.cmp(b)));
            for n in order {
                let done = left[n].min(capacity);
                left[n] -= done;
                capacity -= done;
                if left[n] <= 1e-9 { left[n] = 0.0; ends[n] = now; }
                if capacity <= 1e-12 { break; }
            }
        }
        for (n, load) in loads.iter().enumerate().filter(|l| l.1.cpu_s > 0.0) {
            let forecast_end = load.left_s - found[n].slack_s;
            prop_assert!((forecast_end - ends[n]).abs() <= step * 1.5 + 1e-6, "{} {}", forecast_end, ends[n]);
        }
    }
}
