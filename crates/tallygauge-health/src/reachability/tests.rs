use super::*;
use proptest::prelude::*;

const LIMITS: ReachabilityThresholds = ReachabilityThresholds {
    suspected: 2,
    unreachable: 3,
    min_interval_s: 0.5,
    expiry_s: 30.0,
};

#[test]
fn signs_in_a_row_tell_and_one_word_to_the_contrary_is_enough() {
    let mut hearing = Reachability::default();
    assert!(!hearing.record(Evidence::NotAcknowledged, 10.0, &LIMITS));
    assert!(hearing.accepts_work(10.0, &LIMITS) && hearing.needs_probe());
    assert!(!hearing.record(Evidence::Unanswered, 15.0, &LIMITS));
    assert!(!hearing.accepts_work(15.0, &LIMITS));
    assert!(hearing.record(Evidence::NotAcknowledged, 20.0, &LIMITS));
    assert!(
        !hearing.record(Evidence::NotAcknowledged, 25.0, &LIMITS),
        "known already"
    );
    assert_eq!(hearing.unreachable_for(26.0), Some(6.0));
    hearing.confirm();
    assert!(hearing.accepts_work(26.0, &LIMITS) && !hearing.needs_probe());
    assert!(hearing.record(Evidence::LeaseExpired, 30.0, &LIMITS));
}

/// The signs as they are worded: those that count, each more than `apart`
/// after the one before it, none longer than the memory after it.
fn plain(events: &[(f64, Option<Evidence>)]) -> u32 {
    let (mut row, mut last, mut deaf): (u32, Option<f64>, bool) = (0, None, false);
    for (at, sign) in events {
        let Some(sign) = sign else {
            (row, last, deaf) = (0, None, false);
            continue;
        };
        if deaf {
            continue;
        }
        let weight = if *sign == Evidence::LeaseExpired {
            3
        } else {
            1
        };
        match last {
            Some(before) if at - before > LIMITS.expiry_s => row = weight,
            Some(before) if at - before < LIMITS.min_interval_s => row = row.max(weight),
            _ => row += weight,
        }
        last = Some(*at);
        deaf = row >= LIMITS.unreachable;
    }
    row.min(LIMITS.unreachable)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_judgement_is_that_of_the_plain_model(steps in prop::collection::vec((0.1f64..40.0, 0u8..6), 0..30)) {
        let mut hearing = Reachability::default();
        let (mut now, mut events) = (0.0, Vec::new());
        for (pause, what) in steps {
            now += pause;
            let sign = match what {
                0 => None,
                1 => Some(Evidence::LeaseExpired),
                2 | 3 => Some(Evidence::Unanswered),
                _ => Some(Evidence::NotAcknowledged),
            };
            match sign {
                Some(sign) => { hearing.record(sign, now, &LIMITS); }
                None => hearing.confirm(),
            }
            events.push((now, sign));
            let real = match hearing {
                Reachability::Reachable => 0,
                Reachability::Suspected { signs, .. } => signs,
                Reachability::Unreachable { .. } => LIMITS.unreachable,
            };
            prop_assert_eq!(real, plain(&events));
        }
    }
}
