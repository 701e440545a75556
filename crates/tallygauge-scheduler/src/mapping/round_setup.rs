//! Builds the data of a scheduling round from the cluster state.

use super::{
    TaskGroup,
    round_state::{JobInRound, PendingGroup, Round, WorkerSlot},
};
use crate::{
    cluster_state::{ClusterState, QuotaUsage},
    model::*,
};
use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet},
};
use tallygauge_protocol::cloud::MachineType;

/// Slots of the usable workers, and the resources that stopping attempts will release.
struct UsableSlots<'a> {
    slots: Vec<WorkerSlot<'a>>,
    /// Zones of the usable workers, sorted by name.
    zones: Vec<&'a str>,
    /// Indices of the slots with attempts that are being stopped.
    slots_being_freed: BTreeSet<usize>,
    /// Quota held by attempts that are being stopped, by team.
    quota_being_released: Vec<QuotaUsage>,
}

impl<'a> Round<'a> {
    /// Builds a round, and the pending groups with their indices into its jobs.
    /// `groups` must be sorted by job id, as [`ClusterState::pending_groups`] returns
    /// them.
    pub(super) fn new(
        cluster: &'a ClusterState,
        now: f64,
        groups: Vec<TaskGroup<'a>>,
    ) -> (Self, Vec<PendingGroup<'a>>) {
        let machine_types = machine_types_by_name(cluster);
        let usable = usable_slots(cluster, &machine_types, now);
        let claim_cpus_left = claim_cpus_left(cluster, &usable.slots, &machine_types);
        let min_contended_cpus = cluster.min_contended_cpus(&groups);
        let (jobs, pending) = jobs_in_round(cluster, groups);
        let round = Self {
            cluster,
            now,
            claim_cpus_left,
            claim_cpus_used: claim_cpus_used(cluster),
            max_machine_cpus: machine_types.iter().map(|t| t.cpus).fold(1.0, f64::max),
            min_contended_cpus,
            machine_types,
            zones: usable.zones,
            jobs,
            slots: usable.slots,
            changed_slots: Vec::new(),
            unplaceable_requests: Vec::new(),
            quota_usage: cluster.quota_usage.clone(),
            quota_being_released: usable.quota_being_released,
            slots_being_freed: usable.slots_being_freed,
            min_victim_upt: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        };
        (round, pending)
    }
}

/// The machine types on offer, sorted by name.
fn machine_types_by_name(cluster: &ClusterState) -> Vec<&MachineType> {
    let mut machine_types: Vec<&MachineType> = cluster.machine_types.values().collect();
    machine_types.sort_by(|a, b| a.name.cmp(&b.name));
    machine_types
}

/// A slot for each usable worker whose machine type is known.
fn usable_slots<'a>(
    cluster: &'a ClusterState,
    machine_types: &[&'a MachineType],
    now: f64,
) -> UsableSlots<'a> {
    let workers: Vec<&Worker> = cluster.usable_workers(now).collect();
    let zones: BTreeSet<&str> = workers.iter().map(|w| w.zone.as_str()).collect();
    let mut usable = UsableSlots {
        slots: Vec::with_capacity(workers.len()),
        zones: zones.into_iter().collect(),
        slots_being_freed: BTreeSet::new(),
        quota_being_released: vec![QuotaUsage::default(); cluster.config.teams.len()],
    };
    for worker in workers {
        let found = machine_types.binary_search_by(|t| t.name.as_str().cmp(&worker.machine_type));
        if let Ok(type_index) = found {
            usable.add(cluster, worker, type_index);
        }
    }
    usable
}

impl<'a> UsableSlots<'a> {
    /// Adds the slot of a worker, with what its stopping attempts will release.
    fn add(&mut self, cluster: &ClusterState, worker: &'a Worker, type_index: usize) {
        for attempt in worker.attempts.iter().filter(|a| a.is_stopping()) {
            self.slots_being_freed.insert(self.slots.len());
            if let Some(team) = cluster.config.team_index(&attempt.spec.team) {
                self.quota_being_released[team].add_scaled(&attempt.spec, 1.0);
            }
        }
        let zone = worker.zone.as_str();
        self.slots.push(WorkerSlot {
            worker,
            type_index,
            zone_index: self.zones.binary_search(&zone).unwrap_or(0),
            room: worker.room(&cluster.config),
            room_after_stops: worker.room_after_stops(&cluster.config),
            images: Cow::Borrowed(&worker.images),
            version: 0,
            reservations: cluster.reservations_on(&worker.name),
            victims: Vec::new(),
        });
    }
}

/// The jobs that the groups belong to, and the groups with the indices of their jobs.
fn jobs_in_round<'a>(
    cluster: &'a ClusterState,
    groups: Vec<TaskGroup<'a>>,
) -> (Vec<JobInRound<'a>>, Vec<PendingGroup<'a>>) {
    let within_guarantee = cluster.jobs_within_guarantee();
    let mut jobs: Vec<JobInRound> = Vec::new();
    let mut pending = Vec::with_capacity(groups.len());
    for group in groups {
        let job = group.job;
        let is_same_job = jobs.last().is_some_and(|last| std::ptr::eq(last.job, job));
        if !is_same_job {
            jobs.push(JobInRound {
                job,
                within_guarantee: within_guarantee.contains(job.spec.id.as_str()),
                claim: cluster.minimum_share.claims.get(&job.spec.id).copied(),
                overdue_start_order: cluster.start_claim_order(&job.spec.id),
                expected_run_s: cluster.expected_run_s(&job.spec),
                candidates: None,
                updated_attempts_by_zone: None,
                replicas_placed_by_slot: BTreeMap::new(),
                pending_placed: 0,
                resumables_placed: 0,
                preemption_tried: false,
            });
        }
        let job_index = jobs.len() - 1;
        pending.push(PendingGroup { group, job_index });
    }
    (jobs, pending)
}

/// CPUs used by jobs with a priority claim, by the group id of their class.
fn claim_cpus_used(cluster: &ClusterState) -> Vec<f64> {
    let mut used_cpus = vec![0.0; cluster.minimum_share.service_counts.keys().len()];
    for (id, claim) in &cluster.minimum_share.claims {
        if let Some(job) = cluster.jobs.get(id) {
            used_cpus[claim.group] += job.spec.cpus * job.attempts_by_task.len() as f64;
        }
    }
    used_cpus
}

/// CPUs that jobs with a priority claim may still use on machines that are not reserved
/// for them: their share of all machines, less the reserved machines, less what such
/// jobs use on the others.
fn claim_cpus_left(
    cluster: &ClusterState,
    slots: &[WorkerSlot],
    machine_types: &[&MachineType],
) -> f64 {
    let minimum_share = &cluster.minimum_share;
    if minimum_share.claims.is_empty() {
        return 0.0;
    }
    let cpus = |slot: &WorkerSlot| machine_types[slot.type_index].cpus;
    let total_cpus: f64 = slots.iter().map(cpus).sum();
    let reserved_cpus: f64 = slots
        .iter()
        .filter(|s| s.reservations.for_claims.is_some())
        .map(cpus)
        .sum();
    let has_claim =
        |a: &&Attempt| a.occupies_capacity() && minimum_share.claims.contains_key(&a.spec.id);
    let used_cpus: f64 = slots
        .iter()
        .filter(|s| s.reservations.for_claims.is_none())
        .flat_map(|s| s.worker.attempts.iter().filter(has_claim))
        .map(|a| a.spec.cpus)
        .sum();
    total_cpus * minimum_share.machine_share - reserved_cpus - used_cpus
}
