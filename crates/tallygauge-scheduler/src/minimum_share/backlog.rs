//! Estimates how long it takes to do all open work.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeMap, BTreeSet};

/// An open job and the work that is left of it.
#[derive(Clone, Copy)]
pub(super) struct OpenJob<'a> {
    pub(super) job: &'a Job,
    /// CPU-seconds of work left until its last task is done.
    pub(super) remaining_cpu_s: f64,
    /// Group id of the largest jobs of its class, if it is one of them.
    pub(super) largest_group: Option<usize>,
}

/// A kind of machine that exists or that can be rented.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AvailableKind<'a> {
    pub(super) machine_type: &'a str,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

/// Backlog of the work that needs machines of at least a size.
struct SizeBacklog {
    /// Minimum CPUs of such a machine.
    machine_cpus: f64,
    /// Seconds until all that work is done.
    seconds: f64,
}

/// How long it takes to do all open work, by each resource that limits the rate: the
/// team's quota, the machines that are large enough, and the machines in a zone.
pub(super) struct Backlog<'a> {
    /// Maximum CPUs that each team can use: its quota, or all machines if that is less.
    pub(super) max_cpus_by_team: Vec<f64>,
    seconds_by_team: Vec<f64>,
    seconds_by_machine_size: Vec<SizeBacklog>,
    seconds_by_zone: BTreeMap<String, f64>,
    /// Kinds of machines that exist or that can be rented.
    pub(super) available_kinds: BTreeSet<AvailableKind<'a>>,
}

impl Backlog<'_> {
    /// Seconds until all work that is limited by the same resources as the job would be
    /// done: the longest of the backlogs of its team, of the machines that fit its
    /// tasks, and of its zone. `min_machine_cpus` is the size of the smallest machine
    /// that fits its tasks.
    pub(super) fn seconds(&self, job: &Job, min_machine_cpus: f64) -> f64 {
        let by_size = self
            .seconds_by_machine_size
            .iter()
            .filter(|s| s.machine_cpus <= min_machine_cpus)
            .map(|s| s.seconds)
            .fold(0.0, f64::max);
        let zone = job.spec.zone.as_ref();
        let by_zone = zone.and_then(|z| self.seconds_by_zone.get(z)).copied();
        self.seconds_by_team[job.team]
            .max(by_size)
            .max(by_zone.unwrap_or(0.0))
    }
}

/// CPUs of the machines that accept work or are booting.
struct Capacity<'a> {
    total_cpus: f64,
    /// CPUs of the machines of at least each size, by ascending size.
    cpus_by_size: Vec<f64>,
    cpus_by_zone: BTreeMap<&'a str, f64>,
    /// Kinds of machines that accept work.
    usable_kinds: BTreeSet<AvailableKind<'a>>,
}

/// CPU-seconds of open work, by what limits it.
struct Work {
    by_team: Vec<f64>,
    /// Work that needs machines of at least each size, by ascending size.
    by_size: Vec<f64>,
    by_zone: BTreeMap<String, f64>,
}

impl ClusterState {
    /// How long all open work takes on the machines that accept work or are booting.
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
                    seconds: seconds_to_finish(*cpu_s, *cpus),
                })
                .collect(),
            seconds_by_zone: by_zone
                .map(|(zone, cpu_s)| {
                    let cpus = capacity.cpus_by_zone.get(zone.as_str()).copied();
                    (zone, seconds_to_finish(cpu_s, cpus.unwrap_or(0.0)))
                })
                .collect(),
            max_cpus_by_team,
            available_kinds: self.available_kinds(capacity.usable_kinds),
        }
    }

    /// The distinct sizes of machine types, in CPUs, ascending.
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
            let min_machine_cpus = self.smallest_fitting_cpus(open.job);
            for (size, cpu_s) in machine_sizes.iter().zip(&mut work.by_size) {
                if *size <= min_machine_cpus {
                    *cpu_s += open.remaining_cpu_s;
                }
            }
            if let Some(zone) = &open.job.spec.zone {
                *work.by_zone.entry(zone.clone()).or_default() += open.remaining_cpu_s;
            }
        }
        work
    }

    /// The usable kinds, and those that the cloud has not refused recently.
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

/// Seconds that `cpu_s` CPU-seconds of work take on `cpus` CPUs.
fn seconds_to_finish(cpu_s: f64, cpus: f64) -> f64 {
    if cpu_s > 0.0 {
        cpu_s / cpus.max(EPSILON)
    } else {
        0.0
    }
}
