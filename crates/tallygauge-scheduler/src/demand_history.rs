//! Demand for machines over time, from which scale-in keeps a reserve.

use std::collections::VecDeque;

/// How long increases of demand are remembered, in boot times.
const MEMORY_BOOTS: f64 = 6.0;

/// A number of CPUs at a time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: f64,
    cpus: f64,
}

/// Demand for CPUs, and how much it increased within a boot time.
#[derive(Debug, Default)]
pub(crate) struct DemandHistory {
    /// Demand within the last boot time.
    demand: VecDeque<Sample>,
    /// Increases that are remembered.
    increases: VecDeque<Sample>,
}

impl DemandHistory {
    /// Records the demand for CPUs, and returns the greatest increase within a boot
    /// time that is remembered.
    pub(crate) fn record(&mut self, now: f64, cpus: f64, boot_s: f64) -> f64 {
        drop_before(&mut self.demand, now - boot_s);
        self.demand.push_back(Sample { at: now, cpus });
        let min_cpus = self.demand.iter().map(|s| s.cpus).fold(cpus, f64::min);
        drop_before(&mut self.increases, now - boot_s * MEMORY_BOOTS);
        self.increases.push_back(Sample {
            at: now,
            cpus: cpus - min_cpus,
        });
        self.increases.iter().map(|s| s.cpus).fold(0.0, f64::max)
    }
}

fn drop_before(samples: &mut VecDeque<Sample>, horizon: f64) {
    while samples.front().is_some_and(|s| s.at < horizon) {
        samples.pop_front();
    }
}
