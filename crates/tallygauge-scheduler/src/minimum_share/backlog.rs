//! How long it takes to do all open work.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeMap, BTreeSet};

/// An open job and the work that is left of it.
#[derive(Clone, Copy)]
pub(super) struct OpenJob<'a> {
    pub(super) job: &'a Job,
    /// CPU-seconds until its last task is done.
    pub(super) remaining_cpu_s: f64,
    /// Group of its class's largest jobs, if it is one of them.
    pub(super) largest_group: Option<usize>,
}

/// A kind of machine.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AvailableKind<'a> {
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// Seconds for all work that needs machines of at least a size.
struct SizeBacklog {
    /// CPUs of the machines.
    machine_cpus: f64,
    seconds: f64,
}

/// How long it takes to do all open work, by what bounds it: the team's limit,
/// the machines that are large enough, a zone.
pub(super) struct Backlog<'a> {
    /// CPUs that each team can have at most.
    pub(super) max_cpus_by_team: Vec<f64>,
    seconds_by_team: Vec<f64>,
    seconds_by_machine_size: Vec<SizeBacklog>,
    seconds_by_zone: BTreeMap<String, f64>,
    /// Kinds of machines that there are or that can be rented.
    pub(super) available_kinds: BTreeSet<AvailableKind<'a>>,
}

impl Backlog<'_> {
    /// Seconds until all work that is bound as the job is would be done. `min_cpus`
    /// are those of the smallest machine that fits its tasks.
    pub(super) fn seconds(&self, job: &Job, min_cpus: f64) -> f64 {
        let by_size = self
            .seconds_by_machine_size
            .iter()
            .filter(|s| s.machine_cpus <= min_cpus)
            .map(|s| s.seconds)
            .fold(0.0, f64::max);
        let zone = job.spec.zone.as_ref();
        let by_zone = zone.and_then(|z| self.seconds_by_zone.get(z)).copied();
        self.seconds_by_team[job.team]
            .max(by_size)
            .max(by_zone.unwrap_or(0.0))
    }
}

/// CPUs of the machines that there are or that are booting.
struct Capacity<'a> {
    total_cpus: f64,
    /// CPUs of machines of at least each size, in the order of the sizes.
    cpus_by_size: Vec<f64>,
    cpus_by_zone: BTreeMap<&'a str, f64>,
    /// Kinds of machines that accept work.
    usable_kinds: BTreeSet<AvailableKind<'a>>,
}

/// CPU-seconds of open work.
struct Work {
    by_team: Vec<f64>,
    /// Work that needs machines of at least each size, in the order of the sizes.
    by_size: Vec<f64>,
    by_zone: BTreeMap<String, f64>,
}

impl ClusterState {
    /// How long all open work takes on the machines that there are or that are
    /// booting.
    pub(super) fn backlog(&self, open_jobs: &[OpenJob], now: f64) -> Backlog<'_> {
        let machine_sizes = self.machine_sizes();
        let capacity = self.backlog_capacity(&machine_sizes, now);
        let work = self.backlog_work(open_jobs, &machine_sizes);
        let teams = self.config.teams.iter();
        let max_cpus_by_team: Vec<f64> = teams
            .map(|t| t.max_cpus.min(capacity.total_cpus).max(1.0))
            .collect();
        let by_team = work.by_team.iter().zip(&max_cpus_by_team);
        let by_size = work.by_size.iter().zip(&capacity.cpus_by_size);
        let by_zone = work.by_zone.into_iter();
        Backlog {
            seconds_by_team: by_team.map(|(cpu_s, cpus)| cpu_s / cpus).collect(),
            seconds_by_machine_size: machine_sizes
                .iter()
                .zip(by_size)
                .map(|(machine_cpus, (cpu_s, cpus))| SizeBacklog {
                    machine_cpus: *machine_cpus,
                    seconds: seconds_for(*cpu_s, *cpus),
                })
                .collect(),
            seconds_by_zone: by_zone
                .map(|(zone, cpu_s)| {
                    let cpus = capacity.cpus_by_zone.get(zone.as_str()).copied();
                    (zone, seconds_for(cpu_s, cpus.unwrap_or(0.0)))
                })
                .collect(),
            max_cpus_by_team,
            available_kinds: self.available_kinds(capacity.usable_kinds),
        }
    }

    /// CPUs of the machine types, each size once, ascending.
    fn machine_sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.machine_types.values().map(|t| t.cpus).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }

    fn backlog_capacity(&self, machine_sizes: &[f64], now: f64) -> Capacity<'_> {
        let mut capacity = Capacity {
            total_cpus: 0.0,
            cpus_by_size: vec![0.0; machine_sizes.len()],
            cpus_by_zone: BTreeMap::new(),
            usable_kinds: BTreeSet::new(),
        };
        for worker in self.workers.values() {
            let is_usable = worker.accepts_work(now, &self.config);
            if is_usable {
                capacity.usable_kinds.insert(AvailableKind {
                    machine_type: &worker.machine_type,
                    zone: &worker.zone,
                    spot: worker.spot,
                });
            }
            if !is_usable && !worker.is_booting() {
                continue;
            }
            let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
                continue;
            };
            capacity.total_cpus += machine_type.cpus;
            *capacity.cpus_by_zone.entry(&worker.zone).or_default() += machine_type.cpus;
            for (size, cpus) in machine_sizes.iter().zip(&mut capacity.cpus_by_size) {
                if machine_type.cpus >= *size {
                    *cpus += machine_type.cpus;
                }
            }
        }
        capacity
    }

    fn backlog_work(&self, open_jobs: &[OpenJob], machine_sizes: &[f64]) -> Work {
        let mut work = Work {
            by_team: vec![0.0; self.config.teams.len()],
            by_size: vec![0.0; machine_sizes.len()],
            by_zone: BTreeMap::new(),
        };
        for open in open_jobs {
            work.by_team[open.job.team] += open.remaining_cpu_s;
            let min_cpus = self.smallest_fitting_cpus(open.job);
            for (size, cpu_s) in machine_sizes.iter().zip(&mut work.by_size) {
                if *size <= min_cpus {
                    *cpu_s += open.remaining_cpu_s;
                }
            }
            if let Some(zone) = &open.job.spec.zone {
                *work.by_zone.entry(zone.clone()).or_default() += open.remaining_cpu_s;
            }
        }
        work
    }

    /// The usable kinds, and those that the cloud has not refused of late.
    fn available_kinds<'a>(
        &'a self,
        usable: BTreeSet<AvailableKind<'a>>,
    ) -> BTreeSet<AvailableKind<'a>> {
        let mut kinds = usable;
        for machine_type in self.machine_types.values() {
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let kind = MachineKind {
                        machine_type: machine_type.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !self.capacity_backoff.contains_key(&kind) {
                        kinds.insert(AvailableKind {
                            machine_type: &machine_type.name,
                            zone,
                            spot,
                        });
                    }
                }
            }
        }
        kinds
    }
}

/// Seconds that work takes on so many CPUs.
fn seconds_for(cpu_s: f64, cpus: f64) -> f64 {
    if cpu_s > 0.0 {
        cpu_s / cpus.max(EPSILON)
    } else {
        0.0
    }
}
