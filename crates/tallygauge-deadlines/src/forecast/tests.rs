use super::*;
use proptest::prelude::*;

#[test]
fn cutoffs_are_at_risk_if_they_can_be_met_but_have_too_little_slack() {
    let load = |left_s, work, max_cpus, longest_task_s| CutoffLoad {
        left_s,
        cpu_s: work,
        max_cpus,
        longest_task_s,
    };
    let loads = [
        load(100.0, 500.0, 100.0, 20.0),  // has enough slack
        load(200.0, 1400.0, 100.0, 20.0), // too little slack after the first
        load(50.0, 10.0, 100.0, 80.0),    // a task takes longer than the time left
        load(300.0, 900.0, 3.0, 20.0),    // limited by its team's quota
        load(10.0, 0.0, 9.0, 0.0),        // has no work left
    ];
    let forecasts = forecast_cutoffs(&loads, 10.0);
    let at_risk: Vec<bool> = forecasts.iter().map(|f| f.at_risk).collect();
    assert_eq!(at_risk, [false, true, false, true, false]);
    assert_eq!(forecasts[0].slack_s, 100.0 - 51.0);
    assert!(
        forecasts[2].latest_start_s < 0.0,
        "the cutoff can no longer be met"
    );
    assert_eq!(forecasts[3].latest_start_s, 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(97), failure_persistence: None, ..ProptestConfig::default() })]
    // Compares with a simulation in small steps that does the work of the earliest cutoff
    // first, limited only by the CPUs for all loads together. The end_s agree to about a step_s.
    #[test]
    fn forecast_end_matches_simulation(works in prop::collection::vec((1.0f64..300.0, 0.0f64..500.0), 1..8), cpus in 1.0f64..20.0) {
        let loads: Vec<CutoffLoad> = works.iter().map(|(left_s, work)| CutoffLoad { left_s: *left_s, cpu_s: *work, max_cpus: f64::MAX, longest_task_s: 0.0 }).collect();
        let forecasts = forecast_cutoffs(&loads, cpus);
        let mut left_cpu_s: Vec<f64> = loads.iter().map(|l| l.cpu_s).collect();
        let mut end_s = vec![0.0; loads.len()];
        let (step_s, mut now) = (0.05, 0.0);
        while left_cpu_s.iter().any(|w| *w > 0.0) {
            now += step_s;
            let mut step_cpu_s = cpus * step_s;
            let mut order: Vec<usize> = (0..loads.len()).filter(|n| left_cpu_s[*n] > 0.0).collect();
            order.sort_by(|a, b| loads[*a].left_s.total_cmp(&loads[*b].left_s).then(a.cmp(b)));
            for n in order {
                let done = left_cpu_s[n].min(step_cpu_s);
                left_cpu_s[n] -= done;
                step_cpu_s -= done;
                if left_cpu_s[n] <= 1e-9 { left_cpu_s[n] = 0.0; end_s[n] = now; }
                if step_cpu_s <= 1e-12 { break; }
            }
        }
        for (n, load) in loads.iter().enumerate().filter(|l| l.1.cpu_s > 0.0) {
            let forecast_end = load.left_s - forecasts[n].slack_s;
            prop_assert!((forecast_end - end_s[n]).abs() <= step_s * 1.5 + 1e-6, "{} {}", forecast_end, end_s[n]);
        }
    }
}
