//! What can still be met: earliest cutoff first over the room there is.

/// Work that counts for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutoffLoad {
    /// Seconds until the cutoff.
    pub left_s: f64,
    /// CPU-seconds until all of it is done.
    pub cpu_s: f64,
    /// CPUs that it may use at a time: limits of its teams, machines that suit
    /// it.
    pub cpus: f64,
    /// Seconds that its longest task takes from now on.
    pub longest_s: f64,
}

/// How a cutoff stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds between its end and the cutoff, were all work done in the order
    /// of cutoffs; below 0: it is late by as much.
    pub slack_s: f64,
    /// Seconds from now in which it must begin at the latest, had it all the room
    /// it may use; below 0: it can't be met any more.
    pub latest_start_s: f64,
    /// It is at risk: its slack is used up, but it can still be met.
    pub at_risk: bool,
    /// CPUs that it lacks to be met beside all that is due before.
    pub missing_cpus: f64,
}

/// Part of the time that is left which must be slack, lest a cutoff counts as at
/// risk: estimates are wrong.
const MARGIN: f64 = 0.1;

/// How each of the loads stands, with so many CPUs for all of them.
#[must_use]
pub fn forecasts(loads: &[CutoffLoad], cpus: f64) -> Vec<Forecast> {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| loads[*a].left_s.total_cmp(&loads[*b].left_s).then(a.cmp(b)));
    let none = Forecast {
        slack_s: 0.0,
        latest_start_s: 0.0,
        at_risk: false,
        missing_cpus: 0.0,
    };
    let mut out = vec![none; loads.len()];
    let mut before = 0.0;
    for n in order {
        let load = &loads[n];
        let own = load.cpus.min(cpus).max(1e-9);
        let alone = (load.cpu_s / own).max(load.longest_s);
        before += load.cpu_s;
        let end = alone.max(before / cpus.max(1e-9));
        let slack_s = load.left_s - end;
        let latest_s = load.left_s - alone;
        let enough = before / load.left_s.max(1e-9);
        let due = load.cpu_s > 0.0 && latest_s >= 0.0;
        out[n] = Forecast {
            slack_s,
            latest_start_s: latest_s,
            at_risk: due && slack_s < load.left_s * MARGIN,
            missing_cpus: if due { (enough - cpus).max(0.0) } else { 0.0 },
        };
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn at_risk_is_what_can_still_be_met_and_will_not() {
        let load = |left_s, work, cpus, longest_s| CutoffLoad {
            left_s,
            cpu_s: work,
            cpus,
            longest_s,
        };
        let loads = [
            load(100.0, 500.0, 100.0, 20.0),  // calm
            load(200.0, 1400.0, 100.0, 20.0), // late beside the first
            load(50.0, 10.0, 100.0, 80.0),    // its task is longer than the time left
            load(300.0, 900.0, 3.0, 20.0),    // bound by its team's limit
            load(10.0, 0.0, 9.0, 0.0),        // nothing left to do
        ];
        let found = forecasts(&loads, 10.0);
        let risk: Vec<bool> = found.iter().map(|v| v.at_risk).collect();
        assert_eq!(risk, [false, true, false, true, false]);
        assert_eq!(found[0].slack_s, 100.0 - 51.0);
        assert!(found[2].latest_start_s < 0.0, "can't be met any more");
        assert_eq!(found[3].latest_start_s, 0.0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(97), failure_persistence: None, ..ProptestConfig::default() })]
        // Work done second by second, earliest cutoff first, ends as said: where
        // nothing but the room for all bounds it, to the step.
        #[test]
        fn the_end_is_that_of_work_done_step_by_step(works in prop::collection::vec((1.0f64..300.0, 0.0f64..500.0), 1..8), cpus in 1.0f64..20.0) {
            let loads: Vec<CutoffLoad> = works.iter().map(|(left_s, work)| CutoffLoad { left_s: *left_s, cpu_s: *work, cpus: f64::MAX, longest_s: 0.0 }).collect();
            let found = forecasts(&loads, cpus);
            let mut left: Vec<f64> = loads.iter().map(|l| l.cpu_s).collect();
            let mut ends = vec![0.0; loads.len()];
            let (step, mut now) = (0.05, 0.0);
            while left.iter().any(|w| *w > 0.0) {
                now += step;
                let mut room = cpus * step;
                let mut order: Vec<usize> = (0..loads.len()).filter(|n| left[*n] > 0.0).collect();
                order.sort_by(|a, b| loads[*a].left_s.total_cmp(&loads[*b].left_s).then(a.cmp(b)));
                for n in order {
                    let done = left[n].min(room);
                    left[n] -= done;
                    room -= done;
                    if left[n] <= 1e-9 { left[n] = 0.0; ends[n] = now; }
                    if room <= 1e-12 { break; }
                }
            }
            for (n, load) in loads.iter().enumerate().filter(|l| l.1.cpu_s > 0.0) {
                let said = load.left_s - found[n].slack_s;
                prop_assert!((said - ends[n]).abs() <= step * 1.5 + 1e-6, "{} {}", said, ends[n]);
            }
        }
    }
}
