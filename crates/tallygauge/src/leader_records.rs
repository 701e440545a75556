//! Auxiliary records of the leader in the key-value store. They are read once when a term
//! begins, and written asynchronously (write-behind), many records per transaction.

mod stored;

pub use stored::{StoredRecords, load};
pub(crate) use stored::{load_machine_types, record_key};

use crate::{
    controller::Controller,
    deadline_settings::CutoffSettings,
    leader_transaction::{add_versioned_write, max_writes, new_transaction},
    pacing::heartbeat_intervals,
    scheduling_loop::max_record_bytes,
};
use std::{collections::BTreeMap, sync::Arc};
use stored::{list_all, versions};
use tallygauge_protocol::state::{Condition, Transaction};
use tallygauge_records::{StagedRecords, WriteBatch};
use tallygauge_scheduler::{PriorityRules, RulesChange};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// Pause between two stagings of changed records, in heartbeat intervals.
const STAGE_HEARTBEAT_INTERVALS: f64 = 2.0;

/// Interval between two log lines with the status of all records, in heartbeat intervals.
const STATUS_LOG_HEARTBEAT_INTERVALS: f64 = 16.0;

/// Maximum number of shards of the image locations record.
const MAX_IMAGE_LOCATION_SHARDS: usize = 4;

/// Maximum number of records in one write-ahead transaction.
const MAX_WRITE_AHEAD_RECORDS: usize = 2;

/// Bytes reserved in a record for what its encoding adds.
pub(crate) const ENCODING_OVERHEAD_BYTES: usize = 64;

/// Writes the leader's records for as long as this controller leads. Declared settings are
/// written ahead, that is before they are put into force; all other records are written
/// behind. A record for which the request budget does not suffice is written later. Never
/// returns.
pub async fn run(controller: &Arc<Controller>, term_condition: &Condition, stored: StoredRecords) {
    let pause = heartbeat_intervals(controller, STAGE_HEARTBEAT_INTERVALS);
    let mut writer = RecordWriter::new(controller, term_condition, &stored);
    writer.stage_declared_settings(stored.cutoffs.as_ref());
    writer.commit_write_ahead().await;
    writer.apply_declared_settings();
    loop {
        tokio::time::sleep(pause).await;
        writer.stage_cluster_records();
        writer.commit_next_batch().await;
        writer.log_status();
    }
}

/// Writes the records of one term, and keeps track of the versions of their keys.
struct RecordWriter<'a> {
    controller: &'a Arc<Controller>,
    term_condition: &'a Condition,
    records: StagedRecords,
    versions: BTreeMap<String, u64>,
    max_record_bytes: usize,
    status_logged_at: f64,
}

impl<'a> RecordWriter<'a> {
    fn new(
        controller: &'a Arc<Controller>,
        term_condition: &'a Condition,
        stored: &StoredRecords,
    ) -> Self {
        let max_record_bytes = max_record_bytes(controller);
        Self {
            controller,
            term_condition,
            records: StagedRecords::new(max_record_bytes),
            versions: versions(&stored.entries),
            max_record_bytes,
            status_logged_at: controller.now(),
        }
    }

    /// Stages the cutoffs and priority rules declared in this controller's settings, if they
    /// are newer than those in force.
    fn stage_declared_settings(&mut self, cutoffs_in_force: Option<&CutoffSettings>) {
        self.stage_declared_cutoffs(cutoffs_in_force);
        self.stage_declared_rules();
    }

    fn stage_declared_cutoffs(&mut self, in_force: Option<&CutoffSettings>) {
        let declared = &self.controller.operator_settings.cutoffs;
        let version_in_force = in_force.map_or(0, |cutoffs| cutoffs.version);
        if declared.version > version_in_force {
            let now = self.controller.unix_time_s();
            let staged = self.records.stage(None, declared, now);
            tracing::info!(
                version = declared.version,
                ?staged,
                "staging cutoffs declared in the settings"
            );
        } else if declared.version == version_in_force
            && in_force.is_some_and(|cutoffs| cutoffs != declared)
        {
            tracing::warn!(
                version = version_in_force,
                "cutoffs in the settings differ from those in force under the same version: raise the version in the settings"
            );
        }
    }

    fn stage_declared_rules(&mut self) {
        let settings = &self.controller.operator_settings;
        let now = self.controller.unix_time_s();
        let Ok(declared) = settings.ranks.to_declared_rules(&settings.cutoffs) else {
            return;
        };
        let change = self
            .controller
            .with_cluster(|cluster| cluster.priority_rules().declare(&declared, now));
        let version = declared.version;
        match change {
            Some(RulesChange::New(rules)) => match self.records.stage(None, &rules, now) {
                Ok(_) => tracing::info!(version, "staging priority rules declared in the settings"),
                Err(error) => {
                    tracing::warn!(
                        %error,
                        "priority rules cannot be stored and are not put into force"
                    );
                }
            },
            Some(RulesChange::VersionConflict) => {
                tracing::warn!(
                    version,
                    "priority rules in the settings differ from those in force under the same version: raise the version in the settings"
                );
            }
            Some(RulesChange::Unchanged) | None => {}
        }
    }

    /// Commits the staged write-ahead records, and retries until all of them are durable.
    async fn commit_write_ahead(&mut self) {
        while let Some(batch) =
            self.records
                .next_batch(MAX_WRITE_AHEAD_RECORDS, self.max_record_bytes, true)
        {
            self.commit(&batch).await;
            let is_durable = |name: &str| self.records.is_durable(name);
            if !batch.entries.iter().all(|entry| is_durable(&entry.name)) {
                tokio::time::sleep(self.controller.store_retry_pause()).await;
            }
        }
    }

    /// Puts the staged settings into force. To be called once they are durable.
    fn apply_declared_settings(&self) {
        if let Some(rules) = self.records.desired::<PriorityRules>() {
            self.controller
                .with_cluster(|cluster| cluster.set_priority_rules(rules));
        }
        if let Some(cutoffs) = self.records.desired::<CutoffSettings>() {
            self.controller
                .with_cluster(|cluster| cutoffs.apply_to(cluster));
        }
        self.controller.wake_scheduler.notify_one();
    }

    /// Stages the records that are derived from the current cluster state.
    fn stage_cluster_records(&mut self) {
        let now = self.controller.unix_time_s();
        let max_bytes = self
            .max_record_bytes
            .saturating_sub(ENCODING_OVERHEAD_BYTES);
        let min_fetch_s = self
            .controller
            .operator_settings
            .locality
            .min_recorded_fetch_s;
        let Some((images, service_counts, deadlines)) = self.controller.with_cluster(|cluster| {
            (
                cluster.image_locations(min_fetch_s, max_bytes, MAX_IMAGE_LOCATION_SHARDS),
                cluster.service_counts_record(max_bytes),
                cluster.deadline_tracker().clone(),
            )
        }) else {
            return;
        };
        let mut staged = vec![
            self.records.stage(None, &service_counts, now),
            self.records.stage(None, &deadlines, now),
        ];
        for (shard, record) in images.iter().enumerate() {
            staged.push(self.records.stage(Some(shard), record, now));
        }
        for error in staged.into_iter().filter_map(Result::err) {
            tracing::warn!(%error, "leader record cannot be stored");
        }
    }

    async fn commit_next_batch(&mut self) {
        let max_records = max_writes(self.controller) / 2;
        let batch = self
            .records
            .next_batch(max_records, self.max_record_bytes, false);
        if let Some(batch) = batch {
            self.commit(&batch).await;
        }
    }

    /// Sends a batch once, and records the outcome.
    async fn commit(&mut self, batch: &WriteBatch) {
        let transaction = self.write_transaction(batch);
        let outcome = self
            .controller
            .store
            .transact(RequestPriority::Maintenance, &transaction)
            .await;
        match outcome {
            Ok(TransactionOutcome::Committed(revision)) => {
                for entry in &batch.entries {
                    self.versions.insert(entry.name.clone(), revision);
                }
                self.records.mark_written(batch, self.controller.now());
            }
            // An indeterminate write may have been executed, so the last known versions may
            // be stale.
            Ok(TransactionOutcome::Conflict { .. })
            | Err(StoreError::Indeterminate { .. } | StoreError::Malformed { .. }) => {
                self.reload_versions().await;
            }
            Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::NotExecuted { .. }) => {}
        }
    }

    /// The transaction that writes a batch. It is conditioned on the term and on the last
    /// known version of each record, so that a delayed write cannot replace a newer one.
    fn write_transaction(&self, batch: &WriteBatch) -> Transaction {
        let mut transaction = new_transaction(self.term_condition);
        for entry in &batch.entries {
            let version = self.versions.get(&entry.name).copied().unwrap_or(0);
            let key = record_key(&entry.name);
            add_versioned_write(&mut transaction, key, version, entry.value.clone());
        }
        transaction
    }

    async fn reload_versions(&mut self) {
        if let Ok(entries) = list_all(self.controller, RequestPriority::Maintenance).await {
            self.versions = versions(&entries);
        }
    }

    /// Logs the size and age of all records, unless they were logged recently.
    fn log_status(&mut self) {
        let now = self.controller.now();
        let interval = heartbeat_intervals(self.controller, STATUS_LOG_HEARTBEAT_INTERVALS);
        if now - self.status_logged_at <= interval.as_secs_f64() {
            return;
        }
        self.status_logged_at = now;
        let records: Vec<String> = self
            .records
            .status(now)
            .iter()
            .map(|status| match status.age_s {
                Some(age_s) => format!("{}:{}B/{age_s:.0}s", status.name, status.bytes),
                None => format!("{}:{}B/never", status.name, status.bytes),
            })
            .collect();
        tracing::debug!(records = records.join(" "), "leader records");
    }
}

#[cfg(test)]
mod tests;
