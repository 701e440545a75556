use super::*;
use proptest::prelude::*;

/// Places replicas one after the other, each on the machine with the lowest cost of fetch and
/// risk, at most `capacity` on a machine. `cached_at_start` tells which machines hold the image
/// at the start. Returns the number of replicas by machine, and the seconds of all fetches.
fn place_replicas(
    risk_s: f64,
    replicas: u32,
    capacity: u32,
    cached_at_start: &[bool],
    zones: u32,
) -> (Vec<u32>, f64) {
    let spread = ReplicaSpread { risk_s };
    let (mut replicas_on, mut total_fetch_s) = (vec![0u32; cached_at_start.len()], 0.0);
    let mut has_image: Vec<bool> = cached_at_start.to_vec();
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
            let fetch_s = if has_image[m] { 0.0 } else { 120.0 };
            fetch_s + spread.cost_s(replicas)
        };
        let best = (0..replicas_on.len())
            .filter(|m| replicas_on[*m] < capacity)
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)).then(a.cmp(b)));
        let Some(best) = best else { break };
        total_fetch_s += if has_image[best] { 0.0 } else { 120.0 };
        replicas_on[best] += 1;
        has_image[best] = true;
    }
    (replicas_on, total_fetch_s)
}

fn max_on_machine(replicas_on: &[u32]) -> u32 {
    replicas_on.iter().copied().max().unwrap_or(0)
}

fn max_in_zone(replicas_on: &[u32], zones: usize) -> u32 {
    let in_zone = |zone: usize| {
        (zone..replicas_on.len())
            .step_by(zones)
            .map(|m| replicas_on[m])
            .sum()
    };
    (0..zones).map(in_zone).max().unwrap_or(0)
}

// Guards against both extremes: without a weight on risk, all replicas go to one machine that
// holds the image; with a very high weight, cached images are not preferred at all.
#[test]
fn first_replicas_spread_and_later_ones_are_placed_together() {
    // Two of the eight machines hold the image, both in the same one of two zones.
    let cached_at_start = [true, false, true, false, false, false, false, false];
    let (without_weight, min_fetch_s) = place_replicas(0.0, 8, 8, &cached_at_start, 2);
    assert_eq!((max_on_machine(&without_weight), min_fetch_s), (8, 0.0));
    let (medium_weight, _) = place_replicas(60.0, 8, 8, &cached_at_start, 2);
    assert!(max_in_zone(&medium_weight, 2) <= 5, "{medium_weight:?}");
    assert!(max_on_machine(&medium_weight) <= 3, "{medium_weight:?}");
    let (high_weight, max_fetch_s) = place_replicas(1e6, 8, 8, &cached_at_start, 2);
    assert_eq!(
        (max_on_machine(&high_weight), max_fetch_s),
        (1, 120.0 * 6.0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::default() })]
    // With fetches of two minutes and a replica at risk worth one minute, the replicas must
    // never be all on one machine. A zone must hold at most two replicas more than its even
    // share, which is what one fetch is worth; two or three replicas may thus share a zone.
    #[test]
    fn no_machine_takes_all_replicas_and_no_zone_far_more_than_its_share(
        replicas in 2u32..40, zones in 2u32..4, cached_at_start in prop::collection::vec(any::<bool>(), 12),
    ) {
        let (replicas_on, _) = place_replicas(60.0, replicas, 40, &cached_at_start, zones);
        prop_assert_eq!(replicas_on.iter().sum::<u32>(), replicas);
        let max_replicas = replicas_on.iter().max().copied().unwrap();
        prop_assert!(max_replicas < replicas, "{:?}", replicas_on);
        let even_share = replicas.div_ceil(zones);
        prop_assert!(max_in_zone(&replicas_on, zones as usize) <= even_share + 2, "{:?}", replicas_on);
    }
}
