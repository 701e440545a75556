//! One round: the greatest UPT first, until nothing that waits fits.

use super::{
    Group,
    candidates::{Finder, Full},
    ordering::Rank,
    preemption::Victim,
};
use crate::{
    cluster_state::{Cluster, Ledger},
    image_locality::is_replicated,
    model::*,
    parts::{Aside, Seat},
};
use std::{
    borrow::Cow,
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};
use tallygauge_protocol::{cloud::MachineType, users::Priority};

/// A start that a round decided on: job, task, progress, worker.
pub(super) type PlannedStart = (String, u32, f64, String);
/// A stop that a round decided on: worker, attempt, for which job.
pub(super) type PlannedStop = (String, u64, String);

/// A group that waits, and the place of its job among the round's, which are in
/// the order of their ids.
#[derive(Clone, Copy)]
pub(super) struct Waiting<'a> {
    pub(super) group: Group<'a>,
    pub(super) at: usize,
}

/// A group with the UPT that its next task may reach. Of equals the first by id
/// and number of the task comes first.
struct Candidate<'a> {
    rank: Rank,
    waiting: Waiting<'a>,
    index: u32,
}

impl PartialEq for Candidate<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate<'_> {}

impl PartialOrd for Candidate<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = self.rank.cmp(&other.rank);
        rank.then_with(|| other.waiting.at.cmp(&self.waiting.at))
            .then_with(|| other.index.cmp(&self.index))
    }
}

/// A job with tasks that wait, and what the round keeps of it.
pub(super) struct Entrant<'a> {
    pub(super) job: &'a Job,
    pub(super) within: bool,
    /// On whose behalf it comes first, if it does.
    pub(super) seat: Option<Seat>,
    /// It is to begin with one task, in which order.
    pub(super) begin: Option<u32>,
    /// Run time of a whole task, as far as known.
    whole_s: f64,
    pub(super) finder: Option<Finder>,
    /// Where its tasks are, if that matters and it has starts.
    pub(super) zones: Option<BTreeMap<String, u32>>,
    /// Replicas placed in this round, by slot.
    pub(super) beside: BTreeMap<usize, u32>,
    /// Tasks taken from its waiting ones.
    pub(super) taken: usize,
    /// Tasks placed with something of their own.
    pub(super) resumed: usize,
    /// Room was made for it, or can't be.
    pub(super) asked: bool,
}

/// A usable worker during a round.
pub(super) struct Slot<'a> {
    pub(super) worker: &'a Worker,
    pub(super) of_type: usize,
    pub(super) of_zone: usize,
    pub(super) room: Room,
    /// The room there will be when all stops are confirmed.
    pub(super) soon: Room,
    pub(super) tasks: usize,
    pub(super) images: Cow<'a, Images>,
    pub(super) version: u32,
    /// Set aside for jobs that come first.
    pub(super) aside: Option<Aside>,
    /// Set aside for tasks of so many CPUs at least of jobs that are to begin.
    pub(super) to_begin: Option<f64>,
    /// What may be stopped, least UPT first.
    pub(super) victims: Vec<Victim<'a>>,
}

struct Start<'a> {
    group: Group<'a>,
    index: u32,
    slot: usize,
}

/// One round on the picture as it stands.
pub(super) struct Round<'a> {
    pub(super) c: &'a Cluster,
    pub(super) now: f64,
    pub(super) types: Vec<&'a MachineType>,
    /// Zones of usable machines.
    pub(super) sites: Vec<&'a str>,
    pub(super) largest: f64,
    pub(super) contended: f64,
    /// Jobs with tasks that wait.
    pub(super) entrants: Vec<Entrant<'a>>,
    /// Usable workers, by name.
    pub(super) slots: Vec<Slot<'a>>,
    /// Slots changed by this round, in order.
    pub(super) log: Vec<usize>,
    /// Amounts that no machine has room for any more.
    pub(super) full: Vec<Full>,
    pub(super) ledgers: Vec<Ledger>,
    /// CPUs and GPUs that each team will have given up when its stops are
    /// confirmed.
    pub(super) leaving: Vec<Ledger>,
    /// CPUs used for jobs that come first, by class or team.
    used: Vec<f64>,
    /// CPUs that more of them may use on machines that are not set aside.
    first_left: f64,
    /// Slots on which room is being made.
    pub(super) making: BTreeSet<usize>,
    /// Least UPT of the victims of each priority and team.
    pub(super) kinds_of_victims: BTreeMap<(Priority, usize), f64>,
    starts: Vec<Start<'a>>,
    pub(super) stops: Vec<(usize, u64, &'a str)>,
}

/// CPUs that jobs which come first may yet use on machines that are not set
/// aside.
fn first_left(c: &Cluster, slots: &[Slot], types: &[&MachineType]) -> f64 {
    let size = |s: &Slot| types[s.of_type].cpus;
    let all: f64 = slots.iter().map(size).sum();
    let aside: f64 = slots.iter().filter(|s| s.aside.is_some()).map(size).sum();
    let first = |h: &&Held| h.occupies() && c.floor.seats.contains_key(&h.spec.id);
    let used: f64 = slots
        .iter()
        .filter(|s| s.aside.is_none())
        .flat_map(|s| s.worker.held.iter().filter(first))
        .map(|h| h.spec.cpus)
        .sum();
    all * c.floor.part - aside - used
}

impl<'a> Round<'a> {
    /// A round, and what waits in it. `groups` are in the order of their jobs.
    pub(super) fn new(
        c: &'a Cluster,
        now: f64,
        groups: Vec<Group<'a>>,
    ) -> (Self, Vec<Waiting<'a>>) {
        let mut types: Vec<&MachineType> = c.types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        let mut slots = Vec::with_capacity(c.workers.len());
        let usable = c.workers.values().filter(|w| w.usable(now, &c.cfg));
        let usable: Vec<&Worker> = usable.collect();
        let sites: BTreeSet<&str> = usable.iter().map(|w| w.zone.as_str()).collect();
        let sites: Vec<&str> = sites.into_iter().collect();
        let mut leaving = vec![Ledger::default(); c.cfg.teams.len()];
        let mut making = BTreeSet::new();
        for worker in usable {
            let named = types.binary_search_by(|t| t.name.as_str().cmp(&worker.machine_type));
            let Ok(of_type) = named else { continue };
            let of_zone = sites.binary_search(&worker.zone.as_str()).unwrap_or(0);
            let mut soon = worker.free;
            let stopping = |h: &&Held| h.stop.is_some() && h.occupies();
            for held in worker.held.iter().filter(stopping) {
                soon.add(&held.spec, 1.0);
                making.insert(slots.len());
                if let Some(team) = c.cfg.team(&held.spec.team) {
                    leaving[team].add(&held.spec, 1.0);
                }
            }
            slots.push(Slot {
                worker,
                of_type,
                of_zone,
                room: worker.free,
                soon,
                tasks: worker.held.len(),
                images: Cow::Borrowed(&worker.images),
                version: 0,
                aside: c.floor.aside.get(&worker.name).copied(),
                to_begin: c.begins.aside.get(&worker.name).copied(),
                victims: Vec::new(),
            });
        }
        let mut used = vec![0.0; c.floor.book.keys().len()];
        for (id, seat) in &c.floor.seats {
            if let Some(job) = c.jobs.get(id) {
                used[seat.place] += job.spec.cpus * job.holds.len() as f64;
            }
        }
        let first_left = if c.floor.seats.is_empty() {
            0.0
        } else {
            first_left(c, &slots, &types)
        };
        let contended = c.contended(&groups);
        let within = c.within_guarantee();
        let mut entrants: Vec<Entrant> = Vec::new();
        let mut waiting = Vec::with_capacity(groups.len());
        for group in groups {
            let job = group.job;
            let same = entrants.last().is_some_and(|e| std::ptr::eq(e.job, job));
            if !same {
                entrants.push(Entrant {
                    job,
                    within: within.contains(job.spec.id.as_str()),
                    seat: c.floor.seats.get(&job.spec.id).copied(),
                    begin: c.turn_to_begin(&job.spec.id),
                    whole_s: c.whole(&job.spec),
                    finder: None,
                    zones: None,
                    beside: BTreeMap::new(),
                    taken: 0,
                    resumed: 0,
                    asked: false,
                });
            }
            let at = entrants.len() - 1;
            waiting.push(Waiting { group, at });
        }
        let round = Self {
            c,
            now,
            first_left,
            used,
            largest: types.iter().map(|t| t.cpus).fold(1.0, f64::max),
            contended,
            types,
            sites,
            entrants,
            slots,
            log: Vec::new(),
            full: Vec::new(),
            ledgers: c.ledgers.clone(),
            leaving,
            making,
            kinds_of_victims: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        };
        (round, waiting)
    }

    /// Remaining run time of a task of a job that begins with `saved_s`.
    pub(super) fn remaining(&self, at: usize, saved_s: f64) -> f64 {
        (self.entrants[at].whole_s - saved_s).max(self.c.cfg.floor_s)
    }

    /// UPT that a task of the group may reach at most.
    pub(super) fn best_upt(&self, waiting: &Waiting) -> f64 {
        let saved = waiting.group.resume.map_or(0.0, |r| r.saved_s);
        let left = self.remaining(waiting.at, saved);
        self.c.order_worth(waiting.group.job, self.now + left * 0.5) / left
    }

    fn best_possible(&self, waiting: &Waiting) -> Rank {
        Rank {
            within: self.entrants[waiting.at].within,
            upt: self.best_upt(waiting),
            accepted_at: waiting.group.job.accepted_at,
        }
    }

    /// How many more tasks of the job its team's limit allows.
    fn headroom(&self, job: &Job) -> usize {
        let (team, used) = (&self.c.cfg.teams[job.team], &self.ledgers[job.team]);
        let cpus = fit(team.cpus_max - used.cpus, job.spec.cpus);
        let gpus = fit(team.gpus_max - used.gpus, job.spec.gpus);
        cpus.min(gpus) as usize
    }

    /// Works the round out: jobs that the floor puts first, then all others.
    pub(super) fn run(&mut self, waiting: Vec<Waiting<'a>>, preempt: bool) {
        if preempt {
            self.find_victims();
        }
        let outlook = self.outlook();
        let hopeful = waiting.into_iter().filter(|w| outlook.any(self, w));
        let waiting: Vec<Waiting> = hopeful.collect();
        let waiting = self.run_begins(waiting, preempt);
        let rest = self.run_first(waiting, preempt);
        self.run_by_upt(rest, preempt);
    }

    /// Places one task of each job that is to begin, in the order of their
    /// acceptance, and then more of them. Where the team's limit leaves no room
    /// for the first, what there is of it is kept. Returns what is left.
    fn run_begins(&mut self, mut waiting: Vec<Waiting<'a>>, preempt: bool) -> Vec<Waiting<'a>> {
        let mut turns: BTreeMap<u32, usize> = BTreeMap::new();
        for (n, w) in waiting.iter().enumerate() {
            let Some(order) = self.entrants[w.at].begin else {
                continue;
            };
            let at = turns.entry(order).or_insert(n);
            // Of one job, what has least left to run goes first.
            if self.best_upt(w) > self.best_upt(&waiting[*at]) {
                *at = n;
            }
        }
        let mut placed = BTreeSet::new();
        for n in turns.values().copied() {
            let one = waiting[n];
            let job = one.group.job;
            if self.headroom(job) == 0 {
                self.ledgers[job.team].add(&job.spec, 1.0);
                continue;
            }
            let Some((slot, _)) = self.best_spot(&one) else {
                if preempt {
                    self.make_room(&one, 1);
                    self.entrants[one.at].asked = false;
                }
                continue;
            };
            self.start(&one, slot);
            self.entrants[one.at].begin = None;
            if one.group.resume.is_some() || self.unplaced(one.at) == 0 {
                placed.insert(n);
            }
        }
        // Then their other tasks that never ran, on a part of the machines.
        if !self.c.begins.jobs.is_empty() {
            let cpus: f64 = self.slots.iter().map(|s| self.types[s.of_type].cpus).sum();
            let mut left = self.c.left_to_begin(cpus);
            let near = |w: &Waiting| self.c.begins.jobs.get(&w.group.job.spec.id);
            let mut others: Vec<(u32, usize)> = (0..waiting.len())
                .filter(|n| !placed.contains(n) && waiting[*n].group.resume.is_none())
                .filter_map(|n| Some((near(&waiting[n]).filter(|t| t.late)?.order, n)))
                .collect();
            others.sort_unstable();
            for (_, n) in others {
                let one = waiting[n];
                let job = one.group.job;
                while left > 0.0 && self.unplaced(one.at) > 0 && self.headroom(job) > 0 {
                    let Some((slot, _)) = self.best_spot(&one) else {
                        break;
                    };
                    self.start(&one, slot);
                    left -= job.spec.cpus;
                }
                if self.unplaced(one.at) == 0 {
                    placed.insert(n);
                }
            }
        }
        let mut n = 0;
        waiting.retain(|_| {
            n += 1;
            !placed.contains(&(n - 1))
        });
        waiting
    }

    /// Places tasks of jobs that come first, those before all that the least part
    /// needs: of the class with the fewest CPUs used for such jobs the next, in
    /// the order of its jobs, as long as there is room that they may use. Returns
    /// what is left to the others' order.
    fn run_first(&mut self, waiting: Vec<Waiting<'a>>, preempt: bool) -> Vec<Waiting<'a>> {
        let mut queues: BTreeMap<(bool, usize), VecDeque<(u32, Waiting)>> = BTreeMap::new();
        let mut rest = Vec::with_capacity(waiting.len());
        for waiting in waiting {
            match self.entrants[waiting.at].seat {
                Some(seat) => {
                    let queue = queues.entry((!seat.least, seat.place)).or_default();
                    queue.push_back((seat.order, waiting));
                }
                None => rest.push(waiting),
            }
        }
        for queue in queues.values_mut() {
            // Of one job, what has least left to run goes first.
            let best = |w: &Waiting| self.best_upt(w);
            queue.make_contiguous().sort_by(|a, b| {
                let upt = best(&b.1).total_cmp(&best(&a.1));
                a.0.cmp(&b.0).then(upt)
            });
        }
        while self.first_left > 0.0 {
            let least = queues
                .iter_mut()
                .filter(|q| !q.1.is_empty())
                .min_by(|a, b| {
                    let used = self.used[a.0.1].total_cmp(&self.used[b.0.1]);
                    a.0.0.cmp(&b.0.0).then(used)
                });
            let Some((_, queue)) = least else { break };
            let Some((order, waiting)) = queue.pop_front() else {
                break;
            };
            let headroom = self.headroom(waiting.group.job);
            if headroom == 0 {
                continue;
            }
            let Some((slot, _)) = self.best_spot(&waiting) else {
                if preempt {
                    self.make_room(&waiting, headroom);
                }
                continue;
            };
            self.start(&waiting, slot);
            if waiting.group.resume.is_none() && self.unplaced(waiting.at) > 0 {
                queue.push_front((order, waiting));
            }
        }
        rest.extend(queues.into_values().flatten().map(|q| q.1));
        rest
    }

    fn run_by_upt(&mut self, waiting: Vec<Waiting<'a>>, preempt: bool) {
        let mut heap: BinaryHeap<Candidate> = waiting
            .into_iter()
            .map(|waiting| Candidate {
                rank: self.best_possible(&waiting),
                index: waiting.group.resume.map_or(u32::MAX, |r| r.index),
                waiting,
            })
            .collect();
        while let Some(mut top) = heap.pop() {
            let at = top.waiting.at;
            let headroom = self.headroom(top.waiting.group.job);
            if headroom == 0 {
                continue;
            }
            let Some((slot, upt)) = self.best_spot(&top.waiting) else {
                if preempt {
                    self.make_room(&top.waiting, headroom);
                }
                continue;
            };
            // A worker that must fetch the image first lowers the UPT: the
            // group then waits for its new place in the order.
            let there = Rank { upt, ..top.rank };
            if upt + 1e-12 < top.rank.upt && heap.peek().is_some_and(|next| next.rank > there) {
                top.rank = there;
                heap.push(top);
                continue;
            }
            self.start(&top.waiting, slot);
            if top.waiting.group.resume.is_none() && self.unplaced(at) > 0 {
                top.rank = self.best_possible(&top.waiting);
                heap.push(top);
            }
        }
    }

    /// Waiting tasks of the job without anything of their own that this round
    /// has not placed.
    pub(super) fn unplaced(&self, at: usize) -> usize {
        let entrant = &self.entrants[at];
        entrant.job.waiting.len() as usize - entrant.taken
    }

    fn start(&mut self, waiting: &Waiting<'a>, slot: usize) {
        let group = waiting.group;
        let job = group.job;
        let entrant = &mut self.entrants[waiting.at];
        let index = match group.resume {
            Some(resume) => {
                entrant.resumed += 1;
                resume.index
            }
            None => {
                entrant.taken += 1;
                let Some(index) = job.waiting.nth(entrant.taken as u32 - 1) else {
                    return;
                };
                index
            }
        };
        let s = &mut self.slots[slot];
        s.room.add(&job.spec, -1.0);
        s.soon.add(&job.spec, -1.0);
        s.tasks += 1;
        s.version += 1;
        let t = self.types[s.of_type];
        s.images.to_mut().want(&job.spec, t, self.now);
        self.log.push(slot);
        self.ledgers[job.team].add(&job.spec, 1.0);
        if let Some(seat) = entrant.seat {
            self.used[seat.place] += job.spec.cpus;
            if s.aside.is_none() {
                self.first_left -= job.spec.cpus;
            }
        }
        if is_replicated(job) {
            *entrant.beside.entry(slot).or_default() += 1;
        }
        if job.spec.one_zone || job.spec.spread || is_replicated(job) {
            let zones = entrant.zones.get_or_insert_with(|| job.zones.clone());
            *zones.entry(s.worker.zone.clone()).or_default() += 1;
        }
        self.starts.push(Start { group, index, slot });
    }

    /// What was decided: starts in order, and stops.
    pub(super) fn outcome(self) -> (Vec<PlannedStart>, Vec<PlannedStop>) {
        let name = |slot: usize| self.slots[slot].worker.name.clone();
        let starts = self.starts.iter().map(|s| {
            let worker = self.slots[s.slot].worker;
            let saved_s = s.group.saved_on(&worker.machine_type);
            (
                s.group.job.spec.id.clone(),
                s.index,
                saved_s,
                worker.name.clone(),
            )
        });
        let stops = self.stops.iter().map(|s| (name(s.0), s.1, s.2.to_string()));
        (starts.collect(), stops.collect())
    }
}
