//! Scale-out: which machines to rent for pending tasks.
//!
//! Pending tasks are packed into the existing and booting machines. For those that don't
//! fit, machines are added to a [`RentalPlan`].

mod cheapest_kind;
mod rental_plan;

use crate::{
    cluster_state::ClusterState, machine_reservations::MachineReservations, machine_types::boot_s,
    mapping::TaskGroup, model::*,
};
use rental_plan::{KindRef, PackableMachine, RentalPlan, UnplaceableTasks};
use std::collections::BTreeMap;
use tallygauge_protocol::{
    cloud::{MAX_MACHINES_PER_RENTAL, MachineType},
    users::JobSpec,
};

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// Kind of the machines.
    pub kind: MachineKind,
    /// Number of machines.
    pub count: u32,
}

/// Maximum fraction of its slack that a pending task may spend waiting for resources.
const MAX_SLACK_SPENT: f64 = 0.4;

/// Time after which a machine that is still booting is no longer counted on, as a multiple
/// of the boot time of its type.
const MAX_BOOT_TIME_FACTOR: f64 = 1.7;

impl ClusterState {
    /// Records that the cloud had fewer machines of a kind than were requested. The kind is
    /// not requested again until a backoff time has passed, which grows with each refusal
    /// up to the third.
    pub fn record_no_capacity(&mut self, kind: &MachineKind, now: f64) {
        let boot_s = boot_s(&self.machine_types, &kind.machine_type);
        let backoff = self.capacity_backoff.entry(kind.clone()).or_default();
        backoff.refusals = (backoff.refusals + 1).min(3);
        backoff.until = now + boot_s * 0.1 * f64::from(1u32 << backoff.refusals);
    }

    /// Records that the cloud had all machines of a kind that were requested.
    pub fn record_rented(&mut self, kind: &MachineKind) {
        self.capacity_backoff.remove(kind);
    }

    /// Machines to rent now, for pending tasks that fit neither free resources nor booting
    /// machines. At most [`MAX_MACHINES_PER_RENTAL`] of a kind; the kind with the most
    /// machines comes first.
    #[must_use]
    pub fn rentals(&self, now: f64) -> Vec<Rental> {
        let mut groups = self.pending_groups(now).groups;
        if groups.is_empty() {
            return Vec::new();
        }
        let smallest_cpus = groups
            .iter()
            .map(|g| g.job.spec.cpus)
            .fold(f64::MAX, f64::min);
        self.sort_by_rental_order(&mut groups);
        let mut plan = self.new_rental_plan(smallest_cpus, now);
        for group in groups {
            self.pack(&group, now, &mut plan);
            plan.drop_full_machines(smallest_cpus);
            if plan.has_full_rental() {
                break;
            }
        }
        self.relocate_to_smaller(now, &mut plan);
        plan.into_rentals()
    }

    /// Sorts groups in the order in which machines are rented for them: those of jobs
    /// within their team's guarantee first, then by descending priority, then by age,
    /// oldest first.
    fn sort_by_rental_order(&self, groups: &mut [TaskGroup]) {
        let within_guarantee = self.jobs_within_guarantee();
        groups.sort_by(|a, b| {
            within_guarantee
                .contains(b.job.spec.id.as_str())
                .cmp(&within_guarantee.contains(a.job.spec.id.as_str()))
                .then(b.job.spec.priority.cmp(&a.job.spec.priority))
                .then(a.job.accepted_at.total_cmp(&b.job.accepted_at))
        });
    }

    /// A plan that rents nothing yet, with the existing and booting machines that have
    /// room for a pending task of `smallest_cpus` CPUs.
    fn new_rental_plan(&self, smallest_cpus: f64, now: f64) -> RentalPlan<'_> {
        let teams = self.config.teams.iter().zip(&self.quota_usage);
        let mut plan = RentalPlan::new(teams);
        for worker in self.workers.values() {
            plan.count_machine_in_zone(&worker.zone);
            if !self.can_pack_into(worker, now) {
                continue;
            }
            let machine = PackableMachine {
                name: Some(&worker.name),
                kind: KindRef {
                    machine_type: &worker.machine_type,
                    zone: &worker.zone,
                    spot: worker.spot,
                },
                room: worker.room_after_clears(&self.config),
                reservations: self.reservations_on(&worker.name),
            };
            if !machine.is_full(smallest_cpus) {
                plan.machines.push(machine);
            }
        }
        plan
    }

    /// Whether pending tasks can be packed into a worker's machine: it is going to stay,
    /// is reachable, and is either up or has not been booting for much longer than usual.
    fn can_pack_into(&self, worker: &Worker, now: f64) -> bool {
        let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
            return false;
        };
        let stays = !worker.is_being_returned() && worker.spot_reclaim_at.is_none();
        let thresholds = self.config.reachability_thresholds();
        if !stays || !worker.reachability.accepts_work(now, &thresholds) {
            return false;
        }
        if worker.has_reported() {
            now - worker.last_heartbeat_at < self.config.lease_s
        } else {
            now - worker.rented_at < machine_type.boot_s * MAX_BOOT_TIME_FACTOR
        }
    }

    /// Packs the tasks of a group into the machines of the plan, and adds machines to rent
    /// for the tasks that do not fit into those.
    fn pack<'a>(&'a self, group: &TaskGroup<'a>, now: f64, plan: &mut RentalPlan<'a>) {
        let job = group.job;
        let task_count = group.task_count();
        let mut tasks_left = plan.take_quota(job, task_count);
        // If there is a machine that the job may use, tasks can wait until it has free
        // resources.
        let mut can_wait = plan.fill_machines(group, self.precedence_of(job), now, &mut tasks_left);
        // Load of the tasks assigned to new slots so far, beyond what these slots can run
        // until the horizon. It is taken off what the next slot can run.
        let mut excess_load: f64 = 0.0;
        while tasks_left > 0 {
            let cheapest = self.cheapest_kind(job, task_count, now, &plan.machines_by_zone, None);
            let Some(offer) = cheapest else {
                plan.unplaceable.push(UnplaceableTasks {
                    job,
                    count: tasks_left,
                });
                return;
            };
            let load_per_task = self.load_per_task(group, offer.machine_type, now);
            let tasks_in_slot = if can_wait {
                ((1.0 - excess_load) / load_per_task).ceil().max(1.0)
            } else {
                1.0
            };
            if can_wait && tasks_in_slot > f64::from(tasks_left) {
                return;
            }
            excess_load = (excess_load + tasks_in_slot * load_per_task - 1.0).max(0.0);
            tasks_left -= tasks_in_slot as u32;
            can_wait = true;
            let mut machine = PackableMachine {
                name: None,
                kind: offer.kind(),
                room: Room::of_type(offer.machine_type, &self.config),
                reservations: MachineReservations::default(),
            };
            machine.room.take(&job.spec, 1);
            tasks_left -= machine.pack(&job.spec, tasks_left);
            plan.machines.push(machine);
            if plan.rent(offer.kind()) >= MAX_MACHINES_PER_RENTAL {
                return;
            }
        }
    }

    /// Fraction of a slot's time until the horizon that a task of the group takes. A slot is
    /// the capacity of a machine for one task at a time. The fraction is less than 1 if
    /// several tasks can run one after another in the same slot, which holds for tasks that
    /// are short compared with a boot or that have slack to wait.
    fn load_per_task(&self, group: &TaskGroup, machine_type: &MachineType, now: f64) -> f64 {
        let run_s = self.remaining_s(group.job, group.checkpointed_s());
        let boot_horizon_s = machine_type.boot_s * self.config.rental_horizon_boot_times;
        let horizon_s = boot_horizon_s.max(MAX_SLACK_SPENT * self.slack_s(group.job, run_s, now));
        (run_s / horizon_s).min(1.0)
    }

    /// Seconds that a task of the job with `run_s` left to run can still wait and end by
    /// its deadline; 0 if the job has no deadline.
    fn slack_s(&self, job: &Job, run_s: f64, now: f64) -> f64 {
        self.deadline_at(job)
            .map_or(0.0, |deadline| deadline - now - run_s)
    }

    /// If there are pending tasks for which no machine that is large enough can be rented,
    /// rents smaller machines for attempts that run on large machines and fit smaller
    /// ones.
    fn relocate_to_smaller<'a>(&'a self, now: f64, plan: &mut RentalPlan<'a>) {
        let Some(first) = plan.unplaceable.first() else {
            return;
        };
        let large_task = &first.job.spec;
        let unplaceable = plan.unplaceable.iter();
        let needed_cpus: f64 = unplaceable
            .map(|u| u.job.spec.cpus * f64::from(u.count))
            .sum();
        let relocatable = self.relocatable_attempts(large_task);
        let mut cpus_left = needed_cpus - relocatable.free_small_cpus;
        for (id, cpus) in relocatable.cpus_by_job {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let mut cpus = cpus.min(cpus_left);
            cpus_left -= cpus.max(0.0);
            while cpus > EPSILON {
                let too_small_for = Some(large_task.as_ref());
                let machines_by_zone = &plan.machines_by_zone;
                let cheapest =
                    self.cheapest_kind(job, u32::MAX, now, machines_by_zone, too_small_for);
                let Some(offer) = cheapest else {
                    break;
                };
                cpus -= offer.machine_type.cpus;
                if plan.rent(offer.kind()) >= MAX_MACHINES_PER_RENTAL {
                    return;
                }
            }
        }
    }

    /// Attempts on machines that are large enough for `large_task`, and the CPUs that are
    /// free on smaller machines.
    fn relocatable_attempts(&self, large_task: &JobSpec) -> RelocatableAttempts<'_> {
        let mut relocatable = RelocatableAttempts::default();
        for worker in self.workers.values() {
            match self.machine_types.get(&worker.machine_type) {
                Some(t) if Resources::of_type(t).can_fit(large_task) => {
                    for attempt in worker.attempts.iter().filter(|a| a.occupies_capacity()) {
                        let id = attempt.spec.id.as_str();
                        *relocatable.cpus_by_job.entry(id).or_default() += attempt.spec.cpus;
                    }
                }
                _ if !worker.is_being_returned() && worker.spot_reclaim_at.is_none() => {
                    relocatable.free_small_cpus += worker.free_resources.cpus;
                }
                _ => {}
            }
        }
        relocatable
    }
}

/// What could be moved from large machines to smaller ones.
#[derive(Default)]
struct RelocatableAttempts<'a> {
    /// CPUs of attempts on large machines, by job.
    cpus_by_job: BTreeMap<&'a str, f64>,
    /// CPUs that are free on smaller machines.
    free_small_cpus: f64,
}
