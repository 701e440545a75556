//! Forecast of which cutoffs can be met if the work is done in the order of cutoffs.

/// Remaining work of the jobs that count for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutoffLoad {
    /// Seconds until the cutoff.
    pub left_s: f64,
    /// CPU-seconds of work left.
    pub cpu_s: f64,
    /// CPUs that the work may use at a time, as limited by the quotas of its teams and by the
    /// machines that its tasks fit on.
    pub max_cpus: f64,
    /// Remaining run time, in seconds, of the longest task of these jobs.
    pub longest_task_s: f64,
}

/// Forecast for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds from the end of the cutoff's work to the cutoff, if all work is done in the
    /// order of cutoffs. If negative, the work ends that much after the cutoff.
    pub slack_s: f64,
    /// Seconds until the latest time at which the remaining work can start and still meet the
    /// cutoff, given all CPUs that this work may use. If negative, the cutoff can no longer
    /// be met.
    pub latest_start_s: f64,
    /// Whether the slack is too small although the cutoff can still be met.
    pub at_risk: bool,
    /// Further CPUs needed to meet this cutoff together with all earlier ones.
    pub missing_cpus: f64,
}

/// Minimum slack of a cutoff that is not at risk, as a fraction of the time left until the
/// cutoff. It allows for the error of run time estimates.
const MIN_SLACK_FRACTION: f64 = 0.1;

/// Lower bound of divisors, CPUs or seconds, to avoid division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Forecasts for all loads, in the order of `loads`. `cpus` is the number of CPUs for all of
/// them together.
#[must_use]
pub fn forecast_cutoffs(loads: &[CutoffLoad], cpus: f64) -> Vec<Forecast> {
    let mut by_cutoff: Vec<usize> = (0..loads.len()).collect();
    by_cutoff.sort_by(|a, b| {
        let by_time_left = loads[*a].left_s.total_cmp(&loads[*b].left_s);
        by_time_left.then(a.cmp(b))
    });
    let empty_forecast = Forecast {
        slack_s: 0.0,
        latest_start_s: 0.0,
        at_risk: false,
        missing_cpus: 0.0,
    };
    let mut forecasts = vec![empty_forecast; loads.len()];
    let mut cumulative_cpu_s = 0.0;
    for index in by_cutoff {
        cumulative_cpu_s += loads[index].cpu_s;
        forecasts[index] = forecast(&loads[index], cumulative_cpu_s, cpus);
    }
    forecasts
}

/// Forecast for one load. Its work is done when `cumulative_cpu_s` CPU-seconds of work are
/// done: its own and those of all earlier cutoffs.
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
