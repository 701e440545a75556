//! Durable progress: the ends of whole jobs, and pages of finished tasks.

use crate::{
    controller::Controller,
    scheduling_loop::VALUE_BYTES,
    store_keys::{TERM_KEY, active_job_key, completion_page_key, terminal_job_key},
    user_api::TerminalJobRecord,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Condition, Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::{Completion, Flush, PageWrite};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// Report intervals between two looks at what has ended, at most.
const FLUSH_EVERY: f64 = 0.4;

/// Report intervals between two looks at what has ended, at least.
const PAUSE: f64 = 0.05;

/// Transactions that call jobs done, under way at a time.
const MOST_UNDER_WAY: usize = 4;

/// Makes the ends of jobs durable, as long as this node leads. A transaction in
/// doubt keeps only its own jobs waiting.
pub async fn complete_jobs(controller: &Controller, term_guard: &Condition) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let pause = Duration::from_secs_f64(report * PAUSE);
    let between = Duration::from_secs_f64(report * FLUSH_EVERY);
    let most = controller
        .settings
        .deployment
        .store
        .max_writes_per_transaction
        / 2;
    let mut under_way = FuturesUnordered::new();
    let mut sent: BTreeSet<String> = BTreeSet::new();
    loop {
        let wait = async {
            let _ = tokio::time::timeout(between, controller.wake_completions.notified()).await;
            tokio::time::sleep(pause).await;
        };
        tokio::pin!(wait);
        loop {
            tokio::select! {
                // A fixed order of polling, so that simulations repeat themselves.
                biased;
                () = &mut wait => break,
                Some(settled) = under_way.next(), if !under_way.is_empty() => {
                    let settled: Vec<Completion> = settled;
                    for job in settled {
                        sent.remove(&job.job);
                    }
                }
            }
        }
        while under_way.len() < MOST_UNDER_WAY {
            let due = controller.with_cluster(|c| c.completions(most, &sent));
            let due = due.unwrap_or_default();
            if due.is_empty() {
                break;
            }
            sent.extend(due.iter().map(|j| j.job.clone()));
            under_way.push(complete(controller, term_guard, due));
        }
    }
}

/// Makes finished tasks of other jobs durable now and then, as long as this node
/// leads. One flush at a time: a page is guarded on its version.
pub async fn flush_pages(controller: &Arc<Controller>, term_guard: &Condition) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let between = Duration::from_secs_f64(report * FLUSH_EVERY);
    let ops = controller
        .settings
        .deployment
        .store
        .max_writes_per_transaction;
    loop {
        tokio::time::sleep(between).await;
        resolve_pages_in_doubt(controller).await;
        let due = controller
            .with_cluster(|c| c.next_flush(ops, VALUE_BYTES))
            .flatten();
        if let Some(due) = due {
            commit_pages(controller, term_guard, &due).await;
        }
    }
}

/// Calls jobs done. Conditioned on their records, as a cancellation is, so that
/// only one of them comes true; for the same reason a copy of it does no harm. Returns
/// the jobs that it was about.
async fn complete(
    controller: &Controller,
    term_guard: &Condition,
    due: Vec<Completion>,
) -> Vec<Completion> {
    let mut txn = Transaction {
        conditions: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for job in &due {
        let over = TerminalJobRecord {
            status: JobStatus::Done,
            done: job.tasks,
        };
        let key = active_job_key(&job.job);
        txn.conditions.push(Condition {
            key: key.clone(),
            version: job.version,
        });
        txn.writes.push(Write::Remove { key });
        txn.writes.push(Write::Set {
            key: terminal_job_key(&job.job),
            value: serde_json::to_value(over).unwrap_or_default(),
            lease: None,
        });
    }
    let settled = controller
        .store
        .commit_with_retries(RequestPriority::Users, &txn, None)
        .await;
    let now = controller.now();
    match settled.outcome {
        Ok(TransactionOutcome::Committed(_)) => {
            for job in &due {
                controller.with_cluster(|c| c.remove_job(&job.job, now));
                let done = TerminalJobRecord {
                    status: JobStatus::Done,
                    done: job.tasks,
                };
                controller.job_cache.insert_terminal(&job.job, done);
                tracing::debug!(job = job.job, "done");
            }
            controller.wake_scheduler.notify_one();
        }
        Ok(TransactionOutcome::Conflict {
            failed_keys: failed,
        }) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                controller.step_down("a write found another term");
                return due;
            }
            // Cancelled first, or an unanswered try was made after all.
            let over = due
                .iter()
                .filter(|j| failed.contains(&active_job_key(&j.job)));
            for job in over {
                controller.with_cluster(|c| c.remove_job(&job.job, now));
            }
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => {}
    }
    due
}

/// Adds pages to a transaction, each conditioned on its version: a late write
/// must not land after a newer one.
pub(crate) fn page_writes(txn: &mut Transaction, pages: &[PageWrite]) {
    for page in pages {
        let key = completion_page_key(page.page);
        txn.conditions.push(Condition {
            key: key.clone(),
            version: page.version,
        });
        txn.writes.push(if page.record.is_empty() {
            Write::Remove { key }
        } else {
            Write::Set {
                key,
                value: serde_json::to_value(&page.record).unwrap_or_default(),
                lease: None,
            }
        });
    }
}

async fn commit_pages(controller: &Controller, term_guard: &Condition, flush: &Flush) {
    if flush.pages.writes.is_empty() {
        return;
    }
    let mut txn = Transaction {
        conditions: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    page_writes(&mut txn, &flush.pages.writes);
    let settled = controller
        .store
        .commit_with_retries(RequestPriority::Progress, &txn, None)
        .await;
    let outcome = settled.outcome;
    if let Ok(TransactionOutcome::Conflict {
        failed_keys: failed,
    }) = &outcome
        && failed.iter().any(|k| k == TERM_KEY)
    {
        controller.step_down("a write found another term");
        return;
    }
    controller.with_cluster(|c| match outcome {
        Ok(TransactionOutcome::Committed(revision)) => c.record_flushed(flush, revision),
        Ok(TransactionOutcome::Conflict { .. })
        | Err(StoreError::InDoubt { .. } | StoreError::Malformed { .. }) => {
            c.completion_pages.mark_flush_failed(&flush.pages, true)
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::NotExecuted { .. }) => {
            c.completion_pages.mark_flush_failed(&flush.pages, false)
        }
    });
}

/// Reads the versions of pages again that an unanswered write may have changed.
async fn resolve_pages_in_doubt(controller: &Controller) {
    let unsure = controller
        .with_cluster(|c| c.completion_pages.pages_in_doubt())
        .unwrap_or_default();
    for page in unsure {
        let Ok(row) = controller
            .store
            .get(RequestPriority::Progress, &completion_page_key(page))
            .await
        else {
            return;
        };
        let version = row.map_or(0, |r| r.version);
        controller.with_cluster(|c| c.completion_pages.resolve_version(page, version));
    }
}
