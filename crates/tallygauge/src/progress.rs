//! Durable progress: the ends of whole jobs, and pages of finished tasks.

use crate::{
    controller::{Known, Node, TERM_KEY, open_key, over_key, page_key},
    scheduling_loop::VALUE_BYTES,
    user_api::OverRecord,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Guard, Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::{Completion, Flush, PageWrite};
use tallygauge_store::{Class, Error, Outcome};

/// Report intervals between two looks at what has ended, at most.
const FLUSH_EVERY: f64 = 0.4;

/// Report intervals between two looks at what has ended, at least.
const PAUSE: f64 = 0.05;

/// Transactions that call jobs done, under way at a time.
const MOST_UNDER_WAY: usize = 4;

/// Makes the ends of jobs durable, as long as this node leads. A transaction in
/// doubt keeps only its own jobs waiting.
pub async fn complete_jobs(node: &Node, term_guard: &Guard) {
    let report = node.settings.deployment.workers.report_s;
    let pause = Duration::from_secs_f64(report * PAUSE);
    let between = Duration::from_secs_f64(report * FLUSH_EVERY);
    let most = node.settings.deployment.state.txn_ops / 2;
    let mut under_way = FuturesUnordered::new();
    let mut sent: BTreeSet<String> = BTreeSet::new();
    loop {
        let wait = async {
            let _ = tokio::time::timeout(between, node.wake_finish.notified()).await;
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
            let due = node.with_cluster(|c| c.completions(most, &sent));
            let due = due.unwrap_or_default();
            if due.is_empty() {
                break;
            }
            sent.extend(due.iter().map(|j| j.job.clone()));
            under_way.push(complete(node, term_guard, due));
        }
    }
}

/// Makes finished tasks of other jobs durable now and then, as long as this node
/// leads. One flush at a time: a page is guarded on its version.
pub async fn flush_pages(node: &Arc<Node>, term_guard: &Guard) {
    let report = node.settings.deployment.workers.report_s;
    let between = Duration::from_secs_f64(report * FLUSH_EVERY);
    let ops = node.settings.deployment.state.txn_ops;
    loop {
        tokio::time::sleep(between).await;
        reread(node).await;
        let due = node.with_cluster(|c| c.flush(ops, VALUE_BYTES)).flatten();
        if let Some(due) = due {
            progress(node, term_guard, &due).await;
        }
    }
}

/// Calls jobs done. Conditioned on their records, as a cancellation is, so that
/// only one of them comes true; for the same reason a copy of it does no harm. Returns
/// the jobs that it was about.
async fn complete(node: &Node, term_guard: &Guard, due: Vec<Completion>) -> Vec<Completion> {
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for job in &due {
        let over = OverRecord {
            status: JobStatus::Done,
            done: job.tasks,
        };
        let key = open_key(&job.job);
        txn.guards.push(Guard {
            key: key.clone(),
            version: job.version,
        });
        txn.writes.push(Write::Remove { key });
        txn.writes.push(Write::Set {
            key: over_key(&job.job),
            value: serde_json::to_value(&over).unwrap_or_default(),
            lease: None,
        });
    }
    let settled = node.state.settle(Class::Users, &txn, None).await;
    let now = node.now();
    match settled.outcome {
        Ok(Outcome::Made(_)) => {
            for job in &due {
                node.with_cluster(|c| c.remove_job(&job.job, now));
                let known = Known::Over(JobStatus::Done, job.tasks);
                node.lock(&node.jobs).put(&job.job, known);
                tracing::debug!(job = job.job, "done");
            }
            node.wake.notify_one();
        }
        Ok(Outcome::Conflict(failed)) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                node.step_down("a write found another term");
                return due;
            }
            // Cancelled first, or an unanswered try was made after all.
            let over = due.iter().filter(|j| failed.contains(&open_key(&j.job)));
            for job in over {
                node.with_cluster(|c| c.remove_job(&job.job, now));
            }
        }
        Ok(Outcome::NoLease) | Err(_) => {}
    }
    due
}

/// Adds pages to a transaction, each conditioned on its version: a late write
/// must not land after a newer one.
pub(crate) fn page_writes(txn: &mut Transaction, pages: &[PageWrite]) {
    for page in pages {
        let key = page_key(page.page);
        txn.guards.push(Guard {
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

async fn progress(node: &Node, term_guard: &Guard, flush: &Flush) {
    if flush.pages.writes.is_empty() {
        return;
    }
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    page_writes(&mut txn, &flush.pages.writes);
    let settled = node.state.settle(Class::Progress, &txn, None).await;
    let outcome = settled.outcome;
    if let Ok(Outcome::Conflict(failed)) = &outcome
        && failed.iter().any(|k| k == TERM_KEY)
    {
        node.step_down("a write found another term");
        return;
    }
    node.with_cluster(|c| match outcome {
        Ok(Outcome::Made(revision)) => c.flushed(flush, revision),
        Ok(Outcome::Conflict(_)) | Err(Error::Unknown) => c.pages.failed(&flush.pages, true),
        Ok(Outcome::NoLease) | Err(Error::Refused) => c.pages.failed(&flush.pages, false),
    });
}

/// Reads the versions of pages again that an unanswered write may have changed.
async fn reread(node: &Node) {
    let unsure = node.with_cluster(|c| c.pages.unsure()).unwrap_or_default();
    for page in unsure {
        let Ok(row) = node.state.get(Class::Progress, &page_key(page)).await else {
            return;
        };
        let version = row.map_or(0, |r| r.version);
        node.with_cluster(|c| c.pages.read(page, version));
    }
}
