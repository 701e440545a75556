//! Amounts of CPUs, GPUs and memory, and how often a task fits into them.

use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Slack for sums of decimal amounts.
pub(crate) const EPSILON: f64 = 1e-6;

/// How many times `need` goes into what there is.
pub(crate) fn count_fitting(have: f64, need: f64) -> u32 {
    if need > 0.0 {
        ((have + EPSILON) / need).max(0.0) as u32
    } else {
        u32::MAX
    }
}

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

/// An amount of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// All of a machine type.
    #[must_use]
    pub fn of_type(t: &MachineType) -> Self {
        Self {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub(crate) fn can_fit(&self, spec: &JobSpec) -> bool {
        task_fits(spec, self.cpus, self.gpus, self.memory_gb)
    }

    pub(crate) fn add_scaled(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}
