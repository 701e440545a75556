//! Cache of the machine types that the cloud provider offers.

use crate::locking::lock;
use std::sync::{Arc, Mutex};
use tallygauge_protocol::cloud::MachineType;

/// The machine types, as last read from the cloud provider.
#[derive(Default)]
pub struct MachineCatalogue(Mutex<Option<Arc<Vec<MachineType>>>>);

impl MachineCatalogue {
    /// The machine types, or `None` if they have not been read yet.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Vec<MachineType>>> {
        lock(&self.0).clone()
    }

    /// Whether the machine types have been read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        lock(&self.0).is_some()
    }

    /// Replaces the cached machine types.
    pub fn set(&self, types: Arc<Vec<MachineType>>) {
        *lock(&self.0) = Some(types);
    }
}
