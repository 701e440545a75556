use super::*;
use crate::{GroupKind, JobEnd};
use proptest::prelude::*;

const TARGET: ShareTarget = ShareTarget {
    min_share: 0.55,
    target_share: 0.65,
};

/// Further jobs that one group must serve: to the minimum share, and to the target share.
type Missing = [u32; 2];

const TO_MIN_SHARE: usize = 0;
const TO_TARGET_SHARE: usize = 1;

/// The least number of further jobs to serve for a share, found by trying each number in
/// turn.
fn reference_missing(served: u32, overdue: u32, share: f64) -> u32 {
    let is_enough =
        |more: &u32| f64::from(served + more) + 1e-9 >= f64::from(served + overdue) * share;
    (0..).find(is_enough).unwrap()
}

/// Reference model of the shortfalls: the missing jobs of each group, computed directly
/// from the documented rule.
fn reference_shortfalls(
    counts: &ServiceCounts,
    jobs: &[Candidate],
    unix_time_s: f64,
) -> Vec<Missing> {
    let mut shortfalls = Vec::new();
    for group in 0..counts.keys().len() {
        let is_member = |j: &&Candidate| j.groups.iter().any(|g| g == group);
        let is_overdue = |j: &&Candidate| is_member(j) && !j.served && j.overdue_s.is_some();
        let may_be_underserved = jobs.iter().filter(is_overdue).count() >= 4
            || jobs.iter().filter(is_overdue).any(|j| j.long_overdue);
        let mut missing = [0; 2];
        let windows = counts.window_lengths_s();
        for (window, window_s) in windows.iter().enumerate().filter(|_| may_be_underserved) {
            let open = jobs.iter().filter(|j| is_member(j) && j.served).count() as u32;
            let served = counts.done_in_windows(group, unix_time_s)[window] + open;
            let within = |j: &&Candidate| is_overdue(j) && j.overdue_s < Some(*window_s);
            let overdue = jobs.iter().filter(within).count() as u32;
            for (n, share) in [TARGET.min_share, TARGET.target_share]
                .into_iter()
                .enumerate()
            {
                missing[n] = missing[n].max(reference_missing(served, overdue, share));
            }
        }
        shortfalls.push(missing);
    }
    shortfalls
}

/// Reference model of the selection, one job at a time, by the documented rule. Each step
/// selects the first of these jobs that exists:
///
/// 1. the job with the least work left that a class or team below its minimum share needs;
/// 2. the same of the largest jobs of a class that has its minimum share;
/// 3. of the jobs that a class or team below its target share needs, those that are not
///    late before the others, the one with the least work left.
fn reference_selection(shortfalls: &[Missing], jobs: &[Candidate]) -> Vec<SelectedJob> {
    let mut missing = shortfalls.to_vec();
    let mut selected = Vec::<SelectedJob>::new();
    loop {
        let is_selected = |n: usize| selected.iter().any(|s| s.candidate == n);
        let is_eligible = |n: &usize| !is_selected(*n) && jobs[*n].fits && !jobs[*n].served;
        let lacks_jobs = |n: usize, share: usize| {
            let groups = jobs[n].groups;
            missing[groups.class][share] > 0 || missing[groups.team][share] > 0
        };
        let lacks_largest_jobs = |n: &usize| {
            let groups = jobs[*n].groups;
            shortfalls[groups.class][TO_MIN_SHARE] == 0
                && groups.largest.is_some_and(|g| missing[g][TO_MIN_SHARE] > 0)
        };
        let best = |late_last: bool, is_useful: &dyn Fn(&usize) -> bool| {
            let useful = (0..jobs.len()).filter(is_eligible).filter(is_useful);
            useful.min_by(|a, b| {
                let key = |n: usize| (late_last && jobs[n].late, jobs[n].remaining_cpu_s);
                key(*a).partial_cmp(&key(*b)).unwrap()
            })
        };
        let first = best(false, &|n| lacks_jobs(*n, TO_MIN_SHARE));
        let next = first.or(best(false, &lacks_largest_jobs));
        let next = next.or(best(true, &|n| lacks_jobs(*n, TO_TARGET_SHARE)));
        let Some(candidate) = next else {
            return selected;
        };
        let for_min_share = first.is_some();
        for group in jobs[candidate].groups.iter() {
            missing[group] = missing[group].map(|n| n.saturating_sub(1));
        }
        selected.push(SelectedJob {
            candidate,
            for_min_share,
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
            |((class, team, is_large), work, overdue_s, (late, long, fits, served))| Candidate {
                groups: GroupIds {
                    class,
                    team,
                    largest: is_large.then_some(5 + class),
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

/// Counts without jobs, of three classes (ids 0 to 2), two teams (3 and 4) and the largest
/// jobs of the classes (5 to 7).
fn empty_counts_of_eight_groups() -> ServiceCounts {
    let mut counts = ServiceCounts::new(200.0);
    for (kind, name) in [
        (GroupKind::Class, "a"),
        (GroupKind::Class, "b"),
        (GroupKind::Class, "c"),
        (GroupKind::Team, "x"),
        (GroupKind::Team, "y"),
        (GroupKind::Largest, "a"),
        (GroupKind::Largest, "b"),
        (GroupKind::Largest, "c"),
    ] {
        counts.group_id(kind, name);
    }
    counts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn selection_matches_reference_model(
        jobs in prop::collection::vec(any_candidate(), 0..40),
        ended in prop::collection::vec((0usize..3, 3usize..5, 0.0f64..500.0), 0..30),
    ) {
        let mut counts = empty_counts_of_eight_groups();
        let now = 1e9;
        for (class, team, ago_s) in ended {
            let groups = GroupIds { class, team, largest: (ago_s > 400.0).then_some(5 + class) };
            counts.record_end(groups, JobEnd::Done { late: false }, now - ago_s);
        }
        let selection = select_underserved(&counts, &jobs, TARGET, now);
        let shortfalls = reference_shortfalls(&counts, &jobs, now);
        let found: Vec<Missing> = selection.shortfalls.iter().map(|s| [s.to_min_share, s.to_target_share]).collect();
        prop_assert_eq!(found, &shortfalls[..]);
        prop_assert_eq!(selection.selected, reference_selection(&shortfalls, &jobs));
    }
}

#[test]
fn unplaceable_jobs_are_reported_but_not_selected() {
    let mut counts = ServiceCounts::new(200.0);
    let groups = GroupIds {
        class: counts.group_id(GroupKind::Class, "giant"),
        team: counts.group_id(GroupKind::Team, "t"),
        largest: None,
    };
    let job = Candidate {
        groups,
        remaining_cpu_s: 5.0,
        overdue_s: Some(50.0),
        late: true,
        long_overdue: true,
        fits: false,
        served: false,
    };
    let selection = select_underserved(&counts, &[job.clone(), job.clone()], TARGET, 1e9);
    let class = selection.shortfalls[0];
    assert_eq!((class.unplaceable, class.to_target_share), (2, 2));
    assert!(selection.selected.is_empty());
    // A service whose replicas all run counts as served, which leaves no shortfall.
    let fits = Candidate {
        fits: true,
        ..job.clone()
    };
    let served = Candidate {
        served: true,
        ..job
    };
    let selection = select_underserved(&counts, &[served.clone(), served, fits], TARGET, 1e9);
    assert!(selection.selected.is_empty(), "two of three are served");
}
