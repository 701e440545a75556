use super::*;
use proptest::prelude::*;

/// Places replicas one after the other where fetch and risk cost least, at most
/// `capacity` on a machine. Returns the replicas by machine, and the seconds of all
/// fetches.
fn place_replicas(
    risk_s: f64,
    replicas: u32,
    capacity: u32,
    warm: &[bool],
    zones: u32,
) -> (Vec<u32>, f64) {
    let spread = ReplicaSpread { risk_s };
    let (mut replicas_on, mut fetched_s) = (vec![0u32; warm.len()], 0.0);
    let mut has_image: Vec<bool> = warm.to_vec();
    for in_all_zones in 0..replicas {
        let zone = |m: usize| m as u32 % zones;
        let cost = |m: usize| {
            let in_zone = (0..replicas_on.len())
                .filter(|n| zone(*n) == zone(m))
                .map(|n| replicas_on[n]);
            let replicas = ReplicaCounts {
                on_machine: replicas_on[m],
                in_zone: in_zone.sum(),
                in_all_zones,
                zones,
            };
            let fetch = if has_image[m] { 0.0 } else { 120.0 };
            fetch + spread.cost_s(replicas)
        };
        let best = (0..replicas_on.len())
            .filter(|m| replicas_on[*m] < capacity)
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)).then(a.cmp(b)));
        let Some(best) = best else { break };
        fetched_s += if has_image[best] { 0.0 } else { 120.0 };
        replicas_on[best] += 1;
        has_image[best] = true;
    }
    (replicas_on, fetched_s)
}

fn most_on_a_machine(replicas_on: &[u32]) -> u32 {
    replicas_on.iter().copied().max().unwrap_or(0)
}

fn most_in_a_zone(replicas_on: &[u32], zones: usize) -> u32 {
    let in_zone = |zone: usize| {
        (zone..replicas_on.len())
            .step_by(zones)
            .map(|m| replicas_on[m])
            .sum()
    };
    (0..zones).map(in_zone).max().unwrap_or(0)
}

// With no weight on risk all replicas went to the one machine that had the image; with
// much of it no cached image was used.
#[test]
fn first_replicas_spread_and_later_ones_are_placed_together() {
    // Two machines of eight have the image, both in one zone of two.
    let warm = [true, false, true, false, false, false, false, false];
    let (none, cheap) = place_replicas(0.0, 8, 8, &warm, 2);
    assert_eq!((most_on_a_machine(&none), cheap), (8, 0.0));
    let (some, _) = place_replicas(60.0, 8, 8, &warm, 2);
    assert!(most_in_a_zone(&some, 2) <= 5, "{some:?}");
    assert!(most_on_a_machine(&some) <= 3, "{some:?}");
    let (much, dear) = place_replicas(1e6, 8, 8, &warm, 2);
    assert_eq!((most_on_a_machine(&much), dear), (1, 120.0 * 6.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // Never are all replicas on one machine while an image can be fetched in minutes, nor
    // all in one zone; and a zone's failure takes no more than with even spreading, plus
    // what a fetch is worth.
    #[test]
    fn no_single_failure_takes_all_replicas_to_save_a_fetch(
        replicas in 2u32..40, zones in 2u32..4, warm in prop::collection::vec(any::<bool>(), 12),
    ) {
        let (replicas_on, _) = place_replicas(60.0, replicas, 40, &warm, zones);
        prop_assert_eq!(replicas_on.iter().sum::<u32>(), replicas);
        let most = replicas_on.iter().max().copied().unwrap();
        prop_assert!(most < replicas, "{:?}", replicas_on);
        let even = replicas.div_ceil(zones);
        prop_assert!(most_in_a_zone(&replicas_on, zones as usize) <= even + 2, "{:?}", replicas_on);
    }
}
