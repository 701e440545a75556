//! Amounts of CPUs, GPUs and memory, and how often a task fits into them.

use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Slack for sums of decimal amounts.
pub(crate) const EPS: f64 = 1e-6;

/// How many times `need` goes into what there is.
pub(crate) fn fit(have: f64, need: f64) -> u32 {
    if need > 0.0 {
        ((have + EPS) / need).max(0.0) as u32
    } else {
        u32::MAX
    }
}

pub(crate) fn fits(spec: &JobSpec, cpus: f64, gpus: f64, memory_gb: f64) -> bool {
    spec.cpus <= cpus + EPS && spec.gpus <= gpus + EPS && spec.memory_gb <= memory_gb + EPS
}

/// An amount of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Room {
    /// All of a machine type.
    #[must_use]
    pub fn of_type(t: &MachineType) -> Self {
        Self {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub(crate) fn holds(&self, spec: &JobSpec) -> bool {
        fits(spec, self.cpus, self.gpus, self.memory_gb)
    }

    pub(crate) fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}
