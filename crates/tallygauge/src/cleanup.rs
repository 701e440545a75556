//! Removal of records that nobody needs any more.

use crate::{controller::Controller, progress::page_writes, store_keys::placement_batch_key};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// Report intervals between two transactions.
const INTERVAL: f64 = 0.5;

/// Removes obsolete records as long as this node leads. A removal whose answer is
/// lost is made again later: removing twice does no harm, and a page is guarded on
/// its version.
pub async fn run(controller: &Controller, term_guard: &Condition) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let pause = Duration::from_secs_f64(report * INTERVAL);
    loop {
        tokio::time::sleep(pause).await;
        remove_obsolete_records(controller, term_guard).await;
    }
}

/// Removes batches whose attempts are over and pages that hold nothing.
async fn remove_obsolete_records(controller: &Controller, term_guard: &Condition) {
    let most = controller
        .settings
        .deployment
        .store
        .max_writes_per_transaction
        / 2;
    let Some((batches, pages)) = controller.with_cluster(|c| {
        let batches: Vec<Arc<str>> = c.obsolete_batches.iter().take(most).cloned().collect();
        let pages = c.completion_pages.empty_pages(most - batches.len());
        (batches, pages)
    }) else {
        return;
    };
    if batches.is_empty() && pages.is_empty() {
        return;
    }
    let mut txn = Transaction {
        conditions: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for name in &batches {
        let key = placement_batch_key(name);
        txn.writes.push(Write::Remove { key });
    }
    page_writes(&mut txn, &pages);
    let outcome = controller
        .store
        .transact(RequestPriority::Progress, &txn)
        .await;
    controller.with_cluster(|c| match outcome {
        Ok(TransactionOutcome::Committed(revision)) => {
            for name in &batches {
                c.obsolete_batches.remove(name);
            }
            for page in &pages {
                c.completion_pages.mark_written(page, revision);
            }
        }
        Ok(TransactionOutcome::Conflict { .. })
        | Err(StoreError::InDoubt { .. } | StoreError::Malformed { .. }) => {
            c.completion_pages.mark_in_doubt(&pages)
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::NotExecuted { .. }) => {}
    });
}
