//! Selection of the jobs that come first for groups (classes and teams) which have
//! fallen behind their share.

use crate::service_counts::{GroupIds, ServiceCounts, WINDOW_COUNT};
use std::cmp::Ordering;

/// Overdue jobs from which on a group may be behind; fewer may be chance.
const MIN_OVERDUE_JOBS: u32 = 4;

/// An open job, as far as the selection looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Groups that it counts for.
    pub groups: GroupIds,
    /// CPU-seconds until its last task is done.
    pub remaining_cpu_s: f64,
    /// Seconds since it should have been served; `None`: it need not be yet.
    pub overdue_s: Option<f64>,
    /// Whether it can't meet its loosest service-level objective any more.
    pub late: bool,
    /// Whether it is overdue for so long that it shows by itself that its groups
    /// are behind.
    pub long_overdue: bool,
    /// Whether a task of it fits on any machine that there is or that can be rented.
    pub fits: bool,
    /// Whether it is served though it is open: a service whose replicas all run.
    pub served: bool,
}

/// Fractions of the jobs done or overdue that are to be done, 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTarget {
    /// Minimum share: jobs that a group needs to reach it come first.
    pub min_share: f64,
    /// Share to reach.
    pub target_share: f64,
}

/// How far a group is behind, in jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortfall {
    /// Open jobs.
    pub open: u32,
    /// Open jobs that should have been served by now.
    pub overdue: u32,
    /// Open jobs that fit on no machine.
    pub unplaceable: u32,
    /// Jobs that must yet be done to reach the minimum share.
    pub to_min_share: u32,
    /// Jobs that must yet be done to reach the target share.
    pub to_target_share: u32,
}

/// A job that comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectedJob {
    /// Index of the candidate.
    pub candidate: usize,
    /// Whether a group doesn't reach its minimum share without it.
    pub for_min_share: bool,
}

/// Result of a selection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Selection {
    /// Shortfalls by group id.
    pub shortfalls: Vec<Shortfall>,
    /// Jobs that come first, in this order.
    pub selected: Vec<SelectedJob>,
}

/// Selects, for each class and each team that is behind, those of its open jobs that
/// have the least work left, as many as it is short of. After those for the minimum
/// share come the largest jobs of a class that has reached it, as many as those are
/// short of, and then jobs for the target share, those that are not late first.
///
/// A group is behind if it has served less than the target's share of its jobs done
/// or overdue, within either window of `counts`. A few overdue jobs don't count unless
/// one is long overdue. Jobs that need not be served yet don't count, so that no group
/// is behind while work is done in time. A job counts for all its groups alike.
///
/// `at` is wall-clock time in seconds. Called by the scheduler's minimum share.
#[must_use]
pub fn select_underserved(
    counts: &ServiceCounts,
    candidates: &[Candidate],
    target: ShareTarget,
    at: f64,
) -> Selection {
    let shortfalls = compute_shortfalls(counts, candidates, target, at);
    if shortfalls.iter().all(|s| s.to_target_share == 0) {
        return Selection {
            shortfalls,
            selected: Vec::new(),
        };
    }
    let mut selector = Selector::new(candidates, &shortfalls);
    selector.select_for_min_share();
    selector.select_largest();
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
    /// Indices of the candidates that may yet be selected, in the order in which
    /// they are looked at.
    unselected: Vec<usize>,
    /// By group id: jobs that must yet be selected to reach the minimum share.
    missing_to_min_share: Vec<u32>,
    /// By group id: jobs that must yet be selected to reach the target share.
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
            if is_missing_job(&self.missing_to_min_share, groups) {
                self.select(candidate, true);
            } else {
                self.unselected.push(candidate);
            }
        }
    }

    /// Selects the largest jobs of classes. They cost most: the class itself must
    /// have its minimum share.
    fn select_largest(&mut self) {
        for candidate in std::mem::take(&mut self.unselected) {
            let groups = self.candidates[candidate].groups;
            let is_missing = groups
                .largest
                .is_some_and(|group| self.missing_to_min_share[group] > 0);
            if is_missing && self.shortfalls[groups.class].to_min_share == 0 {
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
            if is_missing_job(&self.missing_to_target_share, groups) {
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

/// Whether the class or the team of a job misses jobs.
fn is_missing_job(missing: &[u32], groups: GroupIds) -> bool {
    missing[groups.class] > 0 || missing[groups.team] > 0
}

/// The candidate with less work left first; of equal ones, the lower index.
fn compare_remaining_work(candidates: &[Candidate], a: usize, b: usize) -> Ordering {
    candidates[a]
        .remaining_cpu_s
        .total_cmp(&candidates[b].remaining_cpu_s)
        .then(a.cmp(&b))
}

/// What the open jobs of a group contribute to its shortfall.
#[derive(Debug, Clone, Copy, Default)]
struct OpenJobs {
    /// Open jobs that are served: services whose replicas all run.
    served: u32,
    /// Jobs that became overdue within each window.
    overdue_in_windows: [u32; WINDOW_COUNT],
    has_long_overdue: bool,
}

/// Shortfalls by group id.
fn compute_shortfalls(
    counts: &ServiceCounts,
    candidates: &[Candidate],
    target: ShareTarget,
    at: f64,
) -> Vec<Shortfall> {
    let window_lengths_s = counts.window_lengths_s();
    let group_count = counts.keys().len();
    let mut shortfalls = vec![Shortfall::default(); group_count];
    let mut open_jobs = vec![OpenJobs::default(); group_count];
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
        let done_in_windows = counts.done_in_windows(group, at);
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

/// Counts an open job for one of its groups.
fn count_open_job(
    candidate: &Candidate,
    window_lengths_s: [f64; WINDOW_COUNT],
    shortfall: &mut Shortfall,
    open: &mut OpenJobs,
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
