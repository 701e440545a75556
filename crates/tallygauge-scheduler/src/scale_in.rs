//! Scale-in: which machines are surplus, and which can be returned.
//!
//! A machine is surplus if it is not needed for open work, nor for the increase of demand
//! that must be expected within the boot time of a new machine. Machines that are
//! expensive and little used become surplus first.
//!
//! New tasks are placed on surplus machines last, and a surplus machine is returned as
//! soon as it is empty. Otherwise, small tasks spread over many machines would keep all of
//! them from becoming empty.

use crate::{
    cluster_state::ClusterState, demand_history::DemandHistory, machine_types::boot_s, model::*,
    return_requests::ReturnRequest,
};

/// Minimum time that the cloud charges for a machine, even if it is returned earlier. A
/// machine does not become surplus before that.
const MIN_CHARGED_S: f64 = 60.0;

/// Time after the start of its term for which a new leader doesn't change which machines
/// are surplus, since it has not seen enough of the demand. A multiple of the longest
/// boot time.
const WARM_UP_BOOTS: f64 = 2.0;

/// Size of a machine type.
struct TypeSize {
    cpus: f64,
    name: String,
}

/// A machine that may be surplus.
struct SurplusCandidate<'a> {
    was_surplus: bool,
    /// Price per CPU, times the fraction of its CPUs that are unused.
    unused_price: f64,
    /// Index of its type, by ascending size.
    type_index: usize,
    name: &'a str,
}

/// A machine that becomes or ceases to be surplus.
struct SurplusChange {
    worker: String,
    surplus: bool,
}

/// A machine that can now be returned to the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReturnableMachine {
    /// Name of the machine.
    pub name: String,
    /// Why it is returned.
    pub reason: ReturnReason,
}

/// How long a machine that has to be returned because of an undelivered start goes on with
/// its other tasks, in leases.
const MAX_DRAIN_LEASES: f64 = 2.0;

impl ClusterState {
    /// Updates which machines are marked as surplus. To be called about once per heartbeat
    /// interval.
    pub fn mark_surplus_machines(&mut self, now: f64) {
        let types = self.types_by_size();
        let boot_s = self.max_boot_s();
        let demand = self.demand_by_size(&types);
        let mut spare_cpus = self.capacity_by_size(&types, now);
        self.demand_history
            .resize_with(types.len(), DemandHistory::default);
        for (index, history) in self.demand_history.iter_mut().enumerate() {
            spare_cpus[index] -= demand[index] + history.record(now, demand[index], boot_s);
        }
        if now - self.term_started_at < boot_s * WARM_UP_BOOTS {
            return;
        }
        for change in self.surplus_changes(&types, spare_cpus, now) {
            if let Some(worker) = self.workers.get_mut(&change.worker) {
                worker.surplus = change.surplus;
            }
        }
    }

    /// The machine types, by ascending size and then by name.
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

    /// CPUs of the open work that needs machines of at least the size of each type, in the
    /// order of `types`.
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

    /// CPUs of the usable machines of at least the size of each type, in the order of
    /// `types`.
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

    /// Which machines become or cease to be surplus. For each of `types`, `spare_cpus` has
    /// the CPUs of the machines of at least its size that are not needed; below 0, CPUs are
    /// missing.
    fn surplus_changes(
        &self,
        types: &[TypeSize],
        mut spare_cpus: Vec<f64>,
        now: f64,
    ) -> Vec<SurplusChange> {
        let mut changes = Vec::new();
        for candidate in self.surplus_candidates(types, now) {
            let cpus = types[candidate.type_index].cpus;
            let spare_cpus = &mut spare_cpus[..=candidate.type_index];
            let surplus = spare_cpus.iter().all(|s| *s >= cpus);
            if surplus {
                spare_cpus.iter_mut().for_each(|s| *s -= cpus);
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

    /// Machines that may be surplus, in the order of preference: those that are surplus
    /// already first, since otherwise all machines could stay half full, and then by
    /// descending price of the unused CPUs.
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
                let unused_fraction = worker.free_resources.cpus / cpus;
                Some(SurplusCandidate {
                    was_surplus: worker.surplus,
                    unused_price: price / cpus * unused_fraction,
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

    /// Decides to return empty machines that are surplus or have been idle for long. Returns
    /// all machines that can be returned now. These are, of the machines to be returned:
    ///
    /// - those that are empty and on which all ends of tasks are durable;
    /// - those that need not become empty first, for example because they have been silent
    ///   for long enough.
    ///
    /// Machines that are returned for safety come first.
    pub fn machines_to_return(&mut self, now: f64) -> Vec<ReturnableMachine> {
        self.decide_idle_returns(now);
        let workers = self.workers.values();
        let mut returnable: Vec<ReturnableMachine> = workers
            .filter_map(|worker| {
                Some(ReturnableMachine {
                    name: worker.name.clone(),
                    reason: self.effective_return_reason(worker, now)?,
                })
            })
            .collect();
        // A request returns a limited number of machines.
        returnable.sort_by_key(|machine| !machine.reason.is_for_safety());
        returnable
    }

    /// Decides to return empty machines that are surplus or have been idle for long.
    fn decide_idle_returns(&mut self, now: f64) {
        let idle_timeout_boot_times = self.config.idle_timeout_boot_times;
        for worker in self.workers.values_mut() {
            let boot_s = boot_s(&self.machine_types, &worker.machine_type);
            let is_empty = !worker.attempts.iter().any(Attempt::occupies_capacity);
            let idle_s = now
                - worker
                    .idle_since
                    .max(self.term_started_at)
                    .max(worker.incarnation_seen_at);
            if !is_empty && worker.return_request == ReturnRequest::Refused {
                worker.return_request = ReturnRequest::None;
            }
            if !worker.is_being_returned()
                && is_empty
                && worker.fencing_token_seen_at.is_some()
                && (idle_s > boot_s * idle_timeout_boot_times || worker.surplus)
            {
                worker.decide_idle_return(now, &mut self.events);
            }
        }
    }

    /// The reason for which a machine can be returned now, if any.
    fn effective_return_reason(&self, worker: &Worker, now: f64) -> Option<ReturnReason> {
        // Without the machine, tasks whose end is not durable yet would run again.
        let has_unsaved_ends = worker
            .attempts
            .iter()
            .any(|a| !a.occupies_capacity() && !a.end_durable);
        let is_vacated = !worker.has_live_attempts() && !has_unsaved_ends;
        let decisions = worker.return_decisions.iter();
        decisions
            .filter(|decision| is_vacated || self.need_not_be_vacated(worker, decision, now))
            .map(|decision| decision.reason)
            .min_by_key(|reason| !reason.is_for_safety())
    }

    /// Whether a machine is returned for this reason with what runs on it.
    fn need_not_be_vacated(&self, worker: &Worker, decision: &ReturnDecision, now: f64) -> bool {
        let settle_s = 2.0 * self.config.list_lag_s;
        match decision.reason {
            ReturnReason::CancelUnconfirmed => true,
            ReturnReason::BootTimeout | ReturnReason::Failed => {
                now - self.term_started_at > settle_s
            }
            ReturnReason::Silent | ReturnReason::Unreachable => now - decision.at > settle_s,
            ReturnReason::UndeliveredStart => {
                worker.agent_restarted || now - decision.at > self.config.lease_s * MAX_DRAIN_LEASES
            }
            ReturnReason::Faulty | ReturnReason::Slow | ReturnReason::Idle => false,
        }
    }
}

/// Index in `types` of a worker's machine type.
fn type_index(types: &[TypeSize], worker: &Worker) -> Option<usize> {
    types.iter().position(|t| t.name == worker.machine_type)
}
