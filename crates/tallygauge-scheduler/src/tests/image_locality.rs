//! Where images lie, across terms, and where replicas go.

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

fn holds(c: &mut ClusterState, machine: &str, image: &str, gb: f64) {
    let worker = c.workers.get_mut(machine).unwrap();
    worker.images.cached.push((image.into(), gb));
}

fn wide(machines: &[&str]) -> ClusterState {
    let mut c = cluster(machines, 100.0);
    for team in &mut c.config.teams {
        team.max_cpus = 1000.0;
    }
    c
}

// A new leader knew the images of attempts on record alone, and had them fetched
// anew beside machines that held them.
#[test]
fn a_successor_knows_where_images_lie() {
    let names = ["l-1", "l-2", "l-3", "l-4"];
    let mut old = wide(&names);
    holds(&mut old, "l-3", "llm", 18.0);
    holds(&mut old, "l-4", "small", 0.1);
    let mut c = ClusterState::new(config(), 200.0, 16, 4096);
    c.set_machine_types(&types());
    for part in old.image_locations(1.0, 2000, 2) {
        assert_eq!(c.restore_image_locations(&part), 0);
    }
    for (seq, name) in (1..).zip(names) {
        c.apply_heartbeat(
            200.0,
            &report(name, 1, seq, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert_eq!(c.workers["l-3"].images.cached, [("llm".to_string(), 18.0)]);
    assert!(
        c.workers["l-4"].images.cached.is_empty(),
        "not worth a record"
    );
    c.add_job(model(1, 1), 1, 200.0, &RangeSet::default());
    assert_eq!(
        round(&mut c, 200.0),
        [("req-1".to_string(), 0, "l-3".to_string())]
    );
    // A wrong belief costs seconds: the report that shows the fetch corrects it.
    let attempt = start_of(&c, "l-3", 200.0)[0].1;
    let fetching = vec![task("req-1/0", attempt, TaskState::Fetching, None)];
    c.apply_heartbeat(
        201.0,
        &report("l-3", 1, 9, TERM, fetching),
        HeartbeatSource::Periodic,
    );
    let images = &c.workers["l-3"].images;
    assert!(images.fetch_s("llm", 18.0, 0.3, 201.0) > 50.0);
    let beliefs = c.image_locations(1.0, 2000, 2);
    let mut next = ClusterState::new(config(), 300.0, 16, 4096);
    beliefs
        .iter()
        .for_each(|p| assert_eq!(next.restore_image_locations(p), 0));
    next.register_machine("l-3", "large", "b", false, "x", 300.0);
    assert!(next.workers["l-3"].images.cached.is_empty());
}

/// Replicas by machine after a round.
fn placed(c: &mut ClusterState) -> BTreeMap<String, u32> {
    let mut on = BTreeMap::new();
    for (_, _, worker) in round(c, 100.0) {
        *on.entry(worker).or_default() += 1;
    }
    on
}

fn in_zone(on: &BTreeMap<String, u32>, zone: &str) -> u32 {
    on.iter().filter(|o| o.0.ends_with(zone)).map(|o| o.1).sum()
}

// All replicas went to the one machine that held the weights, and its failure
// took them all.
#[test]
fn replicas_use_warm_copies_and_are_not_all_lost_at_once() {
    let names = ["l1a", "l2a", "l3a", "l4b", "l5b", "l6b"];
    let mut c = wide(&names);
    holds(&mut c, "l1a", "llm", 18.0);
    holds(&mut c, "l4b", "llm", 18.0);
    c.add_job(model(1, 6), 1, 100.0, &RangeSet::default());
    let on = placed(&mut c);
    // A fetch takes a minute, a replica at risk is worth half of one.
    assert_eq!((on["l1a"], on["l4b"]), (3, 3), "{on:?}");
    // All warm copies in one zone: the other gets its share all the same.
    let mut c = wide(&names);
    for name in ["l1a", "l2a", "l3a"] {
        holds(&mut c, name, "llm", 18.0);
    }
    c.config.replica_spread.risk_s = 60.0;
    c.add_job(model(1, 6), 1, 100.0, &RangeSet::default());
    let on = placed(&mut c);
    assert!((3..=4).contains(&in_zone(&on, "a")), "{on:?}");
    assert!(on.values().all(|n| *n <= 2), "{on:?}");
    // With no weight on risk the fetch alone counts.
    let mut c = wide(&names);
    holds(&mut c, "l2a", "llm", 18.0);
    c.config.replica_spread.risk_s = 0.0;
    c.add_job(model(1, 5), 1, 100.0, &RangeSet::default());
    assert_eq!(placed(&mut c), BTreeMap::from([("l2a".to_string(), 5)]));
}

// Hard limits stay hard: a job bound to one zone is not spread over zones.
#[test]
fn one_zone_is_kept_to() {
    let mut c = wide(&["l1a", "l2a", "l3b", "l4b"]);
    let mut spec = model(1, 4);
    spec.one_zone = true;
    c.add_job(spec, 1, 100.0, &RangeSet::default());
    let on = placed(&mut c);
    assert_eq!(on.values().sum::<u32>(), 4);
    assert!(in_zone(&on, "a") == 4 || in_zone(&on, "b") == 4, "{on:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(61), failure_persistence: None, ..ProptestConfig::default() })]
    // The heaps' choice is that of looking at every machine for every replica.
    #[test]
    fn each_replica_goes_where_fetch_and_risk_cost_least(
        warm in prop::collection::vec(any::<bool>(), 8), replicas in 1u32..12, risk in 0.0f64..120.0,
    ) {
        let names = ["l1a", "l2b", "l3a", "l4b", "l5a", "l6b", "l7a", "l8a"];
        let mut c = wide(&names);
        c.config.replica_spread.risk_s = risk;
        for (name, warm) in names.iter().zip(&warm) {
            if *warm { holds(&mut c, name, "llm", 18.0); }
        }
        c.add_job(model(1, replicas), 1, 100.0, &RangeSet::default());
        let (mut on, mut expected) = (BTreeMap::<&str, u32>::new(), Vec::new());
        let mut images = c.workers.clone();
        let of_type = c.machine_types["large"].clone();
        for n in 0..replicas {
            let cost = |name: &&str| {
                let w = &images[*name];
                let here = on.get(name).copied().unwrap_or(0);
                let zone = &name[name.len() - 1..];
                let there: u32 = on.iter().filter(|o| o.0.ends_with(zone)).map(|o| *o.1).sum();
                let even = (n + 1).div_ceil(2);
                let free = 16.0 - f64::from(here) * 3.0;
                let fetch = w.images.fetch_s("llm", 18.0, of_type.fetch_gb_per_s, 100.0);
                fetch + c.packing_cost_s(w, &of_type, free, 16.0, f64::MAX)
                    + risk * f64::from(here + (there + 1).saturating_sub(even))
            };
            let best = names.iter().filter(|n| on.get(*n).copied().unwrap_or(0) < 5);
            let best = best.min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.cmp(b))).unwrap();
            *on.entry(*best).or_default() += 1;
            images.get_mut(*best).unwrap().images.request(&model(1, 1), &of_type, 100.0);
            expected.push(((*best).to_string(), n));
        }
        let real: Vec<(String, u32)> = round(&mut c, 100.0).into_iter().map(|p| (p.2, p.1)).collect();
        prop_assert_eq!(real, expected);
    }
}
