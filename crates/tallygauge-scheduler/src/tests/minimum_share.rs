//! Priority claims and reservations for the minimum share in the mapping.

use super::*;
use crate::minimum_share::state::PriorityClaim;

/// Reference model with priority claims: as long as jobs with a claim may use more CPUs,
/// scores all of them and starts a task of the class that uses the fewest; then all
/// others by utility per time.
fn plain_with_claims(cluster: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = ReferenceModel::new(cluster, now);
    let usable = || {
        cluster
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &cluster.config))
    };
    let size = |w: &Worker| cluster.machine_types[&w.machine_type].cpus;
    let is_reserved = |w: &&Worker| cluster.minimum_share.reserved.contains_key(&w.name);
    let cpus_used_on = |id: &str, w: &Worker| {
        let attempts = w
            .attempts
            .iter()
            .filter(|h| h.occupies_capacity() && h.spec.id == id);
        attempts.map(|h| h.spec.cpus).sum::<f64>()
    };
    let mut cpus_left = usable().map(size).sum::<f64>() * cluster.minimum_share.machine_share;
    cpus_left -= usable().filter(is_reserved).map(size).sum::<f64>();
    let mut used: BTreeMap<usize, f64> = BTreeMap::new();
    for (id, claim) in &cluster.minimum_share.claims {
        cpus_left -= usable()
            .filter(|w| !is_reserved(w))
            .map(|w| cpus_used_on(id, w))
            .sum::<f64>();
        *used.entry(claim.group).or_default() += cluster
            .workers
            .values()
            .map(|w| cpus_used_on(id, w))
            .sum::<f64>();
    }
    let mut unplaceable: Vec<String> = Vec::new();
    while cpus_left > 0.0 {
        // Claims for the minimum share are before others.
        let best = model
            .pending
            .iter()
            .enumerate()
            .filter(|(_, (id, _))| !unplaceable.contains(id))
            .filter_map(|(at, (id, index))| {
                let claim = cluster.minimum_share.claims.get(id)?;
                Some((
                    !claim.for_min_share,
                    used[&claim.group],
                    claim,
                    *index,
                    at,
                    id,
                ))
            })
            .min_by(|a, b| {
                a.0.cmp(&b.0)
                    .then(a.1.total_cmp(&b.1))
                    .then((a.2.group, a.2.order, a.3).cmp(&(b.2.group, b.2.order, b.3)))
            });
        let Some((_, _, claim, _, at, id)) = best else {
            break;
        };
        let Some((_, name)) = model.best_machine(id) else {
            unplaceable.push(id.clone());
            continue;
        };
        let cpus = cluster.jobs[id].spec.cpus;
        *used.get_mut(&claim.group).unwrap() += cpus;
        if !cluster.minimum_share.reserved.contains_key(&name) {
            cpus_left -= cpus;
        }
        model.start(at, name);
    }
    model.place_by_upt();
    model.placements
}

/// Which jobs have a claim and whether it is for the minimum share, which machines are
/// reserved and whether for large tasks, and the share of the machines.
type GeneratedClaims = (Vec<(bool, bool)>, Vec<(bool, bool)>, f64);

fn any_claims() -> impl Strategy<Value = GeneratedClaims> {
    (
        prop::collection::vec((any::<bool>(), any::<bool>()), 16),
        prop::collection::vec((any::<bool>(), any::<bool>()), 16),
        0.1f64..1.0,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
    // Holds for any claims and reservations; without any the mapping is that without a
    // minimum share.
    #[test]
    fn mapping_with_claims_equals_reference_model(
        jobs in prop::collection::vec(any_job(), 1..12), (claims, reserved, machine_share) in any_claims(),
    ) {
        let names = mixed_machine_names(10);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut cluster = cluster(&names, 100.0);
        for team in &mut cluster.config.teams { team.max_cpus = 60.0; }
        for (n, job) in jobs.into_iter().enumerate() {
            let mut spec = generated_spec(n, job, 2);
            spec.class = format!("class-{}", n % 3);
            cluster.add_job(spec, 1, 5.0 * n as f64, &RangeSet::default());
        }
        // Some tasks run already.
        round(&mut cluster, 100.0);
        for n in 20..26 {
            let mut spec = spec(n, 3, 1.0 + n as f64 % 3.0);
            spec.expected_s += n as f64;
            spec.class = format!("class-{}", n % 3);
            cluster.add_job(spec, 1, 60.0 + n as f64, &RangeSet::default());
        }
        let without = reference_placements(&cluster, 101.0);
        prop_assert_eq!(plain_with_claims(&cluster, 101.0), without);
        let ids: Vec<String> = cluster.jobs.keys().cloned().collect();
        for (order, (id, (claimed, for_min_share))) in (0..).zip(ids.iter().zip(claims)) {
            if claimed {
                let group = cluster.jobs[id].group_ids[0];
                cluster.minimum_share.claims.insert(id.clone(), PriorityClaim { group, for_min_share, order });
            }
        }
        let group = cluster.jobs[&ids[0]].group_ids[0];
        for (name, (kept, large)) in names.iter().zip(reserved) {
            if kept {
                let min_task_cpus = if large { 3.0 } else { 1.5 };
                cluster.minimum_share.reserved.insert((*name).to_string(), crate::minimum_share::state::Reservation { group, min_task_cpus });
            }
        }
        cluster.minimum_share.machine_share = machine_share;
        let expected = plain_with_claims(&cluster, 101.0);
        prop_assert_eq!(round_without_preemption(&mut cluster, 101.0), expected);
    }
}

fn round_without_preemption(cluster: &mut ClusterState, now: f64) -> Vec<(String, u32, String)> {
    cluster.run_round(now, false);
    let planned = cluster.workers.values().flat_map(|w| {
        let planned = w
            .attempts
            .iter()
            .filter(|h| h.phase == AttemptPhase::Planned);
        planned.map(|h| (h.number, (h.spec.id.clone(), h.index, w.name.clone())))
    });
    let mut out: Vec<_> = planned.collect();
    out.sort();
    out.into_iter().map(|o| o.1).collect()
}
