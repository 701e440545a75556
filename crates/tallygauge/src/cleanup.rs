//! Garbage collection of obsolete records in the key-value store.

use crate::{
    controller::Controller,
    leader_transaction::{max_writes, new_transaction},
    pacing::heartbeat_intervals,
    progress::add_page_writes,
    store_keys::{placement_batch_key, undelivered_starts_key},
};
use std::sync::Arc;
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_scheduler::PageWrite;
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// Pause between two removal transactions, in heartbeat intervals.
const CLEANUP_HEARTBEAT_INTERVALS: f64 = 0.5;

/// Records that are no longer referenced, at most as many as one transaction may remove.
struct ObsoleteRecords {
    batches: Vec<Arc<str>>,
    undelivered_starts: Vec<Arc<str>>,
    pages: Vec<PageWrite>,
}

impl ObsoleteRecords {
    fn is_empty(&self) -> bool {
        self.batches.is_empty() && self.undelivered_starts.is_empty() && self.pages.is_empty()
    }
}

/// Removes obsolete records for as long as this controller leads. Never returns.
///
/// A removal whose response is lost is repeated later. This is safe: removing a placement
/// batch or a record of undelivered starts twice has no effect, and the removal of a page is
/// conditioned on its version.
pub async fn run(controller: &Controller, term_condition: &Condition) {
    let pause = heartbeat_intervals(controller, CLEANUP_HEARTBEAT_INTERVALS);
    loop {
        tokio::time::sleep(pause).await;
        remove_obsolete_records(controller, term_condition).await;
    }
}

/// Removes placement batches whose attempts have ended, records of undelivered starts of which
/// none is left, and empty completion pages.
async fn remove_obsolete_records(controller: &Controller, term_condition: &Condition) {
    let Some(obsolete) = find_obsolete_records(controller) else {
        return;
    };
    if obsolete.is_empty() {
        return;
    }
    let transaction = removal_transaction(term_condition, &obsolete);
    let outcome = controller
        .store
        .transact(RequestPriority::Progress, &transaction)
        .await;
    record_removal(controller, &obsolete, outcome);
}

/// The records to be removed next; `None` unless this controller is the leader and has
/// recovered the cluster state.
fn find_obsolete_records(controller: &Controller) -> Option<ObsoleteRecords> {
    let max_records = max_writes(controller) / 2;
    controller.with_cluster(|cluster| {
        let batches: Vec<Arc<str>> = cluster
            .obsolete_batches
            .iter()
            .take(max_records)
            .cloned()
            .collect();
        let undelivered_starts = cluster.obsolete_undelivered_starts(max_records - batches.len());
        let pages = cluster
            .completion_pages
            .empty_page_removals(max_records - batches.len() - undelivered_starts.len());
        ObsoleteRecords {
            batches,
            undelivered_starts,
            pages,
        }
    })
}

fn removal_transaction(term_condition: &Condition, obsolete: &ObsoleteRecords) -> Transaction {
    let mut transaction = new_transaction(term_condition);
    for name in &obsolete.batches {
        let key = placement_batch_key(name);
        transaction.writes.push(Write::Remove { key });
    }
    for name in &obsolete.undelivered_starts {
        let key = undelivered_starts_key(name);
        transaction.writes.push(Write::Remove { key });
    }
    add_page_writes(&mut transaction, &obsolete.pages);
    transaction
}

fn record_removal(
    controller: &Controller,
    obsolete: &ObsoleteRecords,
    outcome: Result<TransactionOutcome, StoreError>,
) {
    controller.with_cluster(|cluster| match outcome {
        Ok(TransactionOutcome::Committed(revision)) => {
            for name in &obsolete.batches {
                cluster.obsolete_batches.remove(name);
            }
            for name in &obsolete.undelivered_starts {
                cluster.record_undelivered_starts_removed(name);
            }
            for page in &obsolete.pages {
                cluster.completion_pages.mark_written(page, revision);
            }
        }
        Ok(TransactionOutcome::Conflict { .. })
        | Err(StoreError::Indeterminate { .. } | StoreError::Malformed { .. }) => {
            cluster.completion_pages.mark_indeterminate(&obsolete.pages)
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::NotExecuted { .. }) => {}
    });
}
