//! The floor in the mapping.

use super::*;
use crate::minimum_share::state::PriorityClaim;

/// Jobs that come first, as plainly as it can be said: while there is room that
/// they may use, look at all of them, and start a task of the class that has
/// used the fewest CPUs; then all others by UPT.
fn plain_with_floor(c: &ClusterState, now: f64) -> Vec<(String, u32, String)> {
    let mut model = Plain::new(c, now);
    let usable = || {
        c.workers
            .values()
            .filter(|w| w.accepts_work(now, &c.config))
    };
    let size = |w: &Worker| c.machine_types[&w.machine_type].cpus;
    let aside = |w: &&Worker| c.minimum_share.reserved.contains_key(&w.name);
    let held = |id: &str, w: &Worker| {
        let of = w
            .attempts
            .iter()
            .filter(|h| h.occupies_capacity() && h.spec.id == id);
        of.map(|h| h.spec.cpus).sum::<f64>()
    };
    let mut left = usable().map(size).sum::<f64>() * c.minimum_share.machine_share;
    left -= usable().filter(aside).map(size).sum::<f64>();
    let mut used: BTreeMap<usize, f64> = BTreeMap::new();
    for (id, seat) in &c.minimum_share.claims {
        left -= usable()
            .filter(|w| !aside(w))
            .map(|w| held(id, w))
            .sum::<f64>();
        *used.entry(seat.group).or_default() +=
            c.workers.values().map(|w| held(id, w)).sum::<f64>();
    }
    let mut without: Vec<String> = Vec::new();
    while left > 0.0 {
        // Those without whom the least part is not reached before all others.
        let best = model
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, (id, _))| !without.contains(id))
            .filter_map(|(at, (id, index))| {
                let seat = c.minimum_share.claims.get(id)?;
                Some((!seat.for_min_share, used[&seat.group], seat, *index, at, id))
            })
            .min_by(|a, b| {
                a.0.cmp(&b.0)
                    .then(a.1.total_cmp(&b.1))
                    .then((a.2.group, a.2.order, a.3).cmp(&(b.2.group, b.2.order, b.3)))
            });
        let Some((_, _, seat, _, at, id)) = best else {
            break;
        };
        let Some((_, name)) = model.spot(id) else {
            without.push(id.clone());
            continue;
        };
        let cpus = c.jobs[id].spec.cpus;
        *used.get_mut(&seat.group).unwrap() += cpus;
        if !c.minimum_share.reserved.contains_key(&name) {
            left -= cpus;
        }
        model.start(at, name);
    }
    model.by_upt();
    model.out
}

/// Which jobs are seated, whether for the least part, and which machines are
/// set aside for which class.
type DrawnFloor = (Vec<(bool, bool)>, Vec<(bool, bool)>, f64);

fn any_floor() -> impl Strategy<Value = DrawnFloor> {
    (
        prop::collection::vec((any::<bool>(), any::<bool>()), 16),
        prop::collection::vec((any::<bool>(), any::<bool>()), 16),
        0.1f64..1.0,
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: proptest::test_runner::RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]
    // Whatever jobs come first and whatever is set aside, the mapping is that of
    // the plain model; without any it is the one without a floor.
    #[test]
    fn with_jobs_that_come_first_the_mapping_is_that_of_the_plain_model(
        jobs in prop::collection::vec(any_job(), 1..12), (seats, aside, part) in any_floor(),
    ) {
        let names = fleet(10);
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut c = cluster(&names, 100.0);
        for team in &mut c.config.teams { team.max_cpus = 60.0; }
        for (n, job) in jobs.into_iter().enumerate() {
            let mut spec = spec_of(n, job, 2);
            spec.class = format!("class-{}", n % 3);
            c.add_job(spec, 1, 5.0 * n as f64, &RangeSet::default());
        }
        // Some of it runs already.
        round(&mut c, 100.0);
        for n in 20..26 {
            let mut spec = spec(n, 3, 1.0 + n as f64 % 3.0);
            spec.expected_s += n as f64;
            spec.class = format!("class-{}", n % 3);
            c.add_job(spec, 1, 60.0 + n as f64, &RangeSet::default());
        }
        let without = plain(&c, 101.0);
        prop_assert_eq!(plain_with_floor(&c, 101.0), without);
        let ids: Vec<String> = c.jobs.keys().cloned().collect();
        for (order, (id, (seated, least))) in (0..).zip(ids.iter().zip(seats)) {
            if seated {
                let place = c.jobs[id].group_ids[0];
                c.minimum_share.claims.insert(id.clone(), PriorityClaim { group: place, for_min_share: least, order });
            }
        }
        let place = c.jobs[&ids[0]].group_ids[0];
        for (name, (kept, large)) in names.iter().zip(aside) {
            if kept {
                let least = if large { 3.0 } else { 1.5 };
                c.minimum_share.reserved.insert((*name).to_string(), crate::minimum_share::state::Reservation { group: place, min_task_cpus: least });
            }
        }
        c.minimum_share.machine_share = part;
        let expected = plain_with_floor(&c, 101.0);
        prop_assert_eq!(round_without_stops(&mut c, 101.0), expected);
    }
}

fn round_without_stops(c: &mut ClusterState, now: f64) -> Vec<(String, u32, String)> {
    c.run_round(now, false);
    let planned = c.workers.values().flat_map(|w| {
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
