//! Tests of image locations across leader failovers, and of the spread of replicas.

use super::*;
use tallygauge_locality::Image;

/// A service with an 18 GB image, which takes 60 s to fetch at the 0.3 GB/s of a large
/// machine.
fn service_spec(number: usize, replicas: u32) -> JobSpec {
    let mut spec = spec(number, replicas, 3.0);
    spec.shape = Shape::Service;
    spec.expected_s = 0.0;
    spec.checkpoint_every_s = 0.0;
    spec.image = "llm".into();
    spec.image_gb = 18.0;
    spec
}

/// Adds an image to those that the scheduler assumes a machine has cached.
fn cache_image(cluster: &mut ClusterState, machine: &str, image: &str, gb: f64) {
    let worker = cluster.workers.get_mut(machine).unwrap();
    worker.images.cached.push(Image {
        name: image.into(),
        gb,
    });
}

/// A cluster whose teams' CPU quotas exceed what any of these tests use.
fn cluster_with_large_quotas(machines: &[&str]) -> ClusterState {
    let mut cluster = cluster(machines, 100.0);
    for team in &mut cluster.config.teams {
        team.max_cpus = 1000.0;
    }
    cluster
}

// Regression: a new leader knew only the images of recorded attempts. It placed tasks that
// need other images on machines without them, which then fetched images that other
// machines had cached.
#[test]
fn new_leader_restores_image_locations() {
    let machines = ["l-1", "l-2", "l-3", "l-4"];
    let mut old = cluster_with_large_quotas(&machines);
    cache_image(&mut old, "l-3", "llm", 18.0);
    cache_image(&mut old, "l-4", "small", 0.1);
    let mut cluster = ClusterState::new(config(), 200.0, 16, 4096);
    cluster.set_machine_types(&machine_types());
    for shard in old.image_locations(1.0, 2000, 2) {
        assert_eq!(cluster.restore_image_locations(&shard), 0);
    }
    for (seq, machine) in (1..).zip(machines) {
        cluster.apply_heartbeat(
            200.0,
            &heartbeat_from(machine, 1, seq, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert_eq!(
        cluster.workers["l-3"].images.cached,
        [Image {
            name: "llm".into(),
            gb: 18.0
        }]
    );
    assert!(
        cluster.workers["l-4"].images.cached.is_empty(),
        "an image fetched in less than a second is not recorded"
    );
    cluster.add_job(service_spec(1, 1), 1, 200.0, &RangeSet::default());
    assert_eq!(
        round(&mut cluster, 200.0),
        [("req-1".to_string(), 0, "l-3".to_string())]
    );
    // If the image is missing on the machine after all, the heartbeat that reports the
    // fetch corrects the expected location.
    let attempt = start_commands(&cluster, "l-3", 200.0)[0].1;
    let fetching = vec![task("req-1/0", attempt, TaskState::Fetching, None)];
    cluster.apply_heartbeat(
        201.0,
        &heartbeat_from("l-3", 1, 9, TERM, fetching),
        HeartbeatSource::Periodic,
    );
    let images = &cluster.workers["l-3"].images;
    assert!(images.fetch_s("llm", 18.0, 0.3, 201.0) > 50.0);
    let locations = cluster.image_locations(1.0, 2000, 2);
    let mut next_leader = ClusterState::new(config(), 300.0, 16, 4096);
    locations
        .iter()
        .for_each(|shard| assert_eq!(next_leader.restore_image_locations(shard), 0));
    next_leader.register_machine("l-3", "large", "b", false, "x", 300.0);
    assert!(next_leader.workers["l-3"].images.cached.is_empty());
}

/// Runs a round and returns the number of placed replicas by machine.
fn place_replicas(cluster: &mut ClusterState) -> BTreeMap<String, u32> {
    let mut by_machine = BTreeMap::new();
    for (_, _, worker) in round(cluster, 100.0) {
        *by_machine.entry(worker).or_default() += 1;
    }
    by_machine
}

/// Number of replicas in a zone, which is the last character of a machine's name.
fn in_zone(by_machine: &BTreeMap<String, u32>, zone: &str) -> u32 {
    by_machine
        .iter()
        .filter(|entry| entry.0.ends_with(zone))
        .map(|entry| entry.1)
        .sum()
}

// Regression: all replicas were placed on the one machine that had the image cached, so
// that its failure ended them all.
#[test]
fn replicas_use_cached_images_and_are_spread() {
    let names = ["l1a", "l2a", "l3a", "l4b", "l5b", "l6b"];
    let mut cluster = cluster_with_large_quotas(&names);
    cache_image(&mut cluster, "l1a", "llm", 18.0);
    cache_image(&mut cluster, "l4b", "llm", 18.0);
    cluster.add_job(service_spec(1, 6), 1, 100.0, &RangeSet::default());
    let by_machine = place_replicas(&mut cluster);
    // A fetch takes 60 s. A replica at risk costs 30 s, half as much, so the replicas stay
    // on the two machines with the image.
    assert_eq!(
        (by_machine["l1a"], by_machine["l4b"]),
        (3, 3),
        "{by_machine:?}"
    );
    // With a risk weight of 60 s, zone b gets its share of the replicas even though only
    // machines in zone a have the image cached.
    let mut cluster = cluster_with_large_quotas(&names);
    for machine in ["l1a", "l2a", "l3a"] {
        cache_image(&mut cluster, machine, "llm", 18.0);
    }
    cluster.config.replica_spread.risk_s = 60.0;
    cluster.add_job(service_spec(1, 6), 1, 100.0, &RangeSet::default());
    let by_machine = place_replicas(&mut cluster);
    assert!(
        (3..=4).contains(&in_zone(&by_machine, "a")),
        "{by_machine:?}"
    );
    assert!(
        by_machine.values().all(|count| *count <= 2),
        "{by_machine:?}"
    );
    // With a risk weight of 0 only the fetch time counts.
    let mut cluster = cluster_with_large_quotas(&names);
    cache_image(&mut cluster, "l2a", "llm", 18.0);
    cluster.config.replica_spread.risk_s = 0.0;
    cluster.add_job(service_spec(1, 5), 1, 100.0, &RangeSet::default());
    assert_eq!(
        place_replicas(&mut cluster),
        BTreeMap::from([("l2a".to_string(), 5)])
    );
}

// A service restricted to one zone is not spread over zones.
#[test]
fn one_zone_constraint_is_respected() {
    let mut cluster = cluster_with_large_quotas(&["l1a", "l2a", "l3b", "l4b"]);
    let mut spec = service_spec(1, 4);
    spec.one_zone = true;
    cluster.add_job(spec, 1, 100.0, &RangeSet::default());
    let by_machine = place_replicas(&mut cluster);
    assert_eq!(by_machine.values().sum::<u32>(), 4);
    assert!(
        in_zone(&by_machine, "a") == 4 || in_zone(&by_machine, "b") == 4,
        "{by_machine:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default() })]
    // The choice by candidate heaps must equal that of a search over all machines for each
    // replica.
    #[test]
    fn each_replica_goes_to_the_cheapest_machine(
        has_image in prop::collection::vec(any::<bool>(), 8), replicas in 1u32..12, risk_s in 0.0f64..120.0,
    ) {
        let names = ["l1a", "l2b", "l3a", "l4b", "l5a", "l6b", "l7a", "l8a"];
        let mut cluster = cluster_with_large_quotas(&names);
        cluster.config.replica_spread.risk_s = risk_s;
        for (name, has_image) in names.iter().zip(&has_image) {
            if *has_image { cache_image(&mut cluster, name, "llm", 18.0); }
        }
        cluster.add_job(service_spec(1, replicas), 1, 100.0, &RangeSet::default());
        let (mut by_machine, mut expected) = (BTreeMap::<&str, u32>::new(), Vec::new());
        let mut workers = cluster.workers.clone();
        let machine_type = cluster.machine_types["large"].clone();
        for replica in 0..replicas {
            let cost = |name: &&str| {
                let worker = &workers[*name];
                let on_machine = by_machine.get(name).copied().unwrap_or(0);
                let zone = &name[name.len() - 1..];
                let in_zone: u32 = by_machine.iter().filter(|entry| entry.0.ends_with(zone)).map(|entry| *entry.1).sum();
                let even_share = (replica + 1).div_ceil(2);
                let free_cpus = 16.0 - f64::from(on_machine) * 3.0;
                let fetch_s = worker.images.fetch_s("llm", 18.0, machine_type.fetch_gb_per_s, 100.0);
                fetch_s + cluster.packing_cost_s(worker, &machine_type, free_cpus, 16.0, f64::MAX)
                    + risk_s * f64::from(on_machine + (in_zone + 1).saturating_sub(even_share))
            };
            let with_room = names.iter().filter(|name| by_machine.get(*name).copied().unwrap_or(0) < 5);
            let best = with_room.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.cmp(b))).unwrap();
            *by_machine.entry(*best).or_default() += 1;
            workers.get_mut(*best).unwrap().images.request_for(&service_spec(1, 1), &machine_type, 100.0);
            expected.push(((*best).to_string(), replica));
        }
        let actual: Vec<(String, u32)> = round(&mut cluster, 100.0).into_iter().map(|placement| (placement.2, placement.1)).collect();
        prop_assert_eq!(actual, expected);
    }
}
