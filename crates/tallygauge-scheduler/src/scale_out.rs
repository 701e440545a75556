//! Scale-out: which machines to rent for pending tasks.
//!
//! Pending tasks are packed into the machines that there are or that are booting, and
//! then into hypothetical ones, which are what is rented.

mod cheapest_kind;
mod market;

use crate::{cluster_state::ClusterState, mapping::TaskGroup, model::*};
use market::{CloudMarket, HypotheticalMachine, KindRef, UnplaceableTasks};
use std::collections::BTreeMap;
use tallygauge_protocol::{
    cloud::{MAX_MACHINES_PER_RENTAL, MachineType},
    users::JobSpec,
};

/// Machines to rent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rental {
    /// Their kind.
    pub kind: MachineKind,
    /// How many.
    pub count: u32,
}

/// Part of their slack that pending tasks may spend on waiting for resources.
const MAX_SLACK_SPENT: f64 = 0.4;

/// Boot times after which a machine that is still booting is not counted on.
const MAX_BOOT_TIMES: f64 = 1.7;

impl ClusterState {
    /// The cloud had fewer machines of a kind than were asked for: it is not
    /// asked again for a while, growing with each refusal.
    pub fn record_no_capacity(&mut self, kind: &MachineKind, now: f64) {
        let boot_s = self
            .machine_types
            .get(&kind.machine_type)
            .map_or(30.0, |machine_type| machine_type.boot_s);
        let backoff = self.capacity_backoff.entry(kind.clone()).or_default();
        backoff.refusals = (backoff.refusals + 1).min(3);
        backoff.until = now + boot_s * 0.1 * f64::from(1u32 << backoff.refusals);
    }

    /// The cloud had all that was asked for.
    pub fn record_rented(&mut self, kind: &MachineKind) {
        self.capacity_backoff.remove(kind);
    }

    /// Machines to rent now, for pending tasks that neither free resources nor booting
    /// machines will take. At most as many of a kind as one request may ask for; the
    /// kind that most machines are wanted of is first.
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
        let mut market = self.cloud_market(smallest_cpus, now);
        for group in groups {
            self.pack(&group, now, &mut market);
            market.drop_full_machines(smallest_cpus);
            if market.has_full_rental() {
                break;
            }
        }
        self.relocate_to_smaller(now, &mut market);
        market.into_rentals()
    }

    /// Sorts groups in the order in which machines are rented for them: those within
    /// their team's guarantee first, then by priority and age.
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

    /// The machines that pending tasks, of at least `smallest_cpus`, can be packed into.
    fn cloud_market(&self, smallest_cpus: f64, now: f64) -> CloudMarket<'_> {
        let teams = self.config.teams.iter().zip(&self.quota_usage);
        let mut market = CloudMarket::new(teams);
        for worker in self.workers.values() {
            market.count_in_zone(&worker.zone);
            if self.can_pack_into(worker, now)
                && worker.free_resources.cpus + EPSILON >= smallest_cpus
            {
                market.machines.push(HypotheticalMachine {
                    kind: KindRef {
                        machine_type: &worker.machine_type,
                        zone: &worker.zone,
                        spot: worker.spot,
                    },
                    free_resources: worker.free_resources,
                });
            }
        }
        market
    }

    /// Whether pending tasks can count on a worker's machine: it will stay, and it is
    /// up, or boots and does not take much longer for that than usual.
    fn can_pack_into(&self, worker: &Worker, now: f64) -> bool {
        let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
            return false;
        };
        let stays = worker.return_decision.is_none() && worker.spot_reclaim_at.is_none();
        let thresholds = self.config.reachability_thresholds();
        if !stays || !worker.reachability.accepts_work(now, &thresholds) {
            return false;
        }
        if worker.has_reported() {
            now - worker.last_heartbeat_at < self.config.lease_s
        } else {
            now - worker.rented_at < machine_type.boot_s * MAX_BOOT_TIMES
        }
    }

    /// Packs the tasks of a group into machines, and adds machines for those that are
    /// left.
    fn pack<'a>(&'a self, group: &TaskGroup<'a>, now: f64, market: &mut CloudMarket<'a>) {
        let job = group.job;
        let task_count = group.task_count();
        let mut left = market.take_quota(job, task_count);
        // With a machine that the job may use, tasks can wait for it to become free.
        let mut can_wait = market.fill_machines(job, &mut left);
        // Part of a machine's time until the horizon that is not used by the tasks it
        // was rented for.
        let mut unused_load: f64 = 0.0;
        while left > 0 {
            let cheapest = self.cheapest_kind(job, task_count, now, &market.machines_by_zone, None);
            let Some(offer) = cheapest else {
                market
                    .unplaceable
                    .push(UnplaceableTasks { job, count: left });
                return;
            };
            let load_per_task = self.load_per_task(group, offer.machine_type, now);
            let tasks = if can_wait {
                ((1.0 - unused_load) / load_per_task).ceil().max(1.0)
            } else {
                1.0
            };
            if can_wait && tasks > f64::from(left) {
                return;
            }
            unused_load = (unused_load + tasks * load_per_task - 1.0).max(0.0);
            left -= tasks as u32;
            can_wait = true;
            let mut machine = HypotheticalMachine {
                kind: offer.kind(),
                free_resources: Resources::of_type(offer.machine_type),
            };
            machine.free_resources.add_scaled(&job.spec, -1.0);
            left -= machine.take(&job.spec, left);
            market.machines.push(machine);
            if market.rent(offer.kind()) >= MAX_MACHINES_PER_RENTAL {
                return;
            }
        }
    }

    /// Part of a slot's time until the horizon that a task of the group takes. Tasks
    /// that are short against a boot, or that can wait, run one after another in the
    /// same slot.
    fn load_per_task(&self, group: &TaskGroup, machine_type: &MachineType, now: f64) -> f64 {
        let run_s = self.remaining_s(group.job, group.checkpointed_s());
        let boot_horizon_s = machine_type.boot_s * self.config.rental_horizon_boot_times;
        let horizon_s = boot_horizon_s.max(MAX_SLACK_SPENT * self.slack_s(group.job, run_s, now));
        (run_s / horizon_s).min(1.0)
    }

    /// Seconds that a task of the job could still wait and end in time.
    fn slack_s(&self, job: &Job, run_s: f64, now: f64) -> f64 {
        self.deadline_at(job)
            .map_or(0.0, |deadline| deadline - now - run_s)
    }

    /// Where no machine can be rented that is large enough for what is pending, rents
    /// smaller ones for attempts that run on large machines and don't need them.
    fn relocate_to_smaller<'a>(&'a self, now: f64, market: &mut CloudMarket<'a>) {
        let Some(first) = market.unplaceable.first() else {
            return;
        };
        let large_task = &first.job.spec;
        let unplaceable = market.unplaceable.iter();
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
                let machines_by_zone = &market.machines_by_zone;
                let cheapest =
                    self.cheapest_kind(job, u32::MAX, now, machines_by_zone, too_small_for);
                let Some(offer) = cheapest else {
                    break;
                };
                cpus -= offer.machine_type.cpus;
                if market.rent(offer.kind()) >= MAX_MACHINES_PER_RENTAL {
                    return;
                }
            }
        }
    }

    /// Attempts on machines that fit the large task, and what is free on others.
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
                _ if worker.return_decision.is_none() && worker.spot_reclaim_at.is_none() => {
                    relocatable.free_small_cpus += worker.free_resources.cpus;
                }
                _ => {}
            }
        }
        relocatable
    }
}

/// What could move from large machines to smaller ones.
#[derive(Default)]
struct RelocatableAttempts<'a> {
    /// CPUs of attempts on large machines, by job.
    cpus_by_job: BTreeMap<&'a str, f64>,
    /// CPUs that are free on smaller machines.
    free_small_cpus: f64,
}
