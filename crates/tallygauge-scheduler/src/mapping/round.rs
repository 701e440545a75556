//! One round: the greatest UPT first, until nothing that waits fits.

use super::{
    Group,
    candidates::{CandidateIndex, ExhaustedRequest},
    ordering::PlacementOrder,
    preemption::Victim,
};
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    image_locality::is_replicated,
    model::*,
    parts::{PriorityClaim, Reservation},
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
pub(super) struct PendingGroup<'a> {
    pub(super) group: Group<'a>,
    pub(super) at: usize,
}

/// A group with the UPT that its next task may reach. Of equals the first by id
/// and number of the task comes first.
struct Candidate<'a> {
    rank: PlacementOrder,
    waiting: PendingGroup<'a>,
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
pub(super) struct JobInRound<'a> {
    pub(super) job: &'a Job,
    pub(super) within_guarantee: bool,
    /// On whose behalf it comes first, if it does.
    pub(super) claim: Option<PriorityClaim>,
    /// It is to begin with one task, in which order.
    pub(super) start_order: Option<u32>,
    /// Run time of a whole task, as far as known.
    whole_s: f64,
    pub(super) candidates: Option<CandidateIndex>,
    /// Where its tasks are, if that matters and it has starts.
    pub(super) zones: Option<BTreeMap<String, u32>>,
    /// Replicas placed in this round, by slot.
    pub(super) replicas_placed: BTreeMap<usize, u32>,
    /// Tasks taken from its waiting ones.
    pub(super) taken: usize,
    /// Tasks placed with something of their own.
    pub(super) resumed: usize,
    /// Room was made for it, or can't be.
    pub(super) preemption_tried: bool,
}

/// A usable worker during a round.
pub(super) struct WorkerSlot<'a> {
    pub(super) worker: &'a Worker,
    pub(super) type_index: usize,
    pub(super) zone_index: usize,
    pub(super) free_resources: Resources,
    /// The room there will be when all stops are confirmed.
    pub(super) available_after_preemption: Resources,
    pub(super) tasks: usize,
    pub(super) images: Cow<'a, ImageCache>,
    pub(super) version: u32,
    /// Set aside for jobs that come first.
    pub(super) reservation: Option<Reservation>,
    /// Set aside for tasks of so many CPUs at least of jobs that are to begin.
    pub(super) start_reservation: Option<f64>,
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
    pub(super) cluster: &'a ClusterState,
    pub(super) now: f64,
    pub(super) types: Vec<&'a MachineType>,
    /// Zones of usable machines.
    pub(super) zones: Vec<&'a str>,
    pub(super) largest: f64,
    pub(super) contended: f64,
    /// Jobs with tasks that wait.
    pub(super) jobs: Vec<JobInRound<'a>>,
    /// Usable workers, by name.
    pub(super) slots: Vec<WorkerSlot<'a>>,
    /// Slots changed by this round, in order.
    pub(super) touched_slots: Vec<usize>,
    /// Amounts that no machine has room for any more.
    pub(super) exhausted: Vec<ExhaustedRequest>,
    pub(super) quota_usage: Vec<QuotaUsage>,
    /// CPUs and GPUs that each team will have given up when its stops are
    /// confirmed.
    pub(super) quota_being_released: Vec<QuotaUsage>,
    /// CPUs used for jobs that come first, by class or team.
    used: Vec<f64>,
    /// CPUs that more of them may use on machines that are not set aside.
    first_left: f64,
    /// Slots on which room is being made.
    pub(super) slots_being_freed: BTreeSet<usize>,
    /// Least UPT of the victims of each priority and team.
    pub(super) victim_groups: BTreeMap<(Priority, usize), f64>,
    starts: Vec<Start<'a>>,
    pub(super) stops: Vec<(usize, u64, &'a str)>,
}

/// CPUs that jobs which come first may yet use on machines that are not set
/// aside.
fn first_left(c: &ClusterState, slots: &[WorkerSlot], types: &[&MachineType]) -> f64 {
    let size = |s: &WorkerSlot| types[s.type_index].cpus;
    let all: f64 = slots.iter().map(size).sum();
    let aside: f64 = slots
        .iter()
        .filter(|s| s.reservation.is_some())
        .map(size)
        .sum();
    let first =
        |h: &&Attempt| h.occupies_capacity() && c.minimum_share.claims.contains_key(&h.spec.id);
    let used: f64 = slots
        .iter()
        .filter(|s| s.reservation.is_none())
        .flat_map(|s| s.worker.attempts.iter().filter(first))
        .map(|h| h.spec.cpus)
        .sum();
    all * c.minimum_share.machine_share - aside - used
}

impl<'a> Round<'a> {
    /// A round, and what waits in it. `groups` are in the order of their jobs.
    pub(super) fn new(
        c: &'a ClusterState,
        now: f64,
        groups: Vec<Group<'a>>,
    ) -> (Self, Vec<PendingGroup<'a>>) {
        let mut types: Vec<&MachineType> = c.machine_types.values().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        let mut slots = Vec::with_capacity(c.workers.len());
        let usable = c
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &c.config));
        let usable: Vec<&Worker> = usable.collect();
        let sites: BTreeSet<&str> = usable.iter().map(|w| w.zone.as_str()).collect();
        let sites: Vec<&str> = sites.into_iter().collect();
        let mut leaving = vec![QuotaUsage::default(); c.config.teams.len()];
        let mut making = BTreeSet::new();
        for worker in usable {
            let named = types.binary_search_by(|t| t.name.as_str().cmp(&worker.machine_type));
            let Ok(of_type) = named else { continue };
            let of_zone = sites.binary_search(&worker.zone.as_str()).unwrap_or(0);
            let mut soon = worker.free_resources;
            let stopping = |h: &&Attempt| h.stop.is_some() && h.occupies_capacity();
            for held in worker.attempts.iter().filter(stopping) {
                soon.add_scaled(&held.spec, 1.0);
                making.insert(slots.len());
                if let Some(team) = c.config.team_index(&held.spec.team) {
                    leaving[team].add_scaled(&held.spec, 1.0);
                }
            }
            slots.push(WorkerSlot {
                worker,
                type_index: of_type,
                zone_index: of_zone,
                free_resources: worker.free_resources,
                available_after_preemption: soon,
                tasks: worker.attempts.len(),
                images: Cow::Borrowed(&worker.images),
                version: 0,
                reservation: c.minimum_share.reserved.get(&worker.name).copied(),
                start_reservation: c.start_deadlines.reserved.get(&worker.name).copied(),
                victims: Vec::new(),
            });
        }
        let mut used = vec![0.0; c.minimum_share.service_counts.keys().len()];
        for (id, seat) in &c.minimum_share.claims {
            if let Some(job) = c.jobs.get(id) {
                used[seat.group] += job.spec.cpus * job.attempts_by_task.len() as f64;
            }
        }
        let first_left = if c.minimum_share.claims.is_empty() {
            0.0
        } else {
            first_left(c, &slots, &types)
        };
        let contended = c.contended(&groups);
        let within = c.jobs_within_guarantee();
        let mut entrants: Vec<JobInRound> = Vec::new();
        let mut waiting = Vec::with_capacity(groups.len());
        for group in groups {
            let job = group.job;
            let same = entrants.last().is_some_and(|e| std::ptr::eq(e.job, job));
            if !same {
                entrants.push(JobInRound {
                    job,
                    within_guarantee: within.contains(job.spec.id.as_str()),
                    claim: c.minimum_share.claims.get(&job.spec.id).copied(),
                    start_order: c.start_claim_order(&job.spec.id),
                    whole_s: c.expected_run_s(&job.spec),
                    candidates: None,
                    zones: None,
                    replicas_placed: BTreeMap::new(),
                    taken: 0,
                    resumed: 0,
                    preemption_tried: false,
                });
            }
            let at = entrants.len() - 1;
            waiting.push(PendingGroup { group, at });
        }
        let round = Self {
            cluster: c,
            now,
            first_left,
            used,
            largest: types.iter().map(|t| t.cpus).fold(1.0, f64::max),
            contended,
            types,
            zones: sites,
            jobs: entrants,
            slots,
            touched_slots: Vec::new(),
            exhausted: Vec::new(),
            quota_usage: c.quota_usage.clone(),
            quota_being_released: leaving,
            slots_being_freed: making,
            victim_groups: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        };
        (round, waiting)
    }

    /// Remaining run time of a task of a job that begins with `saved_s`.
    pub(super) fn remaining(&self, at: usize, saved_s: f64) -> f64 {
        (self.jobs[at].whole_s - saved_s).max(self.cluster.config.min_remaining_s)
    }

    /// UPT that a task of the group may reach at most.
    pub(super) fn best_upt(&self, waiting: &PendingGroup) -> f64 {
        let saved = waiting.group.resumable.map_or(0.0, |r| r.checkpointed_s);
        let left = self.remaining(waiting.at, saved);
        self.cluster
            .ordering_utility(waiting.group.job, self.now + left * 0.5)
            / left
    }

    fn best_possible(&self, waiting: &PendingGroup) -> PlacementOrder {
        PlacementOrder {
            within_guarantee: self.jobs[waiting.at].within_guarantee,
            upt: self.best_upt(waiting),
            accepted_at: waiting.group.job.accepted_at,
        }
    }

    /// How many more tasks of the job its team's limit allows.
    fn headroom(&self, job: &Job) -> usize {
        let (team, used) = (
            &self.cluster.config.teams[job.team],
            &self.quota_usage[job.team],
        );
        let cpus = count_fitting(team.max_cpus - used.cpus, job.spec.cpus);
        let gpus = count_fitting(team.max_gpus - used.gpus, job.spec.gpus);
        cpus.min(gpus) as usize
    }

    /// Works the round out: jobs that the floor puts first, then all others.
    pub(super) fn run(&mut self, waiting: Vec<PendingGroup<'a>>, preempt: bool) {
        if preempt {
            self.find_victims();
        }
        let outlook = self.outlook();
        let hopeful = waiting.into_iter().filter(|w| outlook.any(self, w));
        let waiting: Vec<PendingGroup> = hopeful.collect();
        let waiting = self.run_overdue_starts(waiting, preempt);
        let rest = self.run_claims(waiting, preempt);
        self.run_by_upt(rest, preempt);
    }

    /// Places one task of each job that is to begin, in the order of their
    /// acceptance, and then more of them. Where the team's limit leaves no room
    /// for the first, what there is of it is kept. Returns what is left.
    fn run_overdue_starts(
        &mut self,
        mut waiting: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let mut turns: BTreeMap<u32, usize> = BTreeMap::new();
        for (n, w) in waiting.iter().enumerate() {
            let Some(order) = self.jobs[w.at].start_order else {
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
                self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
                continue;
            }
            let Some((slot, _)) = self.best_slot(&one) else {
                if preempt {
                    self.preempt_for(&one, 1);
                    self.jobs[one.at].preemption_tried = false;
                }
                continue;
            };
            self.start(&one, slot);
            self.jobs[one.at].start_order = None;
            if one.group.resumable.is_some() || self.unplaced(one.at) == 0 {
                placed.insert(n);
            }
        }
        // Then their other tasks that never ran, on a part of the machines.
        if !self.cluster.start_deadlines.claims.is_empty() {
            let cpus: f64 = self
                .slots
                .iter()
                .map(|s| self.types[s.type_index].cpus)
                .sum();
            let mut left = self.cluster.cpus_left_for_unstarted(cpus);
            let near = |w: &PendingGroup| {
                self.cluster
                    .start_deadlines
                    .claims
                    .get(&w.group.job.spec.id)
            };
            let mut others: Vec<(u32, usize)> = (0..waiting.len())
                .filter(|n| !placed.contains(n) && waiting[*n].group.resumable.is_none())
                .filter_map(|n| Some((near(&waiting[n]).filter(|t| t.near_deadline)?.order, n)))
                .collect();
            others.sort_unstable();
            for (_, n) in others {
                let one = waiting[n];
                let job = one.group.job;
                while left > 0.0 && self.unplaced(one.at) > 0 && self.headroom(job) > 0 {
                    let Some((slot, _)) = self.best_slot(&one) else {
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
    fn run_claims(
        &mut self,
        waiting: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let mut queues: BTreeMap<(bool, usize), VecDeque<(u32, PendingGroup)>> = BTreeMap::new();
        let mut rest = Vec::with_capacity(waiting.len());
        for waiting in waiting {
            match self.jobs[waiting.at].claim {
                Some(seat) => {
                    let queue = queues.entry((!seat.for_min_share, seat.group)).or_default();
                    queue.push_back((seat.order, waiting));
                }
                None => rest.push(waiting),
            }
        }
        for queue in queues.values_mut() {
            // Of one job, what has least left to run goes first.
            let best = |w: &PendingGroup| self.best_upt(w);
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
            let Some((slot, _)) = self.best_slot(&waiting) else {
                if preempt {
                    self.preempt_for(&waiting, headroom);
                }
                continue;
            };
            self.start(&waiting, slot);
            if waiting.group.resumable.is_none() && self.unplaced(waiting.at) > 0 {
                queue.push_front((order, waiting));
            }
        }
        rest.extend(queues.into_values().flatten().map(|q| q.1));
        rest
    }

    fn run_by_upt(&mut self, waiting: Vec<PendingGroup<'a>>, preempt: bool) {
        let mut heap: BinaryHeap<Candidate> = waiting
            .into_iter()
            .map(|waiting| Candidate {
                rank: self.best_possible(&waiting),
                index: waiting.group.resumable.map_or(u32::MAX, |r| r.index),
                waiting,
            })
            .collect();
        while let Some(mut top) = heap.pop() {
            let at = top.waiting.at;
            let headroom = self.headroom(top.waiting.group.job);
            if headroom == 0 {
                continue;
            }
            let Some((slot, upt)) = self.best_slot(&top.waiting) else {
                if preempt {
                    self.preempt_for(&top.waiting, headroom);
                }
                continue;
            };
            // A worker that must fetch the image first lowers the UPT: the
            // group then waits for its new place in the order.
            let there = PlacementOrder { upt, ..top.rank };
            if upt + 1e-12 < top.rank.upt && heap.peek().is_some_and(|next| next.rank > there) {
                top.rank = there;
                heap.push(top);
                continue;
            }
            self.start(&top.waiting, slot);
            if top.waiting.group.resumable.is_none() && self.unplaced(at) > 0 {
                top.rank = self.best_possible(&top.waiting);
                heap.push(top);
            }
        }
    }

    /// Waiting tasks of the job without anything of their own that this round
    /// has not placed.
    pub(super) fn unplaced(&self, at: usize) -> usize {
        let entrant = &self.jobs[at];
        entrant.job.pending.len() as usize - entrant.taken
    }

    fn start(&mut self, waiting: &PendingGroup<'a>, slot: usize) {
        let group = waiting.group;
        let job = group.job;
        let entrant = &mut self.jobs[waiting.at];
        let index = match group.resumable {
            Some(resume) => {
                entrant.resumed += 1;
                resume.index
            }
            None => {
                entrant.taken += 1;
                let Some(index) = job.pending.nth(entrant.taken as u32 - 1) else {
                    return;
                };
                index
            }
        };
        let s = &mut self.slots[slot];
        s.free_resources.add_scaled(&job.spec, -1.0);
        s.available_after_preemption.add_scaled(&job.spec, -1.0);
        s.tasks += 1;
        s.version += 1;
        let t = self.types[s.type_index];
        s.images.to_mut().request(&job.spec, t, self.now);
        self.touched_slots.push(slot);
        self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
        if let Some(seat) = entrant.claim {
            self.used[seat.group] += job.spec.cpus;
            if s.reservation.is_none() {
                self.first_left -= job.spec.cpus;
            }
        }
        if is_replicated(job) {
            *entrant.replicas_placed.entry(slot).or_default() += 1;
        }
        if job.spec.one_zone || job.spec.spread || is_replicated(job) {
            let zones = entrant
                .zones
                .get_or_insert_with(|| job.attempts_by_zone.clone());
            *zones.entry(s.worker.zone.clone()).or_default() += 1;
        }
        self.starts.push(Start { group, index, slot });
    }

    /// What was decided: starts in order, and stops.
    pub(super) fn outcome(self) -> (Vec<PlannedStart>, Vec<PlannedStop>) {
        let name = |slot: usize| self.slots[slot].worker.name.clone();
        let starts = self.starts.iter().map(|s| {
            let worker = self.slots[s.slot].worker;
            let saved_s = s.group.checkpoint_on(&worker.machine_type);
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
