//! The floor under what each class of jobs and each team gets: who has fallen
//! behind, which jobs come first for it, and which machines are set aside so
//! that their tasks find a room of the right size.

use crate::{
    cluster_state::ClusterState,
    events::{ClusterEvent, UnderservedGroup},
    model::*,
    parts::{PriorityClaim, Reservation},
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_fairness::{
    Candidate, Counts, GroupIds, GroupKey, GroupKind, JobEnd, JobSize, LARGEST_FRACTION,
    ServiceCountsRecord, ShareTarget, Shortfall, select_underserved,
};
use tallygauge_protocol::users::Shape;

/// Patience, in boot and run times, with a job whose class has no aim and that
/// has no deadline.
const DEFAULT_DEADLINE_RUNS: f64 = 4.0;

/// Part of its patience after which a job that waits counts as overdue, at
/// most, where there is more work ahead than can be done within its patience;
/// the more there is, the earlier.
const OVERDUE_FRACTION: f64 = 0.7;

/// Part of the share aimed at that nobody may fall below.
const MIN_SHARE_FRACTION: f64 = 0.85;

impl Job {
    /// How large it is, by each reading.
    pub(crate) fn size(&self) -> JobSize {
        let tasks = f64::from(self.spec.tasks);
        let each = self.spec.cpus * self.spec.expected_s;
        [tasks, tasks * each, self.spec.cpus]
    }

    /// Where it counts whatever its size.
    pub(crate) fn groups(&self) -> GroupIds {
        let [class, team] = self.group_ids;
        GroupIds {
            class,
            team,
            largest: None,
        }
    }
}

/// How long it takes to do all that is open, by what bounds it: the team's
/// limit, the machines that are large enough, a zone.
struct Backlog<'a> {
    /// CPUs that a team can have at most.
    max_cpus_by_team: Vec<f64>,
    seconds_by_team: Vec<f64>,
    /// CPUs of a machine, and seconds for all work that needs one as large.
    seconds_by_machine_size: Vec<(f64, f64)>,
    seconds_by_zone: BTreeMap<String, f64>,
    /// Kinds of machines that there are or that may be had.
    available_kinds: BTreeSet<(&'a str, &'a str, bool)>,
}

impl Backlog<'_> {
    /// Seconds until all work that is bound as a job is would be done.
    fn seconds(&self, job: &Job, least_cpus: f64) -> f64 {
        let large = self
            .seconds_by_machine_size
            .iter()
            .filter(|s| s.0 <= least_cpus);
        let size = large.map(|s| s.1).fold(0.0, f64::max);
        let zone = job
            .spec
            .zone
            .as_ref()
            .and_then(|z| self.seconds_by_zone.get(z));
        self.seconds_by_team[job.team]
            .max(size)
            .max(zone.copied().unwrap_or(0.0))
    }
}

/// How a class of jobs or a team is served.
#[derive(Debug, Clone)]
pub struct GroupStatus<'a> {
    /// Which.
    pub key: &'a GroupKey,
    /// What is over of it.
    pub counts: &'a Counts,
    /// Open jobs, and how many of them have started.
    pub open: u32,
    /// Open jobs of which a task has run.
    pub started: u32,
    /// What it is short of.
    pub shortfall: Shortfall,
}

impl ClusterState {
    /// The time of day now, so that counts fit those of other leaders.
    pub fn set_time_of_day(&mut self, now: f64, time_of_day: f64) {
        self.minimum_share.time_of_day_offset = time_of_day - now;
    }

    /// Takes up what an earlier leader kept of the floor's counts. `false`: a
    /// format that this version doesn't know.
    pub fn restore_service_counts(&mut self, record: ServiceCountsRecord) -> bool {
        self.minimum_share.service_counts.restore(record)
    }

    /// What is to be kept of the floor's counts, at most so many bytes.
    #[must_use]
    pub fn service_counts_record(&self, most_bytes: usize) -> ServiceCountsRecord {
        self.minimum_share.service_counts.to_record(most_bytes)
    }

    /// Places of a job's class and team in the book.
    pub(crate) fn group_ids(&mut self, class: &str, team: &str) -> [usize; 2] {
        let book = &mut self.minimum_share.service_counts;
        [
            book.group_id(GroupKind::Class, class),
            book.group_id(GroupKind::Team, team),
        ]
    }

    /// A job is over, as its tasks tell.
    pub(crate) fn record_job_end(&mut self, job: &Job, now: f64) {
        let end = if job.is_complete() {
            let late = now - job.accepted_at > self.service_deadline_s(job);
            JobEnd::Done { late }
        } else {
            JobEnd::Cancelled {
                started: job.started,
            }
        };
        let at = now + self.minimum_share.time_of_day_offset;
        let size = job.size();
        let places = GroupIds {
            largest: self
                .minimum_share
                .service_counts
                .largest_group_of_job(job.group_ids[0], size),
            ..job.groups()
        };
        self.minimum_share
            .service_counts
            .record_closed(job.group_ids[0], size);
        self.minimum_share
            .service_counts
            .record_end(places, end, at);
        self.minimum_share.claims.remove(&job.spec.id);
        self.start_deadlines.claims.remove(&job.spec.id);
    }

    /// How long after its submission a job is still served in time: its loosest
    /// aim.
    pub(crate) fn service_deadline_s(&self, job: &Job) -> f64 {
        let aim = self.config.objectives.get(&job.spec.class);
        let times = aim.and_then(|a| a.deadline_factor).unwrap_or(1.0);
        let due = job.spec.deadline_s.map(|d| d * times);
        let within = aim.and_then(|a| a.within_s);
        due.into_iter()
            .chain(within)
            .reduce(f64::max)
            .unwrap_or_else(|| {
                let boot_s = self
                    .machine_types
                    .values()
                    .map(|t| t.boot_s)
                    .fold(0.0, f64::max);
                (boot_s + job.spec.expected_s.max(self.config.min_remaining_s))
                    * DEFAULT_DEADLINE_RUNS
            })
    }

    /// CPU-seconds until the last task of a job is done.
    pub(crate) fn remaining_cpu_s(&self, job: &Job) -> f64 {
        let run = self.remaining_s(job, 0.0);
        let resumes = job.resumable.values();
        let resumes: f64 = resumes
            .map(|r| self.remaining_s(job, r.checkpointed_s))
            .sum();
        // Of those on a machine about half is done.
        let held =
            f64::from(u32::try_from(job.attempts_by_task.len()).unwrap_or(u32::MAX)) * run * 0.5;
        (f64::from(job.pending.len()) * run + resumes + held) * job.spec.cpus
    }

    /// A job as the floor looks at it. Its turn has passed when it has waited
    /// for as long as its patience, or (`turns`) as all work ahead takes.
    fn candidate(
        &self,
        (job, work, largest): (&Job, f64, Option<usize>),
        pressure: &Backlog,
        turns: bool,
        now: f64,
    ) -> Candidate {
        let waits = job.has_pending_tasks();
        let age = now - job.accepted_at;
        let due = self.service_deadline_s(job);
        // A job that is large takes long whatever is done.
        let run = self.remaining_s(job, 0.0);
        let alone =
            job.spec.cpus * f64::from(job.spec.tasks) * run / pressure.max_cpus_by_team[job.team];
        let ahead = pressure.seconds(job, self.smallest_fitting_cpus(job));
        let early = if ahead > due {
            OVERDUE_FRACTION.min(due / ahead)
        } else {
            1.0
        };
        let mut turn = (due * early).max(alone);
        if turns {
            turn = turn.min(ahead * OVERDUE_FRACTION);
        }
        let over = age - turn;
        let none = BTreeMap::new();
        let fits = pressure
            .available_kinds
            .iter()
            .any(|(machine_type, zone, spot)| {
                job.allows(machine_type, zone, *spot, &none)
                    && self
                        .machine_types
                        .get(*machine_type)
                        .is_some_and(|t| Resources::of_type(t).can_fit(&job.spec))
            });
        Candidate {
            groups: GroupIds {
                largest,
                ..job.groups()
            },
            remaining_cpu_s: work,
            overdue_s: (over > 0.0).then_some(over),
            late: age + if waits { run } else { 0.0 } > due,
            long_overdue: over > due,
            fits,
            served: job.spec.shape == Shape::Service && !waits,
        }
    }

    /// How much work there is against the machines, with the work that each
    /// open job has left.
    fn backlog(&self, works: &[(&Job, f64, Option<usize>)], now: f64) -> Backlog<'_> {
        let mut kinds: BTreeSet<(&str, &str, bool)> = BTreeSet::new();
        let mut sizes: Vec<f64> = self.machine_types.values().map(|t| t.cpus).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        let mut room = 0.0;
        let mut room_of = vec![0.0; sizes.len()];
        let mut room_in: BTreeMap<&str, f64> = BTreeMap::new();
        for w in self.workers.values() {
            let coming = !w.is_up() && w.leaving.is_none();
            let usable = w.accepts_work(now, &self.config);
            if usable {
                kinds.insert((&w.machine_type, &w.zone, w.spot));
            }
            let Some(t) = self.machine_types.get(&w.machine_type) else {
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
        for t in self.machine_types.values() {
            for zone in &t.zones {
                for spot in [true, false] {
                    let kind = MachineKind {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !self.capacity_backoff.contains_key(&kind) {
                        kinds.insert((&t.name, zone, spot));
                    }
                }
            }
        }
        let mut by_team = vec![0.0; self.config.teams.len()];
        let mut by_size = vec![0.0; sizes.len()];
        let mut by_zone: BTreeMap<String, f64> = BTreeMap::new();
        for (job, work, _) in works {
            by_team[job.team] += work;
            let least = self.smallest_fitting_cpus(job);
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
                work / room.max(EPSILON)
            } else {
                0.0
            }
        };
        let teams = self.config.teams.iter();
        let most: Vec<f64> = teams.map(|t| t.max_cpus.min(room).max(1.0)).collect();
        Backlog {
            seconds_by_team: by_team.iter().zip(&most).map(|(w, m)| w / m).collect(),
            max_cpus_by_team: most,
            seconds_by_machine_size: (0..sizes.len())
                .map(|n| (sizes[n], per(by_size[n], room_of[n])))
                .collect(),
            seconds_by_zone: by_zone
                .into_iter()
                .map(|(zone, work)| {
                    let room = room_in.get(zone.as_str()).copied().unwrap_or(0.0);
                    (zone, per(work, room))
                })
                .collect(),
            available_kinds: kinds,
        }
    }

    /// Elects the jobs that come first, for classes and teams that are behind,
    /// and sets machines aside for them. To be called about four times a report
    /// interval.
    pub fn select_underserved(&mut self, now: f64) {
        if self.config.minimum_share.share <= 0.0 {
            return;
        }
        let book = &mut self.minimum_share.service_counts;
        let limits = book.size_thresholds(LARGEST_FRACTION);
        let mut places: HashMap<usize, usize> = HashMap::new();
        for class in limits.keys() {
            places.insert(*class, book.largest_group_id(*class));
        }
        let largest = self.jobs.values().map(|j| {
            let large = limits.get(&j.group_ids[0])?.is_at_least(j.size());
            large.then(|| places[&j.group_ids[0]])
        });
        let largest: Vec<Option<usize>> = largest.collect();
        let named = self.jobs.keys().zip(&largest);
        let named = named.filter_map(|(id, l)| Some((id.clone(), (*l)?)));
        self.minimum_share.largest_group_by_job = named.collect();
        let jobs = self.jobs.values().zip(largest);
        let works: Vec<(&Job, f64, Option<usize>)> =
            jobs.map(|(j, l)| (j, self.remaining_cpu_s(j), l)).collect();
        let pressure = self.backlog(&works, now);
        let candidates = |turns: bool| -> Vec<Candidate> {
            let each = works.iter();
            each.map(|w| self.candidate(*w, &pressure, turns, now))
                .collect()
        };
        let level = ShareTarget {
            min_share: self.config.minimum_share.share * MIN_SHARE_FRACTION,
            share: self.config.minimum_share.share,
        };
        let at = now + self.minimum_share.time_of_day_offset;
        let mut election = select_underserved(
            &self.minimum_share.service_counts,
            &candidates(false),
            level,
            at,
        );
        if !election.selected.is_empty() {
            // Somebody is behind: from then on all are measured alike, whatever
            // their aims.
            election = select_underserved(
                &self.minimum_share.service_counts,
                &candidates(true),
                level,
                at,
            );
        }
        let mut seats = HashMap::new();
        for (order, seat) in (0..).zip(&election.selected) {
            let job = works[seat.candidate].0;
            let seat = PriorityClaim {
                group: job.group_ids[0],
                for_min_share: seat.for_min_share,
                order,
            };
            seats.insert(job.spec.id.clone(), seat);
        }
        let elected: Vec<&Job> = election
            .selected
            .iter()
            .map(|s| works[s.candidate].0)
            .collect();
        // Each class that is behind has an equal part, and so has all work of
        // the others together.
        let behind: BTreeSet<usize> = seats.values().map(|s: &PriorityClaim| s.group).collect();
        let others = works
            .iter()
            .any(|(j, _, _)| !behind.contains(&j.group_ids[0]) && j.has_pending_tasks());
        let parties = behind.len() + usize::from(others);
        let part = behind.len() as f64 / parties.max(1) as f64;
        let aside = self.reserve_machines(&elected, &seats, part, now);
        let binds = seats.is_empty() != self.minimum_share.claims.is_empty();
        if binds {
            let event = if seats.is_empty() {
                ClusterEvent::MinimumShareReached
            } else {
                let behind = election
                    .shortfalls
                    .iter()
                    .enumerate()
                    .filter(|d| d.1.to_target_share > 0);
                let counts = &self.minimum_share.service_counts;
                let groups = behind.map(|(group, shortfall)| UnderservedGroup {
                    name: counts.keys()[group].name.to_string(),
                    done_within_day: counts.done_in_windows(group, at)[0],
                    overdue: shortfall.overdue,
                    to_target_share: shortfall.to_target_share,
                });
                ClusterEvent::MinimumShareEnforced {
                    jobs: seats.len(),
                    groups: groups.collect(),
                }
            };
            self.events.push(event);
        }
        self.minimum_share.shortfalls = election.shortfalls;
        self.minimum_share.claims = seats;
        self.minimum_share.reserved = aside;
        self.minimum_share.machine_share = part;
    }

    /// Machines for the tasks of elected jobs that are larger than others which
    /// wait: among those, freed rooms would never grow to their size. Each class
    /// has an equal part, as much as it can use. A machine stays aside as long
    /// as it is wanted, lest what has fallen free there is nibbled away again.
    fn reserve_machines(
        &self,
        elected: &[&Job],
        seats: &HashMap<String, PriorityClaim>,
        part: f64,
        now: f64,
    ) -> BTreeMap<String, Reservation> {
        let mut aside = BTreeMap::new();
        let smallest = self.smallest_pending_cpus();
        let mut large: BTreeMap<usize, Vec<&Job>> = BTreeMap::new();
        for job in elected.iter().filter(|j| j.has_pending_tasks()) {
            if job.spec.cpus > smallest + EPSILON {
                let place = seats[&job.spec.id].group;
                large.entry(place).or_default().push(job);
            }
        }
        if large.is_empty() {
            return aside;
        }
        let usable = || {
            self.workers
                .values()
                .filter(|w| w.accepts_work(now, &self.config))
        };
        let size = |w: &Worker| {
            self.machine_types
                .get(&w.machine_type)
                .map_or(0.0, |t| t.cpus)
        };
        let room = usable().map(size).sum::<f64>() * part;
        let places: BTreeSet<usize> = seats.values().map(|s| s.group).collect();
        let each = room / places.len() as f64;
        // CPU time until other work has left a machine.
        let busy = |w: &Worker| {
            let others = w.attempts.iter().filter(|h| h.occupies_capacity());
            others
                .filter(|h| !seats.contains_key(&h.spec.id))
                .map(|h| h.spec.cpus * self.remaining_running_s(h, now))
                .sum::<f64>()
        };
        let mut machines: Vec<(f64, &Worker)> = usable().map(|w| (busy(w), w)).collect();
        machines.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.name.cmp(&b.1.name)));
        for (place, jobs) in large {
            let least = jobs.iter().map(|j| j.spec.cpus).fold(f64::MAX, f64::min);
            let was = |w: &Worker| {
                self.minimum_share
                    .reserved
                    .get(&w.name)
                    .is_some_and(|a| a.group == place)
            };
            let kept = machines.iter().filter(|m| was(m.1));
            let new = machines.iter().filter(|m| !was(m.1));
            let order: Vec<&Worker> = kept.chain(new).map(|m| m.1).collect();
            let mut budget = each;
            for job in jobs {
                let tasks =
                    job.pending.len() as usize + job.resumable.len() + job.attempts_by_task.len();
                let mut tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
                for w in &order {
                    if tasks == 0 || budget < least {
                        break;
                    }
                    if aside.contains_key(&w.name)
                        || !job.allows(&w.machine_type, &w.zone, w.spot, &job.attempts_by_zone)
                    {
                        continue;
                    }
                    let Some(t) = self.machine_types.get(&w.machine_type) else {
                        continue;
                    };
                    let count = count_fitting(t.cpus, job.spec.cpus)
                        .min(count_fitting(t.gpus, job.spec.gpus))
                        .min(count_fitting(t.memory_gb, job.spec.memory_gb));
                    if count == 0 {
                        continue;
                    }
                    tasks = tasks.saturating_sub(count);
                    budget -= t.cpus;
                    aside.insert(
                        w.name.clone(),
                        Reservation {
                            group: place,
                            min_task_cpus: least,
                        },
                    );
                }
            }
        }
        aside
    }

    /// CPUs of the smallest task that waits.
    pub(crate) fn smallest_pending_cpus(&self) -> f64 {
        let waiting = self.jobs.values().filter(|j| j.has_pending_tasks());
        waiting.map(|j| j.spec.cpus).fold(f64::MAX, f64::min)
    }

    /// Machines that are set aside.
    #[must_use]
    pub fn reserved_machines(&self) -> usize {
        self.minimum_share.reserved.len()
    }

    /// How each class and each team is served.
    #[must_use]
    pub fn group_statuses(&self) -> Vec<GroupStatus<'_>> {
        let book = &self.minimum_share.service_counts;
        let mut open = vec![(0u32, 0u32); book.keys().len()];
        for job in self.jobs.values() {
            let largest = self.minimum_share.largest_group_by_job.get(&job.spec.id);
            for place in job.group_ids.iter().chain(largest).copied() {
                open[place].0 += 1;
                open[place].1 += u32::from(job.started);
            }
        }
        let mut out: Vec<GroupStatus> = book
            .keys()
            .iter()
            .enumerate()
            .map(|(place, key)| GroupStatus {
                key,
                counts: book.counts(place),
                open: open[place].0,
                started: open[place].1,
                shortfall: self
                    .minimum_share
                    .shortfalls
                    .get(place)
                    .copied()
                    .unwrap_or_default(),
            })
            .collect();
        out.sort_by(|a, b| a.key.cmp(b.key));
        out
    }
}
