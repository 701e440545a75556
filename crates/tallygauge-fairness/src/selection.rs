//! Who has fallen behind, and whose jobs come first for it.

use crate::service_counts::{GroupIds, ServiceCounts};

/// An open job, as far as the floor looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Places of its class and its team, and of its class's largest jobs.
    pub groups: GroupIds,
    /// CPU-seconds until its last task is done.
    pub remaining_cpu_s: f64,
    /// Seconds since it should have been served; `None`: it need not be yet.
    pub overdue_s: Option<f64>,
    /// It can't be done by its loosest aim any more.
    pub late: bool,
    /// It should have been served so long ago that it alone shows that its
    /// class and team are behind.
    pub long_overdue: bool,
    /// Whether a task of it fits on any machine that there is or that can be
    /// had.
    pub fits: bool,
    /// Open and served all the same: a service whose replicas all run.
    pub served: bool,
}

/// The part that is to be served of those jobs that are done or overdue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTarget {
    /// What nobody may fall below: those that have come first.
    pub min_share: f64,
    /// What is aimed at.
    pub share: f64,
}

/// What a class or a team is short of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Shortfall {
    /// Open jobs.
    pub open: u32,
    /// Open jobs that should have been served by now.
    pub overdue: u32,
    /// Open jobs that fit nowhere.
    pub unfit: u32,
    /// Jobs that must yet be done for the least part to be reached.
    pub to_min_share: u32,
    /// Jobs that must yet be done for the part aimed at to be reached.
    pub to_target_share: u32,
}

/// A job that comes first, on behalf of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SelectedJob {
    /// The candidate.
    pub candidate: usize,
    /// The least part is not reached without it.
    pub for_min_share: bool,
}

/// Who comes first now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Selection {
    /// By place of a class or team.
    pub shortfalls: Vec<Shortfall>,
    /// Jobs that come first, in the order in which they should.
    pub selected: Vec<SelectedJob>,
}

/// Elects, for each class and each team that is behind, those of its open jobs
/// that are nearest to their end, as many as it is short of. Beyond the least
/// part, the largest of a class that has that come next, as many as those are
/// short of, and then those that can still be done in time.
///
/// Behind is who has served less than the level's share of those jobs that are
/// done or overdue, within the day or within the shorter window; a few overdue
/// jobs don't tell, unless they have waited for long. Jobs that need
/// not be served yet do not count, so that nobody is behind while work is done
/// in time. A job counts for its class and for its team alike.
#[must_use]
pub fn select_underserved(
    book: &ServiceCounts,
    jobs: &[Candidate],
    level: ShareTarget,
    at: f64,
) -> Selection {
    let demands = shortfalls(book, jobs, level, at);
    let mut seats = Vec::new();
    if demands.iter().all(|d| d.to_target_share == 0) {
        return Selection {
            shortfalls: demands,
            selected: seats,
        };
    }
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|j| jobs[*j].fits && !jobs[*j].served)
        .collect();
    let work = |a: &usize, b: &usize| {
        jobs[*a]
            .remaining_cpu_s
            .total_cmp(&jobs[*b].remaining_cpu_s)
            .then(a.cmp(b))
    };
    order.sort_by(work);
    let mut least: Vec<u32> = demands.iter().map(|d| d.to_min_share).collect();
    let mut need: Vec<u32> = demands.iter().map(|d| d.to_target_share).collect();
    let mut rest = Vec::new();
    for candidate in order {
        let places = jobs[candidate].groups;
        if least[places.class] == 0 && least[places.team] == 0 {
            rest.push(candidate);
            continue;
        }
        seats.push(SelectedJob {
            candidate,
            for_min_share: true,
        });
        deduct_selected(places, &mut need);
        deduct_selected(places, &mut least);
    }
    // Then what the largest are short of.
    rest.retain(|candidate| {
        let places = jobs[*candidate].groups;
        // They cost most: the class itself must have its least part.
        if places.largest.is_none_or(|p| least[p] == 0) || demands[places.class].to_min_share > 0 {
            return true;
        }
        seats.push(SelectedJob {
            candidate: *candidate,
            for_min_share: false,
        });
        deduct_selected(places, &mut need);
        deduct_selected(places, &mut least);
        false
    });
    rest.sort_by(|a, b| jobs[*a].late.cmp(&jobs[*b].late).then(work(a, b)));
    for candidate in rest {
        let places = jobs[candidate].groups;
        if need[places.class] == 0 && need[places.team] == 0 {
            continue;
        }
        seats.push(SelectedJob {
            candidate,
            for_min_share: false,
        });
        deduct_selected(places, &mut need);
    }
    Selection {
        shortfalls: demands,
        selected: seats,
    }
}

/// One that comes first is one that its class, its team and its class's largest
/// are short of no more.
fn deduct_selected(places: GroupIds, short: &mut [u32]) {
    for place in places.iter() {
        short[place] = short[place].saturating_sub(1);
    }
}

/// Overdue jobs that show that a class or team is behind; fewer may be chance.
const TELLING: u32 = 4;

fn shortfalls(
    book: &ServiceCounts,
    jobs: &[Candidate],
    level: ShareTarget,
    at: f64,
) -> Vec<Shortfall> {
    let count = book.keys().len();
    let spans = book.window_lengths_s();
    let mut demands = vec![Shortfall::default(); count];
    let mut overdue = vec![[0u32; 2]; count];
    let mut serving = vec![0u32; count];
    let mut long = vec![false; count];
    for job in jobs {
        for place in job.groups.iter() {
            let demand = &mut demands[place];
            demand.open += 1;
            if job.served {
                serving[place] += 1;
                continue;
            }
            demand.unfit += u32::from(!job.fits);
            if let Some(since) = job.overdue_s {
                demand.overdue += 1;
                long[place] |= job.long_overdue;
                for (window, span) in spans.iter().enumerate() {
                    overdue[place][window] += u32::from(since < *span);
                }
            }
        }
    }
    for (place, demand) in demands.iter_mut().enumerate() {
        if demand.overdue < TELLING && !long[place] {
            continue;
        }
        let served = book.done_in_windows(place, at);
        for window in 0..spans.len() {
            let served = served[window] + serving[place];
            let total = f64::from(served) + f64::from(overdue[place][window]);
            let short = |share: f64| ((total * share).ceil() as u32).saturating_sub(served);
            demand.to_min_share = demand.to_min_share.max(short(level.min_share));
            demand.to_target_share = demand.to_target_share.max(short(level.share));
        }
    }
    demands
}

#[cfg(test)]
mod tests;
