//! Distribution of the machine types over shards, each of which fits into one value of the
//! key-value store.
//!
//! A type stays in its shard for as long as it fits there, so that a change of one type
//! rewrites one shard.

use super::record::{MachineTypesRecord, RecordedType, is_up_to_date};
use crate::leader_records::ENCODING_OVERHEAD_BYTES;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use tallygauge_protocol::cloud::MachineType;
use tallygauge_records::{DecodeError, decode, record_name};

/// A shard as it is stored.
#[derive(Debug, Clone, Default, PartialEq)]
struct StoredShard {
    types: Vec<MachineType>,
    /// Unix time in seconds at which it was written.
    written_at: f64,
    /// Version of its key.
    version: u64,
}

/// A shard that has to be written.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ShardWrite {
    pub(super) number: usize,
    /// The types that it is to hold. A shard without types is kept, so that the version of
    /// its key never repeats.
    pub(super) types: Vec<MachineType>,
    /// Last known version of its key; 0 if the key does not exist.
    pub(super) version: u64,
}

/// The machine types that the key-value store holds.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StoredTypes {
    shards: BTreeMap<usize, StoredShard>,
    /// Numbers of the shards that a later release wrote in a form which this release does
    /// not know. They are left alone.
    of_later_release: BTreeSet<usize>,
}

impl StoredTypes {
    /// Decodes the shards among the leader's records. A shard that cannot be decoded is
    /// logged and counts as empty, so that it is written again.
    pub(crate) fn decode<'a>(records: impl IntoIterator<Item = (&'a str, &'a Value, u64)>) -> Self {
        let mut stored = Self::default();
        for (name, value, version) in records {
            if let Some(number) = shard_number(name) {
                stored.decode_shard(number, value, version);
            }
        }
        stored
    }

    fn decode_shard(&mut self, number: usize, value: &Value, version: u64) {
        let mut shard = StoredShard {
            version,
            ..StoredShard::default()
        };
        match decode::<MachineTypesRecord>(Some(value.clone())) {
            Ok(decoded) => {
                if let Some(stored) = decoded {
                    shard.types = stored.record.types;
                    shard.written_at = stored.written_at;
                }
            }
            Err(error) => {
                tracing::warn!(
                    record = shard_name(number),
                    %error,
                    "ignored an unreadable leader record, it will be rebuilt"
                );
                if matches!(error, DecodeError::NewerVersion { .. }) {
                    self.of_later_release.insert(number);
                    return;
                }
            }
        }
        self.shards.insert(number, shard);
    }

    /// All stored types.
    pub(crate) fn types(&self) -> impl Iterator<Item = RecordedType> {
        self.shards.values().flat_map(|shard| {
            shard.types.iter().map(|machine_type| RecordedType {
                machine_type: machine_type.clone(),
                written_at: shard.written_at,
            })
        })
    }

    /// Names of the given types that are stored as they are.
    pub(super) fn up_to_date<'a>(&self, types: &'a [MachineType]) -> BTreeSet<&'a str> {
        let stored: Vec<&MachineType> = self.shards.values().flat_map(|s| &s.types).collect();
        let is_stored =
            |current: &&MachineType| stored.iter().any(|stored| is_up_to_date(stored, current));
        let current = types.iter().filter(is_stored);
        current.map(|current| current.name.as_str()).collect()
    }

    /// The writes after which the store holds exactly these types. Each shard has at most
    /// `max_bytes`; types that are larger by themselves are left out. A shard that takes over
    /// a type from another one comes first, so that the type is always in one of them.
    pub(super) fn changes(&self, types: &[MachineType], max_bytes: usize) -> Vec<ShardWrite> {
        let mut writes: Vec<ShardWrite> = self
            .assign(types, max_bytes)
            .into_iter()
            .filter(|(number, shard)| self.differs(*number, &shard.types))
            .map(|(number, shard)| ShardWrite {
                number,
                types: shard.types,
                version: self.shards.get(&number).map_or(0, |stored| stored.version),
            })
            .collect();
        writes.sort_by_key(|write| !self.takes_over_type(write));
        writes
    }

    /// Assigns each type to the shard in which it is stored, or else to the first one that
    /// has room for it.
    fn assign(&self, types: &[MachineType], max_bytes: usize) -> BTreeMap<usize, AssignedShard> {
        let mut unassigned: BTreeMap<&str, &MachineType> =
            types.iter().map(|t| (t.name.as_str(), t)).collect();
        let mut assigned: BTreeMap<usize, AssignedShard> = BTreeMap::new();
        for (&number, stored) in &self.shards {
            let mut shard = AssignedShard::with_limit(max_bytes);
            for stored_type in &stored.types {
                let current = unassigned.get(stored_type.name.as_str()).copied();
                if current.is_some_and(|current| shard.try_add(current)) {
                    unassigned.remove(stored_type.name.as_str());
                }
            }
            assigned.insert(number, shard);
        }
        for machine_type in unassigned.into_values() {
            if assigned
                .values_mut()
                .any(|shard| shard.try_add(machine_type))
            {
                continue;
            }
            let mut shard = AssignedShard::with_limit(max_bytes);
            if shard.try_add(machine_type) {
                assigned.insert(self.free_number(&assigned), shard);
            }
        }
        assigned
    }

    /// The lowest shard number that is not in use.
    fn free_number(&self, assigned: &BTreeMap<usize, AssignedShard>) -> usize {
        let is_free = |number: &usize| {
            !assigned.contains_key(number) && !self.of_later_release.contains(number)
        };
        (0..).find(is_free).unwrap_or_default()
    }

    /// Whether the stored shard has other types than these.
    fn differs(&self, number: usize, types: &[MachineType]) -> bool {
        let Some(stored) = self.shards.get(&number) else {
            return true;
        };
        let mut pairs = stored.types.iter().zip(types);
        stored.types.len() != types.len()
            || !pairs.all(|(stored, current)| is_up_to_date(stored, current))
    }

    /// Whether a write adds a type to a shard that another shard holds now.
    fn takes_over_type(&self, write: &ShardWrite) -> bool {
        let other_shards = self.shards.iter().filter(|(n, _)| **n != write.number);
        let held_elsewhere: BTreeSet<&str> = other_shards
            .flat_map(|(_, shard)| shard.types.iter().map(|t| t.name.as_str()))
            .collect();
        write
            .types
            .iter()
            .any(|t| held_elsewhere.contains(t.name.as_str()))
    }

    /// Records that a write was committed at a revision of the store.
    pub(super) fn mark_written(&mut self, write: ShardWrite, written_at: f64, revision: u64) {
        let shard = StoredShard {
            types: write.types,
            written_at,
            version: revision,
        };
        self.shards.insert(write.number, shard);
    }
}

/// The types that a shard is to hold.
struct AssignedShard {
    types: Vec<MachineType>,
    bytes_left: usize,
}

impl AssignedShard {
    fn with_limit(max_bytes: usize) -> Self {
        Self {
            types: Vec::new(),
            bytes_left: max_bytes.saturating_sub(ENCODING_OVERHEAD_BYTES),
        }
    }

    /// Adds a type if there is room for it. Returns whether there was.
    fn try_add(&mut self, machine_type: &MachineType) -> bool {
        let Some(bytes_left) = self.bytes_left.checked_sub(encoded_bytes(machine_type)) else {
            return false;
        };
        self.bytes_left = bytes_left;
        self.types.push(machine_type.clone());
        true
    }
}

/// Size of a type in a shard, in bytes, with the comma that separates it from the next one.
pub(super) fn encoded_bytes(machine_type: &MachineType) -> usize {
    serde_json::to_string(machine_type).map_or(usize::MAX, |text| text.len() + 1)
}

/// Whether a type fits into a shard of at most `max_bytes`.
pub(super) fn fits_shard(machine_type: &MachineType, max_bytes: usize) -> bool {
    AssignedShard::with_limit(max_bytes).try_add(machine_type)
}

/// Name of a shard among the leader's records.
pub(super) fn shard_name(number: usize) -> String {
    record_name::<MachineTypesRecord>(Some(number))
}

/// Number of the shard with this name; `None` for other records.
fn shard_number(name: &str) -> Option<usize> {
    let all_shards = record_name::<MachineTypesRecord>(None);
    let number = name.strip_prefix(&all_shards)?.strip_prefix('/')?;
    number.parse().ok()
}

#[cfg(test)]
mod tests;
