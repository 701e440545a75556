//! Records that a leader keeps beside the jobs, at the state service: read once
//! when a term begins, written now and then, many in one change.

use crate::{controller::Node, deadline_settings::Calendar, scheduling_loop::record_bytes};
use serde_json::Value;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Guard, Transaction, Write};
use tallygauge_records::{Found, Parcel, Record, Shelf, name_of, read};
use tallygauge_scheduler::{Ledger, LedgerChange};
use tallygauge_store::{Class, Error, Outcome};

/// What the keys of kept records begin with.
const PREFIX: &str = "s/";

/// Report intervals between two looks at what has changed.
const LOOK_EVERY: f64 = 2.0;

/// Parts that the beliefs of where images lie may have.
const IMAGE_PARTS: usize = 4;

/// Records as they were found when the term began, by name, with the versions
/// of their keys.
#[derive(Debug, Default, Clone)]
pub struct Kept {
    found: BTreeMap<String, (Value, u64)>,
    /// The cutoffs in force.
    pub calendar: Option<Calendar>,
}

impl Kept {
    /// Takes up one record; what can't be read is said once.
    #[must_use]
    pub fn take<T: Record>(&self, part: Option<usize>) -> Option<T> {
        let name = name_of::<T>(part);
        let found: Found<T> = read(self.found.get(&name).map(|f| f.0.clone()));
        if let Some(why) = found.complaint() {
            tracing::warn!(
                record = name,
                why,
                "a kept record is passed over and rebuilt"
            );
        }
        found.value()
    }

    /// Takes up all parts of a record.
    #[must_use]
    pub fn parts<T: Record>(&self) -> Vec<T> {
        (0..IMAGE_PARTS)
            .filter_map(|part| self.take(Some(part)))
            .collect()
    }
}

/// Reads what earlier leaders kept. It may be missing: never a reason not to
/// lead.
pub async fn load(node: &Node) -> Kept {
    let mut kept = Kept::default();
    if let Ok((rows, _)) = node.state.list(Class::Leadership, PREFIX).await {
        for row in rows {
            if let Some(name) = row.key.strip_prefix(PREFIX) {
                kept.found
                    .insert(name.to_string(), (row.value, row.version));
            }
        }
    }
    kept.calendar = kept.take(None);
    kept
}

/// Keeps records at the state service, as long as this node leads. What isn't
/// written for want of budget is written later.
pub async fn run(node: &Arc<Node>, term_guard: &Guard, kept: Kept) {
    let report = node.settings.deployment.workers.report_s;
    let pause = Duration::from_secs_f64(report * LOOK_EVERY);
    let bytes = record_bytes(node);
    let mut shelf = Shelf::new(bytes);
    let mut versions: BTreeMap<String, u64> = kept
        .found
        .iter()
        .map(|(name, f)| (name.clone(), f.1))
        .collect();
    let mut shown = node.now();
    declare(node, &mut shelf, &kept);
    // What is ahead is written before anything else, and in force when it is.
    while let Some(parcel) = shelf.parcel(2, bytes, true) {
        write(node, term_guard, &mut shelf, &mut versions, &parcel).await;
        if parcel.items.iter().any(|i| !shelf.is_durable(&i.name)) {
            tokio::time::sleep(node.term_ttl() / 8).await;
        }
    }
    if let Some(ledger) = shelf.wanted::<Ledger>() {
        node.with_cluster(|c| c.set_ledger(ledger));
    }
    if let Some(calendar) = shelf.wanted::<Calendar>() {
        node.with_cluster(|c| calendar.put_in_force(c));
    }
    node.wake.notify_one();
    loop {
        tokio::time::sleep(pause).await;
        collect(node, &mut shelf, bytes);
        let most = node.settings.deployment.state.txn_ops / 2;
        if let Some(parcel) = shelf.parcel(most, bytes, false) {
            write(node, term_guard, &mut shelf, &mut versions, &parcel).await;
        }
        let now = node.now();
        if now - shown > report * LOOK_EVERY * 8.0 {
            shown = now;
            let records: Vec<String> = shelf
                .shown(now)
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
fn declare(node: &Node, shelf: &mut Shelf, kept: &Kept) {
    let calendar = &node.tuning.calendar;
    let before = kept.calendar.as_ref();
    let in_force = before.map_or(0, |c| c.version);
    if calendar.version > in_force {
        let put = shelf.put(None, calendar, node.time_of_day());
        tracing::info!(version = calendar.version, ?put, "cutoffs are declared");
    } else if calendar.version == in_force && before.is_some_and(|c| c != calendar) {
        let version = in_force;
        tracing::warn!(
            version,
            "other cutoffs of this version are in force: raise the version"
        );
    }
    let declared = node.tuning.ledger.declared(&node.tuning.calendar);
    let at = node.time_of_day();
    let change = declared.ok().and_then(|d| {
        let change = node.with_cluster(|c| c.ledger().declare(&d, at))?;
        Some((d.version, change))
    });
    match change {
        Some((version, LedgerChange::Next(ledger))) => {
            if let Err(why) = shelf.put(None, &ledger, at) {
                tracing::warn!(why, "the ranks can't be kept and are not in force");
            } else {
                tracing::info!(version, "ranks are declared");
            }
        }
        Some((version, LedgerChange::Differs)) => {
            tracing::warn!(
                version,
                "other ranks of this version are in force: raise the version"
            );
        }
        Some((_, LedgerChange::Nothing)) | None => {}
    }
}

/// Puts the records on the shelf as they should be now.
fn collect(node: &Node, shelf: &mut Shelf, bytes: usize) {
    let at = node.time_of_day();
    // What the keeper adds to a record.
    let room = bytes.saturating_sub(64);
    let least_s = node.tuning.weights.remember_from;
    let Some((floor, images, calendar)) = node.with_cluster(|c| {
        let images = c.beliefs(least_s, room, IMAGE_PARTS);
        (c.floor_record(room), images, c.calendar().clone())
    }) else {
        return;
    };
    let mut complaints = vec![shelf.put(None, &floor, at), shelf.put(None, &calendar, at)];
    for (part, record) in images.iter().enumerate() {
        complaints.push(shelf.put(Some(part), record, at));
    }
    for why in complaints.into_iter().filter_map(Result::err) {
        tracing::warn!(why, "a record can't be kept");
    }
}

/// Writes a parcel in one change, on condition of the term and of each record
/// being as it was last written: a late write must not land on a newer one.
async fn write(
    node: &Node,
    term_guard: &Guard,
    shelf: &mut Shelf,
    versions: &mut BTreeMap<String, u64>,
    parcel: &Parcel,
) {
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for item in &parcel.items {
        let key = format!("{PREFIX}{}", item.name);
        txn.guards.push(Guard {
            key: key.clone(),
            version: versions.get(&item.name).copied().unwrap_or(0),
        });
        txn.writes.push(Write::Set {
            key,
            value: item.value.clone(),
            lease: None,
        });
    }
    match node.state.transact(Class::Upkeep, &txn).await {
        Ok(Outcome::Made(revision)) => {
            for item in &parcel.items {
                versions.insert(item.name.clone(), revision);
            }
            shelf.written(parcel, node.now());
        }
        // An unanswered write may have been made: what is there is read again.
        Ok(Outcome::Conflict(_)) | Err(Error::Unknown) => {
            if let Ok((rows, _)) = node.state.list(Class::Upkeep, PREFIX).await {
                *versions = rows
                    .into_iter()
                    .filter_map(|r| Some((r.key.strip_prefix(PREFIX)?.to_string(), r.version)))
                    .collect();
            }
        }
        Ok(Outcome::NoLease) | Err(Error::Refused) => {}
    }
}

#[cfg(test)]
mod tests;
