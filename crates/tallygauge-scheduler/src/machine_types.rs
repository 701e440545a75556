//! The machine types that the leader knows: those that the cloud offers, and those of machines
//! that still exist. A type that is withdrawn, that is no longer offered, has no zones, so that
//! none of its kinds can be rented.

use crate::{cluster_state::ClusterState, model::*};
use std::collections::{BTreeSet, HashMap};
use tallygauge_protocol::cloud::MachineType;

/// Boot time assumed for a machine of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Typical boot time of a machine of this type, in seconds.
pub(crate) fn boot_s(types: &HashMap<String, MachineType>, machine_type: &str) -> f64 {
    types
        .get(machine_type)
        .map_or(DEFAULT_BOOT_S, |known| known.boot_s)
}

impl ClusterState {
    /// Replaces the machine types on offer, with their prices, by what the cloud offers now. A
    /// known type that is not among them is withdrawn.
    pub fn set_machine_types(&mut self, offered: &[MachineType]) {
        let names: BTreeSet<&str> = offered.iter().map(|t| t.name.as_str()).collect();
        for known in self.machine_types.values_mut() {
            if !names.contains(known.name.as_str()) {
                known.zones.clear();
            }
        }
        // A type without zones that no machine is known of would be forgotten again.
        let is_useful =
            |t: &&MachineType| !t.zones.is_empty() || self.machine_types.contains_key(&t.name);
        let useful: Vec<MachineType> = offered.iter().filter(is_useful).cloned().collect();
        self.restore_machine_types(&useful);
    }

    /// Adds or updates machine types that this leader did not read from the cloud in its term,
    /// withdrawn ones among them.
    pub fn restore_machine_types(&mut self, types: &[MachineType]) {
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

    /// Forgets the withdrawn types of which no machine is left. `is_complete` says whether
    /// every machine that the cloud has rented is known.
    pub(crate) fn forget_withdrawn_types(&mut self, is_complete: bool) {
        if !is_complete || self.machine_types.values().all(|t| !t.zones.is_empty()) {
            return;
        }
        let workers = self.workers.values();
        let used: BTreeSet<&str> = workers.map(|w| w.machine_type.as_str()).collect();
        self.machine_types
            .retain(|name, t| !t.zones.is_empty() || used.contains(name.as_str()));
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
