//! Scale-in: which machines are surplus, and which can be returned.
//!
//! A machine is surplus if open work does not need it, counting what demand may
//! increase by before another could boot. Since small tasks spread over many machines
//! would keep all of them from falling empty, surplus ones, expensive and little used
//! ones first, are the last choice for new tasks, and are returned as soon as they are
//! empty.

use crate::{cluster_state::ClusterState, demand_history::DemandHistory, model::*};

/// A machine that is returned earlier is charged for this long all the same.
const MIN_CHARGED_S: f64 = 60.0;

/// Boot times after which a new leader has seen enough of the demand.
const WARM_UP_BOOTS: f64 = 2.0;

/// Boot time of a machine whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;

/// A machine type by its size.
struct TypeSize {
    cpus: f64,
    name: String,
}

/// A machine that may be surplus.
struct SurplusCandidate<'a> {
    was_surplus: bool,
    /// Price of what is unused, per CPU.
    unused_price: f64,
    /// Index of its type in the order of size.
    type_index: usize,
    name: &'a str,
}

/// A machine that becomes surplus, or ceases to be.
struct SurplusChange {
    worker: String,
    surplus: bool,
}

/// A machine that can be returned to the cloud now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReturnableMachine {
    /// Its name.
    pub name: String,
    /// Why it is returned.
    pub reason: ReturnReason,
}

impl ClusterState {
    /// Marks the machines that are surplus. To be called about once a heartbeat
    /// interval.
    pub fn mark_surplus_machines(&mut self, now: f64) {
        let types = self.types_by_size();
        let boot_s = self.max_boot_s();
        let demand = self.demand_by_size(&types);
        let mut spare = self.capacity_by_size(&types, now);
        self.demand_history
            .resize_with(types.len(), DemandHistory::default);
        for (index, history) in self.demand_history.iter_mut().enumerate() {
            spare[index] -= demand[index] + history.record(now, demand[index], boot_s);
        }
        if now - self.term_started_at < boot_s * WARM_UP_BOOTS {
            return;
        }
        for change in self.surplus_changes(&types, spare, now) {
            if let Some(worker) = self.workers.get_mut(&change.worker) {
                worker.surplus = change.surplus;
            }
        }
    }

    fn types_by_size(&self) -> Vec<TypeSize> {
        let types = self.machine_types.values();
        let mut sizes: Vec<TypeSize> = types
            .map(|t| TypeSize {
                cpus: t.cpus,
                name: t.name.clone(),
            })
            .collect();
        sizes.sort_by(|a, b| a.cpus.total_cmp(&b.cpus).then(a.name.cmp(&b.name)));
        sizes
    }

    /// CPUs of open work that only machines of at least each type's size can serve.
    fn demand_by_size(&self, types: &[TypeSize]) -> Vec<f64> {
        let mut demand = vec![0.0; types.len()];
        for job in self.jobs.values() {
            let fits =
                |t: &TypeSize| Resources::of_type(&self.machine_types[&t.name]).can_fit(&job.spec);
            if let Some(smallest) = types.iter().position(fits) {
                let max_cpus = self.config.teams[job.team].max_cpus;
                let cpus = (job.spec.cpus * f64::from(job.unfinished())).min(max_cpus);
                demand[..=smallest].iter_mut().for_each(|d| *d += cpus);
            }
        }
        demand
    }

    /// CPUs of the usable machines of at least each type's size.
    fn capacity_by_size(&self, types: &[TypeSize], now: f64) -> Vec<f64> {
        let mut capacity = vec![0.0; types.len()];
        for worker in self.usable_workers(now) {
            if let Some(index) = type_index(types, worker) {
                let cpus = types[index].cpus;
                capacity[..=index].iter_mut().for_each(|c| *c += cpus);
            }
        }
        capacity
    }

    /// Which machines become surplus or cease to be, given the CPUs that are spare by
    /// size.
    fn surplus_changes(
        &self,
        types: &[TypeSize],
        mut spare: Vec<f64>,
        now: f64,
    ) -> Vec<SurplusChange> {
        let mut changes = Vec::new();
        for candidate in self.surplus_candidates(types, now) {
            let cpus = types[candidate.type_index].cpus;
            let spare = &mut spare[..=candidate.type_index];
            let surplus = spare.iter().all(|s| *s >= cpus);
            if surplus {
                spare.iter_mut().for_each(|s| *s -= cpus);
            }
            if surplus != candidate.was_surplus {
                changes.push(SurplusChange {
                    worker: candidate.name.to_string(),
                    surplus,
                });
            }
        }
        changes
    }

    /// Machines that may be surplus, in the order in which they should be: those that
    /// were before first, so that not all stay half full, then by price.
    fn surplus_candidates(&self, types: &[TypeSize], now: f64) -> Vec<SurplusCandidate<'_>> {
        let mut candidates: Vec<SurplusCandidate> = self
            .usable_workers(now)
            .filter(|w| now - w.rented_at > MIN_CHARGED_S)
            .filter_map(|worker| {
                let type_index = type_index(types, worker)?;
                let machine_type = self.machine_types.get(&worker.machine_type)?;
                let price = if worker.spot {
                    machine_type.spot_price
                } else {
                    machine_type.price
                };
                let cpus = machine_type.cpus.max(1.0);
                let unused = worker.free_resources.cpus / cpus;
                Some(SurplusCandidate {
                    was_surplus: worker.surplus,
                    unused_price: price / cpus * unused,
                    type_index,
                    name: &worker.name,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            b.was_surplus
                .cmp(&a.was_surplus)
                .then(b.unused_price.total_cmp(&a.unused_price))
                .then(a.name.cmp(b.name))
        });
        candidates
    }

    /// Marks machines that have been idle for long as leaving, and returns the names of
    /// all that can be returned now: leaving and empty, or given up.
    pub fn machines_to_return(&mut self, now: f64) -> Vec<ReturnableMachine> {
        let mut returnable = Vec::new();
        let idle_timeout_boot_times = self.config.idle_timeout_boot_times;
        let settle_s = 2.0 * self.config.list_lag_s;
        for worker in self.workers.values_mut() {
            let boot_s = self
                .machine_types
                .get(&worker.machine_type)
                .map_or(DEFAULT_BOOT_S, |t| t.boot_s);
            let is_empty = !worker.attempts.iter().any(Attempt::occupies_capacity);
            let idle_s = now
                - worker
                    .idle_since
                    .max(self.term_started_at)
                    .max(worker.incarnation_seen_at);
            if worker.return_decision.is_none()
                && is_empty
                && worker.fencing_token_seen_at.is_some()
                && (idle_s > boot_s * idle_timeout_boot_times || worker.surplus)
            {
                worker.return_decision = Some(ReturnDecision {
                    reason: ReturnReason::Idle,
                    at: now,
                });
            }
            // Done tasks whose end is not durable yet would run again.
            let has_unsaved_ends = worker
                .attempts
                .iter()
                .any(|a| !a.occupies_capacity() && !a.end_durable);
            let Some(ReturnDecision { reason, at: since }) = worker.return_decision else {
                continue;
            };
            let is_given_up = match reason {
                ReturnReason::Unconfirmed => true,
                ReturnReason::BootTimeout | ReturnReason::Failed => {
                    now - self.term_started_at > settle_s
                }
                ReturnReason::Silent | ReturnReason::Unreachable => now - since > settle_s,
                ReturnReason::Faulty | ReturnReason::Slow | ReturnReason::Idle => false,
            };
            if is_given_up || (is_empty && !has_unsaved_ends) {
                returnable.push(ReturnableMachine {
                    name: worker.name.clone(),
                    reason,
                });
            }
        }
        returnable
    }

    /// Records that a request to return machines is being sent: they may be gone at any
    /// time from now on.
    pub fn mark_return_sent(&mut self, names: &[String]) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.return_sent = true;
            }
        }
    }
}

/// Index of a worker's machine type.
fn type_index(types: &[TypeSize], worker: &Worker) -> Option<usize> {
    types.iter().position(|t| t.name == worker.machine_type)
}
