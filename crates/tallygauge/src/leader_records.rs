//! Records that a leader keeps beside the jobs, at the state service: read once
//! when a term begins, written now and then, many in one change.

use crate::{
    controller::Controller, deadline_settings::CutoffSettings, scheduling_loop::record_bytes,
};
use serde_json::Value;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_records::{Record, StoredRecord, WriteBatch, WriteBehind, decode, record_name};
use tallygauge_scheduler::{PriorityRules, RulesChange};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// What the keys of kept records begin with.
const PREFIX: &str = "s/";

/// Report intervals between two looks at what has changed.
const STAGE_INTERVAL: f64 = 2.0;

/// Parts that the beliefs of where images lie may have.
const IMAGE_SHARDS: usize = 4;

/// Records as they were found when the term began, by name, with the versions
/// of their keys.
#[derive(Debug, Default, Clone)]
pub struct StoredRecords {
    found: BTreeMap<String, (Value, u64)>,
    /// The cutoffs in force.
    pub calendar: Option<CutoffSettings>,
}

impl StoredRecords {
    /// Takes up one record; what can't be read is said once.
    #[must_use]
    pub fn decode<T: Record>(&self, part: Option<usize>) -> Option<T> {
        let name = record_name::<T>(part);
        let found: StoredRecord<T> = decode(self.found.get(&name).map(|f| f.0.clone()));
        if let Some(why) = found.problem() {
            tracing::warn!(
                record = name,
                why,
                "a kept record is passed over and rebuilt"
            );
        }
        found.into_record()
    }

    /// Takes up all parts of a record.
    #[must_use]
    pub fn decode_shards<T: Record>(&self) -> Vec<T> {
        (0..IMAGE_SHARDS)
            .filter_map(|part| self.decode(Some(part)))
            .collect()
    }
}

/// Reads what earlier leaders kept. It may be missing: never a reason not to
/// lead.
pub async fn load(controller: &Controller) -> StoredRecords {
    let mut kept = StoredRecords::default();
    if let Ok((rows, _)) = controller
        .store
        .list(RequestPriority::Leadership, PREFIX)
        .await
    {
        for row in rows {
            if let Some(name) = row.key.strip_prefix(PREFIX) {
                kept.found
                    .insert(name.to_string(), (row.value, row.version));
            }
        }
    }
    kept.calendar = kept.decode(None);
    kept
}

/// Keeps records at the state service, as long as this node leads. What isn't
/// written for want of budget is written later.
pub async fn run(controller: &Arc<Controller>, term_guard: &Condition, kept: StoredRecords) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let pause = Duration::from_secs_f64(report * STAGE_INTERVAL);
    let bytes = record_bytes(controller);
    let mut shelf = WriteBehind::new(bytes);
    let mut versions: BTreeMap<String, u64> = kept
        .found
        .iter()
        .map(|(name, f)| (name.clone(), f.1))
        .collect();
    let mut shown = controller.now();
    stage_declared_settings(controller, &mut shelf, &kept);
    // What is ahead is written before anything else, and in force when it is.
    while let Some(parcel) = shelf.next_batch(2, bytes, true) {
        write(controller, term_guard, &mut shelf, &mut versions, &parcel).await;
        if parcel.entries.iter().any(|i| !shelf.is_durable(&i.name)) {
            tokio::time::sleep(controller.leader_lease_ttl() / 8).await;
        }
    }
    if let Some(ledger) = shelf.desired::<PriorityRules>() {
        controller.with_cluster(|c| c.set_priority_rules(ledger));
    }
    if let Some(calendar) = shelf.desired::<CutoffSettings>() {
        controller.with_cluster(|c| calendar.apply_to(c));
    }
    controller.wake_scheduler.notify_one();
    loop {
        tokio::time::sleep(pause).await;
        stage_current(controller, &mut shelf, bytes);
        let most = controller
            .settings
            .deployment
            .store
            .max_writes_per_transaction
            / 2;
        if let Some(parcel) = shelf.next_batch(most, bytes, false) {
            write(controller, term_guard, &mut shelf, &mut versions, &parcel).await;
        }
        let now = controller.now();
        if now - shown > report * STAGE_INTERVAL * 8.0 {
            shown = now;
            let records: Vec<String> = shelf
                .status(now)
                .iter()
                .map(|s| match s.age_s {
                    Some(age_s) => format!("{}:{}B/{age_s:.0}s", s.name, s.bytes),
                    None => format!("{}:{}B/never", s.name, s.bytes),
                })
                .collect();
            tracing::debug!(records = records.join(" "), "kept");
        }
    }
}

/// Puts the cutoffs and ranks that this node's settings declare on the shelf, if
/// they are newer than those in force.
fn stage_declared_settings(controller: &Controller, shelf: &mut WriteBehind, kept: &StoredRecords) {
    let calendar = &controller.operator_settings.cutoffs;
    let before = kept.calendar.as_ref();
    let in_force = before.map_or(0, |c| c.version);
    if calendar.version > in_force {
        let put = shelf.stage(None, calendar, controller.time_of_day());
        tracing::info!(version = calendar.version, ?put, "cutoffs are declared");
    } else if calendar.version == in_force && before.is_some_and(|c| c != calendar) {
        let version = in_force;
        tracing::warn!(
            version,
            "other cutoffs of this version are in force: raise the version"
        );
    }
    let declared = controller
        .operator_settings
        .ranks
        .declared(&controller.operator_settings.cutoffs);
    let at = controller.time_of_day();
    let change = declared.ok().and_then(|d| {
        let change = controller.with_cluster(|c| c.priority_rules().declare(&d, at))?;
        Some((d.version, change))
    });
    match change {
        Some((version, RulesChange::New(ledger))) => {
            if let Err(why) = shelf.stage(None, &ledger, at) {
                tracing::warn!(why, "the ranks can't be kept and are not in force");
            } else {
                tracing::info!(version, "ranks are declared");
            }
        }
        Some((version, RulesChange::VersionConflict)) => {
            tracing::warn!(
                version,
                "other ranks of this version are in force: raise the version"
            );
        }
        Some((_, RulesChange::Unchanged)) | None => {}
    }
}

/// Puts the records on the shelf as they should be now.
fn stage_current(controller: &Controller, shelf: &mut WriteBehind, bytes: usize) {
    let at = controller.time_of_day();
    // What the keeper adds to a record.
    let room = bytes.saturating_sub(64);
    let least_s = controller.operator_settings.locality.remember_from;
    let Some((floor, images, calendar)) = controller.with_cluster(|c| {
        let images = c.image_locations(least_s, room, IMAGE_SHARDS);
        (
            c.service_counts_record(room),
            images,
            c.deadline_tracker().clone(),
        )
    }) else {
        return;
    };
    let mut complaints = vec![
        shelf.stage(None, &floor, at),
        shelf.stage(None, &calendar, at),
    ];
    for (part, record) in images.iter().enumerate() {
        complaints.push(shelf.stage(Some(part), record, at));
    }
    for why in complaints.into_iter().filter_map(Result::err) {
        tracing::warn!(why, "a record can't be kept");
    }
}

/// Writes a parcel in one change, on condition of the term and of each record
/// being as it was last written: a late write must not land on a newer one.
async fn write(
    controller: &Controller,
    term_guard: &Condition,
    shelf: &mut WriteBehind,
    versions: &mut BTreeMap<String, u64>,
    parcel: &WriteBatch,
) {
    let mut txn = Transaction {
        conditions: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for item in &parcel.entries {
        let key = format!("{PREFIX}{}", item.name);
        txn.conditions.push(Condition {
            key: key.clone(),
            version: versions.get(&item.name).copied().unwrap_or(0),
        });
        txn.writes.push(Write::Set {
            key,
            value: item.value.clone(),
            lease: None,
        });
    }
    match controller
        .store
        .transact(RequestPriority::Maintenance, &txn)
        .await
    {
        Ok(TransactionOutcome::Committed(revision)) => {
            for item in &parcel.entries {
                versions.insert(item.name.clone(), revision);
            }
            shelf.mark_written(parcel, controller.now());
        }
        // An unanswered write may have been made: what is there is read again.
        Ok(TransactionOutcome::Conflict(_)) | Err(StoreError::Unknown) => {
            if let Ok((rows, _)) = controller
                .store
                .list(RequestPriority::Maintenance, PREFIX)
                .await
            {
                *versions = rows
                    .into_iter()
                    .filter_map(|r| Some((r.key.strip_prefix(PREFIX)?.to_string(), r.version)))
                    .collect();
            }
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::Refused) => {}
    }
}

#[cfg(test)]
mod tests;
