use super::*;
use proptest::prelude::*;

const THRESHOLDS: ReachabilityThresholds = ReachabilityThresholds {
    suspected: 2,
    unreachable: 3,
    min_interval_s: 0.5,
    expiry_s: 30.0,
};

#[test]
fn evidence_in_a_row_makes_unreachable_and_one_confirmation_resets_it() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record(Evidence::NotAcknowledged, 10.0, &THRESHOLDS));
    assert!(reachability.accepts_work(10.0, &THRESHOLDS) && reachability.needs_probe());
    assert!(!reachability.record(Evidence::Unanswered, 15.0, &THRESHOLDS));
    assert!(!reachability.accepts_work(15.0, &THRESHOLDS));
    assert!(reachability.record(Evidence::NotAcknowledged, 20.0, &THRESHOLDS));
    assert!(
        !reachability.record(Evidence::NotAcknowledged, 25.0, &THRESHOLDS),
        "known already"
    );
    assert_eq!(reachability.unreachable_for(26.0), Some(6.0));
    reachability.confirm();
    assert!(reachability.accepts_work(26.0, &THRESHOLDS) && !reachability.needs_probe());
    assert!(reachability.record(Evidence::LeaseExpired, 30.0, &THRESHOLDS));
}

/// The evidence in a row after all events, counted as the documentation words it:
/// pieces closer than the least interval are one event, expired ones are forgotten,
/// and a confirmation (`None`) forgets all.
fn plain_evidence_count(events: &[(f64, Option<Evidence>)]) -> u32 {
    let (mut row, mut last, mut unreachable): (u32, Option<f64>, bool) = (0, None, false);
    for (at, evidence) in events {
        let Some(evidence) = evidence else {
            (row, last, unreachable) = (0, None, false);
            continue;
        };
        if unreachable {
            continue;
        }
        let weight = if *evidence == Evidence::LeaseExpired {
            3
        } else {
            1
        };
        match last {
            Some(before) if at - before > THRESHOLDS.expiry_s => row = weight,
            Some(before) if at - before < THRESHOLDS.min_interval_s => row = row.max(weight),
            _ => row += weight,
        }
        last = Some(*at);
        unreachable = row >= THRESHOLDS.unreachable;
    }
    row.min(THRESHOLDS.unreachable)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_evidence_count_is_that_of_the_plain_model(steps in prop::collection::vec((0.1f64..40.0, 0u8..6), 0..30)) {
        let mut reachability = Reachability::default();
        let (mut now, mut events) = (0.0, Vec::new());
        for (pause, what) in steps {
            now += pause;
            let evidence = match what {
                0 => None,
                1 => Some(Evidence::LeaseExpired),
                2 | 3 => Some(Evidence::Unanswered),
                _ => Some(Evidence::NotAcknowledged),
            };
            match evidence {
                Some(evidence) => { reachability.record(evidence, now, &THRESHOLDS); }
                None => reachability.confirm(),
            }
            events.push((now, evidence));
            let real = match reachability {
                Reachability::Reachable => 0,
                Reachability::Suspected { evidence_count, .. } => evidence_count,
                Reachability::Unreachable { .. } => THRESHOLDS.unreachable,
            };
            prop_assert_eq!(real, plain_evidence_count(&events));
        }
    }
}
