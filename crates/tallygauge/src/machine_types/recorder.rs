//! Recording the machine types in the key-value store while this controller leads.
//!
//! A change is written as soon as the leader learns of it. Machines of a type are not rented
//! before the type is on record ([`MachineCatalogue::may_rent`]): otherwise the controllers
//! could all fail and come back while the cloud is out, and none of them could use the
//! machines.
//!
//! [`MachineCatalogue::may_rent`]: super::MachineCatalogue::may_rent

use super::{
    StoredTypes,
    record::MachineTypesRecord,
    shards::{ShardWrite, encoded_bytes, fits_shard, shard_name},
};
use crate::{
    controller::Controller,
    leader_records::{self, record_key},
    leader_transaction::{add_versioned_write, max_writes, new_transaction, step_down_if_deposed},
    scheduling_loop::{MAX_TRANSACTION_VALUE_BYTES, max_record_bytes},
};
use std::collections::BTreeSet;
use tallygauge_protocol::{
    cloud::MachineType,
    state::{Condition, Transaction},
};
use tallygauge_records::encode;
use tallygauge_store::{RequestPriority, TransactionOutcome, is_first_occurrence};

/// Records the machine types of the cluster state whenever they have changed, for as long as
/// this controller leads. Never returns.
pub(crate) async fn run(controller: &Controller, term_condition: &Condition, stored: StoredTypes) {
    let mut recorder = Recorder {
        controller,
        term_condition,
        stored,
        max_shard_bytes: max_record_bytes(controller),
    };
    loop {
        recorder.write_changes().await;
        controller.machine_types_changed.notified().await;
    }
}

struct Recorder<'a> {
    controller: &'a Controller,
    term_condition: &'a Condition,
    stored: StoredTypes,
    max_shard_bytes: usize,
}

impl Recorder<'_> {
    /// Writes all changes, and retries until they are durable. Does nothing while no types
    /// are known: the record must outlast a leader that knows none.
    async fn write_changes(&mut self) {
        while let Some(types) = self.known_types() {
            self.publish_recorded(&types);
            let changes = self.stored.changes(&types, self.max_shard_bytes);
            let Some(batch) = next_batch(changes, max_writes(self.controller)) else {
                return;
            };
            if !self.commit(batch).await {
                tokio::time::sleep(self.controller.store_retry_pause()).await;
            }
        }
    }

    /// The machine types that the leader knows; `None` if it knows none, or has just stepped
    /// down.
    fn known_types(&self) -> Option<Vec<MachineType>> {
        let types = self
            .controller
            .with_cluster(|cluster| cluster.known_machine_types());
        types.filter(|types| !types.is_empty())
    }

    /// Lets machines be rented of the types that are on record, and of those that are too
    /// large for any record.
    fn publish_recorded(&self, types: &[MachineType]) {
        let mut names: BTreeSet<String> = BTreeSet::new();
        let recorded = self.stored.up_to_date(types);
        names.extend(recorded.into_iter().map(str::to_string));
        for machine_type in types {
            if !fits_shard(machine_type, self.max_shard_bytes) {
                self.warn_too_large(machine_type);
                names.insert(machine_type.name.clone());
            }
        }
        self.controller.catalogue.set_recorded(names);
        self.controller.wake_rentals.notify_one();
    }

    /// Logs a type that is too large for any record, once per process.
    fn warn_too_large(&self, machine_type: &MachineType) {
        if is_first_occurrence(&format!("too large: machine type {}", machine_type.name)) {
            tracing::warn!(
                machine_type = machine_type.name,
                bytes = encoded_bytes(machine_type),
                max_bytes = self.max_shard_bytes,
                "machine type is too large to be recorded"
            );
        }
    }

    /// Commits shards in one transaction. Returns whether it was executed; if not, what is
    /// stored has been read again.
    async fn commit(&mut self, batch: Vec<ShardWrite>) -> bool {
        let written_at = self.controller.unix_time_s();
        let Some(transaction) = self.write_transaction(&batch, written_at) else {
            return false;
        };
        // Nothing can be rented before the types are recorded, so this is part of placing
        // tasks.
        let committed = self
            .controller
            .store
            .commit_with_retries(RequestPriority::Placement, &transaction, None)
            .await;
        match committed.outcome {
            Ok(TransactionOutcome::Committed(revision)) => {
                for write in batch {
                    self.stored.mark_written(write, written_at, revision);
                }
                true
            }
            Ok(TransactionOutcome::Conflict { failed_keys }) => {
                if !step_down_if_deposed(self.controller, &failed_keys) {
                    self.reload().await;
                }
                false
            }
            Ok(TransactionOutcome::LeaseExpired) | Err(_) => {
                self.reload().await;
                false
            }
        }
    }

    /// The transaction that writes shards. It is conditioned on the term and on the last
    /// known version of each shard, so that a delayed copy cannot replace a newer write.
    fn write_transaction(&self, batch: &[ShardWrite], written_at: f64) -> Option<Transaction> {
        let mut transaction = new_transaction(self.term_condition);
        for write in batch {
            let record = MachineTypesRecord {
                types: write.types.clone(),
            };
            let value = encode(&record, written_at).ok()?;
            let key = record_key(&shard_name(write.number));
            add_versioned_write(&mut transaction, key, write.version, value);
        }
        Some(transaction)
    }

    /// Reads what is stored, after a write whose outcome is not known.
    async fn reload(&mut self) {
        let priority = RequestPriority::Placement;
        if let Ok(stored) = leader_records::load_machine_types(self.controller, priority).await {
            self.stored = stored;
        }
    }
}

/// The first of the changes, as many as one transaction can hold; `None` if there are none.
fn next_batch(changes: Vec<ShardWrite>, max_writes: usize) -> Option<Vec<ShardWrite>> {
    let mut bytes_left = MAX_TRANSACTION_VALUE_BYTES;
    let mut batch: Vec<ShardWrite> = Vec::new();
    for change in changes {
        let bytes: usize = change.types.iter().map(encoded_bytes).sum();
        let fits = bytes <= bytes_left && batch.len() < max_writes;
        if !fits && !batch.is_empty() {
            break;
        }
        bytes_left = bytes_left.saturating_sub(bytes);
        batch.push(change);
    }
    (!batch.is_empty()).then_some(batch)
}
