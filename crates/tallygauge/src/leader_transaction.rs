//! Common parts of the leader's transactions. All of them are conditioned on the term, so
//! that a deposed leader cannot write.

use crate::{controller::Controller, store_keys::TERM_KEY};
use serde::Serialize;
use serde_json::Value;
use tallygauge_protocol::state::{Condition, Transaction, Write};

/// A transaction without writes, conditioned on the term.
pub(crate) fn new_transaction(term_condition: &Condition) -> Transaction {
    Transaction {
        conditions: vec![term_condition.clone()],
        writes: Vec::new(),
    }
}

/// Maximum number of writes in one transaction, a limit of the store.
pub(crate) fn max_writes(controller: &Controller) -> usize {
    let limits = &controller.settings.deployment.store;
    limits.max_writes_per_transaction
}

/// A write that sets a record, which is not bound to a lease.
pub(crate) fn set_record(key: String, record: &impl Serialize) -> Write {
    Write::Set {
        key,
        value: serde_json::to_value(record).unwrap_or_default(),
        lease: None,
    }
}

/// Adds a write that sets a record, conditioned on the last known version of its key (0 if the
/// key does not exist), so that a delayed copy cannot replace a newer write.
pub(crate) fn add_versioned_write(
    transaction: &mut Transaction,
    key: String,
    version: u64,
    value: Value,
) {
    transaction.conditions.push(Condition {
        key: key.clone(),
        version,
    });
    transaction.writes.push(Write::Set {
        key,
        value,
        lease: None,
    });
}

/// Steps down if a transaction failed on its term condition, which means that another
/// controller has been elected. Returns whether this is the case.
pub(crate) fn step_down_if_deposed(controller: &Controller, failed_keys: &[String]) -> bool {
    let is_deposed = failed_keys.iter().any(|key| key == TERM_KEY);
    if is_deposed {
        controller.step_down("a transaction failed on its term condition");
    }
    is_deposed
}
