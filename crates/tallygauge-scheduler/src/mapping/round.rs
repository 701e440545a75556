//! The phases of a scheduling round: overdue first tasks, then jobs with a
//! priority claim, then all others by utility per time.

use super::{
    candidates::BestSlot,
    ordering::PlacementOrder,
    round_state::{PendingGroup, Round},
};
use crate::model::Resources;
use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque},
};

/// Differences of utility per time up to this are rounding errors.
const UPT_TOLERANCE: f64 = 1e-12;

/// A group and the place that its next task may reach in the order. Of equals, the
/// first by job id and number of the task is first.
struct QueuedGroup<'a> {
    order: PlacementOrder,
    pending: PendingGroup<'a>,
    /// Number of a resumable task; the greatest number for other tasks.
    task: u32,
}

impl PartialEq for QueuedGroup<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedGroup<'_> {}

impl PartialOrd for QueuedGroup<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedGroup<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        let order = self.order.cmp(&other.order);
        order
            .then_with(|| other.pending.job_index.cmp(&self.pending.job_index))
            .then_with(|| other.task.cmp(&self.task))
    }
}

/// A group whose job has a priority claim, and the job's place among those of its
/// class.
struct ClaimedGroup<'a> {
    order: u32,
    pending: PendingGroup<'a>,
}

/// Key of a queue of claimed groups; claims for the minimum share are first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ClaimQueueKey {
    beyond_min_share: bool,
    /// The class or team on whose behalf the claims are.
    group: usize,
}

type ClaimQueues<'a> = BTreeMap<ClaimQueueKey, VecDeque<ClaimedGroup<'a>>>;

impl<'a> Round<'a> {
    /// Decides what starts where, and what is preempted if `preempt` is set.
    pub(super) fn run(&mut self, pending: Vec<PendingGroup<'a>>, preempt: bool) {
        if preempt {
            self.find_victims();
        }
        // Free resources and victims only get less within a round: what can't be
        // placed at its start can be left out.
        let max_available = self.max_available_after_preemption();
        let placeable = pending
            .into_iter()
            .filter(|p| max_available.can_fit(&p.group.job.spec) || self.has_preemptible(p));
        let pending: Vec<PendingGroup> = placeable.collect();
        let pending = self.run_overdue_starts(pending, preempt);
        let pending = self.run_claims(pending, preempt);
        self.run_by_upt(pending, preempt);
    }

    /// The most of each resource that any machine has, or will have when what is
    /// being stopped has ended.
    fn max_available_after_preemption(&self) -> Resources {
        let mut max = Resources::default();
        for slot in &self.slots {
            let available = slot.available_after_preemption;
            max.cpus = max.cpus.max(available.cpus);
            max.gpus = max.gpus.max(available.gpus);
            max.memory_gb = max.memory_gb.max(available.memory_gb);
        }
        max
    }

    /// Places one task of each job whose first task is overdue, and then more tasks
    /// of jobs near their start deadline. Returns the groups that are left.
    fn run_overdue_starts(
        &mut self,
        pending: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let mut placed = BTreeSet::new();
        for index in self.overdue_first_tasks(&pending) {
            if self.start_overdue_task(pending[index], preempt) {
                placed.insert(index);
            }
        }
        if !self.cluster.start_deadlines.claims.is_empty() {
            self.run_unstarted_near_deadline(&pending, &mut placed);
        }
        let left = pending.into_iter().enumerate();
        left.filter(|(index, _)| !placed.contains(index))
            .map(|(_, group)| group)
            .collect()
    }

    /// For each job whose first task is overdue, the index of the group that is
    /// placed first, the one with the least left to run; in the order of the jobs'
    /// acceptance.
    fn overdue_first_tasks(&self, pending: &[PendingGroup<'a>]) -> Vec<usize> {
        let mut by_order: BTreeMap<u32, usize> = BTreeMap::new();
        for (index, group) in pending.iter().enumerate() {
            let Some(order) = self.jobs[group.job_index].start_order else {
                continue;
            };
            let best = by_order.entry(order).or_insert(index);
            if self.best_upt(group) > self.best_upt(&pending[*best]) {
                *best = index;
            }
        }
        by_order.into_values().collect()
    }

    /// Places one task of a job whose first task is overdue. Where the team's limit
    /// leaves nothing for it, what becomes free of the limit is kept for it. Returns
    /// whether the group has no more tasks to place.
    fn start_overdue_task(&mut self, pending: PendingGroup<'a>, preempt: bool) -> bool {
        let job_index = pending.job_index;
        let job = pending.group.job;
        if self.quota_headroom(job) == 0 {
            self.quota_usage[job.team].add_scaled(&job.spec, 1.0);
            return false;
        }
        let Some(BestSlot { slot, .. }) = self.best_slot(&pending) else {
            if preempt {
                self.preempt_for(&pending, 1);
                self.jobs[job_index].preemption_tried = false;
            }
            return false;
        };
        self.start(&pending, slot);
        self.jobs[job_index].start_order = None;
        pending.group.resumable.is_some() || self.unplaced(job_index) == 0
    }

    /// Places tasks that never ran of jobs near their start deadline, on a part of
    /// the machines. Adds the groups without further tasks to `placed`.
    fn run_unstarted_near_deadline(
        &mut self,
        pending: &[PendingGroup<'a>],
        placed: &mut BTreeSet<usize>,
    ) {
        let total_cpus: f64 = self
            .slots
            .iter()
            .map(|s| self.types[s.type_index].cpus)
            .sum();
        let mut cpus_left = self.cluster.cpus_left_for_unstarted(total_cpus);
        for index in self.groups_near_start_deadline(pending, placed) {
            let group = pending[index];
            let (job_index, job) = (group.job_index, group.group.job);
            while cpus_left > 0.0 && self.unplaced(job_index) > 0 && self.quota_headroom(job) > 0 {
                let Some(BestSlot { slot, .. }) = self.best_slot(&group) else {
                    break;
                };
                self.start(&group, slot);
                cpus_left -= job.spec.cpus;
            }
            if self.unplaced(job_index) == 0 {
                placed.insert(index);
            }
        }
    }

    /// Indices of groups that are not `placed`, of jobs near their start deadline, in
    /// the order of the jobs' acceptance.
    fn groups_near_start_deadline(
        &self,
        pending: &[PendingGroup<'a>],
        placed: &BTreeSet<usize>,
    ) -> Vec<usize> {
        let claims = &self.cluster.start_deadlines.claims;
        let mut near: Vec<(u32, usize)> = pending
            .iter()
            .enumerate()
            .filter(|(index, p)| !placed.contains(index) && p.group.resumable.is_none())
            .filter_map(|(index, p)| {
                let claim = claims.get(&p.group.job.spec.id)?;
                claim.prioritizes_all_tasks.then_some((claim.order, index))
            })
            .collect();
        near.sort_unstable();
        near.into_iter().map(|(_, index)| index).collect()
    }

    /// Places tasks of jobs with a priority claim, those for the minimum share
    /// first. The next task is always one of the class that uses the fewest CPUs for
    /// such jobs, in the order of the class's jobs, as long as these may use more.
    /// Returns the groups that are left.
    fn run_claims(
        &mut self,
        pending: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let (mut queues, mut rest) = self.queue_claims(pending);
        while self.claim_cpus_left > 0.0 {
            let Some(queue) = self.next_claim_queue(&mut queues) else {
                break;
            };
            let Some(claimed) = queue.pop_front() else {
                break;
            };
            let pending = claimed.pending;
            let headroom = self.quota_headroom(pending.group.job);
            if headroom == 0 {
                continue;
            }
            let Some(BestSlot { slot, .. }) = self.best_slot(&pending) else {
                if preempt {
                    self.preempt_for(&pending, headroom);
                }
                continue;
            };
            self.start(&pending, slot);
            if pending.group.resumable.is_none() && self.unplaced(pending.job_index) > 0 {
                queue.push_front(claimed);
            }
        }
        rest.extend(queues.into_values().flatten().map(|c| c.pending));
        rest
    }

    /// Separates groups with a priority claim, in a queue for each class, from the
    /// others.
    fn queue_claims(
        &self,
        pending: Vec<PendingGroup<'a>>,
    ) -> (ClaimQueues<'a>, Vec<PendingGroup<'a>>) {
        let mut queues = ClaimQueues::new();
        let mut rest = Vec::with_capacity(pending.len());
        for pending in pending {
            let Some(claim) = self.jobs[pending.job_index].claim else {
                rest.push(pending);
                continue;
            };
            let key = ClaimQueueKey {
                beyond_min_share: !claim.for_min_share,
                group: claim.group,
            };
            queues.entry(key).or_default().push_back(ClaimedGroup {
                order: claim.order,
                pending,
            });
        }
        for queue in queues.values_mut() {
            // Of one job, what has the least left to run is first.
            queue.make_contiguous().sort_by(|a, b| {
                let by_upt = self
                    .best_upt(&b.pending)
                    .total_cmp(&self.best_upt(&a.pending));
                a.order.cmp(&b.order).then(by_upt)
            });
        }
        (queues, rest)
    }

    /// The queue that the next task is taken from: claims for the minimum share
    /// first, then of the class that uses the fewest CPUs.
    fn next_claim_queue<'q>(
        &self,
        queues: &'q mut ClaimQueues<'a>,
    ) -> Option<&'q mut VecDeque<ClaimedGroup<'a>>> {
        let nonempty = queues.iter_mut().filter(|(_, queue)| !queue.is_empty());
        let next = nonempty.min_by(|(a, _), (b, _)| {
            let by_usage = self.claim_cpus_used[a.group].total_cmp(&self.claim_cpus_used[b.group]);
            a.beyond_min_share.cmp(&b.beyond_min_share).then(by_usage)
        });
        next.map(|(_, queue)| queue)
    }

    /// Places tasks by utility per time, the greatest first.
    fn run_by_upt(&mut self, pending: Vec<PendingGroup<'a>>, preempt: bool) {
        let mut heap: BinaryHeap<QueuedGroup> = pending
            .into_iter()
            .map(|pending| QueuedGroup {
                order: self.best_order(&pending),
                task: pending.group.resumable.map_or(u32::MAX, |r| r.index),
                pending,
            })
            .collect();
        while let Some(mut top) = heap.pop() {
            let headroom = self.quota_headroom(top.pending.group.job);
            if headroom == 0 {
                continue;
            }
            let Some(BestSlot { slot, upt }) = self.best_slot(&top.pending) else {
                if preempt {
                    self.preempt_for(&top.pending, headroom);
                }
                continue;
            };
            // A worker that must fetch the image first lowers the utility per time:
            // the group is then queued again at its actual place in the order.
            let actual = PlacementOrder { upt, ..top.order };
            let is_lower = upt + UPT_TOLERANCE < top.order.upt;
            if is_lower && heap.peek().is_some_and(|next| next.order > actual) {
                top.order = actual;
                heap.push(top);
                continue;
            }
            self.start(&top.pending, slot);
            if top.pending.group.resumable.is_none() && self.unplaced(top.pending.job_index) > 0 {
                top.order = self.best_order(&top.pending);
                heap.push(top);
            }
        }
    }
}
