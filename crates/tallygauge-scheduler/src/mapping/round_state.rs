//! Data of one scheduling round: the cluster state it started from, and what the
//! round has changed so far.

use super::{
    TaskGroup,
    ordering::{PlacementOrder, SlotCost},
};
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    image_locality::is_replicated,
    minimum_share::state::{PriorityClaim, Reservation},
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

/// A start that a round decided on.
pub(super) struct PlannedStart {
    /// Id of the job.
    pub(super) job: String,
    /// Number of the task.
    pub(super) task: u32,
    /// Run time that its checkpoint saves it.
    pub(super) checkpointed_s: f64,
    /// Name of the worker.
    pub(super) worker: String,
}

/// A preemption that a round decided on.
pub(super) struct PlannedStop {
    /// Name of the worker.
    pub(super) worker: String,
    /// Number of the attempt that is stopped.
    pub(super) attempt: u64,
    /// Id of the job that it is stopped for.
    pub(super) preemptor: String,
}

/// A group of pending tasks in a round.
#[derive(Clone, Copy)]
pub(super) struct PendingGroup<'a> {
    pub(super) group: TaskGroup<'a>,
    /// Index of its job in [`Round::jobs`], which are in the order of their ids.
    pub(super) job_index: usize,
}

/// A job with pending tasks, and what the round knows of it.
pub(super) struct JobInRound<'a> {
    pub(super) job: &'a Job,
    pub(super) within_guarantee: bool,
    /// Its priority on behalf of an underserved class, if it has one.
    pub(super) claim: Option<PriorityClaim>,
    /// Its place among the jobs whose first task is overdue, until that is placed.
    pub(super) start_order: Option<u32>,
    /// Expected run time of a whole task.
    pub(super) expected_run_s: f64,
    /// Built when its first task looks for a slot.
    pub(super) candidates: Option<CandidateIndex>,
    /// Tasks by zone, with those of this round; `None`: as in the job.
    pub(super) zones: Option<BTreeMap<String, u32>>,
    /// Replicas placed in this round, by slot.
    pub(super) replicas_placed: BTreeMap<usize, u32>,
    /// Tasks placed in this round that are not resumable ones.
    pub(super) pending_placed: usize,
    /// Resumable tasks placed in this round.
    pub(super) resumables_placed: usize,
    /// Preemption was tried for it; it is tried once per round.
    pub(super) preemption_tried: bool,
}

impl JobInRound<'_> {
    /// Tasks by zone, with those placed in this round.
    pub(super) fn attempts_by_zone(&self) -> &BTreeMap<String, u32> {
        self.zones.as_ref().unwrap_or(&self.job.attempts_by_zone)
    }

    /// Whether it is placed ahead of the order by utility per time.
    pub(super) fn has_priority(&self) -> bool {
        self.claim.is_some() || self.start_order.is_some()
    }
}

/// A usable worker in a round.
pub(super) struct WorkerSlot<'a> {
    pub(super) worker: &'a Worker,
    /// Index into [`Round::types`].
    pub(super) type_index: usize,
    /// Index into [`Round::zones`].
    pub(super) zone_index: usize,
    pub(super) free_resources: Resources,
    /// Resources that will be free when all stops are confirmed.
    pub(super) available_after_preemption: Resources,
    /// Number of attempts on the worker.
    pub(super) tasks: usize,
    pub(super) images: Cow<'a, ImageCache>,
    /// Incremented with each start on the slot.
    pub(super) version: u32,
    /// Reserved for jobs with a priority claim.
    pub(super) reservation: Option<Reservation>,
    /// Reserved for jobs whose first task is overdue and needs at least this many
    /// CPUs.
    pub(super) start_reservation: Option<f64>,
    /// Attempts that may be preempted, lowest utility per time first.
    pub(super) victims: Vec<Victim<'a>>,
}

/// A running attempt that may be preempted.
#[derive(Clone, Copy)]
pub(super) struct Victim<'a> {
    /// Utility per time that its preemption would cost.
    pub(super) upt: f64,
    pub(super) attempt: &'a Attempt,
    /// Index of its team in the configuration.
    pub(super) team: usize,
    /// Its job is within the team's guarantee.
    pub(super) within_guarantee: bool,
}

/// A job's candidate slots, cheapest first, by machine type and zone.
pub(super) struct CandidateIndex {
    pub(super) heaps: Vec<BinaryHeap<SlotCost>>,
    /// Machines of this many CPUs or more are left to tasks that need them.
    pub(super) contended_cpus: f64,
    /// How many entries of [`Round::touched_slots`] the heaps include.
    pub(super) touched_seen: usize,
}

/// A request that no machine can satisfy any more in this round.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExhaustedRequest(Resources);

impl ExhaustedRequest {
    /// The resources that a task of the job requests.
    pub(super) fn of_job(spec: &JobSpec) -> Self {
        Self(Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        })
    }

    /// Whether a task requests as much or more, and so can't be placed either.
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
    slot: usize,
}

/// A preemption decided in this round.
pub(super) struct SlotStop<'a> {
    pub(super) slot: usize,
    /// Number of the attempt.
    pub(super) attempt: u64,
    /// Id of the job that it is stopped for.
    pub(super) preemptor: &'a str,
}

/// One scheduling round on a cluster state.
pub(super) struct Round<'a> {
    pub(super) cluster: &'a ClusterState,
    pub(super) now: f64,
    /// Machine types, by name.
    pub(super) types: Vec<&'a MachineType>,
    /// Zones of usable workers, by name.
    pub(super) zones: Vec<&'a str>,
    /// CPUs of the largest machine type.
    pub(super) largest_cpus: f64,
    /// CPUs from which on machines are contended.
    pub(super) contended_cpus: f64,
    /// Jobs with pending tasks, by id.
    pub(super) jobs: Vec<JobInRound<'a>>,
    /// Usable workers, by name.
    pub(super) slots: Vec<WorkerSlot<'a>>,
    /// Slots changed by this round, in the order of the changes.
    pub(super) touched_slots: Vec<usize>,
    pub(super) exhausted: Vec<ExhaustedRequest>,
    /// What each team uses, with the starts of this round and what is reserved on
    /// slots that are being freed.
    pub(super) quota_usage: Vec<QuotaUsage>,
    /// What each team will have released when its stops are confirmed.
    pub(super) quota_being_released: Vec<QuotaUsage>,
    /// CPUs used by jobs with a priority claim, by class or team.
    pub(super) claim_cpus_used: Vec<f64>,
    /// CPUs that jobs with a priority claim may still use on machines that are not
    /// reserved.
    pub(super) claim_cpus_left: f64,
    /// Slots on which attempts are being stopped.
    pub(super) slots_being_freed: BTreeSet<usize>,
    /// Lowest utility per time among the victims of each priority and team.
    pub(super) victim_groups: BTreeMap<(Priority, usize), f64>,
    pub(super) starts: Vec<SlotStart<'a>>,
    pub(super) stops: Vec<SlotStop<'a>>,
}

impl<'a> Round<'a> {
    /// Remaining run time of a task that resumes from `checkpointed_s`.
    pub(super) fn remaining_s(&self, job_index: usize, checkpointed_s: f64) -> f64 {
        (self.jobs[job_index].expected_run_s - checkpointed_s)
            .max(self.cluster.config.min_remaining_s)
    }

    /// Highest utility per time that a task of the group can reach, for the order
    /// of placement.
    pub(super) fn best_upt(&self, pending: &PendingGroup) -> f64 {
        let remaining_s = self.remaining_s(pending.job_index, pending.group.checkpointed_s());
        self.cluster
            .ordering_utility(pending.group.job, self.now + remaining_s * 0.5)
            / remaining_s
    }

    /// Place of the group in the order by utility per time, at best.
    pub(super) fn best_order(&self, pending: &PendingGroup) -> PlacementOrder {
        PlacementOrder {
            within_guarantee: self.jobs[pending.job_index].within_guarantee,
            upt: self.best_upt(pending),
            accepted_at: pending.group.job.accepted_at,
        }
    }

    /// How many more tasks of the job its team's limit allows.
    pub(super) fn quota_headroom(&self, job: &Job) -> usize {
        let team = &self.cluster.config.teams[job.team];
        let usage = &self.quota_usage[job.team];
        let by_cpus = count_fitting(team.max_cpus - usage.cpus, job.spec.cpus);
        let by_gpus = count_fitting(team.max_gpus - usage.gpus, job.spec.gpus);
        by_cpus.min(by_gpus) as usize
    }

    /// Pending tasks of the job, without resumable ones, that this round has not
    /// placed.
    pub(super) fn unplaced(&self, job_index: usize) -> usize {
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

    /// Takes the next task of the group, and returns its number.
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

    fn occupy_slot(&mut self, job: &Job, slot_index: usize) {
        let slot = &mut self.slots[slot_index];
        slot.free_resources.add_scaled(&job.spec, -1.0);
        slot.available_after_preemption.add_scaled(&job.spec, -1.0);
        slot.tasks += 1;
        slot.version += 1;
        let machine_type = self.types[slot.type_index];
        slot.images
            .to_mut()
            .request_for(&job.spec, machine_type, self.now);
        self.touched_slots.push(slot_index);
    }

    /// Counts a start towards the CPUs that jobs with a priority claim use.
    fn count_claim_usage(&mut self, job_index: usize, slot_index: usize) {
        let entry = &self.jobs[job_index];
        if let Some(claim) = entry.claim {
            self.claim_cpus_used[claim.group] += entry.job.spec.cpus;
            if self.slots[slot_index].reservation.is_none() {
                self.claim_cpus_left -= entry.job.spec.cpus;
            }
        }
    }

    /// Counts a start by machine and zone, for jobs to which that matters.
    fn count_replica(&mut self, job_index: usize, slot_index: usize) {
        let entry = &mut self.jobs[job_index];
        let job = entry.job;
        if is_replicated(job) {
            *entry.replicas_placed.entry(slot_index).or_default() += 1;
        }
        if job.spec.one_zone || job.spec.spread || is_replicated(job) {
            let zones = entry
                .zones
                .get_or_insert_with(|| job.attempts_by_zone.clone());
            let zone = self.slots[slot_index].worker.zone.clone();
            *zones.entry(zone).or_default() += 1;
        }
    }

    /// The starts of this round, in the order they were decided in.
    pub(super) fn planned_starts(&self) -> Vec<PlannedStart> {
        let planned = self.starts.iter().map(|start| {
            let worker = self.slots[start.slot].worker;
            PlannedStart {
                job: start.group.job.spec.id.clone(),
                task: start.task,
                checkpointed_s: start.group.checkpoint_on(&worker.machine_type),
                worker: worker.name.clone(),
            }
        });
        planned.collect()
    }

    /// The preemptions of this round, in the order they were decided in.
    pub(super) fn planned_stops(&self) -> Vec<PlannedStop> {
        let planned = self.stops.iter().map(|stop| PlannedStop {
            worker: self.slots[stop.slot].worker.name.clone(),
            attempt: stop.attempt,
            preemptor: stop.preemptor.to_string(),
        });
        planned.collect()
    }
}
