//! Amounts of CPUs, GPUs and memory, and how many tasks fit into them.

use serde::{Deserialize, Serialize};
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Tolerance for rounding errors in sums of resource amounts, in the unit of the amount.
pub(crate) const EPSILON: f64 = 1e-6;

/// How many times `needed` fits into `available`; `u32::MAX` if nothing is needed.
pub(crate) fn count_fitting(available: f64, needed: f64) -> u32 {
    if needed > 0.0 {
        ((available + EPSILON) / needed).max(0.0) as u32
    } else {
        u32::MAX
    }
}

/// Whether a task of the job fits into these amounts.
pub(crate) fn task_fits(spec: &JobSpec, cpus: f64, gpus: f64, memory_gb: f64) -> bool {
    spec.cpus <= cpus + EPSILON
        && spec.gpus <= gpus + EPSILON
        && spec.memory_gb <= memory_gb + EPSILON
}

/// What determines a rental: machine type, zone, and spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKind {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// Backoff for rentals of one kind of machine after the cloud had no capacity for it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct CapacityBackoff {
    /// No machine of this kind is rented before this time.
    pub(crate) until: f64,
    /// Consecutive refusals, counted only as far as they lengthen the backoff.
    pub(crate) refusals: u32,
}

/// Resources that a machine provides or a task needs. Serialized as an array of CPUs,
/// GPUs and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl From<(f64, f64, f64)> for Resources {
    fn from((cpus, gpus, memory_gb): (f64, f64, f64)) -> Self {
        Self {
            cpus,
            gpus,
            memory_gb,
        }
    }
}

impl From<Resources> for (f64, f64, f64) {
    fn from(resources: Resources) -> Self {
        (resources.cpus, resources.gpus, resources.memory_gb)
    }
}

impl Resources {
    /// Resources that one task of the job needs.
    #[must_use]
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Resources that a machine of this type provides.
    #[must_use]
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether a task of the job fits into these resources.
    pub(crate) fn can_fit(&self, spec: &JobSpec) -> bool {
        task_fits(spec, self.cpus, self.gpus, self.memory_gb)
    }

    /// Adds the resources of `task_count` tasks of the job; a negative count subtracts.
    pub(crate) fn add_scaled(&mut self, spec: &JobSpec, task_count: f64) {
        self.cpus += task_count * spec.cpus;
        self.gpus += task_count * spec.gpus;
        self.memory_gb += task_count * spec.memory_gb;
    }
}
