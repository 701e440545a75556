use super::*;
use proptest::prelude::*;

const THRESHOLDS: ReachabilityThresholds = ReachabilityThresholds {
    no_new_work: 2,
    unreachable: 3,
    min_interval_s: 0.5,
    expiry_s: 30.0,
};

#[test]
fn consecutive_evidence_makes_a_machine_unreachable_until_a_confirmation() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record(Evidence::NotAcknowledged, 10.0, &THRESHOLDS));
    assert!(reachability.accepts_work(10.0, &THRESHOLDS) && reachability.needs_probe());
    assert!(!reachability.record(Evidence::Unanswered, 15.0, &THRESHOLDS));
    assert!(!reachability.accepts_work(15.0, &THRESHOLDS));
    assert!(reachability.record(Evidence::NotAcknowledged, 20.0, &THRESHOLDS));
    assert!(
        !reachability.record(Evidence::NotAcknowledged, 25.0, &THRESHOLDS),
        "already unreachable"
    );
    assert_eq!(reachability.unreachable_for(26.0), Some(6.0));
    reachability.confirm();
    assert!(reachability.accepts_work(26.0, &THRESHOLDS) && !reachability.needs_probe());
    assert!(reachability.record(Evidence::LeaseExpired, 30.0, &THRESHOLDS));
}

/// Reference model: the evidence count after all events, according to the documented
/// rules.
///
/// - Evidence within the minimum interval after the evidence before it counts as one event
///   with it.
/// - Expired evidence is discarded.
/// - A confirmation (`None`) discards all evidence.
fn reference_evidence_count(events: &[(f64, Option<Evidence>)]) -> u32 {
    let (mut count, mut last_at, mut unreachable): (u32, Option<f64>, bool) = (0, None, false);
    for (at, evidence) in events {
        let Some(evidence) = evidence else {
            (count, last_at, unreachable) = (0, None, false);
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
        match last_at {
            Some(last) if at - last > THRESHOLDS.expiry_s => count = weight,
            Some(last) if at - last < THRESHOLDS.min_interval_s => count = count.max(weight),
            _ => count += weight,
        }
        last_at = Some(*at);
        unreachable = count >= THRESHOLDS.unreachable;
    }
    count.min(THRESHOLDS.unreachable)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_evidence_count_matches_the_reference_model(steps in prop::collection::vec((0.1f64..40.0, 0u8..6), 0..30)) {
        let mut reachability = Reachability::default();
        let (mut now, mut events) = (0.0, Vec::new());
        for (interval_s, event_kind) in steps {
            now += interval_s;
            let evidence = match event_kind {
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
            let evidence_count = match reachability {
                Reachability::Reachable => 0,
                Reachability::Suspected { evidence_count, .. } => evidence_count,
                Reachability::Unreachable { .. } => THRESHOLDS.unreachable,
            };
            prop_assert_eq!(evidence_count, reference_evidence_count(&events));
        }
    }
}
