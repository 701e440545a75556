//! Amounts of CPUs, GPUs and memory, and how often a task fits into them.

use serde::{Deserialize, Serialize};
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Tolerance for sums of decimal amounts.
pub(crate) const EPSILON: f64 = 1e-6;

/// How many times `needed` fits into `available`.
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

/// What is asked for when a machine is rented.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineKind {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// Backoff of rentals of one kind of machine after the cloud lacked capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct CapacityBackoff {
    /// No rental before this time.
    pub(crate) until: f64,
    /// Refusals in a row, as far as they lengthen the backoff.
    pub(crate) refusals: u32,
}

/// Amounts of what a machine provides or a task needs. In records they are stored as
/// an array of CPUs, GPUs and memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, f64)", into = "(f64, f64, f64)")]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
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
    /// What a task of the job needs.
    #[must_use]
    pub fn of_task(spec: &JobSpec) -> Self {
        Self {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// What a machine of this type provides.
    #[must_use]
    pub fn of_type(machine_type: &MachineType) -> Self {
        Self {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether a task of the job fits.
    pub(crate) fn can_fit(&self, spec: &JobSpec) -> bool {
        task_fits(spec, self.cpus, self.gpus, self.memory_gb)
    }

    /// Adds what `sign` tasks of the job need; a negative number subtracts.
    pub(crate) fn add_scaled(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}
