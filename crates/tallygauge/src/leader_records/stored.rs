//! Reading the leader's records from the key-value store.

use super::MAX_IMAGE_LOCATION_SHARDS;
use crate::{
    controller::Controller,
    deadline_settings::CutoffSettings,
    machine_types::{MachineTypesRecord, StoredTypes},
};
use serde_json::Value;
use std::collections::BTreeMap;
use tallygauge_records::{Record, decode, record_name};
use tallygauge_store::{RequestPriority, StoreError};

/// Key prefix of the leader's records.
pub(super) const KEY_PREFIX: &str = "s/";

/// A record's stored value and the version of its key.
#[derive(Debug, Clone)]
pub(super) struct VersionedValue {
    value: Value,
    version: u64,
}

/// Stored records, by name.
pub(super) type RecordsByName = BTreeMap<String, VersionedValue>;

/// The leader's records as they were stored when the term began, by name.
#[derive(Debug, Default, Clone)]
pub struct StoredRecords {
    pub(super) entries: RecordsByName,
    /// The stored cutoffs, which are in force.
    pub cutoffs: Option<CutoffSettings>,
}

impl StoredRecords {
    /// Decodes a record, or one of its shards. A record that cannot be decoded is logged and
    /// treated as missing.
    #[must_use]
    pub fn decode<T: Record>(&self, shard: Option<usize>) -> Option<T> {
        let name = record_name::<T>(shard);
        let value = self.entries.get(&name).map(|entry| entry.value.clone());
        match decode(value) {
            Ok(stored) => stored.map(|stored| stored.record),
            Err(error) => {
                tracing::warn!(
                    record = name,
                    %error,
                    "ignored an unreadable leader record, it will be rebuilt"
                );
                None
            }
        }
    }

    /// The machine types that leaders have recorded.
    pub(crate) fn machine_types(&self) -> StoredTypes {
        decode_machine_types(&self.entries)
    }

    /// Decodes all shards of a record.
    #[must_use]
    pub fn decode_shards<T: Record>(&self) -> Vec<T> {
        (0..MAX_IMAGE_LOCATION_SHARDS)
            .filter_map(|shard| self.decode(Some(shard)))
            .collect()
    }
}

/// Reads the records that earlier leaders stored. Missing or unreadable records never keep
/// a controller from leading.
///
/// # Errors
/// If the store does not answer. The caller has to retry: without the records the leader would
/// not know the machine types while the cloud is out, nor the cutoffs and ranks in force.
pub async fn load(controller: &Controller) -> Result<StoredRecords, StoreError> {
    let mut stored = StoredRecords {
        entries: list_all(controller, RequestPriority::Leadership).await?,
        cutoffs: None,
    };
    stored.cutoffs = stored.decode(None);
    Ok(stored)
}

/// Reads the machine types that leaders have recorded.
///
/// # Errors
/// If the store does not answer.
pub(crate) async fn load_machine_types(
    controller: &Controller,
    priority: RequestPriority,
) -> Result<StoredTypes, StoreError> {
    let prefix = record_key(MachineTypesRecord::NAME);
    let records = list(controller, priority, &prefix).await?;
    Ok(decode_machine_types(&records))
}

/// Key of the leader record with this name.
pub(crate) fn record_key(name: &str) -> String {
    format!("{KEY_PREFIX}{name}")
}

/// Reads all records, whichever leader wrote them.
///
/// # Errors
/// If the store does not answer.
pub(super) async fn list_all(
    controller: &Controller,
    priority: RequestPriority,
) -> Result<RecordsByName, StoreError> {
    list(controller, priority, KEY_PREFIX).await
}

/// Version of the key of each record.
pub(super) fn versions(records: &RecordsByName) -> BTreeMap<String, u64> {
    let records = records.iter();
    records
        .map(|(name, record)| (name.clone(), record.version))
        .collect()
}

async fn list(
    controller: &Controller,
    priority: RequestPriority,
    prefix: &str,
) -> Result<RecordsByName, StoreError> {
    let listing = controller.store.list(priority, prefix).await?;
    let records = listing.entries.into_iter().filter_map(|entry| {
        let name = entry.key.strip_prefix(KEY_PREFIX)?.to_string();
        let record = VersionedValue {
            value: entry.value,
            version: entry.version,
        };
        Some((name, record))
    });
    Ok(records.collect())
}

fn decode_machine_types(records: &RecordsByName) -> StoredTypes {
    let records = records.iter();
    StoredTypes::decode(
        records.map(|(name, record)| (name.as_str(), &record.value, record.version)),
    )
}
