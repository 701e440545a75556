use super::*;
use proptest::prelude::*;

/// Places replicas one after the other where fetch and risk cost least.
/// Returns the replicas by machine, and the seconds of fetch of all.
fn placed(risk_s: f64, replicas: u32, room: u32, warm: &[bool], zones: u32) -> (Vec<u32>, f64) {
    let spread = ReplicaSpread { risk_s };
    let (mut on, mut fetched) = (vec![0u32; warm.len()], 0.0);
    let mut there: Vec<bool> = warm.to_vec();
    for running in 0..replicas {
        let zone = |m: usize| m as u32 % zones;
        let cost = |m: usize| {
            let in_zone = (0..on.len()).filter(|n| zone(*n) == zone(m)).map(|n| on[n]);
            let place = ReplicaCounts {
                on_machine: on[m],
                in_zone: in_zone.sum(),
                running,
                zones,
            };
            let fetch = if there[m] { 0.0 } else { 120.0 };
            fetch + spread.cost_s(place)
        };
        let best = (0..on.len())
            .filter(|m| on[*m] < room)
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)).then(a.cmp(b)));
        let Some(best) = best else { break };
        fetched += if there[best] { 0.0 } else { 120.0 };
        on[best] += 1;
        there[best] = true;
    }
    (on, fetched)
}

fn worst_machine(on: &[u32]) -> u32 {
    on.iter().copied().max().unwrap_or(0)
}

fn worst_zone(on: &[u32], zones: usize) -> u32 {
    let zone = |z: usize| (z..on.len()).step_by(zones).map(|m| on[m]).sum();
    (0..zones).map(zone).max().unwrap_or(0)
}

// With no weight on risk all replicas went to the one machine that had the
// model; with much of it none of the copies was used.
#[test]
fn the_first_go_apart_and_later_ones_together() {
    // Two machines of eight have the weights, both in one zone of two.
    let warm = [true, false, true, false, false, false, false, false];
    let (none, cheap) = placed(0.0, 8, 8, &warm, 2);
    assert_eq!((worst_machine(&none), cheap), (8, 0.0));
    let (some, _) = placed(60.0, 8, 8, &warm, 2);
    assert!(worst_zone(&some, 2) <= 5, "{some:?}");
    assert!(worst_machine(&some) <= 3, "{some:?}");
    let (much, dear) = placed(1e6, 8, 8, &warm, 2);
    assert_eq!((worst_machine(&much), dear), (1, 120.0 * 6.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // Never all replicas on one machine while another place is minutes away,
    // nor all in one zone; and no more at risk by a zone's failure than even
    // spreading leaves plus what a fetch is worth.
    #[test]
    fn nothing_is_lost_at_once_for_the_sake_of_a_fetch(
        replicas in 2u32..40, zones in 2u32..4, warm in prop::collection::vec(any::<bool>(), 12),
    ) {
        let (on, _) = placed(60.0, replicas, 40, &warm, zones);
        prop_assert_eq!(on.iter().sum::<u32>(), replicas);
        let most = on.iter().max().copied().unwrap();
        prop_assert!(most < replicas, "{:?}", on);
        let even = replicas.div_ceil(zones);
        prop_assert!(worst_zone(&on, zones as usize) <= even + 2, "{:?}", on);
    }
}
