//! History of the demand for CPUs, from which scale-in determines how much capacity to
//! keep in reserve.

use std::collections::VecDeque;

/// How long increases of demand are remembered, as a multiple of the boot time.
const INCREASE_RETENTION_BOOTS: f64 = 6.0;

/// A number of CPUs at a point in time.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: f64,
    cpus: f64,
}

/// Recent demand for CPUs, and by how much it increased within a boot time.
#[derive(Debug, Default)]
pub(crate) struct DemandHistory {
    /// Samples of the demand within the last boot time.
    demand: VecDeque<Sample>,
    /// For each remembered sample, the increase since the lowest demand within a boot time
    /// before it.
    increases: VecDeque<Sample>,
}

impl DemandHistory {
    /// Records the demand for CPUs at `now`. Returns the greatest remembered increase
    /// within a boot time.
    pub(crate) fn record(&mut self, now: f64, cpus: f64, boot_s: f64) -> f64 {
        drop_before(&mut self.demand, now - boot_s);
        self.demand.push_back(Sample { at: now, cpus });
        let min_cpus = self.demand.iter().map(|s| s.cpus).fold(cpus, f64::min);
        drop_before(&mut self.increases, now - boot_s * INCREASE_RETENTION_BOOTS);
        self.increases.push_back(Sample {
            at: now,
            cpus: cpus - min_cpus,
        });
        self.increases.iter().map(|s| s.cpus).fold(0.0, f64::max)
    }
}

/// Drops the samples from before `oldest_at`.
fn drop_before(samples: &mut VecDeque<Sample>, oldest_at: f64) {
    while samples.front().is_some_and(|s| s.at < oldest_at) {
        samples.pop_front();
    }
}
