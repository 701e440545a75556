//! Forecast of which cutoffs can be met, with the earliest cutoff first.

/// Work that counts for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutoffLoad {
    /// Seconds until the cutoff.
    pub left_s: f64,
    /// CPU-seconds until all its work is done.
    pub cpu_s: f64,
    /// CPUs that it may use at a time, by the limits of its teams and the machines that
    /// its tasks fit on.
    pub max_cpus: f64,
    /// Seconds that its longest task still takes.
    pub longest_task_s: f64,
}

/// Forecast for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds from the end of its work to the cutoff, if all work is done in the order
    /// of cutoffs; below 0: it is late by as much.
    pub slack_s: f64,
    /// Seconds until its work must start at the latest, if it had all CPUs that it may
    /// use; below 0: it can't be met any more.
    pub latest_start_s: f64,
    /// Whether its slack is used up though it can still be met.
    pub at_risk: bool,
    /// CPUs that are missing to meet it along with all earlier cutoffs.
    pub missing_cpus: f64,
}

/// Fraction of the time left that must be slack for a cutoff not to be at risk, as
/// estimates of run times are inexact.
const MIN_SLACK_FRACTION: f64 = 0.1;

/// Least divisor, of CPUs and of seconds.
const MIN_DIVISOR: f64 = 1e-9;

/// Forecasts for all loads, in their order, with `cpus` CPUs for all of them together.
#[must_use]
pub fn forecast_cutoffs(loads: &[CutoffLoad], cpus: f64) -> Vec<Forecast> {
    let mut by_cutoff: Vec<usize> = (0..loads.len()).collect();
    by_cutoff.sort_by(|a, b| {
        let by_time_left = loads[*a].left_s.total_cmp(&loads[*b].left_s);
        by_time_left.then(a.cmp(b))
    });
    let none = Forecast {
        slack_s: 0.0,
        latest_start_s: 0.0,
        at_risk: false,
        missing_cpus: 0.0,
    };
    let mut forecasts = vec![none; loads.len()];
    let mut cumulative_cpu_s = 0.0;
    for index in by_cutoff {
        cumulative_cpu_s += loads[index].cpu_s;
        forecasts[index] = forecast(&loads[index], cumulative_cpu_s, cpus);
    }
    forecasts
}

/// Forecast for a load that is done when `cumulative_cpu_s` CPU-seconds of work are, its
/// own and those of all earlier cutoffs.
fn forecast(load: &CutoffLoad, cumulative_cpu_s: f64, cpus: f64) -> Forecast {
    let usable_cpus = load.max_cpus.min(cpus).max(MIN_DIVISOR);
    let time_alone_s = (load.cpu_s / usable_cpus).max(load.longest_task_s);
    let end_s = time_alone_s.max(cumulative_cpu_s / cpus.max(MIN_DIVISOR));
    let slack_s = load.left_s - end_s;
    let latest_start_s = load.left_s - time_alone_s;
    let needed_cpus = cumulative_cpu_s / load.left_s.max(MIN_DIVISOR);
    let can_be_met = load.cpu_s > 0.0 && latest_start_s >= 0.0;
    Forecast {
        slack_s,
        latest_start_s,
        at_risk: can_be_met && slack_s < load.left_s * MIN_SLACK_FRACTION,
        missing_cpus: if can_be_met {
            (needed_cpus - cpus).max(0.0)
        } else {
            0.0
        },
    }
}

#[cfg(test)]
mod tests;
