//! Leadership: winning a term, keeping it, and loading the picture.

use crate::{
    cleanup, cloud,
    controller::{LEADER_KEY, Lead, Node, TERM_KEY},
    job_watch, leader_records, progress, reconciliation, scheduling_loop, summary,
    user_api::{self, OpenRecord},
    worker_api,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Change, Guard, Transaction, Write};
use tallygauge_scheduler::{BatchRecord, Cluster, ImagesPart, PageRecord, RangeSet};
use tallygauge_store::{Class, Error, Outcome, Watched};

/// Value of the leased leader key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderRecord {
    node: String,
    term: u64,
    lease: u64,
}

/// Value of the persistent term key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TermRecord {
    term: u64,
    node: String,
}

/// What the state service says about the term.
struct Terms {
    leader: Option<LeaderRecord>,
    term: u64,
    term_version: u64,
    revision: u64,
}

async fn read_terms(node: &Node) -> Result<Terms, Error> {
    let (rows, revision) = node.state.list(Class::Leadership, "t/").await?;
    let mut terms = Terms {
        leader: None,
        term: 0,
        term_version: 0,
        revision,
    };
    for row in rows {
        if row.key == LEADER_KEY {
            terms.leader = serde_json::from_value(row.value).ok();
        } else if row.key == TERM_KEY {
            let record: TermRecord = serde_json::from_value(row.value).map_err(|error| {
                tracing::error!(%error, "the term can't be read");
                Error::Unknown
            })?;
            terms.term = record.term;
            terms.term_version = row.version;
        }
    }
    Ok(terms)
}

/// Follows the term, and leads whenever this node wins it. Never returns.
pub async fn run(node: Arc<Node>) {
    let ttl = node.term_ttl();
    loop {
        let terms = match read_terms(&node).await {
            Ok(terms) => terms,
            Err(_) => {
                tokio::time::sleep(ttl / 8 + node.jitter(ttl / 8)).await;
                continue;
            }
        };
        *node.lock(&node.reached) = true;
        node.hear_of(terms.term, terms.leader.as_ref().map(|l| l.node.as_str()));
        match &terms.leader {
            Some(_) => follow(&node, terms.revision).await,
            None if node.now() < *node.lock(&node.abstains_until) => {
                tokio::time::sleep(ttl / 4).await;
            }
            None => {
                let asked = node.now();
                let lease = match node.state.grant(ttl).await {
                    Ok(lease) => lease,
                    Err(_) => {
                        tokio::time::sleep(ttl / 8 + node.jitter(ttl / 8)).await;
                        continue;
                    }
                };
                match win(&node, &terms, lease, asked).await {
                    Some(lead) => {
                        office(&node, lead, lease).await;
                        let _ = node.state.end_lease(lease).await;
                        tokio::time::sleep(node.jitter(ttl / 4)).await;
                    }
                    None => {
                        let _ = node.state.end_lease(lease).await;
                    }
                }
            }
        }
    }
}

/// Waits until the leader or the term changes.
async fn follow(node: &Node, revision: u64) {
    // A watch that dies quietly must not keep a node from standing for long.
    let block = node.term_ttl() * 2;
    match node.state.changes("t/", revision, block).await {
        Ok(Watched::Changes(_) | Watched::TooOld) => {}
        Err(_) => tokio::time::sleep(node.jitter(node.term_ttl() / 4)).await,
    }
}

/// Tries to win the next term: the leader key must be free and the term as it
/// was read. `None` when another was faster. The lease was asked for at
/// `granted`.
async fn win(node: &Node, terms: &Terms, lease: u64, granted: f64) -> Option<Lead> {
    let term = terms.term + 1;
    let name = node.settings.node_name.clone();
    let leader = LeaderRecord {
        node: name.clone(),
        term,
        lease,
    };
    let asked = node.now();
    let txn = Transaction {
        guards: vec![
            Guard {
                key: LEADER_KEY.into(),
                version: 0,
            },
            Guard {
                key: TERM_KEY.into(),
                version: terms.term_version,
            },
        ],
        writes: vec![
            Write::Set {
                key: LEADER_KEY.into(),
                value: serde_json::to_value(&leader).ok()?,
                lease: Some(lease),
            },
            Write::Set {
                key: TERM_KEY.into(),
                value: serde_json::to_value(TermRecord {
                    term,
                    node: name.clone(),
                })
                .ok()?,
                lease: None,
            },
        ],
    };
    let patience = Some(node.term_ttl() / 2);
    let settled = node.state.settle(Class::Leadership, &txn, patience).await;
    let version = match settled.outcome {
        Ok(Outcome::Made(version)) => version,
        _ if !settled.in_doubt => return None,
        _ => {
            // An earlier copy may have been executed: then the term says so.
            let now = read_terms(node).await.ok()?;
            if now.leader.as_ref() != Some(&leader) || now.term != term {
                return None;
            }
            now.term_version
        }
    };
    tracing::info!(term, "leads");
    let lead = Lead {
        term,
        guard: Guard {
            key: TERM_KEY.into(),
            version,
        },
        cluster: None,
        confirmed: asked,
        renewed: granted,
        watched: asked,
        followed: 0,
        called: node.now(),
    };
    Some(lead)
}

/// One term in office, until it is lost.
async fn office(node: &Arc<Node>, lead: Lead, lease: u64) {
    let term = lead.term;
    let guard = lead.guard.clone();
    *node.lock(&node.lead) = Some(lead);
    node.hear_of(term, Some(&node.settings.node_name));
    share(node, true);
    tokio::select! {
        biased;
        () = keep(node, lease) => {}
        () = work(node, term, guard) => {}
        () = lost(node, term) => {}
    }
    node.step_down("the term has ended");
    share(node, false);
}

/// The leader has half of the request budget, the others share the rest.
fn share(node: &Node, leads: bool) {
    let limits = &node.settings.deployment.state;
    let others = f64::from(node.settings.deployment.count.max(2) - 1);
    let share = if leads { 0.55 } else { 0.45 / others };
    node.state
        .budget()
        .set_rates(limits.rps * share, limits.write_rps * share);
}

/// Gives the term up to a node that workers can reach, and lets others go
/// first for a while.
pub fn give_way(node: &Node) {
    let pause = node.settings.deployment.workers.lease_s;
    *node.lock(&node.abstains_until) = node.now() + pause;
    node.step_down("workers reach other nodes only");
}

async fn lost(node: &Node, term: u64) {
    loop {
        let lead = node.lock(&node.lead).as_ref().map(|l| l.term);
        if lead != Some(term) {
            return;
        }
        node.deposed.notified().await;
    }
}

/// Renews the lease. Returns when it is surely gone; while the service says
/// nothing, the term goes on and fences itself.
async fn keep(node: &Node, lease: u64) {
    let ttl = node.term_ttl();
    loop {
        let asked = node.now();
        match node.state.touch(lease, ttl / 3).await {
            Ok(true) => {
                if let Some(lead) = node.lock(&node.lead).as_mut() {
                    lead.confirmed = lead.confirmed.max(asked);
                    lead.renewed = lead.renewed.max(asked);
                }
                tokio::time::sleep(ttl / 4).await;
            }
            Ok(false) => {
                tracing::info!("the leader's lease has ended");
                return;
            }
            Err(_) => tokio::time::sleep(ttl / 10).await,
        }
    }
}

async fn work(node: &Arc<Node>, term: u64, guard: Guard) {
    let (revision, kept) = loop {
        match load(node, term).await {
            Ok(loaded) => break loaded,
            Err(error) => {
                tracing::warn!(%error, "can't load the picture yet");
                tokio::time::sleep(node.term_ttl() / 8).await;
            }
        }
    };
    worker_api::dispatch(node);
    node.wake.notify_one();
    tokio::join!(
        watch_jobs(node, revision),
        scheduling_loop::run(node, &guard),
        progress::complete_jobs(node, &guard),
        progress::flush_pages(node, &guard),
        cleanup::run(node, &guard),
        summary::run(node),
        leader_records::run(node, &guard, kept),
        reconciliation::run(node),
        cloud::run(node, term),
    );
}

/// A record's value, or a complaint: what can't be read must not be passed over.
fn read<T: DeserializeOwned>(key: &str, value: serde_json::Value) -> Result<T, Error> {
    serde_json::from_value(value).map_err(|error| {
        tracing::error!(%error, key, "a record can't be read");
        Error::Unknown
    })
}

/// Reads jobs, finished tasks and placements into a picture. Returns the
/// revision from which jobs must be watched, and the kept records as found.
async fn load(node: &Node, term: u64) -> Result<(u64, leader_records::Kept), Error> {
    let class = Class::Leadership;
    let (open, revision) = node.state.list(class, "o/").await?;
    user_api::learn_open(node, open.iter().map(|r| (r.key.as_str(), r.version)));
    let (pages, _) = node.state.list(class, "f/").await?;
    let batches = node.state.list(class, "p/");
    let (batches, kept) = tokio::join!(batches, leader_records::load(node));
    let (batches, _) = batches?;
    let now = node.now();
    let time_of_day = node.time_of_day();
    let page_bytes = scheduling_loop::record_bytes(node);
    let mut cluster = Cluster::new(node.sched_config(term), now, node.chunk(), page_bytes);
    if let Some(types) = node.lock(&node.catalogue).clone() {
        cluster.set_types(&types);
    }
    cluster.set_time_of_day(now, time_of_day);
    if let Some(floor) = kept.take(None) {
        cluster.load_floor(floor);
    }
    for part in kept.parts::<ImagesPart>() {
        cluster.believe(&part);
    }
    if let Some(calendar) = &kept.calendar {
        calendar.put_in_force(&mut cluster);
    }
    if let Some(book) = kept.take(None) {
        cluster.load_calendar(book);
    }
    if let Some(ledger) = kept.take(None) {
        cluster.set_ledger(ledger);
    }
    let mut done: HashMap<String, RangeSet> = HashMap::new();
    for row in pages {
        let Some(page) = row.key.strip_prefix("f/").and_then(|n| n.parse().ok()) else {
            continue;
        };
        let record: PageRecord = read(&row.key, row.value)?;
        for ((id, _), ranges) in cluster.pages.load(page, row.version, record) {
            done.entry(id).or_default().extend(&ranges, u32::MAX);
        }
    }
    for row in open {
        let record: OpenRecord = read(&row.key, row.value)?;
        let none = RangeSet::default();
        let finished = done.get(&record.spec.id).unwrap_or(&none);
        job_watch::add(
            &mut cluster,
            record,
            row.version,
            (now, time_of_day),
            finished,
        );
    }
    let jobs = &cluster.jobs;
    cluster.pages.retain(|id| jobs.contains_key(id));
    for row in batches {
        let record: BatchRecord = read(&row.key, row.value)?;
        if let Some(name) = row.key.strip_prefix("p/") {
            cluster.inherit(name, &record, now, time_of_day);
        }
        // Users and workers are not kept waiting by many.
        tokio::task::yield_now().await;
    }
    let (jobs, machines) = (cluster.jobs.len(), cluster.workers.len());
    cluster.term_at = node.now();
    if let Some(lead) = node.lock(&node.lead).as_mut().filter(|l| l.term == term) {
        lead.cluster = Some(cluster);
        lead.followed = revision;
        // None could be answered until now.
        lead.called = node.now();
    }
    tracing::info!(term, jobs, machines, "picture loaded");
    Ok((revision, kept))
}

/// Follows submissions and cancellations made through any node.
async fn watch_jobs(node: &Node, mut revision: u64) {
    let block = Duration::from_secs_f64(node.fence_s() / 6.0);
    loop {
        let asked = node.now();
        match node.state.changes("o/", revision, block).await {
            Ok(Watched::Changes(changes)) => {
                let now = node.now();
                let time_of_day = node.time_of_day();
                let any = !changes.news.is_empty();
                revision = revision.max(changes.revision);
                if let Some(lead) = node.lock(&node.lead).as_mut() {
                    lead.watched = asked;
                    lead.followed = revision;
                    if let Some(cluster) = lead.cluster.as_mut() {
                        for change in changes.news {
                            job_watch::apply(cluster, change, now, time_of_day);
                        }
                    }
                }
                if any {
                    node.wake.notify_one();
                }
            }
            Ok(Watched::TooOld) => match node.state.list(Class::Leadership, "o/").await {
                Ok((rows, at)) => {
                    let now = node.now();
                    let time_of_day = node.time_of_day();
                    node.with_cluster(|cluster| {
                        let over: Vec<String> = cluster
                            .jobs
                            .keys()
                            .filter(|id| !rows.iter().any(|r| r.key == format!("o/{id}")))
                            .cloned()
                            .collect();
                        for id in over {
                            cluster.remove_job(&id, now);
                        }
                        for row in rows {
                            let change = Change::Set {
                                key: row.key,
                                value: row.value,
                                version: row.version,
                            };
                            job_watch::apply(cluster, change, now, time_of_day);
                        }
                    });
                    revision = at;
                    if let Some(lead) = node.lock(&node.lead).as_mut() {
                        lead.followed = at;
                    }
                    node.wake.notify_one();
                }
                Err(_) => tokio::time::sleep(node.term_ttl() / 8).await,
            },
            Err(_) => tokio::time::sleep(node.term_ttl() / 8).await,
        }
    }
}

#[cfg(test)]
mod tests;
