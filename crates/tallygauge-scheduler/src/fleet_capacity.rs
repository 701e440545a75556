//! Capacity of the existing machines and of the machine types that can be rented.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

impl Resources {
    /// How many tasks of `spec` fit into these resources.
    pub(crate) fn count_fitting_tasks(&self, spec: &JobSpec) -> u32 {
        count_fitting(self.cpus, spec.cpus)
            .min(count_fitting(self.gpus, spec.gpus))
            .min(count_fitting(self.memory_gb, spec.memory_gb))
    }
}

impl Worker {
    /// Whether its machine has been rented, is not up yet and is not to be returned.
    pub(crate) fn is_booting(&self) -> bool {
        !self.has_reported() && !self.is_being_returned()
    }
}

impl ClusterState {
    /// Workers that tasks may be placed on.
    pub(crate) fn usable_workers(&self, now: f64) -> impl Iterator<Item = &Worker> {
        self.workers
            .values()
            .filter(move |w| w.accepts_work(now, &self.config))
    }

    /// CPUs of the usable machines.
    pub(crate) fn usable_cpus(&self, now: f64) -> f64 {
        self.total_cpus(self.usable_workers(now))
    }

    /// CPUs of the machines that are usable or booting.
    pub(crate) fn usable_or_booting_cpus(&self, now: f64) -> f64 {
        let workers = self.workers.values();
        self.total_cpus(workers.filter(|w| w.accepts_work(now, &self.config) || w.is_booting()))
    }

    /// CPUs of the machines of `workers`. Machines of unknown types are not counted.
    fn total_cpus<'a>(&self, workers: impl Iterator<Item = &'a Worker>) -> f64 {
        let types = workers.filter_map(|w| self.machine_types.get(&w.machine_type));
        types.map(|t| t.cpus).sum()
    }

    /// The longest boot time of any machine type.
    pub(crate) fn max_boot_s(&self) -> f64 {
        let boot_times = self.machine_types.values().map(|t| t.boot_s);
        boot_times.fold(0.0, f64::max)
    }

    /// CPUs of the smallest machine type that fits a task of the job; `f64::MAX` if none
    /// does.
    pub(crate) fn smallest_fitting_cpus(&self, job: &Job) -> f64 {
        let fits = |t: &&MachineType| Resources::of_type(t).can_fit(&job.spec);
        let sizes = self.machine_types.values().filter(fits).map(|t| t.cpus);
        sizes.fold(f64::MAX, f64::min)
    }
}
