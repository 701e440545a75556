//! Who has fallen behind, and whose jobs come first for it.

use crate::service_counts::{Book, Places};

/// An open job, as far as the floor looks at it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Places of its class and its team, and of its class's largest jobs.
    pub places: Places,
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
pub fn elect(book: &Book, jobs: &[Candidate], level: Level, at: f64) -> Election {
    let demands = demands(book, jobs, level, at);
    let mut seats = Vec::new();
    if demands.iter().all(|d| d.need == 0) {
        return Election { demands, seats };
    }
    let mut order: Vec<usize> = (0..jobs.len())
        .filter(|j| jobs[*j].fits && !jobs[*j].served)
        .collect();
    let work = |a: &usize, b: &usize| jobs[*a].work.total_cmp(&jobs[*b].work).then(a.cmp(b));
    order.sort_by(work);
    let mut least: Vec<u32> = demands.iter().map(|d| d.least).collect();
    let mut need: Vec<u32> = demands.iter().map(|d| d.need).collect();
    let mut rest = Vec::new();
    for candidate in order {
        let places = jobs[candidate].places;
        if least[places.class] == 0 && least[places.team] == 0 {
            rest.push(candidate);
            continue;
        }
        seats.push(Seat {
            candidate,
            least: true,
        });
        seat(places, &mut need);
        seat(places, &mut least);
    }
    // Then what the largest are short of.
    rest.retain(|candidate| {
        let places = jobs[*candidate].places;
        // They cost most: the class itself must have its least part.
        if places.largest.is_none_or(|p| least[p] == 0) || demands[places.class].least > 0 {
            return true;
        }
        seats.push(Seat {
            candidate: *candidate,
            least: false,
        });
        seat(places, &mut need);
        seat(places, &mut least);
        false
    });
    rest.sort_by(|a, b| jobs[*a].late.cmp(&jobs[*b].late).then(work(a, b)));
    for candidate in rest {
        let places = jobs[candidate].places;
        if need[places.class] == 0 && need[places.team] == 0 {
            continue;
        }
        seats.push(Seat {
            candidate,
            least: false,
        });
        seat(places, &mut need);
    }
    Election { demands, seats }
}

/// One that comes first is one that its class, its team and its class's largest
/// are short of no more.
fn seat(places: Places, short: &mut [u32]) {
    for place in places.iter() {
        short[place] = short[place].saturating_sub(1);
    }
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
        for place in job.places.iter() {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{End, Kind};
    use proptest::prelude::*;

    const LEVEL: Level = Level {
        least: 0.55,
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
    fn plain(book: &Book, jobs: &[Candidate], at: f64) -> (Vec<[u32; 2]>, Vec<Seat>) {
        let mut needs = Vec::new();
        for place in 0..book.keys().len() {
            let here = |j: &&Candidate| j.places.iter().any(|p| p == place);
            let late = |j: &&Candidate| here(j) && !j.served && j.overdue_s.is_some();
            let tells =
                jobs.iter().filter(late).count() >= 4 || jobs.iter().filter(late).any(|j| j.long);
            let mut need = [0; 2];
            for (window, span) in book.spans().iter().enumerate().filter(|_| tells) {
                let open = jobs.iter().filter(|j| here(j) && j.served).count() as u32;
                let served = book.served(place, at)[window] + open;
                let within = |j: &&Candidate| late(j) && j.overdue_s < Some(*span);
                let overdue = jobs.iter().filter(within).count() as u32;
                for (n, share) in [LEVEL.least, LEVEL.share].into_iter().enumerate() {
                    need[n] = need[n].max(plain_short(served, overdue, share));
                }
            }
            needs.push(need);
        }
        let (mut left, mut seats) = (needs.clone(), Vec::<Seat>::new());
        loop {
            let taken = |n: usize| seats.iter().any(|s| s.candidate == n);
            let able = |n: &usize| !taken(*n) && jobs[*n].fits && !jobs[*n].served;
            let short = |n: usize, level: usize| {
                let places = jobs[n].places;
                left[places.class][level] > 0 || left[places.team][level] > 0
            };
            let large = |n: &usize| {
                let places = jobs[*n].places;
                needs[places.class][0] == 0 && places.largest.is_some_and(|p| left[p][0] > 0)
            };
            let all = || (0..jobs.len()).filter(able);
            let best = |late: bool, which: &dyn Fn(&usize) -> bool| {
                all().filter(which).min_by(|a, b| {
                    let key = |n: usize| (late && jobs[n].late, jobs[n].work);
                    key(*a).partial_cmp(&key(*b)).unwrap()
                })
            };
            let first = best(false, &|n| short(*n, 0));
            let next = first.or(best(false, &large));
            let Some(candidate) = next.or(best(true, &|n| short(*n, 1))) else {
                return (needs, seats);
            };
            let least = first.is_some();
            let places = jobs[candidate].places;
            for place in places.iter() {
                left[place] = left[place].map(|n| n.saturating_sub(1));
            }
            seats.push(Seat { candidate, least });
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
                    places: Places {
                        class: places.0,
                        team: places.1,
                        largest: places.2.then_some(5 + places.0),
                    },
                    work: f64::from(work),
                    overdue_s,
                    late,
                    long: long == 0 && overdue_s.is_some(),
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
            let mut book = Book::new(200.0);
            for (kind, name) in [(Kind::Class, "a"), (Kind::Class, "b"), (Kind::Class, "c"), (Kind::Team, "x"), (Kind::Team, "y"), (Kind::Largest, "a"), (Kind::Largest, "b"), (Kind::Largest, "c")] {
                book.place(kind, name);
            }
            let now = 1e9;
            for (class, team, ago) in over {
                let places = Places { class, team, largest: (ago > 400.0).then_some(5 + class) };
                book.over(places, End::Done { late: false }, now - ago);
            }
            let election = elect(&book, &jobs, LEVEL, now);
            let (needs, seats) = plain(&book, &jobs, now);
            let real: Vec<[u32; 2]> = election.demands.iter().map(|d| [d.least, d.need]).collect();
            prop_assert_eq!(real, needs);
            prop_assert_eq!(election.seats, seats);
        }
    }

    // A class whose tasks fit nowhere is shown as that, and nobody makes room
    // for it; a service whose replicas all run is served.
    #[test]
    fn what_fits_nowhere_is_said_and_has_no_seat() {
        let mut book = Book::new(200.0);
        let places = Places {
            class: book.place(Kind::Class, "giant"),
            team: book.place(Kind::Team, "t"),
            largest: None,
        };
        let job = Candidate {
            places,
            work: 5.0,
            overdue_s: Some(50.0),
            late: true,
            long: true,
            fits: false,
            served: false,
        };
        let election = elect(&book, &[job.clone(), job.clone()], LEVEL, 1e9);
        assert_eq!(
            (election.demands[0].unfit, election.demands[0].need),
            (2, 2)
        );
        assert!(election.seats.is_empty());
        let fits = Candidate {
            fits: true,
            ..job.clone()
        };
        let served = Candidate {
            served: true,
            ..job
        };
        let election = elect(&book, &[served.clone(), served, fits], LEVEL, 1e9);
        assert!(election.seats.is_empty(), "two of three are served");
    }
}
