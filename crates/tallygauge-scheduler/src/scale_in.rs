//! Machines that are more than open work needs, counting what it may rise by
//! before others could boot.
//!
//! Small tasks spread over many machines keep all of them from falling empty.
//! Surplus ones, dear and little used first, are the last choice for new tasks,
//! and go as soon as they are empty.

use crate::{cluster_state::ClusterState, demand_history::DemandHistory, model::*};

/// A machine that is returned earlier is charged for this long all the same.
const LEAST_CHARGE_S: f64 = 60.0;

impl ClusterState {
    /// Marks the machines that are surplus. To be called about once a report
    /// interval.
    pub fn mark_surplus_machines(&mut self, now: f64) {
        let mut types: Vec<(f64, String)> = self
            .machine_types
            .values()
            .map(|t| (t.cpus, t.name.clone()))
            .collect();
        types.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let boot_s = self
            .machine_types
            .values()
            .map(|t| t.boot_s)
            .fold(0.0, f64::max);
        // By place of a type in order of size: what only machines at least as
        // large can serve, and what there is of those.
        let mut wanted = vec![0.0; types.len()];
        for job in self.jobs.values() {
            let holds = |t: &(f64, String)| {
                Resources::of_type(&self.machine_types[&t.1]).can_fit(&job.spec)
            };
            if let Some(least) = types.iter().position(holds) {
                let most = self.config.teams[job.team].max_cpus;
                let cpus = (job.spec.cpus * f64::from(job.unfinished())).min(most);
                wanted[..=least].iter_mut().for_each(|w| *w += cpus);
            }
        }
        let place = |w: &Worker| types.iter().position(|t| t.1 == w.machine_type);
        let mut over = vec![0.0; types.len()];
        for w in self
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &self.config))
        {
            if let Some(at) = place(w) {
                over[..=at].iter_mut().for_each(|o| *o += types[at].0);
            }
        }
        self.demand_history
            .resize_with(types.len(), DemandHistory::default);
        for (at, rises) in self.demand_history.iter_mut().enumerate() {
            over[at] -= wanted[at] + rises.record(now, wanted[at], boot_s);
        }
        // A leader new in office has seen no rises yet.
        if now - self.term_started_at < boot_s * 2.0 {
            return;
        }
        let mut dear: Vec<(bool, f64, usize, &str)> = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &self.config) && now - w.rented_at > LEAST_CHARGE_S)
            .filter_map(|w| {
                let at = place(w)?;
                let t = self.machine_types.get(&w.machine_type)?;
                let price = if w.spot { t.spot_price } else { t.price };
                let unused = w.free_resources.cpus / t.cpus.max(1.0);
                Some((
                    w.surplus,
                    price / t.cpus.max(1.0) * unused,
                    at,
                    w.name.as_str(),
                ))
            })
            .collect();
        // Those that were surplus before stay so, lest all stay half full.
        dear.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.3.cmp(b.3)));
        let mut marks = Vec::new();
        for (before, _, at, name) in dear {
            let cpus = types[at].0;
            let surplus = over[..=at].iter().all(|o| *o >= cpus);
            if surplus {
                over[..=at].iter_mut().for_each(|o| *o -= cpus);
            }
            if surplus != before {
                marks.push((name.to_string(), surplus));
            }
        }
        for (name, surplus) in marks {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.surplus = surplus;
            }
        }
    }
}
