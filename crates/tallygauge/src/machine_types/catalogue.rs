//! The machine types that a controller knows, and where they are from.

use super::RecordedType;
use crate::locking::lock;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
};
use tallygauge_protocol::cloud::MachineType;

/// Machine types that a controller knows, from the cloud and from the leader's record.
#[derive(Default)]
pub struct MachineCatalogue(Mutex<KnownTypes>);

/// When the cloud was asked for its machine types, by both clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadTime {
    /// Seconds of the process's monotonic clock.
    pub now: f64,
    /// Wall-clock time, in seconds since the Unix epoch.
    pub unix_time_s: f64,
}

#[derive(Default)]
struct KnownTypes {
    /// The types, sorted by name; `None` until any are known. A type that is no longer on
    /// offer has no zones.
    types: Option<Arc<Vec<MachineType>>>,
    /// When this process last read the types from the cloud; `None` if it never has.
    read_at: Option<ReadTime>,
    /// Names of the types that the record holds as they are, or that no record can hold.
    recorded: BTreeSet<String>,
    /// When a rental of a type that is not recorded was first due, by name of the type, in
    /// seconds of the process's monotonic clock.
    rental_due_since: BTreeMap<String, f64>,
}

impl MachineCatalogue {
    /// The machine types, or `None` if none are known yet.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Vec<MachineType>>> {
        lock(&self.0).types.clone()
    }

    /// Whether machine types are known, from the cloud or from the record.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        lock(&self.0).types.is_some()
    }

    /// Seconds since this process last read the types from the cloud; `None` if it never has,
    /// so that it knows recorded types at most.
    #[must_use]
    pub fn age_s(&self, now: f64) -> Option<f64> {
        lock(&self.0).read_at.map(|read_at| now - read_at.now)
    }

    /// Replaces the types by those that the cloud offered at `read_at`.
    pub fn set_offered(&self, mut offered: Vec<MachineType>, read_at: ReadTime) {
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        let mut known = lock(&self.0);
        known.types = Some(Arc::new(offered));
        known.read_at = Some(read_at);
    }

    /// Adds the types that leaders have recorded. Of a type that is known already the later
    /// of the two applies. A type that the cloud, asked later, did not offer any more is
    /// kept without zones: machines of it may still exist, but none can be rented.
    pub(crate) fn add_recorded(&self, recorded: impl IntoIterator<Item = RecordedType>) {
        let mut known = lock(&self.0);
        let read_at = known.read_at.map_or(f64::NEG_INFINITY, |at| at.unix_time_s);
        let types = known.types.iter().flat_map(|types| types.iter().cloned());
        let mut merged: BTreeMap<String, MachineType> =
            types.map(|known| (known.name.clone(), known)).collect();
        for RecordedType {
            mut machine_type,
            written_at,
        } in recorded
        {
            let is_later = written_at > read_at;
            if !is_later {
                machine_type.zones.clear();
            }
            let name = machine_type.name.clone();
            if is_later || !merged.contains_key(&name) {
                merged.insert(name, machine_type);
            }
        }
        if !merged.is_empty() {
            known.types = Some(Arc::new(merged.into_values().collect()));
        }
    }

    /// Sets which types the record holds as they are.
    pub(crate) fn set_recorded(&self, names: BTreeSet<String>) {
        let mut known = lock(&self.0);
        known.recorded = names;
        known.rental_due_since.clear();
    }

    /// Whether machines of a type may be rented now. They may not before the type is on
    /// record, since the next leader could not use them while the cloud is out; but a record
    /// that cannot be written delays them by `max_delay_s` at most.
    pub(crate) fn may_rent(&self, machine_type: &str, now: f64, max_delay_s: f64) -> bool {
        let mut known = lock(&self.0);
        if known.recorded.contains(machine_type) {
            return true;
        }
        let due_since = known
            .rental_due_since
            .entry(machine_type.to_string())
            .or_insert(now);
        now - *due_since > max_delay_s
    }
}

#[cfg(test)]
mod tests;
