//! Max UPT Preempt Greedy: which waiting task starts where, and what is
//! stopped for it.

use crate::{cluster::Cluster, model::*};
use std::{
    cmp::Ordering,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
};
use tallygauge_wire::{users::Shape, workers::TaskState};

/// Tasks of one job that are alike to the mapping.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Group {
    pub(crate) job: String,
    /// One task with something of its own; `None`: those that have nothing.
    pub(crate) resume: Option<Resume>,
}

/// A group with the UPT that its next task may reach.
#[derive(Debug, Clone)]
struct Candidate {
    rank: Rank,
    group: Group,
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

impl Candidate {
    fn key(&self) -> (Rank, std::cmp::Reverse<(&str, u32)>) {
        let index = self.group.resume.as_ref().map_or(u32::MAX, |r| r.index);
        (self.rank, std::cmp::Reverse((&self.group.job, index)))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Where a task could go, best first by `score`.
#[derive(Debug, Clone, PartialEq)]
struct Spot {
    worker: String,
    upt: f64,
    score: f64,
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

    /// Time until a task of the group ends on a worker, were it started now.
    pub(crate) fn time_on(&self, job: &Job, group: &Group, worker: &Worker, now: f64) -> f64 {
        let saved = group
            .resume
            .as_ref()
            .filter(|r| r.machine_type.as_ref() == Some(&worker.machine_type))
            .map_or(0.0, |r| r.saved_s);
        let rate = self
            .types
            .get(&worker.machine_type)
            .map_or(f64::MAX, |t| t.fetch_gb_per_s);
        let fetch = worker.fetch_s(&job.spec.image, job.spec.image_gb, rate, now);
        fetch + self.remaining(job, saved)
    }

    /// Whether a task of the group may be on the worker at all.
    pub(crate) fn allowed(&self, job: &Job, group: &Group, worker: &Worker) -> bool {
        let spec = &job.spec;
        (spec.spot || !worker.spot)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&worker.machine_type))
            && job.zone_allowed(&worker.zone)
            && group
                .resume
                .as_ref()
                .is_none_or(|r| r.avoid.as_ref() != Some(&worker.name))
    }

    /// Whether the team's limit leaves room for another task of the job.
    pub(crate) fn under_limit(&self, job: &Job) -> bool {
        let (team, used) = (&self.cfg.teams[job.team], &self.ledgers[job.team]);
        used.cpus + job.spec.cpus <= team.cpus_max + EPS
            && used.gpus + job.spec.gpus <= team.gpus_max + EPS
    }

    /// Jobs that fit into their team's guarantee together with the team's
    /// earlier unfinished jobs.
    pub(crate) fn within_guarantee(&self) -> HashSet<String> {
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
                within.insert(job.spec.id.clone());
            }
        }
        within
    }

    /// All groups that wait and may start now.
    pub(crate) fn groups(&self, now: f64) -> Vec<Group> {
        let mut out = Vec::new();
        for job in self.jobs.values() {
            if !job.waiting.is_empty() {
                out.push(Group {
                    job: job.spec.id.clone(),
                    resume: None,
                });
            }
            for resume in job.resumes.iter().filter(|r| r.not_before <= now) {
                out.push(Group {
                    job: job.spec.id.clone(),
                    resume: Some(resume.clone()),
                });
            }
        }
        out
    }

    /// Earliest time at which a task's backoff ends.
    #[must_use]
    pub fn next_wake(&self, now: f64) -> Option<f64> {
        self.jobs
            .values()
            .flat_map(|j| j.resumes.iter())
            .map(|r| r.not_before)
            .filter(|t| *t > now)
            .min_by(f64::total_cmp)
    }

    fn best_possible(&self, group: &Group, within: &HashSet<String>, now: f64) -> Rank {
        let job = &self.jobs[&group.job];
        let saved = group.resume.as_ref().map_or(0.0, |r| r.saved_s);
        let left = self.remaining(job, saved);
        Rank {
            within: within.contains(&group.job),
            upt: self.worth(job, now + left * 0.5) / left,
            accepted_at: job.accepted_at,
        }
    }

    /// What counts between workers that are about as good, in seconds: small
    /// ones and full ones come first, so that large rooms are kept for large
    /// tasks and machines fall empty.
    pub(crate) fn packing(&self, size: f64, free: f64, largest: f64) -> f64 {
        self.cfg.floor_s * 0.5 * (size + free) / (2.0 * largest)
    }

    /// The best worker with free room for a task of the group.
    fn best_spot(
        &self,
        job: &Job,
        group: &Group,
        now: f64,
        free: &BTreeMap<String, Room>,
    ) -> Option<Spot> {
        let largest = self.types.values().map(|t| t.cpus).fold(1.0, f64::max);
        let mut best: Option<Spot> = None;
        for (name, room) in free {
            if !room.holds(&job.spec) {
                continue;
            }
            let worker = &self.workers[name];
            let tasks = worker.held.len();
            if tasks >= self.cfg.tasks_per_worker || !self.allowed(job, group, worker) {
                continue;
            }
            let time = self.time_on(job, group, worker, now);
            let size = self
                .types
                .get(&worker.machine_type)
                .map_or(largest, |t| t.cpus);
            let score = time + self.packing(size, room.cpus, largest);
            if best.as_ref().is_none_or(|b| score < b.score) {
                best = Some(Spot {
                    worker: name.clone(),
                    upt: self.worth(job, now + time * 0.5) / time,
                    score,
                });
            }
        }
        best
    }

    /// One round: places waiting tasks, greatest UPT first, as `Planned`, and
    /// marks running ones to be stopped. Returns how many were placed and how
    /// many stopped.
    pub fn plan(&mut self, now: f64, preempt: bool) -> (usize, usize) {
        let groups = self.groups(now);
        if groups.is_empty() {
            return (0, 0);
        }
        let within = self.within_guarantee();
        let mut free: BTreeMap<String, Room> = BTreeMap::new();
        let mut soon: BTreeMap<String, Room> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| w.usable(now, &self.cfg)) {
            free.insert(worker.name.clone(), worker.free);
            let mut room = worker.free;
            for held in worker
                .held
                .iter()
                .filter(|h| h.occupies() && h.stop.is_some())
            {
                room.add(&held.spec, 1.0);
            }
            soon.insert(worker.name.clone(), room);
        }
        let mut heap: BinaryHeap<Candidate> = groups
            .into_iter()
            .map(|group| Candidate {
                rank: self.best_possible(&group, &within, now),
                group,
            })
            .collect();
        let (mut placed, mut stopped) = (0, 0);
        // Tasks that were promised room that is being made, by job.
        let mut promised: HashMap<String, u32> = HashMap::new();
        while let Some(mut top) = heap.pop() {
            let Some(job) = self.jobs.get(&top.group.job) else {
                continue;
            };
            if !self.under_limit(job) {
                continue;
            }
            match self.best_spot(job, &top.group, now, &free) {
                Some(spot) => {
                    // A worker that must fetch the image first lowers the UPT:
                    // the group then waits for its new place in the order.
                    if spot.upt + 1e-12 < top.rank.upt
                        && heap.peek().is_some_and(|next| {
                            next.rank
                                > Rank {
                                    upt: spot.upt,
                                    ..top.rank
                                }
                        })
                    {
                        top.rank.upt = spot.upt;
                        heap.push(top);
                        continue;
                    }
                    let Some(index) = self.take_waiting(&top.group) else {
                        continue;
                    };
                    self.place(&top.group, index, &spot.worker, now);
                    placed += 1;
                    let room = self.workers[&spot.worker].free;
                    let spec = self.jobs[&top.group.job].spec.clone();
                    free.insert(spot.worker.clone(), room);
                    if let Some(s) = soon.get_mut(&spot.worker) {
                        s.add(&spec, -1.0);
                    }
                    if top.group.resume.is_none() && !self.jobs[&top.group.job].waiting.is_empty() {
                        top.rank = self.best_possible(&top.group, &within, now);
                        heap.push(top);
                    }
                }
                None if preempt => {
                    let count = promised.entry(top.group.job.clone()).or_default();
                    *count += 1;
                    let used = *count;
                    let n = self.make_room(&top.group, now, &within, &mut soon);
                    let Some(n) = n else { continue };
                    stopped += n;
                    let waiting = self.jobs[&top.group.job].waiting.len();
                    if top.group.resume.is_none() && used < waiting {
                        heap.push(top);
                    }
                }
                None => {}
            }
        }
        (placed, stopped)
    }

    fn take_waiting(&mut self, group: &Group) -> Option<u32> {
        let job = self.jobs.get_mut(&group.job)?;
        match &group.resume {
            Some(r) => Some(r.index),
            None => job.waiting.least(),
        }
    }

    fn place(&mut self, group: &Group, index: u32, worker: &str, now: f64) {
        let attempt = self.attempt();
        let Some(job) = self.jobs.get(&group.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        let saved_s = group
            .resume
            .as_ref()
            .filter(|r| r.machine_type.as_ref() == Some(&w.machine_type))
            .map_or(0.0, |r| r.saved_s);
        if let Some(t) = self.types.get(&w.machine_type) {
            w.want_image(&spec, t, now);
        }
        let held = Held {
            index,
            attempt,
            session: w.session,
            phase: Phase::Planned,
            placed_at: now,
            running_since: None,
            saved_s,
            stop: None,
            inherited: false,
            sent: false,
            direct_pending: 0,
            uncertain: false,
            end_durable: false,
            spec,
        };
        self.occupy(worker, held);
    }

    /// Finds room that is being made for a task of the group, or stops running
    /// tasks to make it: those of lower priority and lower UPT, and work that
    /// another team runs beyond its guarantee where the task is within its
    /// own; least UPT first. Returns how many were stopped.
    fn make_room(
        &mut self,
        group: &Group,
        now: f64,
        within: &HashSet<String>,
        soon: &mut BTreeMap<String, Room>,
    ) -> Option<usize> {
        let job = self.jobs.get(&group.job)?;
        let spec = job.spec.clone();
        for (name, room) in soon.iter_mut() {
            if room.holds(&spec) && self.allowed(job, group, &self.workers[name]) {
                room.add(&spec, -1.0);
                return Some(0);
            }
        }
        let entitled = within.contains(&group.job);
        let mut best: Option<(f64, String, Vec<u64>)> = None;
        for (name, room) in soon.iter() {
            let worker = &self.workers[name];
            if !self.allowed(job, group, worker) {
                continue;
            }
            let time = self.time_on(job, group, worker, now);
            let mut victims: Vec<(f64, &Held)> = worker
                .held
                .iter()
                .filter(|h| h.stop.is_none() && matches!(h.phase, Phase::On(TaskState::Running)))
                .filter(|h| h.spec.checkpoint_every_s > 0.0 && h.spec.shape == Shape::Array)
                .filter_map(|h| {
                    let upt = self.upt_running(h, now);
                    // The cost of saving is part of the newcomer's time.
                    let newcomer = self.worth(job, now + time * 0.5) / (time + h.spec.save_s);
                    let team = self.cfg.team(&h.spec.team)?;
                    let guarantee = &self.cfg.teams[team];
                    let ledger = &self.ledgers[team];
                    let borrowed =
                        ledger.cpus > guarantee.cpus + EPS || ledger.gpus > guarantee.gpus + EPS;
                    let ours = team == job.team;
                    let protected = !ours && (within.contains(&h.spec.id) || !borrowed);
                    let lower = h.spec.priority < spec.priority && upt < newcomer;
                    let reclaim = entitled && !ours && borrowed && !within.contains(&h.spec.id);
                    (!protected && (lower || reclaim)).then_some((upt, h))
                })
                .collect();
            victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.attempt.cmp(&b.1.attempt)));
            let mut would = *room;
            let mut chosen = Vec::new();
            let mut cost = 0.0;
            for (upt, held) in victims {
                if would.holds(&spec) {
                    break;
                }
                would.add(&held.spec, 1.0);
                chosen.push(held.attempt);
                cost += upt;
            }
            if would.holds(&spec) && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, name.clone(), chosen));
            }
        }
        let (_, name, chosen) = best?;
        let worker = self.workers.get_mut(&name)?;
        let mut freed = soon[&name];
        for held in worker
            .held
            .iter_mut()
            .filter(|h| chosen.contains(&h.attempt))
        {
            self.events.push((
                false,
                format!(
                    "{} is stopped on {name} for {}",
                    held.task_name(),
                    group.job
                ),
            ));
            held.stop = Some(Stop {
                reason: StopReason::Preempted,
                at: now,
            });
            freed.add(&held.spec, 1.0);
        }
        freed.add(&spec, -1.0);
        soon.insert(name, freed);
        Some(chosen.len())
    }
}
