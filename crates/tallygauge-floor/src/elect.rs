//! Who has fallen behind, and whose jobs come first for it.

use crate::book::Book;

/// An open job, as far as the floor looks at it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Places of its class and its team.
    pub places: [usize; 2],
    /// CPU-seconds until its last task is done.
    pub work: f64,
    /// Seconds since it could last have been served in time; `None`: it still
    /// can be.
    pub overdue_s: Option<f64>,
    /// Whether a task of it fits on any machine that there is or that can be
    /// had.
    pub fits: bool,
    /// Open and served all the same: a service whose replicas all run.
    pub served: bool,
}

/// The part that is to be served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// Of jobs that are done or overdue, those that are to be done.
    pub share: f64,
}

/// What a class or a team is short of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Open jobs.
    pub open: u32,
    /// Open jobs that can't be served in time any more.
    pub overdue: u32,
    /// Open jobs that fit nowhere.
    pub unfit: u32,
    /// Jobs that must yet be done for the part to be reached.
    pub need: u32,
}

/// A job that comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// The candidate.
    pub candidate: usize,
    /// The place of the class or team for which it was elected.
    pub place: usize,
}

/// Who comes first now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Election {
    /// By place of a class or team.
    pub demands: Vec<Demand>,
    /// Jobs that come first, those with the least work first.
    pub seats: Vec<Seat>,
}

/// Elects, for each class and each team that is behind, those of its open jobs
/// that are nearest to their end, as many as it is short of.
///
/// Behind is who has served less than the level's share of those jobs that are
/// done or overdue, within the day or within the shorter window; jobs that can
/// still be served in time do not count, so that nobody is behind while work
/// is done in time. A job counts for its class and for its team alike.
#[must_use]
pub fn elect(book: &Book, jobs: &[Candidate], level: Level, at: f64) -> Election {
    let count = book.keys().len();
    let mut demands = vec![Demand::default(); count];
    let spans = book.spans();
    let mut overdue = vec![[0u32; 2]; count];
    let mut serving = vec![0u32; count];
    for job in jobs {
        for place in job.places {
            let demand = &mut demands[place];
            demand.open += 1;
            if job.served {
                serving[place] += 1;
                continue;
            }
            demand.unfit += u32::from(!job.fits);
            if let Some(since) = job.overdue_s {
                demand.overdue += 1;
                for (window, span) in spans.iter().enumerate() {
                    overdue[place][window] += u32::from(since < *span);
                }
            }
        }
    }
    for (place, demand) in demands.iter_mut().enumerate() {
        let served = book.served(place, at);
        for window in 0..spans.len() {
            let served = served[window] + serving[place];
            let late = overdue[place][window];
            let total = f64::from(served) + f64::from(late);
            let wanted = (total * level.share).ceil() as u32;
            demand.need = demand.need.max(wanted.saturating_sub(served));
        }
    }
    let mut seats = Vec::new();
    if demands.iter().any(|d| d.need > 0) {
        let mut order: Vec<usize> = (0..jobs.len())
            .filter(|j| jobs[*j].fits && !jobs[*j].served)
            .collect();
        order.sort_by(|a, b| jobs[*a].work.total_cmp(&jobs[*b].work).then(a.cmp(b)));
        let mut left: Vec<u32> = demands.iter().map(|d| d.need).collect();
        for candidate in order {
            let [class, team] = jobs[candidate].places;
            if left[class] == 0 && left[team] == 0 {
                continue;
            }
            for place in [class, team] {
                left[place] = left[place].saturating_sub(1);
            }
            seats.push(Seat {
                candidate,
                place: class,
            });
        }
    }
    Election { demands, seats }
}
