//! The floor under what each class of jobs and each team gets: who has fallen
//! behind, which jobs come first for it, and which machines are set aside so
//! that their tasks find a room of the right size.

use crate::{
    cluster_state::Cluster,
    model::*,
    parts::{Aside, Seat},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_fairness::{
    Candidate, Demand, End, Key, Kind, LARGEST, Level, Places, Record, Size, Tally, elect,
};
use tallygauge_protocol::users::Shape;

/// Patience, in boot and run times, with a job whose class has no aim and that
/// has no deadline.
const PATIENCE_RUNS: f64 = 4.0;

/// Part of its patience after which a job that waits counts as overdue, at
/// most, where there is more work ahead than can be done within its patience;
/// the more there is, the earlier.
const EARLY: f64 = 0.7;

/// Part of the share aimed at that nobody may fall below.
const LEAST: f64 = 0.85;

impl Job {
    /// How large it is, by each reading.
    pub(crate) fn size(&self) -> Size {
        let tasks = f64::from(self.spec.tasks);
        let each = self.spec.cpus * self.spec.expected_s;
        [tasks, tasks * each, self.spec.cpus]
    }

    /// Where it counts whatever its size.
    pub(crate) fn all_places(&self) -> Places {
        let [class, team] = self.places;
        Places {
            class,
            team,
            largest: None,
        }
    }
}

/// How long it takes to do all that is open, by what bounds it: the team's
/// limit, the machines that are large enough, a zone.
struct Pressure<'a> {
    /// CPUs that a team can have at most.
    most: Vec<f64>,
    teams: Vec<f64>,
    /// CPUs of a machine, and seconds for all work that needs one as large.
    sizes: Vec<(f64, f64)>,
    zones: BTreeMap<String, f64>,
    /// Kinds of machines that there are or that may be had.
    kinds: BTreeSet<(&'a str, &'a str, bool)>,
}

impl Pressure<'_> {
    /// Seconds until all work that is bound as a job is would be done.
    fn seconds(&self, job: &Job, least_cpus: f64) -> f64 {
        let large = self.sizes.iter().filter(|s| s.0 <= least_cpus);
        let size = large.map(|s| s.1).fold(0.0, f64::max);
        let zone = job.spec.zone.as_ref().and_then(|z| self.zones.get(z));
        self.teams[job.team]
            .max(size)
            .max(zone.copied().unwrap_or(0.0))
    }
}

/// How a class of jobs or a team is served.
#[derive(Debug, Clone)]
pub struct Standing<'a> {
    /// Which.
    pub key: &'a Key,
    /// What is over of it.
    pub tally: &'a Tally,
    /// Open jobs, and how many of them have started.
    pub open: u32,
    /// Open jobs of which a task has run.
    pub started: u32,
    /// What it is short of.
    pub demand: Demand,
}

impl Cluster {
    /// The time of day now, so that counts fit those of other leaders.
    pub fn set_time_of_day(&mut self, now: f64, time_of_day: f64) {
        self.floor.day = time_of_day - now;
    }

    /// Takes up what an earlier leader kept of the floor's counts. `false`: a
    /// format that this version doesn't know.
    pub fn load_floor(&mut self, record: Record) -> bool {
        self.floor.book.load(record)
    }

    /// What is to be kept of the floor's counts, at most so many bytes.
    #[must_use]
    pub fn floor_record(&self, most_bytes: usize) -> Record {
        self.floor.book.record(most_bytes)
    }

    /// Places of a job's class and team in the book.
    pub(crate) fn places(&mut self, class: &str, team: &str) -> [usize; 2] {
        let book = &mut self.floor.book;
        [book.place(Kind::Class, class), book.place(Kind::Team, team)]
    }

    /// A job is over, as its tasks tell.
    pub(crate) fn count_over(&mut self, job: &Job, now: f64) {
        let end = if job.complete() {
            let late = now - job.accepted_at > self.patience_s(job);
            End::Done { late }
        } else {
            End::Cancelled {
                started: job.started,
            }
        };
        let at = now + self.floor.day;
        let size = job.size();
        let places = Places {
            largest: self.floor.book.largest(job.places[0], size),
            ..job.all_places()
        };
        self.floor.book.close(job.places[0], size);
        self.floor.book.over(places, end, at);
        self.floor.seats.remove(&job.spec.id);
        self.begins.jobs.remove(&job.spec.id);
    }

    /// How long after its submission a job is still served in time: its loosest
    /// aim.
    pub(crate) fn patience_s(&self, job: &Job) -> f64 {
        let aim = self.cfg.aims.get(&job.spec.class);
        let times = aim.and_then(|a| a.times).unwrap_or(1.0);
        let due = job.spec.deadline_s.map(|d| d * times);
        let within = aim.and_then(|a| a.within_s);
        due.into_iter()
            .chain(within)
            .reduce(f64::max)
            .unwrap_or_else(|| {
                let boot_s = self.types.values().map(|t| t.boot_s).fold(0.0, f64::max);
                (boot_s + job.spec.expected_s.max(self.cfg.floor_s)) * PATIENCE_RUNS
            })
    }

    /// CPU-seconds until the last task of a job is done.
    pub(crate) fn work_left(&self, job: &Job) -> f64 {
        let run = self.remaining(job, 0.0);
        let resumes = job.resumes.values();
        let resumes: f64 = resumes.map(|r| self.remaining(job, r.saved_s)).sum();
        // Of those on a machine about half is done.
        let held = f64::from(u32::try_from(job.holds.len()).unwrap_or(u32::MAX)) * run * 0.5;
        (f64::from(job.waiting.len()) * run + resumes + held) * job.spec.cpus
    }

    /// A job as the floor looks at it. Its turn has passed when it has waited
    /// for as long as its patience, or (`turns`) as all work ahead takes.
    fn candidate(
        &self,
        (job, work, largest): (&Job, f64, Option<usize>),
        pressure: &Pressure,
        turns: bool,
        now: f64,
    ) -> Candidate {
        let waits = job.waits();
        let age = now - job.accepted_at;
        let due = self.patience_s(job);
        // A job that is large takes long whatever is done.
        let run = self.remaining(job, 0.0);
        let alone = job.spec.cpus * f64::from(job.spec.tasks) * run / pressure.most[job.team];
        let ahead = pressure.seconds(job, self.least_type(job));
        let early = if ahead > due {
            EARLY.min(due / ahead)
        } else {
            1.0
        };
        let mut turn = (due * early).max(alone);
        if turns {
            turn = turn.min(ahead * EARLY);
        }
        let over = age - turn;
        let none = BTreeMap::new();
        let fits = pressure.kinds.iter().any(|(machine_type, zone, spot)| {
            job.allows(machine_type, zone, *spot, &none)
                && self
                    .types
                    .get(*machine_type)
                    .is_some_and(|t| Room::of_type(t).holds(&job.spec))
        });
        Candidate {
            places: Places {
                largest,
                ..job.all_places()
            },
            work,
            overdue_s: (over > 0.0).then_some(over),
            late: age + if waits { run } else { 0.0 } > due,
            long: over > due,
            fits,
            served: job.spec.shape == Shape::Service && !waits,
        }
    }

    /// How much work there is against the machines, with the work that each
    /// open job has left.
    fn pressure(&self, works: &[(&Job, f64, Option<usize>)], now: f64) -> Pressure<'_> {
        let mut kinds: BTreeSet<(&str, &str, bool)> = BTreeSet::new();
        let mut sizes: Vec<f64> = self.types.values().map(|t| t.cpus).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let mut room = 0.0;
        let mut room_of = vec![0.0; sizes.len()];
        let mut room_in: BTreeMap<&str, f64> = BTreeMap::new();
        for w in self.workers.values() {
            let coming = !w.up() && w.leaving.is_none();
            let usable = w.usable(now, &self.cfg);
            if usable {
                kinds.insert((&w.machine_type, &w.zone, w.spot));
            }
            let Some(t) = self.types.get(&w.machine_type) else {
                continue;
            };
            if usable || coming {
                room += t.cpus;
                *room_in.entry(&w.zone).or_default() += t.cpus;
                for (size, room) in sizes.iter().zip(&mut room_of) {
                    if t.cpus >= *size {
                        *room += t.cpus;
                    }
                }
            }
        }
        for t in self.types.values() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let kind = (t.name.clone(), zone.clone(), spot);
                    if !self.blocked.contains_key(&kind) {
                        kinds.insert((&t.name, zone, spot));
                    }
                }
            }
        }
        let mut by_team = vec![0.0; self.cfg.teams.len()];
        let mut by_size = vec![0.0; sizes.len()];
        let mut by_zone: BTreeMap<String, f64> = BTreeMap::new();
        for (job, work, _) in works {
            by_team[job.team] += work;
            let least = self.least_type(job);
            for (size, sum) in sizes.iter().zip(&mut by_size) {
                if *size <= least {
                    *sum += work;
                }
            }
            if let Some(zone) = &job.spec.zone {
                *by_zone.entry(zone.clone()).or_default() += work;
            }
        }
        let per = |work: f64, room: f64| {
            if work > 0.0 {
                work / room.max(EPS)
            } else {
                0.0
            }
        };
        let teams = self.cfg.teams.iter();
        let most: Vec<f64> = teams.map(|t| t.cpus_max.min(room).max(1.0)).collect();
        Pressure {
            teams: by_team.iter().zip(&most).map(|(w, m)| w / m).collect(),
            most,
            sizes: (0..sizes.len())
                .map(|n| (sizes[n], per(by_size[n], room_of[n])))
                .collect(),
            zones: by_zone
                .into_iter()
                .map(|(zone, work)| {
                    let room = room_in.get(zone.as_str()).copied().unwrap_or(0.0);
                    (zone, per(work, room))
                })
                .collect(),
            kinds,
        }
    }

    /// Elects the jobs that come first, for classes and teams that are behind,
    /// and sets machines aside for them. To be called about four times a report
    /// interval.
    pub fn elect(&mut self, now: f64) {
        if self.cfg.floor.share <= 0.0 {
            return;
        }
        let book = &mut self.floor.book;
        let limits = book.limits(LARGEST);
        let mut places: HashMap<usize, usize> = HashMap::new();
        for class in limits.keys() {
            places.insert(*class, book.place_of_largest(*class));
        }
        let largest = self.jobs.values().map(|j| {
            let large = limits.get(&j.places[0])?.reach(j.size());
            large.then(|| places[&j.places[0]])
        });
        let largest: Vec<Option<usize>> = largest.collect();
        let named = self.jobs.keys().zip(&largest);
        let named = named.filter_map(|(id, l)| Some((id.clone(), (*l)?)));
        self.floor.largest = named.collect();
        let jobs = self.jobs.values().zip(largest);
        let works: Vec<(&Job, f64, Option<usize>)> =
            jobs.map(|(j, l)| (j, self.work_left(j), l)).collect();
        let pressure = self.pressure(&works, now);
        let candidates = |turns: bool| -> Vec<Candidate> {
            let each = works.iter();
            each.map(|w| self.candidate(*w, &pressure, turns, now))
                .collect()
        };
        let level = Level {
            least: self.cfg.floor.share * LEAST,
            share: self.cfg.floor.share,
        };
        let at = now + self.floor.day;
        let mut election = elect(&self.floor.book, &candidates(false), level, at);
        if !election.seats.is_empty() {
            // Somebody is behind: from then on all are measured alike, whatever
            // their aims.
            election = elect(&self.floor.book, &candidates(true), level, at);
        }
        let mut seats = HashMap::new();
        for (order, seat) in (0..).zip(&election.seats) {
            let job = works[seat.candidate].0;
            let seat = Seat {
                place: job.places[0],
                least: seat.least,
                order,
            };
            seats.insert(job.spec.id.clone(), seat);
        }
        let elected: Vec<&Job> = election
            .seats
            .iter()
            .map(|s| works[s.candidate].0)
            .collect();
        // Each class that is behind has an equal part, and so has all work of
        // the others together.
        let behind: BTreeSet<usize> = seats.values().map(|s: &Seat| s.place).collect();
        let others = works
            .iter()
            .any(|(j, _, _)| !behind.contains(&j.places[0]) && j.waits());
        let parties = behind.len() + usize::from(others);
        let part = behind.len() as f64 / parties.max(1) as f64;
        let aside = self.set_aside(&elected, &seats, part, now);
        let binds = seats.is_empty() != self.floor.seats.is_empty();
        if binds {
            let text = if seats.is_empty() {
                "the floor binds no more".to_string()
            } else {
                let behind = election.demands.iter().enumerate().filter(|d| d.1.need > 0);
                let names: Vec<String> = behind
                    .map(|(p, d)| {
                        format!(
                            "{}:{}/{}/{}",
                            self.floor.book.keys()[p].name,
                            self.floor.book.served(p, at)[0],
                            d.overdue,
                            d.need
                        )
                    })
                    .collect();
                format!(
                    "the floor binds: {} jobs come first: {}",
                    seats.len(),
                    names.join(" ")
                )
            };
            self.events.push((true, text));
        }
        self.floor.demands = election.demands;
        self.floor.seats = seats;
        self.floor.aside = aside;
        self.floor.part = part;
    }

    /// Machines for the tasks of elected jobs that are larger than others which
    /// wait: among those, freed rooms would never grow to their size. Each class
    /// has an equal part, as much as it can use. A machine stays aside as long
    /// as it is wanted, lest what has fallen free there is nibbled away again.
    fn set_aside(
        &self,
        elected: &[&Job],
        seats: &HashMap<String, Seat>,
        part: f64,
        now: f64,
    ) -> BTreeMap<String, Aside> {
        let mut aside = BTreeMap::new();
        let smallest = self.smallest_that_waits();
        let mut large: BTreeMap<usize, Vec<&Job>> = BTreeMap::new();
        for job in elected.iter().filter(|j| j.waits()) {
            if job.spec.cpus > smallest + EPS {
                let place = seats[&job.spec.id].place;
                large.entry(place).or_default().push(job);
            }
        }
        if large.is_empty() {
            return aside;
        }
        let usable = || self.workers.values().filter(|w| w.usable(now, &self.cfg));
        let size = |w: &Worker| self.types.get(&w.machine_type).map_or(0.0, |t| t.cpus);
        let room = usable().map(size).sum::<f64>() * part;
        let places: BTreeSet<usize> = seats.values().map(|s| s.place).collect();
        let each = room / places.len() as f64;
        // CPU time until other work has left a machine.
        let busy = |w: &Worker| {
            let others = w.held.iter().filter(|h| h.occupies());
            others
                .filter(|h| !seats.contains_key(&h.spec.id))
                .map(|h| h.spec.cpus * self.remaining_running(h, now))
                .sum::<f64>()
        };
        let mut machines: Vec<(f64, &Worker)> = usable().map(|w| (busy(w), w)).collect();
        machines.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.name.cmp(&b.1.name)));
        for (place, jobs) in large {
            let least = jobs.iter().map(|j| j.spec.cpus).fold(f64::MAX, f64::min);
            let was = |w: &Worker| {
                self.floor
                    .aside
                    .get(&w.name)
                    .is_some_and(|a| a.place == place)
            };
            let kept = machines.iter().filter(|m| was(m.1));
            let new = machines.iter().filter(|m| !was(m.1));
            let order: Vec<&Worker> = kept.chain(new).map(|m| m.1).collect();
            let mut budget = each;
            for job in jobs {
                let tasks = job.waiting.len() as usize + job.resumes.len() + job.holds.len();
                let mut tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
                for w in &order {
                    if tasks == 0 || budget < least {
                        break;
                    }
                    if aside.contains_key(&w.name)
                        || !job.allows(&w.machine_type, &w.zone, w.spot, &job.zones)
                    {
                        continue;
                    }
                    let Some(t) = self.types.get(&w.machine_type) else {
                        continue;
                    };
                    let count = fit(t.cpus, job.spec.cpus)
                        .min(fit(t.gpus, job.spec.gpus))
                        .min(fit(t.memory_gb, job.spec.memory_gb));
                    if count == 0 {
                        continue;
                    }
                    tasks = tasks.saturating_sub(count);
                    budget -= t.cpus;
                    aside.insert(w.name.clone(), Aside { place, least });
                }
            }
        }
        aside
    }

    /// CPUs of the smallest task that waits.
    pub(crate) fn smallest_that_waits(&self) -> f64 {
        let waiting = self.jobs.values().filter(|j| j.waits());
        waiting.map(|j| j.spec.cpus).fold(f64::MAX, f64::min)
    }

    /// Machines that are set aside.
    #[must_use]
    pub fn aside(&self) -> usize {
        self.floor.aside.len()
    }

    /// How each class and each team is served.
    #[must_use]
    pub fn standings(&self) -> Vec<Standing<'_>> {
        let book = &self.floor.book;
        let mut open = vec![(0u32, 0u32); book.keys().len()];
        for job in self.jobs.values() {
            let largest = self.floor.largest.get(&job.spec.id);
            for place in job.places.iter().chain(largest).copied() {
                open[place].0 += 1;
                open[place].1 += u32::from(job.started);
            }
        }
        let mut out: Vec<Standing> = book
            .keys()
            .iter()
            .enumerate()
            .map(|(place, key)| Standing {
                key,
                tally: book.tally(place),
                open: open[place].0,
                started: open[place].1,
                demand: self.floor.demands.get(place).copied().unwrap_or_default(),
            })
            .collect();
        out.sort_by(|a, b| a.key.cmp(b.key));
        out
    }
}
