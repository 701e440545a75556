//! The control loop: rounds, durable placements, durable progress.

use crate::{
    node::{Node, TERM_KEY, chunk_key, open_key, over_key, worker_key},
    users::OverRecord,
    workers,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tallygauge_sched::{Finish, PlacementWrite, WorkerRecord};
use tallygauge_state::{Class, Error, Outcome};
use tallygauge_wire::{
    state::{Guard, Transaction, Write},
    users::JobStatus,
};

/// Rounds, until the term is lost. An event brings a round at once, but not
/// sooner after the last than the gap; else the interval does.
pub async fn run(node: &Arc<Node>, term_guard: Guard) {
    let report = node.settings.deployment.workers.report_s;
    let gap = Duration::from_secs_f64(report * node.tuning.round_gap);
    let interval = node.tuning.round_interval.min(report);
    let mut wrote_all = node.now();
    let mut summary = node.now();
    loop {
        let wake = node
            .with_cluster(|c| c.next_wake(node.now()))
            .flatten()
            .map_or(interval, |t| (t - node.now()).clamp(0.01, interval));
        let _ = tokio::time::timeout(Duration::from_secs_f64(wake), node.wake.notified()).await;
        let now = node.now();
        let all = now - wrote_all > report;
        // Without a term confirmed of late nothing new is placed: it could
        // not be made durable.
        let ttl = node.term_ttl().as_secs_f64();
        let sure = node
            .lock(&node.lead)
            .as_ref()
            .is_some_and(|l| now - l.confirmed < ttl * 1.5);
        let writes = node.with_cluster(|c| {
            c.tick(now);
            if sure {
                let (placed, stopped) = c.plan(now, true);
                if placed + stopped > 0 {
                    tracing::debug!(placed, stopped, "round");
                }
                c.placement_writes(all, Node::time_of_day(), now)
            } else {
                Vec::new()
            }
        });
        let Some(writes) = writes else {
            tokio::time::sleep(gap).await;
            continue;
        };
        // Nothing of this round is written yet: no number is used twice.
        if node.with_cluster(|c| c.out_of_attempts()) == Some(true) {
            node.step_down("the term's attempts are used up");
            return;
        }
        for (weighs, text) in node
            .with_cluster(|c| std::mem::take(&mut c.events))
            .unwrap_or_default()
        {
            if weighs {
                tracing::info!("{text}");
            } else {
                tracing::debug!("{text}");
            }
        }
        // Stops need nothing durable and go out first.
        workers::dispatch(node);
        for batch in batches(node, writes) {
            place(node, &term_guard, batch).await;
            workers::dispatch(node);
        }
        reread(node).await;
        if all {
            clean(node, &term_guard).await;
            wrote_all = now;
        }
        if now - summary > report * 4.0 {
            summary = now;
            node.with_cluster(|c| {
                let running: usize = c
                    .workers
                    .values()
                    .map(|w| w.held.iter().filter(|h| h.occupies()).count())
                    .sum();
                let waiting: u32 = c
                    .jobs
                    .values()
                    .map(|j| j.waiting.len() + j.resumes.len() as u32)
                    .sum();
                let up = c.workers.values().filter(|w| w.up()).count();
                let [starting, fetching, busy, free] = c.use_of_cpus();
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
                    "summary"
                );
            });
        }
        node.wake_cloud.notify_one();
        tokio::time::sleep(gap).await;
    }
}

/// Splits writes so that each transaction keeps the service's limits.
fn batches(node: &Node, writes: Vec<PlacementWrite>) -> Vec<Vec<PlacementWrite>> {
    let ops = node.settings.deployment.state.txn_ops;
    let mut out: Vec<Vec<PlacementWrite>> = Vec::new();
    let (mut guards, mut bytes) = (0, 0);
    for write in writes {
        let g = 1 + write.jobs.len();
        let b = 512 + write.attempts.len() * tallygauge_sched::TASK_RECORD_BYTES + g * 64;
        let full = out
            .last()
            .is_none_or(|l| l.len() >= ops || guards + g > ops * 4 - 1 || bytes + b > 56 * 1024);
        if full {
            out.push(Vec::new());
            (guards, bytes) = (0, 0);
        }
        guards += g;
        bytes += b;
        if let Some(last) = out.last_mut() {
            last.push(write);
        }
    }
    out
}

/// Makes placements durable. Only then may their starts go out. Conditioned on
/// the term, on each worker's record, and on the records of the jobs, so that
/// nothing starts after a cancellation.
async fn place(node: &Arc<Node>, term_guard: &Guard, batch: Vec<PlacementWrite>) {
    let class = if batch.iter().any(|w| w.urgent) {
        Class::Placement
    } else {
        Class::Progress
    };
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for write in &batch {
        let key = worker_key(&write.worker);
        txn.guards.push(Guard {
            key: key.clone(),
            version: write.version,
        });
        for (id, version) in &write.jobs {
            let guard = Guard {
                key: open_key(id),
                version: *version,
            };
            if !txn.guards.contains(&guard) {
                txn.guards.push(guard);
            }
        }
        txn.writes.push(match &write.record {
            Some(record) => Write::Set {
                key,
                value: serde_json::to_value(record).unwrap_or_default(),
                lease: None,
            },
            None => Write::Remove { key },
        });
    }
    let asked = node.now();
    let outcome = node.state.transact(class, &txn).await;
    if let Ok(Outcome::Conflict(failed)) = &outcome
        && failed.iter().any(|k| k == TERM_KEY)
    {
        node.step_down("a write found another term");
        return;
    }
    let now = node.now();
    if let Some(lead) = node.lock(&node.lead).as_mut() {
        let made = matches!(outcome, Ok(Outcome::Made(_)));
        if made {
            lead.confirmed = lead.confirmed.max(asked);
        }
        let Some(cluster) = lead.cluster.as_mut() else {
            return;
        };
        for write in &batch {
            match &outcome {
                Ok(Outcome::Made(revision)) => {
                    cluster.written(write, *revision);
                    for job in &write.jobs {
                        tracing::debug!(worker = write.worker, job = job.0, "placed");
                    }
                }
                Ok(Outcome::Conflict(failed)) => {
                    let unsure = failed.iter().any(|k| *k == worker_key(&write.worker));
                    cluster.unwritten(write, unsure);
                    // The job is over; the watch will say how.
                    for (id, _) in &write.jobs {
                        if failed.contains(&open_key(id)) {
                            cluster.remove_job(id, now);
                        }
                    }
                }
                Ok(Outcome::NoLease) | Err(Error::Refused) => cluster.unwritten(write, false),
                Err(Error::Unknown) => cluster.unwritten(write, true),
            }
        }
    }
}

/// Reads records again that an unanswered write may have changed.
async fn reread(node: &Node) {
    let unsure = node
        .with_cluster(|c| c.unsure_records())
        .unwrap_or_default();
    for name in unsure {
        let Ok(row) = node.state.get(Class::Placement, &worker_key(&name)).await else {
            return;
        };
        let (version, attempts) = match row {
            None => (0, BTreeSet::new()),
            Some(row) => match serde_json::from_value::<WorkerRecord>(row.value) {
                Ok(record) => (
                    row.version,
                    record.tasks.iter().map(|t| t.attempt).collect(),
                ),
                Err(_) => (row.version, BTreeSet::new()),
            },
        };
        node.with_cluster(|c| c.reread(&name, version, attempts));
    }
}

/// Removes records of machines that are gone and of jobs that are over.
async fn clean(node: &Node, term_guard: &Guard) {
    let most = node.settings.deployment.state.txn_ops.min(8);
    let Some((workers, chunks)) = node.with_cluster(|c| {
        let workers: Vec<String> = c.orphans.iter().take(most).cloned().collect();
        let left = most - workers.len();
        (
            workers,
            c.garbage.iter().take(left).cloned().collect::<Vec<_>>(),
        )
    }) else {
        return;
    };
    if workers.is_empty() && chunks.is_empty() {
        return;
    }
    let keys = workers
        .iter()
        .map(|w| worker_key(w))
        .chain(chunks.iter().map(|(id, c)| chunk_key(id, *c)));
    let txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: keys.map(|key| Write::Remove { key }).collect(),
    };
    if let Ok(Outcome::Made(_)) = node.state.transact(Class::Progress, &txn).await {
        node.with_cluster(|c| {
            c.orphans.retain(|name| !workers.contains(name));
            c.garbage.retain(|chunk| !chunks.contains(chunk));
        });
    }
}

/// Makes finished tasks durable: whole jobs at once, others now and then.
pub async fn finish(node: &Arc<Node>, term_guard: Guard) {
    let report = node.settings.deployment.workers.report_s;
    let pause = Duration::from_secs_f64(report * 0.05);
    let most = Duration::from_secs_f64(report * 0.4);
    let mut wrote = node.now();
    loop {
        let _ = tokio::time::timeout(most, node.wake_finish.notified()).await;
        let now = node.now();
        let all = now - wrote > report * 0.4;
        if all {
            wrote = now;
        }
        let due = node.with_cluster(|c| c.finishes(!all)).unwrap_or_default();
        let (complete, parts): (Vec<Finish>, Vec<Finish>) =
            due.into_iter().partition(|f| f.complete);
        for finish in complete {
            if !complete_job(node, &term_guard, &finish).await {
                break;
            }
        }
        progress(node, &term_guard, parts).await;
        tokio::time::sleep(pause).await;
    }
}

/// Calls a job done. Conditioned on its record, as a cancellation is, so that
/// only one of them comes true.
async fn complete_job(node: &Node, term_guard: &Guard, finish: &Finish) -> bool {
    let Some((spec, kept, none_held)) = node
        .with_cluster(|c| {
            c.jobs
                .get(&finish.job)
                .map(|j| (j.spec.clone(), j.kept_chunks.clone(), j.holds.is_empty()))
        })
        .flatten()
    else {
        return true;
    };
    let tasks = spec.tasks;
    let over = OverRecord {
        status: JobStatus::Done,
        done: tasks,
        // Second attempts that still run must be counted after a take-over.
        spec: (!none_held).then(|| (*spec).clone()),
    };
    let key = open_key(&finish.job);
    let mut txn = Transaction {
        guards: vec![
            term_guard.clone(),
            Guard {
                key: key.clone(),
                version: finish.version,
            },
        ],
        writes: vec![
            Write::Remove { key: key.clone() },
            Write::Set {
                key: over_key(&finish.job),
                value: serde_json::to_value(&over).unwrap_or_default(),
                lease: None,
            },
        ],
    };
    let room = node.settings.deployment.state.txn_ops - 2;
    let removed: Vec<u32> = kept.iter().take(room).copied().collect();
    txn.writes.extend(removed.iter().map(|c| Write::Remove {
        key: chunk_key(&finish.job, *c),
    }));
    match node.state.transact(Class::Users, &txn).await {
        Ok(Outcome::Made(_)) => {
            let now = node.now();
            node.with_cluster(|c| {
                if let Some(job) = c.jobs.get_mut(&finish.job) {
                    job.kept_chunks.retain(|c| !removed.contains(c));
                }
                c.finish_written(finish, now);
            });
            node.lock(&node.jobs).put(
                &finish.job,
                crate::node::Known::Over(JobStatus::Done, tasks),
            );
            tracing::debug!(job = finish.job, "done");
            node.wake.notify_one();
            true
        }
        Ok(Outcome::Conflict(failed)) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                node.step_down("a write found another term");
            } else if failed.contains(&key) {
                // Cancelled first, or an unanswered try was made after all.
                let now = node.now();
                node.with_cluster(|c| c.remove_job(&finish.job, now));
            }
            true
        }
        _ => false,
    }
}

async fn progress(node: &Node, term_guard: &Guard, parts: Vec<Finish>) {
    let ops = node.settings.deployment.state.txn_ops;
    let mut batch: Vec<Finish> = Vec::new();
    let mut used = 0;
    let mut sets: Vec<Vec<Finish>> = Vec::new();
    for mut part in parts {
        part.chunks.truncate(ops);
        let kept: Vec<u32> = part.chunks.iter().flat_map(|(_, r)| r.iter()).collect();
        part.tasks.retain(|t| kept.binary_search(t).is_ok());
        let small = part.chunks.len() <= 4;
        if used + part.chunks.len() > ops.min(12) || !small {
            sets.push(std::mem::take(&mut batch));
            used = 0;
        }
        used += part.chunks.len();
        batch.push(part);
    }
    sets.push(batch);
    for set in sets.into_iter().filter(|s| !s.is_empty()) {
        let mut txn = Transaction {
            guards: vec![term_guard.clone()],
            writes: Vec::new(),
        };
        for finish in &set {
            for (chunk, ranges) in &finish.chunks {
                txn.writes.push(Write::Set {
                    key: chunk_key(&finish.job, *chunk),
                    value: serde_json::to_value(ranges).unwrap_or_default(),
                    lease: None,
                });
            }
        }
        match node.state.transact(Class::Progress, &txn).await {
            Ok(Outcome::Made(_)) => {
                let now = node.now();
                node.with_cluster(|c| {
                    for finish in &set {
                        c.finish_written(finish, now);
                    }
                });
            }
            Ok(Outcome::Conflict(failed)) if failed.iter().any(|k| k == TERM_KEY) => {
                node.step_down("a write found another term");
                return;
            }
            _ => return,
        }
    }
}
