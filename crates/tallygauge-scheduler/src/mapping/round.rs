//! The phases of a scheduling round, in this order:
//! 1. one task of each job whose first task is overdue, then further tasks of the jobs
//!    whose start claim gives priority to all tasks that never ran;
//! 2. tasks of jobs with a priority claim;
//! 3. all other tasks, by utility per time.

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

/// Utilities per time that differ by no more than this are taken as equal: the
/// difference is a rounding error.
const UPT_TOLERANCE: f64 = 1e-12;

/// A group and the best possible sort key of its next task. Equal keys are ordered by
/// job id, then by task number.
struct QueuedGroup<'a> {
    order: PlacementOrder,
    pending: PendingGroup<'a>,
    /// Number of the task if the group is a resumable one; otherwise `u32::MAX`.
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

/// A pending group whose job has a priority claim.
struct ClaimedGroup<'a> {
    /// The job's place among the jobs with a claim, see [`PriorityClaim::order`].
    ///
    /// [`PriorityClaim::order`]: crate::minimum_share::state::PriorityClaim::order
    order: u32,
    pending: PendingGroup<'a>,
}

/// Key of a queue of claimed groups. Queues of claims that the minimum share needs are
/// ordered before the others.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ClaimQueueKey {
    /// Whether the minimum share can be reached without the claimed jobs.
    beyond_min_share: bool,
    /// Group id of the class of the claimed jobs, see [`PriorityClaim::group`]. Unlike a
    /// [`PendingGroup`], it is a group of the minimum share.
    ///
    /// [`PriorityClaim::group`]: crate::minimum_share::state::PriorityClaim::group
    class_group: usize,
}

type ClaimQueues<'a> = BTreeMap<ClaimQueueKey, VecDeque<ClaimedGroup<'a>>>;

impl<'a> Round<'a> {
    /// Runs all phases: decides which tasks start on which workers and, if `preempt` is
    /// set, which running attempts are preempted.
    pub(super) fn run(&mut self, pending: Vec<PendingGroup<'a>>, preempt: bool) {
        if preempt {
            self.find_victims();
        }
        // Free resources and victims only decrease within a round, so groups that can't
        // be placed at the start of the round can't be placed later either.
        let max_free_after_stops = self.max_free_after_stops();
        let placeable = pending
            .into_iter()
            .filter(|p| max_free_after_stops.can_fit(&p.group.job.spec) || self.has_preemptible(p));
        let pending: Vec<PendingGroup> = placeable.collect();
        let pending = self.place_overdue_first_tasks(pending, preempt);
        let pending = self.place_claimed_jobs(pending, preempt);
        self.place_by_upt(pending, preempt);
    }

    /// The most of each resource that is free on any machine, or will be when all
    /// requested stops are confirmed. The maxima may come from different machines.
    fn max_free_after_stops(&self) -> Resources {
        let mut max = Resources::default();
        for slot in &self.slots {
            let free = slot.room_after_stops.resources;
            max.cpus = max.cpus.max(free.cpus);
            max.gpus = max.gpus.max(free.gpus);
            max.memory_gb = max.memory_gb.max(free.memory_gb);
        }
        max
    }

    /// Places one task of each job whose first task is overdue, and then further tasks of
    /// the jobs whose start claim gives priority to all tasks that never ran. Returns the
    /// groups that still have tasks to place.
    fn place_overdue_first_tasks(
        &mut self,
        pending: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let mut fully_placed = BTreeSet::new();
        for index in self.overdue_first_tasks(&pending) {
            if self.place_overdue_first_task(pending[index], preempt) {
                fully_placed.insert(index);
            }
        }
        if !self.cluster.start_deadlines.claims.is_empty() {
            self.place_prioritized_unstarted(&pending, &mut fully_placed);
        }
        let groups = pending.into_iter().enumerate();
        groups
            .filter(|(index, _)| !fully_placed.contains(index))
            .map(|(_, group)| group)
            .collect()
    }

    /// For each job whose first task is overdue, the index of the group to place first,
    /// which is the one with the highest utility per time and so the least remaining run
    /// time. Sorted by the jobs' time of acceptance.
    fn overdue_first_tasks(&self, pending: &[PendingGroup<'a>]) -> Vec<usize> {
        let mut by_order: BTreeMap<u32, usize> = BTreeMap::new();
        for (index, group) in pending.iter().enumerate() {
            let Some(order) = self.jobs[group.job_index].overdue_start_order else {
                continue;
            };
            let best_index = by_order.entry(order).or_insert(index);
            if self.best_ordering_upt(group) > self.best_ordering_upt(&pending[*best_index]) {
                *best_index = index;
            }
        }
        by_order.into_values().collect()
    }

    /// Places one task of a job whose first task is overdue. If the team has reached its
    /// quota, the task is counted towards the team's usage without being placed, so that
    /// quota that becomes free is kept for it. Returns whether the group has no more tasks
    /// to place.
    fn place_overdue_first_task(&mut self, pending: PendingGroup<'a>, preempt: bool) -> bool {
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
        self.jobs[job_index].overdue_start_order = None;
        pending.group.resumable.is_some() || self.unplaced_pending_count(job_index) == 0
    }

    /// Places tasks that never ran, of jobs whose start claim gives priority to all such
    /// tasks, on a limited part of the machines' CPUs. Adds the groups without further
    /// tasks to place to `fully_placed`.
    fn place_prioritized_unstarted(
        &mut self,
        pending: &[PendingGroup<'a>],
        fully_placed: &mut BTreeSet<usize>,
    ) {
        let total_cpus: f64 = self
            .slots
            .iter()
            .map(|s| self.machine_types[s.type_index].cpus)
            .sum();
        let mut cpus_left = self.cluster.cpus_left_for_unstarted(total_cpus);
        for index in self.prioritized_unstarted_groups(pending, fully_placed) {
            let group = pending[index];
            let (job_index, job) = (group.job_index, group.group.job);
            while cpus_left > 0.0
                && self.unplaced_pending_count(job_index) > 0
                && self.quota_headroom(job) > 0
            {
                let Some(BestSlot { slot, .. }) = self.best_slot(&group) else {
                    break;
                };
                self.start(&group, slot);
                cpus_left -= job.spec.cpus;
            }
            if self.unplaced_pending_count(job_index) == 0 {
                fully_placed.insert(index);
            }
        }
    }

    /// Indices of the groups of jobs whose start claim gives priority to all tasks that
    /// never ran, sorted by the jobs' time of acceptance. Leaves out resumable tasks and
    /// the groups in `fully_placed`.
    fn prioritized_unstarted_groups(
        &self,
        pending: &[PendingGroup<'a>],
        fully_placed: &BTreeSet<usize>,
    ) -> Vec<usize> {
        let claims = &self.cluster.start_deadlines.claims;
        let mut prioritized: Vec<(u32, usize)> = pending
            .iter()
            .enumerate()
            .filter(|(index, p)| !fully_placed.contains(index) && p.group.resumable.is_none())
            .filter_map(|(index, p)| {
                let claim = claims.get(&p.group.job.spec.id)?;
                claim.prioritizes_all_tasks.then_some((claim.order, index))
            })
            .collect();
        prioritized.sort_unstable();
        prioritized.into_iter().map(|(_, index)| index).collect()
    }

    /// Places tasks of jobs with a priority claim, as long as such jobs may use more
    /// CPUs. Returns the groups that were not placed in full.
    ///
    /// - Claims that the minimum share needs come first.
    /// - The next task is always taken from the class whose jobs with a claim use the fewest
    ///   CPUs at that moment.
    /// - Within a class, jobs are taken in the order of their claims.
    fn place_claimed_jobs(
        &mut self,
        pending: Vec<PendingGroup<'a>>,
        preempt: bool,
    ) -> Vec<PendingGroup<'a>> {
        let (mut queues, mut rest) = self.queue_claimed_groups(pending);
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
            if pending.group.resumable.is_none()
                && self.unplaced_pending_count(pending.job_index) > 0
            {
                queue.push_front(claimed);
            }
        }
        rest.extend(queues.into_values().flatten().map(|c| c.pending));
        rest
    }

    /// Puts the groups of jobs with a priority claim into queues, and returns the other
    /// groups separately.
    fn queue_claimed_groups(
        &self,
        pending_groups: Vec<PendingGroup<'a>>,
    ) -> (ClaimQueues<'a>, Vec<PendingGroup<'a>>) {
        let mut queues = ClaimQueues::new();
        let mut rest = Vec::with_capacity(pending_groups.len());
        for pending in pending_groups {
            let Some(claim) = self.jobs[pending.job_index].claim else {
                rest.push(pending);
                continue;
            };
            let key = ClaimQueueKey {
                beyond_min_share: !claim.for_min_share,
                class_group: claim.group,
            };
            queues.entry(key).or_default().push_back(ClaimedGroup {
                order: claim.order,
                pending,
            });
        }
        for queue in queues.values_mut() {
            // Groups of one job are ordered by descending utility per time, which puts
            // the least remaining run time first.
            queue.make_contiguous().sort_by(|a, b| {
                let by_upt = self
                    .best_ordering_upt(&b.pending)
                    .total_cmp(&self.best_ordering_upt(&a.pending));
                a.order.cmp(&b.order).then(by_upt)
            });
        }
        (queues, rest)
    }

    /// The queue that the next task is taken from: of the non-empty queues, those of
    /// claims that the minimum share needs come first, and among them the class whose jobs
    /// with a claim use the fewest CPUs.
    fn next_claim_queue<'q>(
        &self,
        queues: &'q mut ClaimQueues<'a>,
    ) -> Option<&'q mut VecDeque<ClaimedGroup<'a>>> {
        let non_empty = queues.iter_mut().filter(|(_, queue)| !queue.is_empty());
        let next = non_empty.min_by(|(a, _), (b, _)| {
            let by_usage =
                self.claim_cpus_used[a.class_group].total_cmp(&self.claim_cpus_used[b.class_group]);
            a.beyond_min_share.cmp(&b.beyond_min_share).then(by_usage)
        });
        next.map(|(_, queue)| queue)
    }

    /// Places tasks in descending [`PlacementOrder`]: those within their team's guarantee
    /// first, then by utility per time.
    fn place_by_upt(&mut self, pending: Vec<PendingGroup<'a>>, preempt: bool) {
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
            // The utility per time on the best slot may be lower than the queue assumed,
            // for example if the worker must fetch the image first. If another group then
            // comes before this one, it is queued again with its actual sort key.
            let actual_order = PlacementOrder { upt, ..top.order };
            let is_lower = upt + UPT_TOLERANCE < top.order.upt;
            if is_lower && heap.peek().is_some_and(|next| next.order > actual_order) {
                top.order = actual_order;
                heap.push(top);
                continue;
            }
            self.start(&top.pending, slot);
            if top.pending.group.resumable.is_none()
                && self.unplaced_pending_count(top.pending.job_index) > 0
            {
                top.order = self.best_order(&top.pending);
                heap.push(top);
            }
        }
    }
}
