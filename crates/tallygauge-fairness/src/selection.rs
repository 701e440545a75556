//! Selection of the jobs to place first because their groups (classes and teams) are
//! underserved.

use crate::service_counts::{GroupIds, ServiceCounts, WINDOW_COUNT};
use std::cmp::Ordering;

/// Minimum number of overdue jobs of an underserved group, unless one is long overdue; fewer
/// may be overdue by chance.
const MIN_OVERDUE_JOBS: u32 = 4;

/// An open job, as input of the selection.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Groups that the job counts for.
    pub groups: GroupIds,
    /// CPU-seconds of work left until its last task is done.
    pub remaining_cpu_s: f64,
    /// Seconds since the time by which the job should have been served; `None` if that
    /// time has not come yet.
    pub overdue_s: Option<f64>,
    /// Whether the job can no longer meet its loosest service-level objective.
    pub late: bool,
    /// Whether it has been overdue for so long that this job alone shows that its groups
    /// are underserved.
    pub long_overdue: bool,
    /// Whether one of its tasks fits on a machine that exists or can be rented.
    pub fits: bool,
    /// Whether the job counts as served although it is open. This is the case for a service
    /// whose replicas all run.
    pub served: bool,
}

/// Fractions, 0 to 1, of a group's jobs served or overdue that are to be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTarget {
    /// Minimum share. Jobs that a group needs to reach it are selected first.
    pub min_share: f64,
    /// Share to reach after the minimum share.
    pub target_share: f64,
}

/// How far a group is below its shares, in jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortfall {
    /// Open jobs.
    pub open: u32,
    /// Open jobs that should have been served by now.
    pub overdue: u32,
    /// Open jobs whose tasks fit on no machine that exists or can be rented.
    pub unplaceable: u32,
    /// Further jobs that must be served to reach the minimum share.
    pub to_min_share: u32,
    /// Further jobs that must be served to reach the target share.
    pub to_target_share: u32,
}

/// A job to place first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectedJob {
    /// Index of the candidate.
    pub candidate: usize,
    /// Whether it was selected because a class or team needs it to reach its minimum
    /// share.
    pub for_min_share: bool,
}

/// Result of a selection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Selection {
    /// Shortfalls, by group id.
    pub shortfalls: Vec<Shortfall>,
    /// Jobs to place first, in this order.
    pub selected: Vec<SelectedJob>,
}

/// Selects open jobs of the classes and teams that are underserved. The jobs are selected
/// in this order:
///
/// 1. For each class and each team below its minimum share, the jobs with the least work
///    left, as many as the group is short of.
/// 2. For each class that has its minimum share while its largest jobs do not have
///    theirs, jobs of these, as many as they are short of.
/// 3. For each class and each team below its target share, as many jobs as the group is
///    short of: first those that are not late, then those with the least work left.
///
/// A group is underserved if it has served less than the target share of its jobs served
/// or overdue, within either window of `counts`, with these exceptions:
///
/// - A few overdue jobs do not count, unless one of them is long overdue.
/// - Jobs that need not be served yet do not count, so that no group is underserved while
///   its work is done in time.
///
/// A job counts alike for all its groups.
///
/// `unix_time_s` is the present time. Called by the scheduler's minimum share.
#[must_use]
pub fn select_underserved(
    counts: &ServiceCounts,
    candidates: &[Candidate],
    target: ShareTarget,
    unix_time_s: f64,
) -> Selection {
    let shortfalls = compute_shortfalls(counts, candidates, target, unix_time_s);
    if shortfalls.iter().all(|s| s.to_target_share == 0) {
        return Selection {
            shortfalls,
            selected: Vec::new(),
        };
    }
    let mut selector = Selector::new(candidates, &shortfalls);
    selector.select_for_min_share();
    selector.select_largest_jobs();
    selector.select_for_target_share();
    let selected = selector.selected;
    Selection {
        shortfalls,
        selected,
    }
}

/// A selection in progress.
struct Selector<'a> {
    candidates: &'a [Candidate],
    shortfalls: &'a [Shortfall],
    /// Indices of the candidates that can still be selected, in the order in which they
    /// are considered.
    unselected: Vec<usize>,
    /// Jobs still to be selected to reach the minimum share, by group id.
    missing_to_min_share: Vec<u32>,
    /// Jobs still to be selected to reach the target share, by group id.
    missing_to_target_share: Vec<u32>,
    selected: Vec<SelectedJob>,
}

impl<'a> Selector<'a> {
    fn new(candidates: &'a [Candidate], shortfalls: &'a [Shortfall]) -> Self {
        let mut unselected: Vec<usize> = (0..candidates.len())
            .filter(|index| candidates[*index].fits && !candidates[*index].served)
            .collect();
        unselected.sort_by(|a, b| compare_remaining_work(candidates, *a, *b));
        Self {
            candidates,
            shortfalls,
            unselected,
            missing_to_min_share: shortfalls.iter().map(|s| s.to_min_share).collect(),
            missing_to_target_share: shortfalls.iter().map(|s| s.to_target_share).collect(),
            selected: Vec::new(),
        }
    }

    fn select_for_min_share(&mut self) {
        for candidate in std::mem::take(&mut self.unselected) {
            let groups = self.candidates[candidate].groups;
            if lacks_jobs(&self.missing_to_min_share, groups) {
                self.select(candidate, true);
            } else {
                self.unselected.push(candidate);
            }
        }
    }

    /// Selects the largest jobs of classes. As they take the most resources, the class
    /// itself must have its minimum share first.
    fn select_largest_jobs(&mut self) {
        for candidate in std::mem::take(&mut self.unselected) {
            let groups = self.candidates[candidate].groups;
            let lacks_largest_jobs = groups
                .largest
                .is_some_and(|group| self.missing_to_min_share[group] > 0);
            if lacks_largest_jobs && self.shortfalls[groups.class].to_min_share == 0 {
                self.select(candidate, false);
            } else {
                self.unselected.push(candidate);
            }
        }
    }

    fn select_for_target_share(&mut self) {
        let candidates = self.candidates;
        self.unselected.sort_by(|a, b| {
            let by_lateness = candidates[*a].late.cmp(&candidates[*b].late);
            by_lateness.then_with(|| compare_remaining_work(candidates, *a, *b))
        });
        for candidate in std::mem::take(&mut self.unselected) {
            let groups = self.candidates[candidate].groups;
            if lacks_jobs(&self.missing_to_target_share, groups) {
                self.select(candidate, false);
            }
        }
    }

    fn select(&mut self, candidate: usize, for_min_share: bool) {
        self.selected.push(SelectedJob {
            candidate,
            for_min_share,
        });
        for group in self.candidates[candidate].groups.iter() {
            for missing in [
                &mut self.missing_to_min_share[group],
                &mut self.missing_to_target_share[group],
            ] {
                *missing = missing.saturating_sub(1);
            }
        }
    }
}

/// Whether the class or the team of a job needs further jobs; `missing` is by group id.
fn lacks_jobs(missing: &[u32], groups: GroupIds) -> bool {
    missing[groups.class] > 0 || missing[groups.team] > 0
}

/// Orders candidates by the work left, least first, and then by index.
fn compare_remaining_work(candidates: &[Candidate], a: usize, b: usize) -> Ordering {
    candidates[a]
        .remaining_cpu_s
        .total_cmp(&candidates[b].remaining_cpu_s)
        .then(a.cmp(&b))
}

/// Counts of the open jobs of a group, from which its shortfall is computed.
#[derive(Debug, Clone, Copy, Default)]
struct OpenJobCounts {
    /// Open jobs that are served: services whose replicas all run.
    served: u32,
    /// Jobs that became overdue within each window and are not served.
    overdue_in_windows: [u32; WINDOW_COUNT],
    has_long_overdue: bool,
}

/// Computes the shortfalls, by group id.
fn compute_shortfalls(
    counts: &ServiceCounts,
    candidates: &[Candidate],
    target: ShareTarget,
    unix_time_s: f64,
) -> Vec<Shortfall> {
    let window_lengths_s = counts.window_lengths_s();
    let group_count = counts.keys().len();
    let mut shortfalls = vec![Shortfall::default(); group_count];
    let mut open_jobs = vec![OpenJobCounts::default(); group_count];
    for candidate in candidates {
        for group in candidate.groups.iter() {
            count_open_job(
                candidate,
                window_lengths_s,
                &mut shortfalls[group],
                &mut open_jobs[group],
            );
        }
    }
    for (group, (shortfall, open)) in shortfalls.iter_mut().zip(&open_jobs).enumerate() {
        if shortfall.overdue < MIN_OVERDUE_JOBS && !open.has_long_overdue {
            continue;
        }
        let done_in_windows = counts.done_in_windows(group, unix_time_s);
        for (done, overdue) in done_in_windows.into_iter().zip(open.overdue_in_windows) {
            let served = done + open.served;
            let total = f64::from(served) + f64::from(overdue);
            let missing = |share: f64| ((total * share).ceil() as u32).saturating_sub(served);
            shortfall.to_min_share = shortfall.to_min_share.max(missing(target.min_share));
            shortfall.to_target_share = shortfall.to_target_share.max(missing(target.target_share));
        }
    }
    shortfalls
}

/// Adds an open job to the counts of one of its groups.
fn count_open_job(
    candidate: &Candidate,
    window_lengths_s: [f64; WINDOW_COUNT],
    shortfall: &mut Shortfall,
    open: &mut OpenJobCounts,
) {
    shortfall.open += 1;
    if candidate.served {
        open.served += 1;
        return;
    }
    shortfall.unplaceable += u32::from(!candidate.fits);
    let Some(overdue_s) = candidate.overdue_s else {
        return;
    };
    shortfall.overdue += 1;
    open.has_long_overdue |= candidate.long_overdue;
    for (overdue, window_s) in open.overdue_in_windows.iter_mut().zip(window_lengths_s) {
        *overdue += u32::from(overdue_s < window_s);
    }
}

#[cfg(test)]
mod tests;
