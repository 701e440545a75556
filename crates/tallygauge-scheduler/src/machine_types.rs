//! The machine types that the leader knows.

use crate::{cluster_state::ClusterState, model::*};
use tallygauge_protocol::cloud::MachineType;

impl ClusterState {
    /// Adds or updates machine types, with their prices.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types
                .insert(machine_type.name.clone(), machine_type.clone());
        }
        // Machines may be registered before their types are known, for example after a
        // failover to a controller that has just started.
        for worker in self.workers.values_mut() {
            let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
                continue;
            };
            worker.free_resources = Resources::of_type(machine_type);
            for attempt in worker
                .attempts
                .iter()
                .filter(|attempt| attempt.occupies_capacity())
            {
                worker.free_resources.add_scaled(&attempt.spec, -1.0);
            }
        }
        self.needs_scheduling = true;
    }

    /// All known machine types, sorted by name.
    #[must_use]
    pub fn known_machine_types(&self) -> Vec<MachineType> {
        let mut types: Vec<MachineType> = self.machine_types.values().cloned().collect();
        types.sort_by(|a, b| a.name.cmp(&b.name));
        types
    }

    /// Number of known machine types.
    #[must_use]
    pub fn machine_type_count(&self) -> usize {
        self.machine_types.len()
    }

    /// Number of machines whose type is not known, on which nothing can be placed.
    #[must_use]
    pub fn machines_of_unknown_type(&self) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| !self.machine_types.contains_key(&worker.machine_type))
            .count()
    }
}
