//! The control loop: rounds, durable placements, durable progress.

use crate::{
    floor,
    node::{Known, Node, TERM_KEY, batch_key, open_key, over_key, page_key},
    users::OverRecord,
    workers,
};
use std::{sync::Arc, time::Duration};
use tallygauge_sched::{Batch, Cluster, Completion, Flush, PageWrite};
use tallygauge_state::{Class, Error, Outcome};
use tallygauge_wire::{
    BODY_LIMIT,
    state::{Guard, Transaction, Write},
    users::JobStatus,
};

/// Bytes that the values of one transaction may take: the rest of its body is
/// for conditions and keys.
const VALUE_BYTES: usize = BODY_LIMIT * 3 / 4;

/// Part of a value's limit that records are filled to.
const VALUE_USED: f64 = 0.9;

/// Part of the process's time that rounds may take.
const ROUND_SHARE: f64 = 0.25;

/// Bytes of one record.
#[must_use]
pub fn record_bytes(node: &Node) -> usize {
    let limit = node.settings.deployment.state.value_kb * 1024.0;
    ((limit * VALUE_USED) as usize).min(VALUE_BYTES)
}

/// Rounds, until the term is lost. An event brings a round at once, but not
/// sooner after the last than the gap; else the interval does. The gap follows
/// what a round takes, so that reports and users are never starved by rounds.
pub async fn run(node: &Arc<Node>, term_guard: Guard) {
    let report = node.settings.deployment.workers.report_s;
    let gap = report * node.tuning.round_gap;
    let interval = node.tuning.round_interval.min(report);
    let (mut cleaned, mut ticked) = (node.now(), f64::NEG_INFINITY);
    let mut summary = node.now();
    let mut longest: f64 = 0.0;
    loop {
        let wake = node
            .with_cluster(|c| c.next_wake())
            .flatten()
            .map_or(interval, |t| (t - node.now()).clamp(0.01, interval));
        let _ = tokio::time::timeout(Duration::from_secs_f64(wake), node.wake.notified()).await;
        let now = node.now();
        // Without a term confirmed of late nothing new is placed: it could
        // not be made durable.
        let ttl = node.term_ttl().as_secs_f64();
        let sure = node
            .lock(&node.lead)
            .as_ref()
            .is_some_and(|l| now - l.confirmed < ttl * 1.5);
        let tick = now - ticked > report * 0.25;
        if tick {
            ticked = now;
        }
        let most_jobs = node.settings.deployment.state.txn_ops * 4 - 2;
        let batches = node.with_cluster(|c| {
            if tick {
                c.tick(now);
                c.elect(now);
                c.call_to_begin(now);
                c.look_at_trade(now);
            }
            if sure {
                let (placed, stopped) = c.plan(now, true);
                if placed + stopped > 0 {
                    tracing::debug!(placed, stopped, "round");
                }
                c.batches(record_bytes(node), most_jobs, Node::time_of_day())
            } else {
                Vec::new()
            }
        });
        let took = node.now() - now;
        longest = longest.max(took);
        let pause = Duration::from_secs_f64(gap.max(took * (1.0 / ROUND_SHARE - 1.0)));
        let Some(batches) = batches else {
            tokio::time::sleep(pause).await;
            continue;
        };
        // Nothing of this round is written yet: no number is used twice.
        if node.with_cluster(|c| c.out_of_attempts()) == Some(true) {
            node.step_down("the term's attempts are used up");
            return;
        }
        tell(node);
        // Stops need nothing durable and go out first.
        workers::dispatch(node);
        for batch in batches {
            place(node, &term_guard, batch).await;
            workers::dispatch(node);
        }
        if now - cleaned > report * 0.5 {
            clean(node, &term_guard).await;
            cleaned = now;
        }
        if now - summary > report * 4.0 {
            summary = now;
            summarize(node, longest);
            longest = 0.0;
        }
        node.wake_cloud.notify_one();
        tokio::time::sleep(pause).await;
    }
}

/// Logs what happened in the picture.
fn tell(node: &Node) {
    let events = node.with_cluster(|c| std::mem::take(&mut c.events));
    for (weighs, text) in events.unwrap_or_default() {
        if weighs {
            tracing::info!("{text}");
        } else {
            tracing::debug!("{text}");
        }
    }
}

fn summarize(node: &Node, longest_round_s: f64) {
    let backlog = node.state.budget().waiting();
    let lag = *node.lock(&node.lag);
    let (now, memory_s) = (node.now(), node.poll_memory_s());
    let unanswered_s = {
        let unanswered = node.lock(&node.unanswered);
        unanswered.longest(now, memory_s).map_or(0.0, |l| l.1)
    };
    let (sockets, sockets_free) = (node.sockets.used(), node.sockets.free());
    node.with_cluster(|c| {
        let held = |w: &tallygauge_sched::Worker| w.held.iter().filter(|h| h.occupies()).count();
        let running: usize = c.workers.values().map(held).sum();
        let waiting: usize = c
            .jobs
            .values()
            .map(|j| j.waiting.len() as usize + j.resumes.len())
            .sum();
        let up = c.workers.values().filter(|w| w.up()).count();
        let [starting, fetching, busy, free] = c.use_of_cpus();
        let (to_begin, not_begun_s) = c.to_begin(now);
        tracing::info!(
            jobs = c.jobs.len(),
            running,
            waiting,
            machines = c.workers.len(),
            up,
            cpus_starting = starting,
            cpus_fetching = fetching,
            cpus_running = busy,
            cpus_free = free,
            to_begin,
            not_begun_s = not_begun_s as u64,
            round_ms = (longest_round_s * 1000.0) as u64,
            lag_ms = (lag * 1000.0) as u64,
            writes_waiting = backlog,
            unanswered_s = unanswered_s as u64,
            sockets,
            sockets_free,
            "summary"
        );
        let cutoffs = shown_cutoffs(c, now);
        if !cutoffs.is_empty() {
            tracing::info!(cutoffs, "calendar");
        }
        let (classes, teams) = floor::shown(c);
        tracing::info!(classes, teams, "served");
    });
}

/// Cutoffs that operators declared or that are at risk in one field: seconds
/// until each, jobs done, of these too late, open; slack in seconds, `!` when at
/// risk.
fn shown_cutoffs(c: &Cluster, now: f64) -> String {
    let mut out = Vec::new();
    for cutoff in c.cutoffs(now) {
        let risk = cutoff.verdict.is_some_and(|v| v.at_risk);
        if !cutoff.declared && !risk {
            continue;
        }
        let (left_s, (done, late), open) = (cutoff.left_s, cutoff.done, cutoff.open);
        let slack = cutoff
            .verdict
            .map_or(String::new(), |v| format!("/{:.0}", v.slack_s));
        let mark = if risk { "!" } else { "" };
        out.push(format!(
            "{}:{left_s:.0}/{done}/{late}/{open}{slack}{mark}",
            cutoff.name
        ));
    }
    out.join(" ")
}

/// Makes a batch of placements durable. Only then may its starts go out.
/// Conditioned on the term, on the batch's name being new, and on the records
/// of the jobs, so that nothing starts after a cancellation.
///
/// Unanswered, the same transaction is sent until it is answered: it can be
/// made once at most, and a refusal on its conditions is final, since neither
/// a removed job nor a term comes back.
async fn place(node: &Arc<Node>, term_guard: &Guard, batch: Batch) {
    let key = batch_key(&batch.name);
    let mut guards = vec![
        term_guard.clone(),
        Guard {
            key: key.clone(),
            version: 0,
        },
    ];
    guards.extend(batch.jobs.iter().map(|(id, version)| Guard {
        key: open_key(id),
        version: *version,
    }));
    let Ok(value) = serde_json::to_value(&batch.record) else {
        return;
    };
    let txn = Transaction {
        guards,
        writes: vec![Write::Set {
            key: key.clone(),
            value,
            lease: None,
        }],
    };
    let mut unanswered = false;
    loop {
        let asked = node.now();
        let outcome = node.state.transact(Class::Placement, &txn).await;
        let now = node.now();
        let made = match outcome {
            Ok(Outcome::Made(_)) => {
                if let Some(lead) = node.lock(&node.lead).as_mut() {
                    lead.confirmed = lead.confirmed.max(asked);
                }
                Some(true)
            }
            Ok(Outcome::Conflict(failed)) => {
                if failed.iter().any(|k| k == TERM_KEY) {
                    node.step_down("a write found another term");
                    return;
                }
                // The jobs are over; the watch will say how.
                node.with_cluster(|c| {
                    for (id, _) in &batch.jobs {
                        if failed.contains(&open_key(id)) {
                            c.remove_job(id, now);
                        }
                    }
                });
                // Made at an earlier try, it is there now.
                match unanswered {
                    false => Some(false),
                    true => node
                        .state
                        .get(Class::Placement, &key)
                        .await
                        .ok()
                        .map(|row| row.is_some()),
                }
            }
            Ok(Outcome::NoLease) | Err(Error::Refused) if !unanswered => Some(false),
            Ok(Outcome::NoLease) | Err(Error::Refused) => None,
            Err(Error::Unknown) => {
                unanswered = true;
                None
            }
        };
        if let Some(made) = made {
            node.with_cluster(|c| {
                if made {
                    c.written(&batch, now);
                } else {
                    c.unwritten(&batch, now);
                }
            });
            tracing::debug!(batch = &*batch.name, made, "placements");
            return;
        }
        node.with_cluster(|c| c.tick(now));
        workers::dispatch(node);
        tokio::time::sleep(node.term_ttl() / 8).await;
    }
}

/// Removes batches whose attempts are over and pages that hold nothing.
async fn clean(node: &Node, term_guard: &Guard) {
    let most = node.settings.deployment.state.txn_ops / 2;
    let Some((batches, pages)) = node.with_cluster(|c| {
        let batches: Vec<Arc<str>> = c.garbage.iter().take(most).cloned().collect();
        let pages = c.pages.empty(most - batches.len());
        (batches, pages)
    }) else {
        return;
    };
    if batches.is_empty() && pages.is_empty() {
        return;
    }
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for name in &batches {
        let key = batch_key(name);
        txn.writes.push(Write::Remove { key });
    }
    page_writes(&mut txn, &pages);
    let outcome = node.state.transact(Class::Progress, &txn).await;
    node.with_cluster(|c| match outcome {
        Ok(Outcome::Made(revision)) => {
            for name in &batches {
                c.garbage.remove(name);
            }
            for page in &pages {
                c.pages.written(page, revision);
            }
        }
        Ok(Outcome::Conflict(_)) | Err(Error::Unknown) => c.pages.doubt(&pages),
        Ok(Outcome::NoLease) | Err(Error::Refused) => {}
    });
}

/// Adds pages to a transaction, each conditioned on its version: a late write
/// must not land after a newer one.
fn page_writes(txn: &mut Transaction, pages: &[PageWrite]) {
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

/// Makes finished tasks durable: whole jobs at once, others now and then.
pub async fn finish(node: &Arc<Node>, term_guard: Guard) {
    let report = node.settings.deployment.workers.report_s;
    let pause = Duration::from_secs_f64(report * 0.05);
    let between = report * 0.4;
    let ops = node.settings.deployment.state.txn_ops;
    let mut flushed = node.now();
    loop {
        let most = Duration::from_secs_f64(between);
        let _ = tokio::time::timeout(most, node.wake_finish.notified()).await;
        loop {
            let due = node.with_cluster(|c| c.completions(ops / 2));
            let due = due.unwrap_or_default();
            if due.is_empty() || !complete(node, &term_guard, due).await {
                break;
            }
        }
        let now = node.now();
        if now - flushed > between {
            flushed = now;
            reread(node).await;
            let due = node.with_cluster(|c| c.flush(ops, VALUE_BYTES)).flatten();
            if let Some(due) = due {
                progress(node, &term_guard, &due).await;
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Calls jobs done. Conditioned on their records, as a cancellation is, so that
/// only one of them comes true. Returns whether to go on at once.
async fn complete(node: &Node, term_guard: &Guard, due: Vec<Completion>) -> bool {
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
    let outcome = node.state.transact(Class::Users, &txn).await;
    let now = node.now();
    match outcome {
        Ok(Outcome::Made(_)) => {
            for job in &due {
                node.with_cluster(|c| c.remove_job(&job.job, now));
                let known = Known::Over(JobStatus::Done, job.tasks);
                node.lock(&node.jobs).put(&job.job, known);
                tracing::debug!(job = job.job, "done");
            }
            node.wake.notify_one();
            true
        }
        Ok(Outcome::Conflict(failed)) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                node.step_down("a write found another term");
                return false;
            }
            // Cancelled first, or an unanswered try was made after all.
            let over = due.iter().filter(|j| failed.contains(&open_key(&j.job)));
            let gone =
                over.filter(|j| node.with_cluster(|c| c.remove_job(&j.job, now)) == Some(true));
            gone.count() > 0
        }
        _ => false,
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
    let outcome = node.state.transact(Class::Progress, &txn).await;
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
