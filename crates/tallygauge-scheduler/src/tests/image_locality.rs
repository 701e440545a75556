//! Image locations across failovers, and the spread of replicas.

use super::*;

/// A service whose image takes two minutes to fetch.
fn model(number: usize, replicas: u32) -> JobSpec {
    let mut spec = spec(number, replicas, 3.0);
    spec.shape = Shape::Service;
    spec.expected_s = 0.0;
    spec.checkpoint_every_s = 0.0;
    spec.image = "llm".into();
    spec.image_gb = 18.0;
    spec
}

fn cache_image(cluster: &mut ClusterState, machine: &str, image: &str, gb: f64) {
    let worker = cluster.workers.get_mut(machine).unwrap();
    worker.images.cached.push((image.into(), gb));
}

fn cluster_without_limits(machines: &[&str]) -> ClusterState {
    let mut cluster = cluster(machines, 100.0);
    for team in &mut cluster.config.teams {
        team.max_cpus = 1000.0;
    }
    cluster
}

// Regression: a new leader knew only the images of recorded attempts, and had others
// fetched again although machines had them cached.
#[test]
fn new_leader_restores_image_locations() {
    let names = ["l-1", "l-2", "l-3", "l-4"];
    let mut old = cluster_without_limits(&names);
    cache_image(&mut old, "l-3", "llm", 18.0);
    cache_image(&mut old, "l-4", "small", 0.1);
    let mut cluster = ClusterState::new(config(), 200.0, 16, 4096);
    cluster.set_machine_types(&machine_types());
    for part in old.image_locations(1.0, 2000, 2) {
        assert_eq!(cluster.restore_image_locations(&part), 0);
    }
    for (seq, name) in (1..).zip(names) {
        cluster.apply_heartbeat(
            200.0,
            &heartbeat_from(name, 1, seq, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert_eq!(
        cluster.workers["l-3"].images.cached,
        [("llm".to_string(), 18.0)]
    );
    assert!(
        cluster.workers["l-4"].images.cached.is_empty(),
        "not worth a record"
    );
    cluster.add_job(model(1, 1), 1, 200.0, &RangeSet::default());
    assert_eq!(
        round(&mut cluster, 200.0),
        [("req-1".to_string(), 0, "l-3".to_string())]
    );
    // A wrong belief costs seconds: the report that shows the fetch corrects it.
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
    let mut next = ClusterState::new(config(), 300.0, 16, 4096);
    locations
        .iter()
        .for_each(|p| assert_eq!(next.restore_image_locations(p), 0));
    next.register_machine("l-3", "large", "b", false, "x", 300.0);
    assert!(next.workers["l-3"].images.cached.is_empty());
}

/// Replicas by machine after a round.
fn placed(cluster: &mut ClusterState) -> BTreeMap<String, u32> {
    let mut on = BTreeMap::new();
    for (_, _, worker) in round(cluster, 100.0) {
        *on.entry(worker).or_default() += 1;
    }
    on
}

fn in_zone(on: &BTreeMap<String, u32>, zone: &str) -> u32 {
    on.iter().filter(|o| o.0.ends_with(zone)).map(|o| o.1).sum()
}

// Regression: all replicas went to the one machine that had the image cached, and its
// failure ended them all.
#[test]
fn replicas_use_cached_images_and_are_spread() {
    let names = ["l1a", "l2a", "l3a", "l4b", "l5b", "l6b"];
    let mut cluster = cluster_without_limits(&names);
    cache_image(&mut cluster, "l1a", "llm", 18.0);
    cache_image(&mut cluster, "l4b", "llm", 18.0);
    cluster.add_job(model(1, 6), 1, 100.0, &RangeSet::default());
    let on = placed(&mut cluster);
    // A fetch takes a minute, a replica at risk is worth half of one.
    assert_eq!((on["l1a"], on["l4b"]), (3, 3), "{on:?}");
    // All warm copies in one zone: the other gets its share all the same.
    let mut cluster = cluster_without_limits(&names);
    for name in ["l1a", "l2a", "l3a"] {
        cache_image(&mut cluster, name, "llm", 18.0);
    }
    cluster.config.replica_spread.risk_s = 60.0;
    cluster.add_job(model(1, 6), 1, 100.0, &RangeSet::default());
    let on = placed(&mut cluster);
    assert!((3..=4).contains(&in_zone(&on, "a")), "{on:?}");
    assert!(on.values().all(|n| *n <= 2), "{on:?}");
    // With no weight on risk the fetch alone counts.
    let mut cluster = cluster_without_limits(&names);
    cache_image(&mut cluster, "l2a", "llm", 18.0);
    cluster.config.replica_spread.risk_s = 0.0;
    cluster.add_job(model(1, 5), 1, 100.0, &RangeSet::default());
    assert_eq!(
        placed(&mut cluster),
        BTreeMap::from([("l2a".to_string(), 5)])
    );
}

// A job bound to one zone is not spread over zones.
#[test]
fn one_zone_constraint_is_respected() {
    let mut cluster = cluster_without_limits(&["l1a", "l2a", "l3b", "l4b"]);
    let mut spec = model(1, 4);
    spec.one_zone = true;
    cluster.add_job(spec, 1, 100.0, &RangeSet::default());
    let on = placed(&mut cluster);
    assert_eq!(on.values().sum::<u32>(), 4);
    assert!(in_zone(&on, "a") == 4 || in_zone(&on, "b") == 4, "{on:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default() })]
    // The heaps' choice is that of looking at every machine for every replica.
    #[test]
    fn each_replica_goes_to_the_cheapest_machine(
        warm in prop::collection::vec(any::<bool>(), 8), replicas in 1u32..12, risk in 0.0f64..120.0,
    ) {
        let names = ["l1a", "l2b", "l3a", "l4b", "l5a", "l6b", "l7a", "l8a"];
        let mut cluster = cluster_without_limits(&names);
        cluster.config.replica_spread.risk_s = risk;
        for (name, warm) in names.iter().zip(&warm) {
            if *warm { cache_image(&mut cluster, name, "llm", 18.0); }
        }
        cluster.add_job(model(1, replicas), 1, 100.0, &RangeSet::default());
        let (mut on, mut expected) = (BTreeMap::<&str, u32>::new(), Vec::new());
        let mut images = cluster.workers.clone();
        let of_type = cluster.machine_types["large"].clone();
        for n in 0..replicas {
            let cost = |name: &&str| {
                let w = &images[*name];
                let here = on.get(name).copied().unwrap_or(0);
                let zone = &name[name.len() - 1..];
                let there: u32 = on.iter().filter(|o| o.0.ends_with(zone)).map(|o| *o.1).sum();
                let even = (n + 1).div_ceil(2);
                let free = 16.0 - f64::from(here) * 3.0;
                let fetch = w.images.fetch_s("llm", 18.0, of_type.fetch_gb_per_s, 100.0);
                fetch + cluster.packing_cost_s(w, &of_type, free, 16.0, f64::MAX)
                    + risk * f64::from(here + (there + 1).saturating_sub(even))
            };
            let best = names.iter().filter(|n| on.get(*n).copied().unwrap_or(0) < 5);
            let best = best.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.cmp(b))).unwrap();
            *on.entry(*best).or_default() += 1;
            images.get_mut(*best).unwrap().images.request_for(&model(1, 1), &of_type, 100.0);
            expected.push(((*best).to_string(), n));
        }
        let real: Vec<(String, u32)> = round(&mut cluster, 100.0).into_iter().map(|p| (p.2, p.1)).collect();
        prop_assert_eq!(real, expected);
    }
}
