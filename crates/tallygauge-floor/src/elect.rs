//! Who has fallen behind, and whose jobs come first for it.

use crate::book::Book;

/// An open job, as far as the floor looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Places of its class and its team.
    pub places: [usize; 2],
    /// CPU-seconds until its last task is done.
    pub work: f64,
    /// Seconds since it should have been served; `None`: it need not be yet.
    pub overdue_s: Option<f64>,
    /// It can't be done by its loosest aim any more.
    pub late: bool,
    /// It should have been served so long ago that it alone shows that its
    /// class and team are behind.
    pub long: bool,
    /// Whether a task of it fits on any machine that there is or that can be
    /// had.
    pub fits: bool,
    /// Open and served all the same: a service whose replicas all run.
    pub served: bool,
}

/// The part that is to be served of those jobs that are done or overdue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Level {
    /// What nobody may fall below: those that have come first.
    pub least: f64,
    /// What is aimed at.
    pub share: f64,
}

/// What a class or a team is short of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Open jobs.
    pub open: u32,
    /// Open jobs that should have been served by now.
    pub overdue: u32,
    /// Open jobs that fit nowhere.
    pub unfit: u32,
    /// Jobs that must yet be done for the least part to be reached.
    pub least: u32,
    /// Jobs that must yet be done for the part aimed at to be reached.
    pub need: u32,
}

/// A job that comes first, on behalf of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// The candidate.
    pub candidate: usize,
    /// The least part is not reached without it.
    pub least: bool,
}

/// Who comes first now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Election {
    /// By place of a class or team.
    pub demands: Vec<Demand>,
    /// Jobs that come first, in the order in which they should.
    pub seats: Vec<Seat>,
}

/// Elects, for each class and each team that is behind, those of its open jobs
/// that are nearest to their end, as many as it is short of; of these, those
/// first that can still be done in time.
///
/// Behind is who has served less than the level's share of those jobs that are
/// done or overdue, within the day or within the shorter window; a few overdue
/// jobs don't tell, unless they have waited for long. Jobs that need
/// not be served yet do not count, so that nobody is behind while work is done
/// in time. A job counts for its class and for its team alike.
#[must_use]
pub fn elect(book: &Book, jobs: &[Candidate], level: Level, at: f64) -> Election {
    let demands = demands(book, jobs, level, at);
    let mut seats = Vec::new();
    if demands.iter().all(|d| d.need == 0) {
        return Election { demands, seats };
    }
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|j| jobs[*j].fits && !jobs[*j].served)
        .collect();
    order.sort_by(|a, b| {
        let (x, y) = (&jobs[*a], &jobs[*b]);
        let late = x.late.cmp(&y.late);
        late.then(x.work.total_cmp(&y.work)).then(a.cmp(b))
    });
    let mut least: Vec<u32> = demands.iter().map(|d| d.least).collect();
    let mut need: Vec<u32> = demands.iter().map(|d| d.need).collect();
    for candidate in order {
        let places = jobs[candidate].places;
        if places.iter().all(|p| need[*p] == 0) {
            continue;
        }
        seats.push(Seat {
            candidate,
            least: places.iter().any(|p| least[*p] > 0),
        });
        for place in places {
            need[place] = need[place].saturating_sub(1);
            least[place] = least[place].saturating_sub(1);
        }
    }
    Election { demands, seats }
}

/// Overdue jobs that show that a class or team is behind; fewer may be chance.
const TELLING: u32 = 4;

fn demands(book: &Book, jobs: &[Candidate], level: Level, at: f64) -> Vec<Demand> {
    let count = book.keys().len();
    let spans = book.spans();
    let mut demands = vec![Demand::default(); count];
    let mut overdue = vec![[0u32; 2]; count];
    let mut serving = vec![0u32; count];
    let mut long = vec![false; count];
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
                long[place] |= job.long;
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
        let served = book.served(place, at);
        for window in 0..spans.len() {
            let served = served[window] + serving[place];
            let total = f64::from(served) + f64::from(overdue[place][window]);
            let short = |share: f64| ((total * share).ceil() as u32).saturating_sub(served);
            demand.least = demand.least.max(short(level.least));
            demand.need = demand.need.max(short(level.share));
        }
    }
    demands
}
