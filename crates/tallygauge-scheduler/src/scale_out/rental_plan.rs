//! Plan of the machines to rent, and of the tasks packed into existing and new machines.

use super::Rental;
use crate::{
    cluster_state::QuotaUsage,
    machine_reservations::{MachineReservations, Precedence},
    mapping::TaskGroup,
    model::*,
};
use std::collections::BTreeMap;
use tallygauge_protocol::{cloud::MAX_MACHINES_PER_RENTAL, users::JobSpec};

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KindRef<'a> {
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// A machine that tasks can be packed into: an existing or booting one, or one to be
/// rented.
pub(super) struct PackableMachine<'a> {
    /// Name of the machine; `None` for one to be rented.
    pub(super) name: Option<&'a str>,
    pub(super) kind: KindRef<'a>,
    pub(super) room: Room,
    /// What the machine is reserved for.
    pub(super) reservations: MachineReservations,
}

impl PackableMachine<'_> {
    /// Whether it has no room for a task of `smallest_cpus`.
    pub(super) fn is_full(&self, smallest_cpus: f64) -> bool {
        self.room.attempts == 0 || self.room.resources.cpus + EPSILON < smallest_cpus
    }

    /// Whether the group's tasks may be placed on the machine once there is room. The checks
    /// are those of a scheduling round: what it refuses must not count as room here.
    fn may_take(&self, group: &TaskGroup, precedence: Precedence, now: f64) -> bool {
        let kind = self.kind;
        let job = group.job;
        let is_avoided = self.name.is_some_and(|name| group.avoids(name, now));
        !is_avoided
            && self.reservations.allow(job.spec.cpus, precedence)
            && job.allows(
                kind.machine_type,
                kind.zone,
                kind.spot,
                &job.attempts_by_zone,
            )
    }

    /// Packs up to `max_tasks` tasks into the machine. Returns how many fit.
    pub(super) fn pack(&mut self, spec: &JobSpec, max_tasks: u32) -> u32 {
        let count = self.room.count_takeable_tasks(spec).min(max_tasks);
        self.room.take(spec, count);
        count
    }
}

/// Resources that a team can still use within its quota.
struct QuotaHeadroom {
    cpus: f64,
    gpus: f64,
}

/// Tasks of a job for which no machine can be rented.
pub(super) struct UnplaceableTasks<'a> {
    pub(super) job: &'a Job,
    pub(super) count: u32,
}

/// The machines to rent, as planned so far in one computation of rentals.
pub(super) struct RentalPlan<'a> {
    /// Machines with free resources.
    pub(super) machines: Vec<PackableMachine<'a>>,
    /// Number of machines in each zone, including those to be rented.
    pub(super) machines_by_zone: BTreeMap<&'a str, usize>,
    /// Number of machines to be rented, by kind.
    rented: BTreeMap<KindRef<'a>, u32>,
    /// What each team's quota leaves, by index of the team.
    headroom: Vec<QuotaHeadroom>,
    /// Pending tasks for which no machine can be rented.
    pub(super) unplaceable: Vec<UnplaceableTasks<'a>>,
}

impl<'a> RentalPlan<'a> {
    /// A plan without machines, with the resources that the quotas of `teams` leave.
    pub(super) fn new<'t>(teams: impl Iterator<Item = (&'t TeamConfig, &'t QuotaUsage)>) -> Self {
        let headroom = teams.map(|(team, usage)| QuotaHeadroom {
            cpus: team.max_cpus - usage.cpus,
            gpus: team.max_gpus - usage.gpus,
        });
        Self {
            machines: Vec::new(),
            machines_by_zone: BTreeMap::new(),
            rented: BTreeMap::new(),
            headroom: headroom.collect(),
            unplaceable: Vec::new(),
        }
    }

    /// Counts one more machine in a zone.
    pub(super) fn count_machine_in_zone(&mut self, zone: &'a str) {
        *self.machines_by_zone.entry(zone).or_default() += 1;
    }

    /// Takes the resources of up to `max_tasks` tasks of the job from the quota of its
    /// team. Returns the number of tasks that the quota allows.
    pub(super) fn take_quota(&mut self, job: &Job, max_tasks: u32) -> u32 {
        let spec = &job.spec;
        let headroom = &mut self.headroom[job.team];
        let allowed =
            count_fitting(headroom.cpus, spec.cpus).min(count_fitting(headroom.gpus, spec.gpus));
        let count = max_tasks.min(allowed);
        headroom.cpus -= spec.cpus * f64::from(count);
        headroom.gpus -= spec.gpus * f64::from(count);
        count
    }

    /// Packs tasks of the group into the machines, and subtracts their number from
    /// `tasks_left`. Stops when none is left. Returns whether it found a machine that the group
    /// may use.
    pub(super) fn fill_machines(
        &mut self,
        group: &TaskGroup,
        precedence: Precedence,
        now: f64,
        tasks_left: &mut u32,
    ) -> bool {
        let mut found_allowed_machine = false;
        for machine in &mut self.machines {
            if *tasks_left == 0 {
                break;
            }
            if machine.may_take(group, precedence, now) {
                found_allowed_machine = true;
                *tasks_left -= machine.pack(&group.job.spec, *tasks_left);
            }
        }
        found_allowed_machine
    }

    /// Adds a machine to be rented. Returns the number of machines of its kind to be
    /// rented.
    pub(super) fn rent(&mut self, kind: KindRef<'a>) -> u32 {
        self.count_machine_in_zone(kind.zone);
        let count = self.rented.entry(kind).or_default();
        *count += 1;
        *count
    }

    /// Drops machines that have no room for a task of `smallest_cpus`.
    pub(super) fn drop_full_machines(&mut self, smallest_cpus: f64) {
        self.machines
            .retain(|machine| !machine.is_full(smallest_cpus));
    }

    /// Whether the machines to be rented of any kind fill a request to the cloud
    /// ([`MAX_MACHINES_PER_RENTAL`]).
    pub(super) fn has_full_rental(&self) -> bool {
        let mut counts = self.rented.values();
        counts.any(|count| *count >= MAX_MACHINES_PER_RENTAL)
    }

    /// The machines to be rented, the kind with the most machines first.
    pub(super) fn into_rentals(self) -> Vec<Rental> {
        let mut rentals: Vec<Rental> = self
            .rented
            .into_iter()
            .map(|(kind, count)| Rental {
                kind: MachineKind {
                    machine_type: kind.machine_type.to_string(),
                    zone: kind.zone.to_string(),
                    spot: kind.spot,
                },
                count: count.min(MAX_MACHINES_PER_RENTAL),
            })
            .collect();
        rentals.sort_by_key(|r| std::cmp::Reverse(r.count));
        rentals
    }
}
