//! Data of one scheduling round: the cluster state that it started from, and the
//! changes that the round has made so far.

use super::{
    TaskGroup,
    ordering::{PlacementOrder, SlotCost},
};
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    image_locality::is_replicated,
    machine_reservations::{MachineReservations, Precedence},
    minimum_share::state::PriorityClaim,
    model::*,
};
use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};
use tallygauge_protocol::{
    cloud::MachineType,
    users::{JobSpec, Priority},
};

/// A start decided by a finished round, with names in place of indices.
pub(super) struct PlannedStart {
    /// Id of the job.
    pub(super) job: String,
    /// Number of the task.
    pub(super) task: u32,
    /// Run time, in seconds, that the task's checkpoint saves on this worker.
    pub(super) checkpointed_s: f64,
    /// Name of the worker.
    pub(super) worker: String,
}

/// A preemption decided by a finished round, with names in place of indices.
pub(super) struct PlannedStop {
    /// Name of the worker.
    pub(super) worker: String,
    /// Number of the attempt to stop.
    pub(super) attempt: u64,
    /// Id of the job that the attempt is stopped for.
    pub(super) preemptor: String,
}

/// A group of pending tasks in a round.
#[derive(Clone, Copy)]
pub(super) struct PendingGroup<'a> {
    pub(super) group: TaskGroup<'a>,
    /// Index of the group's job in [`Round::jobs`], which is sorted by job id.
    pub(super) job_index: usize,
}

/// A job with pending tasks, and what the round keeps about the job.
pub(super) struct JobInRound<'a> {
    pub(super) job: &'a Job,
    /// Whether the job fits into its team's guarantee, see
    /// [`ClusterState::jobs_within_guarantee`].
    pub(super) within_guarantee: bool,
    /// The job's priority claim on behalf of an underserved class or team, if any.
    pub(super) claim: Option<PriorityClaim>,
    /// The job's place among those whose first task is overdue; `None` for other jobs
    /// and once the first task has been placed.
    pub(super) overdue_start_order: Option<u32>,
    /// Expected run time of a task from its beginning, in seconds.
    pub(super) expected_run_s: f64,
    /// Free slots for the job; built when a slot is first searched for one of its tasks.
    pub(super) candidates: Option<CandidateIndex>,
    /// Attempts by zone, including those placed in this round; `None`: unchanged from
    /// the job's own `attempts_by_zone`.
    pub(super) updated_attempts_by_zone: Option<BTreeMap<String, u32>>,
    /// Number of replicas placed in this round, by slot index.
    pub(super) replicas_placed_by_slot: BTreeMap<usize, u32>,
    /// Number of tasks of `Job::pending` placed in this round.
    pub(super) pending_placed: usize,
    /// Number of tasks of `Job::resumable` placed in this round.
    pub(super) resumables_placed: usize,
    /// Whether preemption was already tried for the job, which is done once per round;
    /// preemption for its overdue first task does not count.
    pub(super) preemption_tried: bool,
}

impl JobInRound<'_> {
    /// Number of attempts by zone, including those placed in this round.
    pub(super) fn attempts_by_zone(&self) -> &BTreeMap<String, u32> {
        self.updated_attempts_by_zone
            .as_ref()
            .unwrap_or(&self.job.attempts_by_zone)
    }

    /// Whether the job's tasks are placed ahead of those ordered by utility per time:
    /// it has a priority claim, or its first task is overdue.
    pub(super) fn has_precedence(&self) -> bool {
        self.precedence().is_any()
    }

    /// Why the job's next task is placed ahead of those ordered by utility per time.
    pub(super) fn precedence(&self) -> Precedence {
        Precedence {
            has_claim: self.claim.is_some(),
            is_start_overdue: self.overdue_start_order.is_some(),
        }
    }
}

/// A usable worker, with the resources that the round has left of it.
pub(super) struct WorkerSlot<'a> {
    pub(super) worker: &'a Worker,
    /// Index into [`Round::machine_types`].
    pub(super) type_index: usize,
    /// Index into [`Round::zones`].
    pub(super) zone_index: usize,
    pub(super) room: Room,
    /// The room that there will be when all requested stops are confirmed.
    pub(super) room_after_stops: Room,
    /// Images on the worker, copied when the round first changes them.
    pub(super) images: Cow<'a, ImageCache>,
    /// Incremented with each start on the slot.
    pub(super) version: u32,
    /// What the machine is reserved for.
    pub(super) reservations: MachineReservations,
    /// Attempts that may be preempted, lowest utility per time first.
    pub(super) victims: Vec<Victim<'a>>,
}

/// A running attempt that may be preempted.
#[derive(Clone, Copy)]
pub(super) struct Victim<'a> {
    /// Utility per time that is lost if the attempt is preempted.
    pub(super) upt: f64,
    pub(super) attempt: &'a Attempt,
    /// Index of the attempt's team in the configuration.
    pub(super) team: usize,
    /// Whether the attempt's job is within its team's guarantee.
    pub(super) within_guarantee: bool,
}

/// A job's candidate slots: one heap for each pair of machine type and zone, cheapest
/// slot first.
pub(super) struct CandidateIndex {
    /// Heaps by `type_index * number of zones + zone_index`.
    pub(super) heaps: Vec<BinaryHeap<SlotCost>>,
    /// Machines with at least this many CPUs cost more, to be left to tasks that need
    /// them.
    pub(super) min_contended_cpus: f64,
    /// Number of entries of [`Round::changed_slots`] that the heaps account for.
    pub(super) changed_slots_seen: usize,
}

/// A resource request that no machine can satisfy any more in this round.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnplaceableRequest(Resources);

impl UnplaceableRequest {
    /// The resources requested for a task of the job.
    pub(super) fn of_job(spec: &JobSpec) -> Self {
        Self(Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        })
    }

    /// Whether a task of the job requests at least as much of every resource, and so
    /// can't be placed either.
    pub(super) fn covers(&self, spec: &JobSpec) -> bool {
        let Resources {
            cpus,
            gpus,
            memory_gb,
        } = self.0;
        spec.cpus >= cpus && spec.gpus >= gpus && spec.memory_gb >= memory_gb
    }
}

/// A start decided in this round.
pub(super) struct SlotStart<'a> {
    group: TaskGroup<'a>,
    /// Number of the task.
    task: u32,
    /// Index into [`Round::slots`].
    slot: usize,
}

/// A preemption decided in this round.
pub(super) struct SlotStop<'a> {
    /// Index into [`Round::slots`].
    pub(super) slot: usize,
    /// Number of the attempt to stop.
    pub(super) attempt: u64,
    /// Id of the job that the attempt is stopped for.
    pub(super) preemptor: &'a str,
}

/// One scheduling round on a cluster state.
pub(super) struct Round<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: f64,
    /// Machine types, sorted by name.
    pub(super) machine_types: Vec<&'a MachineType>,
    /// Zones of usable workers, sorted by name.
    pub(super) zones: Vec<&'a str>,
    /// CPUs of the largest machine type.
    pub(super) max_machine_cpus: f64,
    /// Machines with at least this many CPUs are contended, see
    /// [`ClusterState::min_contended_cpus`].
    pub(super) min_contended_cpus: f64,
    /// Jobs with pending tasks, sorted by id.
    pub(super) jobs: Vec<JobInRound<'a>>,
    /// Usable workers, sorted by name.
    pub(super) slots: Vec<WorkerSlot<'a>>,
    /// Indices of slots changed by this round, in the order of the changes.
    pub(super) changed_slots: Vec<usize>,
    /// Requests that were found to fit no machine any more, for jobs without constraints
    /// or precedence.
    pub(super) unplaceable_requests: Vec<UnplaceableRequest>,
    /// What each team uses, including the starts of this round and the quota kept for
    /// tasks that can't start yet: those with a reservation on a slot that is being
    /// freed, and overdue first tasks of teams that have reached their quota.
    pub(super) quota_usage: Vec<QuotaUsage>,
    /// What each team will release when the stops of its attempts are confirmed.
    pub(super) quota_being_released: Vec<QuotaUsage>,
    /// CPUs used by jobs with a priority claim, by the group id of their class.
    pub(super) claim_cpus_used: Vec<f64>,
    /// CPUs that jobs with a priority claim may still use on machines that are not
    /// reserved for them.
    pub(super) claim_cpus_left: f64,
    /// Indices of slots on which attempts are being stopped.
    pub(super) slots_being_freed: BTreeSet<usize>,
    /// Lowest utility per time among the victims, by their priority and the index of
    /// their team.
    pub(super) min_victim_upt: BTreeMap<(Priority, usize), f64>,
    pub(super) starts: Vec<SlotStart<'a>>,
    pub(super) stops: Vec<SlotStop<'a>>,
}

impl<'a> Round<'a> {
    /// Remaining run time, in seconds, of a task that resumes after `checkpointed_s`
    /// seconds of saved run time.
    pub(super) fn remaining_s(&self, job_index: usize, checkpointed_s: f64) -> f64 {
        (self.jobs[job_index].expected_run_s - checkpointed_s)
            .max(self.cluster.config.min_remaining_s)
    }

    /// Highest utility per time that a task of the group can reach, as the placement
    /// order uses it: on a machine that has the image and can use the checkpoint.
    pub(super) fn best_ordering_upt(&self, pending: &PendingGroup) -> f64 {
        let remaining_s = self.remaining_s(pending.job_index, pending.group.checkpointed_s());
        self.cluster
            .ordering_utility(pending.group.job, self.now + remaining_s * 0.5)
            / remaining_s
    }

    /// Best possible sort key of the group in the placement order.
    pub(super) fn best_order(&self, pending: &PendingGroup) -> PlacementOrder {
        PlacementOrder {
            within_guarantee: self.jobs[pending.job_index].within_guarantee,
            upt: self.best_ordering_upt(pending),
            accepted_at: pending.group.job.accepted_at,
        }
    }

    /// Number of further tasks of the job that its team's quota allows.
    pub(super) fn quota_headroom(&self, job: &Job) -> usize {
        let team = &self.cluster.config.teams[job.team];
        let usage = &self.quota_usage[job.team];
        let by_cpus = count_fitting(team.max_cpus - usage.cpus, job.spec.cpus);
        let by_gpus = count_fitting(team.max_gpus - usage.gpus, job.spec.gpus);
        by_cpus.min(by_gpus) as usize
    }

    /// Number of tasks of `Job::pending`, that is without resumable ones, that this
    /// round has not placed.
    pub(super) fn unplaced_pending_count(&self, job_index: usize) -> usize {
        let entry = &self.jobs[job_index];
        entry.job.pending.len() as usize - entry.pending_placed
    }

    /// Places the next task of the group on a slot.
    pub(super) fn start(&mut self, pending: &PendingGroup<'a>, slot_index: usize) {
        let group = pending.group;
        let Some(task) = self.take_task(pending) else {
            return;
        };
        self.occupy_slot(group.job, slot_index);
        self.quota_usage[group.job.team].add_scaled(&group.job.spec, 1.0);
        self.count_claim_usage(pending.job_index, slot_index);
        self.count_replica(pending.job_index, slot_index);
        self.starts.push(SlotStart {
            group,
            task,
            slot: slot_index,
        });
    }

    /// Counts the group's next task as placed and returns its number.
    fn take_task(&mut self, pending: &PendingGroup<'a>) -> Option<u32> {
        let entry = &mut self.jobs[pending.job_index];
        if let Some(resumable) = pending.group.resumable {
            entry.resumables_placed += 1;
            return Some(resumable.index);
        }
        entry.pending_placed += 1;
        pending
            .group
            .job
            .pending
            .nth(entry.pending_placed as u32 - 1)
    }

    /// Takes the resources of a task of the job from a slot and requests its image there.
    fn occupy_slot(&mut self, job: &Job, slot_index: usize) {
        let slot = &mut self.slots[slot_index];
        slot.room.take(&job.spec, 1);
        slot.room_after_stops.take(&job.spec, 1);
        slot.version += 1;
        let machine_type = self.machine_types[slot.type_index];
        slot.images
            .to_mut()
            .request_for(&job.spec, machine_type, self.now);
        self.changed_slots.push(slot_index);
    }

    /// If the job has a priority claim, counts a start of one of its tasks towards the CPUs
    /// that jobs with such claims use.
    fn count_claim_usage(&mut self, job_index: usize, slot_index: usize) {
        let entry = &self.jobs[job_index];
        if let Some(claim) = entry.claim {
            self.claim_cpus_used[claim.group] += entry.job.spec.cpus;
            if self.slots[slot_index].reservations.for_claims.is_none() {
                self.claim_cpus_left -= entry.job.spec.cpus;
            }
        }
    }

    /// Counts a start by machine for replicated jobs, and by zone for jobs whose placement
    /// depends on it.
    fn count_replica(&mut self, job_index: usize, slot_index: usize) {
        let entry = &mut self.jobs[job_index];
        let job = entry.job;
        if is_replicated(job) {
            *entry.replicas_placed_by_slot.entry(slot_index).or_default() += 1;
        }
        if job.spec.one_zone || job.spec.spread || is_replicated(job) {
            let attempts_by_zone = entry
                .updated_attempts_by_zone
                .get_or_insert_with(|| job.attempts_by_zone.clone());
            let zone = self.slots[slot_index].worker.zone.clone();
            *attempts_by_zone.entry(zone).or_default() += 1;
        }
    }

    /// The starts of this round, in the order of the decisions.
    pub(super) fn planned_starts(&self) -> Vec<PlannedStart> {
        let planned = self.starts.iter().map(|start| {
            let worker = self.slots[start.slot].worker;
            PlannedStart {
                job: start.group.job.spec.id.clone(),
                task: start.task,
                checkpointed_s: start.group.checkpointed_s_on(&worker.machine_type),
                worker: worker.name.clone(),
            }
        });
        planned.collect()
    }

    /// The preemptions of this round, in the order of the decisions.
    pub(super) fn planned_stops(&self) -> Vec<PlannedStop> {
        let planned = self.stops.iter().map(|stop| PlannedStop {
            worker: self.slots[stop.slot].worker.name.clone(),
            attempt: stop.attempt,
            preemptor: stop.preemptor.to_string(),
        });
        planned.collect()
    }
}
