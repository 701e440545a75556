//! What can still be met: earliest cutoff first over the room there is.

/// Work that counts for one cutoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CutoffLoad {
    /// Seconds until the cutoff.
    pub left_s: f64,
    /// CPU-seconds until all of it is done.
    pub cpu_s: f64,
    /// CPUs that it may use at a time: limits of its teams, machines that suit
    /// it.
    pub cpus: f64,
    /// Seconds that its longest task takes from now on.
    pub longest_s: f64,
}

/// How a cutoff stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Seconds between its end and the cutoff, were all work done in the order
    /// of cutoffs; below 0: it is late by as much.
    pub slack_s: f64,
    /// Seconds from now in which it must begin at the latest, had it all the room
    /// it may use; below 0: it can't be met any more.
    pub latest_start_s: f64,
    /// It is at risk: its slack is used up, but it can still be met.
    pub at_risk: bool,
    /// CPUs that it lacks to be met beside all that is due before.
    pub missing_cpus: f64,
}

/// Part of the time that is left which must be slack, lest a cutoff counts as at
/// risk: estimates are wrong.
const MARGIN: f64 = 0.1;

/// How each of the loads stands, with so many CPUs for all of them.
#[must_use]
pub fn forecasts(loads: &[CutoffLoad], cpus: f64) -> Vec<Forecast> {
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| loads[*a].left_s.total_cmp(&loads[*b].left_s).then(a.cmp(b)));
    let none = Forecast {
        slack_s: 0.0,
        latest_start_s: 0.0,
        at_risk: false,
        missing_cpus: 0.0,
    };
    let mut out = vec![none; loads.len()];
    let mut before = 0.0;
    for n in order {
        let load = &loads[n];
        let own = load.cpus.min(cpus).max(1e-9);
        let alone = (load.cpu_s / own).max(load.longest_s);
        before += load.cpu_s;
        let end = alone.max(before / cpus.max(1e-9));
        let slack_s = load.left_s - end;
        let latest_s = load.left_s - alone;
        let enough = before / load.left_s.max(1e-9);
        let due = load.cpu_s > 0.0 && latest_s >= 0.0;
        out[n] = Forecast {
            slack_s,
            latest_start_s: latest_s,
            at_risk: due && slack_s < load.left_s * MARGIN,
            missing_cpus: if due { (enough - cpus).max(0.0) } else { 0.0 },
        };
    }
    out
}

#[cfg(test)]
mod tests;
