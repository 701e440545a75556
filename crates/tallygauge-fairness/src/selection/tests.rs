use super::*;
use crate::{GroupKind, JobEnd};
use proptest::prelude::*;

const LEVEL: ShareTarget = ShareTarget {
    min_share: 0.55,
    share: 0.65,
};

/// The least number of jobs that must yet be done, tried one by one.
fn plain_short(served: u32, overdue: u32, share: f64) -> u32 {
    let enough =
        |more: &u32| f64::from(served + more) + 1e-9 >= f64::from(served + overdue) * share;
    (0..).find(enough).unwrap()
}

/// The election as it is worded: over and over, of all jobs that a class or
/// team below the least part could use, the one with the least work left;
/// then of those that one in need could use, the one that can still be in
/// time and has the least work left.
fn plain(book: &ServiceCounts, jobs: &[Candidate], at: f64) -> (Vec<[u32; 2]>, Vec<SelectedJob>) {
    let mut needs = Vec::new();
    for place in 0..book.keys().len() {
        let here = |j: &&Candidate| j.groups.iter().any(|p| p == place);
        let late = |j: &&Candidate| here(j) && !j.served && j.overdue_s.is_some();
        let tells = jobs.iter().filter(late).count() >= 4
            || jobs.iter().filter(late).any(|j| j.long_overdue);
        let mut need = [0; 2];
        for (window, span) in book.window_lengths_s().iter().enumerate().filter(|_| tells) {
            let open = jobs.iter().filter(|j| here(j) && j.served).count() as u32;
            let served = book.done_in_windows(place, at)[window] + open;
            let within = |j: &&Candidate| late(j) && j.overdue_s < Some(*span);
            let overdue = jobs.iter().filter(within).count() as u32;
            for (n, share) in [LEVEL.min_share, LEVEL.share].into_iter().enumerate() {
                need[n] = need[n].max(plain_short(served, overdue, share));
            }
        }
        needs.push(need);
    }
    let (mut left, mut seats) = (needs.clone(), Vec::<SelectedJob>::new());
    loop {
        let taken = |n: usize| seats.iter().any(|s| s.candidate == n);
        let able = |n: &usize| !taken(*n) && jobs[*n].fits && !jobs[*n].served;
        let short = |n: usize, level: usize| {
            let places = jobs[n].groups;
            left[places.class][level] > 0 || left[places.team][level] > 0
        };
        let large = |n: &usize| {
            let places = jobs[*n].groups;
            needs[places.class][0] == 0 && places.largest.is_some_and(|p| left[p][0] > 0)
        };
        let all = || (0..jobs.len()).filter(able);
        let best = |late: bool, which: &dyn Fn(&usize) -> bool| {
            all().filter(which).min_by(|a, b| {
                let key = |n: usize| (late && jobs[n].late, jobs[n].remaining_cpu_s);
                key(*a).partial_cmp(&key(*b)).unwrap()
            })
        };
        let first = best(false, &|n| short(*n, 0));
        let next = first.or(best(false, &large));
        let Some(candidate) = next.or(best(true, &|n| short(*n, 1))) else {
            return (needs, seats);
        };
        let least = first.is_some();
        let places = jobs[candidate].groups;
        for place in places.iter() {
            left[place] = left[place].map(|n| n.saturating_sub(1));
        }
        seats.push(SelectedJob {
            candidate,
            for_min_share: least,
        });
    }
}

fn any_candidate() -> impl Strategy<Value = Candidate> {
    (
        (0usize..3, 3usize..5, prop::bool::weighted(0.2)),
        1u32..50,
        prop::option::of(1.0f64..400.0),
        (any::<bool>(), 0u8..20, 0u8..8, 0u8..12),
    )
        .prop_map(
            |(places, work, overdue_s, (late, long, fits, served))| Candidate {
                groups: GroupIds {
                    class: places.0,
                    team: places.1,
                    largest: places.2.then_some(5 + places.0),
                },
                remaining_cpu_s: f64::from(work),
                overdue_s,
                late,
                long_overdue: long == 0 && overdue_s.is_some(),
                fits: fits > 0,
                served: served == 0,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_election_is_that_of_the_plain_model(
        jobs in prop::collection::vec(any_candidate(), 0..40),
        over in prop::collection::vec((0usize..3, 3usize..5, 0.0f64..500.0), 0..30),
    ) {
        let mut book = ServiceCounts::new(200.0);
        for (kind, name) in [(GroupKind::Class, "a"), (GroupKind::Class, "b"), (GroupKind::Class, "c"), (GroupKind::Team, "x"), (GroupKind::Team, "y"), (GroupKind::Largest, "a"), (GroupKind::Largest, "b"), (GroupKind::Largest, "c")] {
            book.group_id(kind, name);
        }
        let now = 1e9;
        for (class, team, ago) in over {
            let places = GroupIds { class, team, largest: (ago > 400.0).then_some(5 + class) };
            book.record_end(places, JobEnd::Done { late: false }, now - ago);
        }
        let election = select_underserved(&book, &jobs, LEVEL, now);
        let (needs, seats) = plain(&book, &jobs, now);
        let real: Vec<[u32; 2]> = election.shortfalls.iter().map(|d| [d.to_min_share, d.to_target_share]).collect();
        prop_assert_eq!(real, needs);
        prop_assert_eq!(election.selected, seats);
    }
}

// A class whose tasks fit nowhere is shown as that, and nobody makes room
// for it; a service whose replicas all run is served.
#[test]
fn what_fits_nowhere_is_said_and_has_no_seat() {
    let mut book = ServiceCounts::new(200.0);
    let places = GroupIds {
        class: book.group_id(GroupKind::Class, "giant"),
        team: book.group_id(GroupKind::Team, "t"),
        largest: None,
    };
    let job = Candidate {
        groups: places,
        remaining_cpu_s: 5.0,
        overdue_s: Some(50.0),
        late: true,
        long_overdue: true,
        fits: false,
        served: false,
    };
    let election = select_underserved(&book, &[job.clone(), job.clone()], LEVEL, 1e9);
    assert_eq!(
        (
            election.shortfalls[0].unfit,
            election.shortfalls[0].to_target_share
        ),
        (2, 2)
    );
    assert!(election.selected.is_empty());
    let fits = Candidate {
        fits: true,
        ..job.clone()
    };
    let served = Candidate {
        served: true,
        ..job
    };
    let election = select_underserved(&book, &[served.clone(), served, fits], LEVEL, 1e9);
    assert!(election.selected.is_empty(), "two of three are served");
}
