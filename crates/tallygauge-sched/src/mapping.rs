//! Max UPT Preempt Greedy: which waiting task starts where, and what is
//! stopped for it.
//!
//! A round is worked out on the picture as it stands, with what it changes kept
//! beside it, and taken up at its end. Every job looks at the machines once; then
//! a heap of spots for each machine type answers for its next task, and only the
//! machines that the round has touched since are looked at again.

use crate::{
    cluster::{Cluster, Ledger},
    demand::fit,
    model::*,
};
use std::{
    borrow::Cow,
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet},
};
use tallygauge_wire::{
    cloud::MachineType,
    users::{Priority, Shape},
    workers::TaskState,
};

/// Tasks of one job that are alike to the mapping.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Group<'a> {
    pub(crate) job: &'a Job,
    /// One task with something of its own; `None`: those that have nothing.
    pub(crate) resume: Option<&'a Resume>,
}

/// A group with the UPT that its next task may reach.
struct Candidate<'a> {
    rank: Rank,
    group: Group<'a>,
}

/// What comes first: work within its guarantee, then UPT, then age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Rank {
    pub(crate) within: bool,
    pub(crate) upt: f64,
    pub(crate) accepted_at: f64,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        self.within
            .cmp(&other.within)
            .then(self.upt.total_cmp(&other.upt))
            .then(other.accepted_at.total_cmp(&self.accepted_at))
    }
}

impl Candidate<'_> {
    fn key(&self) -> (Rank, std::cmp::Reverse<(&str, u32)>) {
        let index = self.group.resume.map_or(u32::MAX, |r| r.index);
        (
            self.rank,
            std::cmp::Reverse((self.group.job.spec.id.as_str(), index)),
        )
    }
}

impl PartialEq for Candidate<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
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
        self.key().cmp(&other.key())
    }
}

/// A number that orders entries, least first in a heap, with where it leads.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    cost: f64,
    slot: usize,
    /// The slot's count of changes when this was worked out.
    version: u32,
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then(other.slot.cmp(&self.slot))
            .then(other.version.cmp(&self.version))
    }
}

/// A usable worker during a round.
struct Slot<'a> {
    worker: &'a Worker,
    of_type: usize,
    room: Room,
    /// The room there will be when all stops are confirmed.
    soon: Room,
    tasks: usize,
    images: Cow<'a, Images>,
    version: u32,
    /// What may be stopped, least UPT first.
    victims: Vec<(f64, &'a Held, usize)>,
}

/// A job's spots, best first, by machine type.
struct Finder {
    heaps: Vec<BinaryHeap<Entry>>,
    /// Size from which on machines are left to others.
    spared: f64,
    /// How much of the round's log it has taken up.
    seen: usize,
}

struct Start<'a> {
    group: Group<'a>,
    index: u32,
    slot: usize,
}

impl Cluster {
    /// When a job should be complete: by its deadline and its class's aim.
    pub(crate) fn due(&self, job: &Job) -> Option<f64> {
        let soft = self.cfg.class_due_s.get(&job.spec.class).copied();
        let due = job.spec.deadline_s.into_iter().chain(soft);
        due.reduce(f64::min).map(|due| job.accepted_at + due)
    }

    /// Worth of a job's tasks that would end at `end`: its priority's step
    /// until the deadline, then a small part of it.
    pub(crate) fn worth(&self, job: &Job, end: f64) -> f64 {
        let full = self.cfg.worth[step(job.spec.priority)];
        let Some(due) = self.due(job) else {
            return full;
        };
        if end > due {
            full * self.cfg.late_worth
        } else {
            full
        }
    }

    /// Remaining run time of a task that begins with `saved_s`.
    pub(crate) fn remaining(&self, job: &Job, saved_s: f64) -> f64 {
        let whole = job.spec.expected_s * self.class_ratio(&job.spec.class);
        (whole - saved_s).max(self.cfg.floor_s)
    }

    /// Remaining run time of a running task. One that runs longer than
    /// expected is expected to run as much longer as half of what it has run,
    /// so that it does not look almost done for ever.
    pub(crate) fn remaining_running(&self, held: &Held, now: f64) -> f64 {
        let whole = held.spec.expected_s * self.class_ratio(&held.spec.class);
        let ran = held.saved_s + held.ran_s(now);
        let left = whole - ran;
        if left < ran * 0.5 && left <= 0.0 {
            (ran * 0.5).max(self.cfg.floor_s)
        } else {
            left.max(self.cfg.floor_s)
        }
    }

    /// UPT of a running task: what its end is worth per time until then.
    pub(crate) fn upt_running(&self, held: &Held, now: f64) -> f64 {
        let left = self.remaining_running(held, now);
        match self.jobs.get(&held.spec.id) {
            Some(job) => self.worth(job, now + left * 0.5) / left,
            None => 0.0,
        }
    }

    /// Time until a task of the group ends on a worker that has these images,
    /// were it started now.
    pub(crate) fn time_on(&self, group: &Group, worker: &Worker, images: &Images, now: f64) -> f64 {
        let rate = self
            .types
            .get(&worker.machine_type)
            .map_or(f64::MAX, |t| t.fetch_gb_per_s);
        let spec = &group.job.spec;
        let fetch = images.fetch_s(&spec.image, spec.image_gb, rate, now);
        fetch + self.remaining(group.job, group.saved_on(&worker.machine_type))
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished jobs.
    pub(crate) fn within_guarantee(&self) -> HashSet<&str> {
        let mut jobs: Vec<&Job> = self.jobs.values().collect();
        jobs.sort_by(|a, b| a.accepted_at.total_cmp(&b.accepted_at));
        let mut sums = vec![(0.0, 0.0); self.cfg.teams.len()];
        let mut within = HashSet::new();
        for job in jobs {
            let team = &self.cfg.teams[job.team];
            let sum = &mut sums[job.team];
            let count = f64::from(job.unfinished());
            sum.0 += job.spec.cpus * count;
            sum.1 += job.spec.gpus * count;
            if sum.0 <= team.cpus + EPS && sum.1 <= team.gpus + EPS {
                within.insert(job.spec.id.as_str());
            }
        }
        within
    }

    /// All groups that wait and may start now, and when the next backoff ends.
    pub(crate) fn groups(&self, now: f64) -> (Vec<Group<'_>>, Option<f64>) {
        let (mut out, mut wake) = (Vec::new(), None::<f64>);
        for job in self.jobs.values() {
            if !job.waiting.is_empty() {
                out.push(Group { job, resume: None });
            }
            for resume in job.resumes.values() {
                if resume.not_before <= now {
                    let resume = Some(resume);
                    out.push(Group { job, resume });
                } else {
                    wake = Some(wake.map_or(resume.not_before, |w| w.min(resume.not_before)));
                }
            }
        }
        (out, wake)
    }

    /// Earliest time at which a task's backoff ends, as the last round met it.
    #[must_use]
    pub fn next_wake(&self) -> Option<f64> {
        self.wake_at
    }

    /// CPUs of the least machine type that has room for a task of the job.
    pub(crate) fn least_type(&self, job: &Job) -> f64 {
        let holds = |t: &&MachineType| Room::of_type(t).holds(&job.spec);
        let sizes = self.types.values().filter(holds).map(|t| t.cpus);
        sizes.fold(f64::MAX, f64::min)
    }

    /// Size of the machines that are short: the least that waiting tasks need
    /// which do not fit any smaller one.
    pub(crate) fn contended(&self, groups: &[Group]) -> f64 {
        let least = self.types.values().map(|t| t.cpus).fold(f64::MAX, f64::min);
        let needs = groups.iter().map(|g| self.least_type(g.job));
        needs.filter(|n| *n > least).fold(f64::MAX, f64::min)
    }

    /// What counts between workers that are about as good, in seconds: small
    /// ones and full ones come first, so that large rooms are kept for large
    /// tasks and machines fall empty. Machines that others wait for come later,
    /// surplus ones last: their use may cost another boot.
    pub(crate) fn packing(
        &self,
        worker: &Worker,
        size: f64,
        free: f64,
        largest: f64,
        spared: f64,
    ) -> f64 {
        let boot_s = self
            .types
            .get(&worker.machine_type)
            .map_or(0.0, |t| t.boot_s);
        let mut last = if worker.surplus { boot_s } else { 0.0 };
        if size >= spared {
            last += self.cfg.floor_s;
        }
        last + self.cfg.floor_s * 0.5 * (size + free) / (2.0 * largest)
    }

    /// One round: places waiting tasks, greatest UPT first, as `Planned`, and
    /// marks running ones to be stopped. Returns how many were placed and how
    /// many stopped.
    pub fn plan(&mut self, now: f64, preempt: bool) -> (usize, usize) {
        let (groups, wake) = self.groups(now);
        let (starts, stops) = if groups.is_empty() {
            (Vec::new(), Vec::new())
        } else {
            let mut round = Round::new(self, now, &groups);
            round.run(groups, preempt);
            round.outcome()
        };
        self.wake_at = wake;
        for (worker, attempt, newcomer) in &stops {
            self.stop_for(worker, *attempt, newcomer, now);
        }
        let count = starts.len();
        for (id, index, saved_s, worker) in starts {
            self.place(&id, index, saved_s, &worker, now);
        }
        (count, stops.len())
    }

    fn stop_for(&mut self, name: &str, attempt: u64, newcomer: &str, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for held in worker.held.iter_mut().filter(|h| h.attempt == attempt) {
            held.stop = Some(Stop {
                reason: StopReason::Preempted,
                at: now,
            });
            let text = format!("{} is stopped on {name} for {newcomer}", held.task_name());
            self.events.push((false, text));
        }
        self.attention.insert(name.to_string());
    }

    fn place(&mut self, id: &str, index: u32, saved_s: f64, worker: &str, now: f64) {
        let attempt = self.attempt();
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(t) = self.types.get(&w.machine_type) {
            w.images.want(&spec, t, now);
        }
        let mut held = Held::new(spec, index, attempt, w.session, now);
        held.saved_s = saved_s;
        self.occupy(worker, held);
        self.planned.push((worker.to_string(), attempt));
    }
}

impl Group<'_> {
    /// Progress that counts on a machine type.
    fn saved_on(&self, machine_type: &str) -> f64 {
        self.resume
            .filter(|r| r.machine_type.as_deref() == Some(machine_type))
            .map_or(0.0, |r| r.saved_s)
    }
}

/// A start that a round decided on: job, task, progress, worker.
type PlannedStart = (String, u32, f64, String);
/// A stop that a round decided on: worker, attempt, for which job.
type PlannedStop = (String, u64, String);

/// One round on the picture as it stands.
struct Round<'a> {
    c: &'a Cluster,
    now: f64,
    within: HashSet<&'a str>,
    types: Vec<&'a MachineType>,
    largest: f64,
    contended: f64,
    /// Usable workers, by name.
    slots: Vec<Slot<'a>>,
    /// Slots changed by this round, in order.
    log: Vec<usize>,
    finders: HashMap<&'a str, Finder>,
    ledgers: Vec<Ledger>,
    /// CPUs and GPUs that each team will have given up when its stops are
    /// confirmed.
    leaving: Vec<Ledger>,
    /// Where tasks are, of jobs for which that matters and that have starts.
    zones: HashMap<&'a str, BTreeMap<String, u32>>,
    /// Tasks taken from each job's waiting ones.
    taken: HashMap<&'a str, usize>,
    /// Tasks of each job placed with something of their own.
    resumed: HashMap<&'a str, usize>,
    /// Jobs for whose tasks room was made, or can't be.
    asked: HashSet<&'a str>,
    /// Slots on which room is being made.
    making: BTreeSet<usize>,
    victims_known: bool,
    /// Priorities and teams of all victims.
    kinds_of_victims: BTreeSet<(Priority, usize)>,
    starts: Vec<Start<'a>>,
    stops: Vec<(usize, u64, &'a str)>,
}

impl<'a> Round<'a> {
    fn new(c: &'a Cluster, now: f64, groups: &[Group]) -> Self {
        let mut types: Vec<&MachineType> = c.types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        let mut slots = Vec::with_capacity(c.workers.len());
        let mut leaving = vec![Ledger::default(); c.cfg.teams.len()];
        let mut making = BTreeSet::new();
        for worker in c.workers.values().filter(|w| w.usable(now, &c.cfg)) {
            let named = types.binary_search_by(|t| t.name.as_str().cmp(&worker.machine_type));
            let Ok(of_type) = named else { continue };
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
                room: worker.free,
                soon,
                tasks: worker.held.len(),
                images: Cow::Borrowed(&worker.images),
                version: 0,
                victims: Vec::new(),
            });
        }
        Self {
            c,
            now,
            within: c.within_guarantee(),
            largest: types.iter().map(|t| t.cpus).fold(1.0, f64::max),
            contended: c.contended(groups),
            types,
            slots,
            log: Vec::new(),
            finders: HashMap::new(),
            ledgers: c.ledgers.clone(),
            leaving,
            zones: HashMap::new(),
            taken: HashMap::new(),
            resumed: HashMap::new(),
            asked: HashSet::new(),
            making,
            victims_known: false,
            kinds_of_victims: BTreeSet::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        }
    }

    fn best_possible(&self, group: &Group) -> Rank {
        let saved = group.resume.map_or(0.0, |r| r.saved_s);
        let left = self.c.remaining(group.job, saved);
        Rank {
            within: self.within.contains(group.job.spec.id.as_str()),
            upt: self.c.worth(group.job, self.now + left * 0.5) / left,
            accepted_at: group.job.accepted_at,
        }
    }

    /// How many more tasks of the job its team's limit allows.
    fn headroom(&self, job: &Job) -> usize {
        let (team, used) = (&self.c.cfg.teams[job.team], &self.ledgers[job.team]);
        let cpus = fit(team.cpus_max - used.cpus, job.spec.cpus);
        let gpus = fit(team.gpus_max - used.gpus, job.spec.gpus);
        cpus.min(gpus) as usize
    }

    fn allowed(&self, group: &Group, slot: usize) -> bool {
        let zones = self
            .zones
            .get(group.job.spec.id.as_str())
            .unwrap_or(&group.job.zones);
        let w = self.slots[slot].worker;
        group.job.allows(&w.machine_type, &w.zone, w.spot, zones)
    }

    /// Size from which on machines are left to others, if the job can do with
    /// smaller ones.
    fn spared(&self, job: &Job) -> f64 {
        if self.c.least_type(job) < self.contended {
            self.contended
        } else {
            f64::MAX
        }
    }

    fn entry(&self, job: &'a Job, slot: usize, spared: f64) -> Option<Entry> {
        let s = &self.slots[slot];
        let group = Group { job, resume: None };
        if !s.room.holds(&job.spec)
            || s.tasks >= self.c.cfg.tasks_per_worker
            || !self.allowed(&group, slot)
        {
            return None;
        }
        let time = self.c.time_on(&group, s.worker, &s.images, self.now);
        let size = self.types[s.of_type].cpus;
        Some(Entry {
            cost: time
                + self
                    .c
                    .packing(s.worker, size, s.room.cpus, self.largest, spared),
            slot,
            version: s.version,
        })
    }

    /// The best slot with free room for a task of the group, and its UPT there.
    fn best_spot(&mut self, group: &Group<'a>) -> Option<(usize, f64)> {
        let id = group.job.spec.id.as_str();
        let mut finder = self.finders.remove(id).unwrap_or_else(|| {
            let mut heaps = vec![Vec::new(); self.types.len()];
            let spared = self.spared(group.job);
            for slot in 0..self.slots.len() {
                if let Some(entry) = self.entry(group.job, slot, spared) {
                    heaps[self.slots[slot].of_type].push(entry);
                }
            }
            Finder {
                heaps: heaps.into_iter().map(BinaryHeap::from).collect(),
                spared,
                seen: self.log.len(),
            }
        });
        for &slot in &self.log[finder.seen..] {
            if let Some(entry) = self.entry(group.job, slot, finder.spared) {
                finder.heaps[self.slots[slot].of_type].push(entry);
            }
        }
        finder.seen = self.log.len();
        let whole = self.c.remaining(group.job, 0.0);
        let mut best: Option<Entry> = None;
        for (at, heap) in finder.heaps.iter_mut().enumerate() {
            let saved = group.saved_on(&self.types[at].name);
            let less = whole - self.c.remaining(group.job, saved);
            let mut aside = None;
            while let Some(&head) = heap.peek() {
                let s = &self.slots[head.slot];
                // Rooms only shrink within a round, and zones only fill.
                if s.version != head.version || !self.allowed(group, head.slot) {
                    heap.pop();
                } else if group
                    .resume
                    .is_some_and(|r| r.avoid.as_ref() == Some(&s.worker.name))
                {
                    aside = heap.pop();
                } else {
                    let cost = head.cost - less;
                    let less = |b: &Entry| (cost, head.slot) < (b.cost, b.slot);
                    if best.as_ref().is_none_or(less) {
                        best = Some(Entry { cost, ..head });
                    }
                    break;
                }
            }
            heap.extend(aside);
        }
        self.finders.insert(id, finder);
        let slot = best?.slot;
        let s = &self.slots[slot];
        let time = self.c.time_on(group, s.worker, &s.images, self.now);
        Some((slot, self.c.worth(group.job, self.now + time * 0.5) / time))
    }

    fn run(&mut self, groups: Vec<Group<'a>>, preempt: bool) {
        let mut heap: BinaryHeap<Candidate> = groups
            .into_iter()
            .map(|group| Candidate {
                rank: self.best_possible(&group),
                group,
            })
            .collect();
        while let Some(mut top) = heap.pop() {
            let job = top.group.job;
            let headroom = self.headroom(job);
            if headroom == 0 {
                continue;
            }
            let Some((slot, upt)) = self.best_spot(&top.group) else {
                if preempt {
                    self.make_room(&top.group, headroom);
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
            self.start(top.group, slot);
            if top.group.resume.is_none() && self.unplaced(job) > 0 {
                top.rank = self.best_possible(&top.group);
                heap.push(top);
            }
        }
    }

    /// Waiting tasks of the job without anything of their own that this round
    /// has not placed.
    fn unplaced(&self, job: &Job) -> usize {
        let taken = self.taken.get(job.spec.id.as_str()).copied().unwrap_or(0);
        job.waiting.len() as usize - taken
    }

    fn start(&mut self, group: Group<'a>, slot: usize) {
        let job = group.job;
        let id = job.spec.id.as_str();
        let index = match group.resume {
            Some(resume) => {
                *self.resumed.entry(id).or_default() += 1;
                resume.index
            }
            None => {
                let taken = self.taken.entry(id).or_default();
                *taken += 1;
                let Some(index) = job.waiting.nth(*taken as u32 - 1) else {
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
        if job.spec.one_zone || job.spec.spread {
            let zones = self.zones.entry(id).or_insert_with(|| job.zones.clone());
            *zones.entry(s.worker.zone.clone()).or_default() += 1;
        }
        self.starts.push(Start { group, index, slot });
    }

    /// Everything that may be stopped at all: running tasks that save.
    fn find_victims(&mut self) {
        self.victims_known = true;
        for s in &mut self.slots {
            s.victims = s
                .worker
                .held
                .iter()
                .filter(|h| h.stop.is_none() && h.phase == Phase::On(TaskState::Running))
                .filter(|h| h.spec.checkpoint_every_s > 0.0 && h.spec.shape == Shape::Array)
                .filter_map(|h| {
                    let team = self.c.cfg.team(&h.spec.team)?;
                    Some((self.c.upt_running(h, self.now), h, team))
                })
                .collect();
            let kinds = s.victims.iter().map(|v| (v.1.spec.priority, v.2));
            self.kinds_of_victims.extend(kinds);
            s.victims
                .sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.attempt.cmp(&b.1.attempt)));
        }
    }

    /// Whether a team has more than its guarantee, counting out what stops.
    fn borrows(&self, team: usize) -> bool {
        let (guarantee, used, less) = (
            &self.c.cfg.teams[team],
            &self.ledgers[team],
            &self.leaving[team],
        );
        used.cpus - less.cpus > guarantee.cpus + EPS || used.gpus - less.gpus > guarantee.gpus + EPS
    }

    /// The victims on a slot that would make room for a task of the group, and
    /// the UPT that they cost.
    fn price(&self, group: &Group, slot: usize) -> Option<f64> {
        let s = &self.slots[slot];
        let spec = &group.job.spec;
        if s.victims.is_empty() || !self.allowed(group, slot) {
            return None;
        }
        let time = self.c.time_on(group, s.worker, &s.images, self.now);
        let worth = self.c.worth(group.job, self.now + time * 0.5);
        let (mut would, mut cost) = (s.soon, 0.0);
        for victim in &s.victims {
            if would.holds(spec) {
                break;
            }
            if self.may_stop(group, victim, worth, time) {
                would.add(&victim.1.spec, 1.0);
                cost += victim.0;
            }
        }
        would.holds(spec).then_some(cost)
    }

    fn may_stop(&self, group: &Group, victim: &(f64, &Held, usize), worth: f64, time: f64) -> bool {
        let &(upt, held, team) = victim;
        let within = |id: &str| self.within.contains(id);
        let ours = team == group.job.team;
        let borrowed = self.borrows(team);
        // The cost of saving is part of the newcomer's time.
        let newcomer = worth / (time + held.spec.save_s);
        let protected = !ours && (within(&held.spec.id) || !borrowed);
        let lower = held.spec.priority < group.job.spec.priority && upt < newcomer;
        let reclaim = within(&group.job.spec.id) && !ours && borrowed && !within(&held.spec.id);
        !protected && (lower || reclaim)
    }

    /// Finds room that is being made for tasks of the group, or stops running
    /// tasks to make it: those of lower priority and lower UPT, and work that
    /// another team runs beyond its guarantee where the task is within its
    /// own; least UPT first. Once a round for all that waits of a job.
    fn make_room(&mut self, group: &Group<'a>, headroom: usize) {
        let spec = &group.job.spec;
        if !self.asked.insert(spec.id.as_str()) {
            return;
        }
        let ready = group.job.resumes.values();
        let ready = ready.filter(|r| r.not_before <= self.now).count();
        let resumed = self.resumed.get(spec.id.as_str()).copied().unwrap_or(0);
        let mut need = (self.unplaced(group.job) + ready - resumed).min(headroom);
        for slot in self.making.clone() {
            while need > 0 && self.slots[slot].soon.holds(spec) && self.allowed(group, slot) {
                self.promise(group.job, slot);
                need -= 1;
            }
        }
        if need == 0 {
            return;
        }
        if !self.victims_known {
            self.find_victims();
        }
        let entitled = self.within.contains(spec.id.as_str());
        let stoppable = self.kinds_of_victims.iter().any(|&(priority, team)| {
            priority < spec.priority || (entitled && team != group.job.team && self.borrows(team))
        });
        if !stoppable {
            return;
        }
        let mut heap: BinaryHeap<Entry> = (0..self.slots.len())
            .filter_map(|slot| {
                let cost = self.price(group, slot)?;
                let version = self.slots[slot].version;
                Some(Entry {
                    cost,
                    slot,
                    version,
                })
            })
            .collect();
        while need > 0 {
            let Some(best) = heap.pop() else { return };
            // Since it was priced, its team may have come down to its guarantee.
            let Some(cost) = self.price(group, best.slot) else {
                continue;
            };
            if cost > best.cost {
                heap.push(Entry { cost, ..best });
                continue;
            }
            self.stop_on(group, best.slot);
            while need > 0
                && self.slots[best.slot].soon.holds(spec)
                && self.allowed(group, best.slot)
            {
                self.promise(group.job, best.slot);
                need -= 1;
            }
            if let Some(cost) = self.price(group, best.slot) {
                heap.push(Entry { cost, ..best });
            }
        }
    }

    /// Room that is being made is kept for a task of the job.
    fn promise(&mut self, job: &'a Job, slot: usize) {
        self.slots[slot].soon.add(&job.spec, -1.0);
        self.ledgers[job.team].add(&job.spec, 1.0);
    }

    fn stop_on(&mut self, group: &Group<'a>, slot: usize) {
        let s = &self.slots[slot];
        let spec = &group.job.spec;
        let time = self.c.time_on(group, s.worker, &s.images, self.now);
        let worth = self.c.worth(group.job, self.now + time * 0.5);
        let mut at = 0;
        while at < self.slots[slot].victims.len() && !self.slots[slot].soon.holds(spec) {
            let victim = self.slots[slot].victims[at];
            if !self.may_stop(group, &victim, worth, time) {
                at += 1;
                continue;
            }
            let (_, held, team) = self.slots[slot].victims.remove(at);
            self.slots[slot].soon.add(&held.spec, 1.0);
            self.leaving[team].add(&held.spec, 1.0);
            self.stops.push((slot, held.attempt, spec.id.as_str()));
        }
        self.making.insert(slot);
    }

    fn outcome(self) -> (Vec<PlannedStart>, Vec<PlannedStop>) {
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
