//! Machines that pending tasks are packed into, and those to be rented.

use super::Rental;
use crate::{cluster_state::QuotaUsage, model::*};
use std::collections::BTreeMap;
use tallygauge_protocol::{cloud::MAX_MACHINES_PER_RENTAL, users::JobSpec};

/// A kind of machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KindRef<'a> {
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// A machine that tasks are packed into: there already, or to be rented.
pub(super) struct HypotheticalMachine<'a> {
    pub(super) kind: KindRef<'a>,
    pub(super) free_resources: Resources,
}

impl HypotheticalMachine<'_> {
    /// Packs up to `max_tasks` tasks into it. Returns how many fit.
    pub(super) fn take(&mut self, spec: &JobSpec, max_tasks: u32) -> u32 {
        let count = self.free_resources.count_fitting_tasks(spec).min(max_tasks);
        self.free_resources.add_scaled(spec, -f64::from(count));
        count
    }
}

/// Resources that a team's limit leaves.
struct QuotaHeadroom {
    cpus: f64,
    gpus: f64,
}

/// Tasks that no machine can be rented for.
pub(super) struct UnplaceableTasks<'a> {
    pub(super) job: &'a Job,
    pub(super) count: u32,
}

/// State of one computation of rentals.
pub(super) struct CloudMarket<'a> {
    /// Machines with free resources.
    pub(super) machines: Vec<HypotheticalMachine<'a>>,
    /// How many machines are in each zone, with those to be rented.
    pub(super) machines_by_zone: BTreeMap<&'a str, usize>,
    /// How many machines are to be rented.
    rented: BTreeMap<KindRef<'a>, u32>,
    /// By team.
    headroom: Vec<QuotaHeadroom>,
    pub(super) unplaceable: Vec<UnplaceableTasks<'a>>,
}

impl<'a> CloudMarket<'a> {
    /// No machines yet, with what the teams' limits leave.
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

    pub(super) fn count_in_zone(&mut self, zone: &'a str) {
        *self.machines_by_zone.entry(zone).or_default() += 1;
    }

    /// Takes up to `max_tasks` tasks of the job off its team's limit. Returns how many
    /// it allows.
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

    /// Packs tasks of the job into the machines until none is left. Returns whether
    /// there is a machine that the job may use.
    pub(super) fn fill_machines(&mut self, job: &Job, left: &mut u32) -> bool {
        let mut has_allowed = false;
        for machine in &mut self.machines {
            if *left == 0 {
                break;
            }
            let kind = machine.kind;
            if job.allows(
                kind.machine_type,
                kind.zone,
                kind.spot,
                &job.attempts_by_zone,
            ) {
                has_allowed = true;
                *left -= machine.take(&job.spec, *left);
            }
        }
        has_allowed
    }

    /// Adds a machine to be rented. Returns how many of its kind are.
    pub(super) fn rent(&mut self, kind: KindRef<'a>) -> u32 {
        self.count_in_zone(kind.zone);
        let count = self.rented.entry(kind).or_default();
        *count += 1;
        *count
    }

    /// Drops machines without room for a task of `smallest_cpus`.
    pub(super) fn drop_full_machines(&mut self, smallest_cpus: f64) {
        self.machines
            .retain(|m| m.free_resources.cpus + EPSILON >= smallest_cpus);
    }

    /// Whether as many machines of a kind are to be rented as one request may ask for.
    pub(super) fn has_full_rental(&self) -> bool {
        let mut counts = self.rented.values();
        counts.any(|count| *count >= MAX_MACHINES_PER_RENTAL)
    }

    /// What is to be rented, the kind with most machines first.
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
