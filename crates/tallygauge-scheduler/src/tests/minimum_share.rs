//! Tests of the mapping with priority claims and reservations for the minimum share.

use super::*;
use crate::minimum_share::state::PriorityClaim;

/// Reference model of the mapping with priority claims: as long as jobs with a claim may use
/// more CPUs, scores all of them and starts a task of the class that uses the fewest.
/// Then places all other tasks by utility per time.
fn reference_placements_with_claims(
    cluster: &ClusterState,
    now: f64,
) -> Vec<(String, u32, String)> {
    let mut model = ReferenceModel::new(cluster, now);
    let usable = || {
        cluster
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &cluster.config))
    };
    let machine_cpus = |w: &Worker| cluster.machine_types[&w.machine_type].cpus;
    let is_reserved = |w: &&Worker| cluster.minimum_share.reserved.contains_key(&w.name);
    let cpus_used_on = |id: &str, w: &Worker| {
        let attempts = w
            .attempts
            .iter()
            .filter(|a| a.occupies_capacity() && a.spec.id == id);
        attempts.map(|a| a.spec.cpus).sum::<f64>()
    };
    let mut cpus_left =
        usable().map(machine_cpus).sum::<f64>() * cluster.minimum_share.machine_share;
    cpus_left -= usable().filter(is_reserved).map(machine_cpus).sum::<f64>();
    let mut cpus_used_by_group: BTreeMap<usize, f64> = BTreeMap::new();
    for (id, claim) in &cluster.minimum_share.claims {
        cpus_left -= usable()
            .filter(|w| !is_reserved(w))
            .map(|w| cpus_used_on(id, w))
            .sum::<f64>();
        *cpus_used_by_group.entry(claim.group).or_default() += cluster
            .workers
            .values()
            .map(|w| cpus_used_on(id, w))
            .sum::<f64>();
    }
    let mut unplaceable: Vec<String> = Vec::new();
    while cpus_left > 0.0 {
        // Claims for the minimum share come before others.
        let best = model
            .pending
            .iter()
            .enumerate()
            .filter(|(_, (id, _))| !unplaceable.contains(id))
            .filter_map(|(position, (id, index))| {
                let claim = cluster.minimum_share.claims.get(id)?;
                Some((
                    !claim.for_min_share,
                    cpus_used_by_group[&claim.group],
                    claim,
                    *index,
                    position,
                    id,
                ))
            })
            .min_by(|a, b| {
                a.0.cmp(&b.0)
                    .then(a.1.total_cmp(&b.1))
                    .then((a.2.group, a.2.order, a.3).cmp(&(b.2.group, b.2.order, b.3)))
            });
        let Some((_, _, claim, _, position, id)) = best else {
            break;
        };
        let Some((_, name)) = model.best_machine(id) else {
            unplaceable.push(id.clone());
            continue;
        };
        let cpus = cluster.jobs[id].spec.cpus;
        *cpus_used_by_group.get_mut(&claim.group).unwrap() += cpus;
        if !cluster.minimum_share.reserved.contains_key(&name) {
            cpus_left -= cpus;
        }
        model.start(position, name);
    }
    model.place_by_upt();
    model.placements
}

/// For each job, whether it has a claim and whether that is for the minimum share; for each
/// machine, whether it is reserved and whether that is for large tasks; and the fraction of
/// the machines that jobs with claims may use.
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
    // Holds for any claims and reservations. Without any, the placements are those without
    // a minimum share.
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
        // Some tasks are on machines already.
        round(&mut cluster, 100.0);
        for n in 20..26 {
            let mut spec = spec(n, 3, 1.0 + n as f64 % 3.0);
            spec.expected_s += n as f64;
            spec.class = format!("class-{}", n % 3);
            cluster.add_job(spec, 1, 60.0 + n as f64, &RangeSet::default());
        }
        let without_claims = reference_placements(&cluster, 101.0);
        prop_assert_eq!(reference_placements_with_claims(&cluster, 101.0), without_claims);
        let ids: Vec<String> = cluster.jobs.keys().cloned().collect();
        for (order, (id, (has_claim, for_min_share))) in (0..).zip(ids.iter().zip(claims)) {
            if has_claim {
                let group = cluster.jobs[id].group_ids[0];
                cluster.minimum_share.claims.insert(id.clone(), PriorityClaim { group, for_min_share, order });
            }
        }
        let group = cluster.jobs[&ids[0]].group_ids[0];
        for (name, (is_reserved, large)) in names.iter().zip(reserved) {
            if is_reserved {
                let min_task_cpus = if large { 3.0 } else { 1.5 };
                cluster.minimum_share.reserved.insert((*name).to_string(), crate::minimum_share::state::Reservation { group, min_task_cpus });
            }
        }
        cluster.minimum_share.machine_share = machine_share;
        let expected = reference_placements_with_claims(&cluster, 101.0);
        prop_assert_eq!(round_without_preemption(&mut cluster, 101.0), expected);
    }
}

/// Runs a round without preemption. Returns its placements in the order in which they were
/// made.
fn round_without_preemption(cluster: &mut ClusterState, now: f64) -> Vec<(String, u32, String)> {
    cluster.run_round(now, false);
    let planned = cluster.workers.values().flat_map(|w| {
        let planned = w
            .attempts
            .iter()
            .filter(|a| a.phase == AttemptPhase::Planned);
        planned.map(|a| (a.number, (a.spec.id.clone(), a.index, w.name.clone())))
    });
    let mut placements: Vec<_> = planned.collect();
    placements.sort();
    placements.into_iter().map(|p| p.1).collect()
}
