//! Makes progress durable: completions of whole jobs, and completion pages with the completed
//! tasks of jobs that are not complete.

use crate::{
    controller::Controller,
    leader_transaction::{max_writes, new_transaction, set_record, step_down_if_deposed},
    pacing::heartbeat_intervals,
    scheduling_loop::MAX_TRANSACTION_VALUE_BYTES,
    store_keys::{active_job_key, completion_page_key, terminal_job_key},
    user_api::TerminalJobRecord,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{collections::BTreeSet, sync::Arc};
use tallygauge_protocol::{
    state::{Condition, Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::{JobCompletion, PageWrite, ProgressFlush};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome};

/// Longest wait before completed jobs are collected, when no notification arrives earlier,
/// and pause before completed tasks are collected, in heartbeat intervals.
const MAX_FLUSH_HEARTBEAT_INTERVALS: f64 = 0.4;

/// Minimum pause between two collections of completed jobs, in heartbeat intervals.
const MIN_FLUSH_HEARTBEAT_INTERVALS: f64 = 0.05;

/// Maximum number of completion transactions in flight.
const MAX_IN_FLIGHT: usize = 4;

/// Writes per completed job: one removes its active record, one sets its terminal record.
const WRITES_PER_COMPLETION: usize = 2;

/// Makes completions of jobs durable for as long as this controller leads. A transaction
/// whose outcome is indeterminate delays only its own jobs. Never returns.
pub async fn commit_completed_jobs(controller: &Controller, term_condition: &Condition) {
    let min_pause = heartbeat_intervals(controller, MIN_FLUSH_HEARTBEAT_INTERVALS);
    let max_wait = heartbeat_intervals(controller, MAX_FLUSH_HEARTBEAT_INTERVALS);
    let max_jobs = max_writes(controller) / WRITES_PER_COMPLETION;
    let mut in_flight = FuturesUnordered::new();
    let mut in_flight_jobs: BTreeSet<String> = BTreeSet::new();
    loop {
        let wait = async {
            let woken = controller.wake_completions.notified();
            let _ = tokio::time::timeout(max_wait, woken).await;
            tokio::time::sleep(min_pause).await;
        };
        tokio::pin!(wait);
        loop {
            tokio::select! {
                // A fixed polling order keeps simulations reproducible.
                biased;
                () = &mut wait => break,
                Some(answered) = in_flight.next(), if !in_flight.is_empty() => {
                    let answered: Vec<JobCompletion> = answered;
                    for completion in answered {
                        in_flight_jobs.remove(&completion.job);
                    }
                }
            }
        }
        while in_flight.len() < MAX_IN_FLIGHT {
            let due = controller
                .with_cluster(|cluster| cluster.job_completions(max_jobs, &in_flight_jobs))
                .unwrap_or_default();
            if due.is_empty() {
                break;
            }
            in_flight_jobs.extend(due.iter().map(|completion| completion.job.clone()));
            in_flight.push(commit_completions(controller, term_condition, due));
        }
    }
}

/// Makes completed tasks of incomplete jobs durable for as long as this controller leads.
/// Only one flush is in flight at a time, since the write of a page is conditioned on the
/// page's version. Never returns.
pub async fn flush_completion_pages(controller: &Arc<Controller>, term_condition: &Condition) {
    let pause = heartbeat_intervals(controller, MAX_FLUSH_HEARTBEAT_INTERVALS);
    let max_writes = max_writes(controller);
    loop {
        tokio::time::sleep(pause).await;
        resolve_indeterminate_pages(controller).await;
        let flush = controller
            .with_cluster(|cluster| {
                cluster.next_progress_flush(max_writes, MAX_TRANSACTION_VALUE_BYTES)
            })
            .flatten();
        if let Some(flush) = flush {
            commit_flush(controller, term_condition, &flush).await;
        }
    }
}

/// Commits completions of jobs, and returns them whether or not they were committed.
async fn commit_completions(
    controller: &Controller,
    term_condition: &Condition,
    completions: Vec<JobCompletion>,
) -> Vec<JobCompletion> {
    let transaction = completion_transaction(term_condition, &completions);
    let result = controller
        .store
        .commit_with_retries(RequestPriority::Users, &transaction, None)
        .await;
    match result.outcome {
        Ok(TransactionOutcome::Committed(_)) => record_completions(controller, &completions),
        Ok(TransactionOutcome::Conflict { failed_keys }) => {
            if !step_down_if_deposed(controller, &failed_keys) {
                remove_jobs_without_active_record(controller, &completions, &failed_keys);
            }
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => {}
    }
    completions
}

/// The transaction that replaces the active records of completed jobs by terminal records.
/// Like a cancellation, it is conditioned on the active records, so that only one of the
/// two is committed. For the same reason it can safely be sent several times.
fn completion_transaction(
    term_condition: &Condition,
    completions: &[JobCompletion],
) -> Transaction {
    let mut transaction = new_transaction(term_condition);
    for completion in completions {
        let record = TerminalJobRecord {
            status: JobStatus::Done,
            done: completion.tasks,
        };
        let key = active_job_key(&completion.job);
        transaction.conditions.push(Condition {
            key: key.clone(),
            version: completion.version,
        });
        transaction.writes.push(Write::Remove { key });
        let terminal_key = terminal_job_key(&completion.job);
        transaction.writes.push(set_record(terminal_key, &record));
    }
    transaction
}

/// Removes from the cluster state the jobs whose completion was committed, and caches their
/// terminal records.
fn record_completions(controller: &Controller, completions: &[JobCompletion]) {
    let now = controller.now();
    for completion in completions {
        let job = &completion.job;
        controller.with_cluster(|cluster| cluster.remove_job(job, now));
        let done = TerminalJobRecord {
            status: JobStatus::Done,
            done: completion.tasks,
        };
        controller.job_cache.insert_terminal(job, done);
        tracing::debug!(job, "job completed");
    }
    controller.wake_scheduler.notify_one();
}

/// Removes from the cluster state the jobs whose active record no longer exists: they were
/// cancelled before their completion, or an unanswered attempt to commit the completion was
/// executed.
fn remove_jobs_without_active_record(
    controller: &Controller,
    completions: &[JobCompletion],
    failed_keys: &[String],
) {
    let now = controller.now();
    let removed = completions
        .iter()
        .filter(|completion| failed_keys.contains(&active_job_key(&completion.job)));
    for completion in removed {
        controller.with_cluster(|cluster| cluster.remove_job(&completion.job, now));
    }
}

/// Adds writes of completion pages to a transaction. Each is conditioned on the page's
/// version, so that a delayed write cannot replace a newer one.
pub(crate) fn add_page_writes(transaction: &mut Transaction, pages: &[PageWrite]) {
    for page in pages {
        let key = completion_page_key(page.page);
        transaction.conditions.push(Condition {
            key: key.clone(),
            version: page.version,
        });
        transaction.writes.push(if page.record.is_empty() {
            Write::Remove { key }
        } else {
            set_record(key, &page.record)
        });
    }
}

/// Commits a flush of completion pages and records its outcome.
async fn commit_flush(controller: &Controller, term_condition: &Condition, flush: &ProgressFlush) {
    if flush.pages.writes.is_empty() {
        return;
    }
    let mut transaction = new_transaction(term_condition);
    add_page_writes(&mut transaction, &flush.pages.writes);
    let result = controller
        .store
        .commit_with_retries(RequestPriority::Progress, &transaction, None)
        .await;
    if let Ok(TransactionOutcome::Conflict { failed_keys }) = &result.outcome
        && step_down_if_deposed(controller, failed_keys)
    {
        return;
    }
    controller.with_cluster(|cluster| match result.outcome {
        Ok(TransactionOutcome::Committed(revision)) => cluster.record_flushed(flush, revision),
        Ok(TransactionOutcome::Conflict { .. })
        | Err(StoreError::Indeterminate { .. } | StoreError::Malformed { .. }) => cluster
            .completion_pages
            .mark_flush_failed(&flush.pages, true),
        Ok(TransactionOutcome::LeaseExpired) | Err(StoreError::NotExecuted { .. }) => cluster
            .completion_pages
            .mark_flush_failed(&flush.pages, false),
    });
}

/// Reads the versions of pages that a write with an indeterminate outcome may have changed.
async fn resolve_indeterminate_pages(controller: &Controller) {
    let pages = controller
        .with_cluster(|cluster| cluster.completion_pages.indeterminate_pages())
        .unwrap_or_default();
    for page in pages {
        let key = completion_page_key(page);
        let Ok(stored) = controller.store.get(RequestPriority::Progress, &key).await else {
            return;
        };
        let version = stored.map_or(0, |entry| entry.version);
        controller.with_cluster(|cluster| cluster.completion_pages.resolve_version(page, version));
    }
}
