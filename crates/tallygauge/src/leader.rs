//! Leadership: winning a term, keeping it, and loading the picture.

use crate::{
    cleanup, cloud,
    controller::{Controller, LEADER_KEY, Leadership, TERM_KEY},
    job_watch, leader_records, progress, reconciliation, scheduling_loop, summary,
    user_api::{self, ActiveJobRecord},
    worker_api,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Condition, Transaction, WatchEvent, Write};
use tallygauge_scheduler::{
    ClusterState, CompletionPageRecord, ImageLocations, PlacementBatchRecord, RangeSet,
};
use tallygauge_store::{RequestPriority, StoreError, TransactionOutcome, WatchOutcome};

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
struct ObservedTerm {
    leader: Option<LeaderRecord>,
    term: u64,
    term_version: u64,
    revision: u64,
}

async fn read_term(controller: &Controller) -> Result<ObservedTerm, StoreError> {
    let (rows, revision) = controller
        .store
        .list(RequestPriority::Leadership, "t/")
        .await?;
    let mut terms = ObservedTerm {
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
                StoreError::Unknown
            })?;
            terms.term = record.term;
            terms.term_version = row.version;
        }
    }
    Ok(terms)
}

/// Follows the term, and leads whenever this node wins it. Never returns.
pub async fn run(controller: Arc<Controller>) {
    let ttl = controller.leader_lease_ttl();
    loop {
        let terms = match read_term(&controller).await {
            Ok(terms) => terms,
            Err(_) => {
                tokio::time::sleep(ttl / 8 + controller.jitter(ttl / 8)).await;
                continue;
            }
        };
        *controller.lock(&controller.store_reached) = true;
        controller.observe_term(terms.term, terms.leader.as_ref().map(|l| l.node.as_str()));
        match &terms.leader {
            Some(_) => wait_for_term_change(&controller, terms.revision).await,
            None if controller.now() < *controller.lock(&controller.candidacy_suspended_until) => {
                tokio::time::sleep(ttl / 4).await;
            }
            None => {
                let asked = controller.now();
                let lease = match controller.store.grant_lease(ttl).await {
                    Ok(lease) => lease,
                    Err(_) => {
                        tokio::time::sleep(ttl / 8 + controller.jitter(ttl / 8)).await;
                        continue;
                    }
                };
                match campaign(&controller, &terms, lease, asked).await {
                    Some(lead) => {
                        run_term(&controller, lead, lease).await;
                        let _ = controller.store.revoke_lease(lease).await;
                        tokio::time::sleep(controller.jitter(ttl / 4)).await;
                    }
                    None => {
                        let _ = controller.store.revoke_lease(lease).await;
                    }
                }
            }
        }
    }
}

/// Waits until the leader or the term changes.
async fn wait_for_term_change(controller: &Controller, revision: u64) {
    // A watch that dies quietly must not keep a node from standing for long.
    let block = controller.leader_lease_ttl() * 2;
    match controller.store.watch("t/", revision, block).await {
        Ok(WatchOutcome::Events(_) | WatchOutcome::Compacted) => {}
        Err(_) => tokio::time::sleep(controller.jitter(controller.leader_lease_ttl() / 4)).await,
    }
}

/// Tries to win the next term: the leader key must be free and the term as it
/// was read. `None` when another was faster. The lease was asked for at
/// `granted`.
async fn campaign(
    controller: &Controller,
    terms: &ObservedTerm,
    lease: u64,
    granted: f64,
) -> Option<Leadership> {
    let term = terms.term + 1;
    let name = controller.settings.node_name.clone();
    let leader = LeaderRecord {
        node: name.clone(),
        term,
        lease,
    };
    let asked = controller.now();
    let txn = Transaction {
        conditions: vec![
            Condition {
                key: LEADER_KEY.into(),
                version: 0,
            },
            Condition {
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
    let patience = Some(controller.leader_lease_ttl() / 2);
    let settled = controller
        .store
        .commit_with_retries(RequestPriority::Leadership, &txn, patience)
        .await;
    let version = match settled.outcome {
        Ok(TransactionOutcome::Committed(version)) => version,
        _ if !settled.in_doubt => return None,
        _ => {
            // An earlier copy may have been executed: then the term says so.
            let now = read_term(controller).await.ok()?;
            if now.leader.as_ref() != Some(&leader) || now.term != term {
                return None;
            }
            now.term_version
        }
    };
    tracing::info!(term, "leads");
    let lead = Leadership {
        term,
        term_condition: Condition {
            key: TERM_KEY.into(),
            version,
        },
        cluster: None,
        term_confirmed_at: asked,
        lease_renewed_at: granted,
        watch_confirmed_at: asked,
        watched_revision: 0,
        last_heartbeat_at: controller.now(),
    };
    Some(lead)
}

/// One term in office, until it is lost.
async fn run_term(controller: &Arc<Controller>, lead: Leadership, lease: u64) {
    let term = lead.term;
    let guard = lead.term_condition.clone();
    *controller.lock(&controller.leadership) = Some(lead);
    controller.observe_term(term, Some(&controller.settings.node_name));
    set_request_share(controller, true);
    tokio::select! {
        biased;
        () = renew_lease(controller, lease) => {}
        () = run_leader_duties(controller, term, guard) => {}
        () = wait_until_deposed(controller, term) => {}
    }
    controller.step_down("the term has ended");
    set_request_share(controller, false);
}

/// The leader has half of the request budget, the others share the rest.
fn set_request_share(controller: &Controller, leads: bool) {
    let limits = &controller.settings.deployment.store;
    let others = f64::from(controller.settings.deployment.count.max(2) - 1);
    let share = if leads { 0.55 } else { 0.45 / others };
    controller
        .store
        .budget()
        .set_rates(limits.rps * share, limits.writes_per_s * share);
}

/// Gives the term up to a node that workers can reach, and lets others go
/// first for a while.
pub fn yield_leadership(controller: &Controller) {
    let pause = controller.settings.deployment.workers.lease_s;
    *controller.lock(&controller.candidacy_suspended_until) = controller.now() + pause;
    controller.step_down("workers reach other nodes only");
}

async fn wait_until_deposed(controller: &Controller, term: u64) {
    loop {
        let lead = controller
            .lock(&controller.leadership)
            .as_ref()
            .map(|l| l.term);
        if lead != Some(term) {
            return;
        }
        controller.deposed.notified().await;
    }
}

/// Renews the lease. Returns when it is surely gone; while the service says
/// nothing, the term goes on and fences itself.
async fn renew_lease(controller: &Controller, lease: u64) {
    let ttl = controller.leader_lease_ttl();
    loop {
        let asked = controller.now();
        match controller.store.renew_lease(lease, ttl / 3).await {
            Ok(true) => {
                if let Some(lead) = controller.lock(&controller.leadership).as_mut() {
                    lead.term_confirmed_at = lead.term_confirmed_at.max(asked);
                    lead.lease_renewed_at = lead.lease_renewed_at.max(asked);
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

async fn run_leader_duties(controller: &Arc<Controller>, term: u64, guard: Condition) {
    let (revision, kept) = loop {
        match recover_cluster_state(controller, term).await {
            Ok(loaded) => break loaded,
            Err(error) => {
                tracing::warn!(%error, "can't load the picture yet");
                tokio::time::sleep(controller.leader_lease_ttl() / 8).await;
            }
        }
    };
    worker_api::send_direct_messages(controller);
    controller.wake_scheduler.notify_one();
    tokio::join!(
        watch_jobs(controller, revision),
        scheduling_loop::run(controller, &guard),
        progress::complete_jobs(controller, &guard),
        progress::flush_pages(controller, &guard),
        cleanup::run(controller, &guard),
        summary::run(controller),
        leader_records::run(controller, &guard, kept),
        reconciliation::run(controller),
        cloud::run(controller, term),
    );
}

/// A record's value, or a complaint: what can't be read must not be passed over.
fn decode_record<T: DeserializeOwned>(
    key: &str,
    value: serde_json::Value,
) -> Result<T, StoreError> {
    serde_json::from_value(value).map_err(|error| {
        tracing::error!(%error, key, "a record can't be read");
        StoreError::Unknown
    })
}

/// Reads jobs, finished tasks and placements into a picture. Returns the
/// revision from which jobs must be watched, and the kept records as found.
async fn recover_cluster_state(
    controller: &Controller,
    term: u64,
) -> Result<(u64, leader_records::StoredRecords), StoreError> {
    let class = RequestPriority::Leadership;
    let (open, revision) = controller.store.list(class, "o/").await?;
    user_api::cache_active_jobs(controller, open.iter().map(|r| (r.key.as_str(), r.version)));
    let (pages, _) = controller.store.list(class, "f/").await?;
    let batches = controller.store.list(class, "p/");
    let (batches, kept) = tokio::join!(batches, leader_records::load(controller));
    let (batches, _) = batches?;
    let now = controller.now();
    let time_of_day = controller.time_of_day();
    let page_bytes = scheduling_loop::record_bytes(controller);
    let mut cluster = ClusterState::new(
        controller.scheduler_config(term),
        now,
        controller.tasks_per_chunk(),
        page_bytes,
    );
    if let Some(types) = controller.lock(&controller.catalogue).clone() {
        cluster.set_machine_types(&types);
    }
    cluster.set_time_of_day(now, time_of_day);
    if let Some(floor) = kept.decode(None) {
        cluster.restore_service_counts(floor);
    }
    for part in kept.decode_shards::<ImageLocations>() {
        cluster.restore_image_locations(&part);
    }
    if let Some(calendar) = &kept.calendar {
        calendar.apply_to(&mut cluster);
    }
    if let Some(book) = kept.decode(None) {
        cluster.restore_deadline_tracker(book);
    }
    if let Some(ledger) = kept.decode(None) {
        cluster.set_priority_rules(ledger);
    }
    let mut done: HashMap<String, RangeSet> = HashMap::new();
    for row in pages {
        let Some(page) = row.key.strip_prefix("f/").and_then(|n| n.parse().ok()) else {
            continue;
        };
        let record: CompletionPageRecord = decode_record(&row.key, row.value)?;
        for (chunk, ranges) in cluster.completion_pages.restore(page, row.version, record) {
            done.entry(chunk.job).or_default().extend(&ranges, u32::MAX);
        }
    }
    for row in open {
        let record: ActiveJobRecord = decode_record(&row.key, row.value)?;
        let none = RangeSet::default();
        let finished = done.get(&record.spec.id).unwrap_or(&none);
        job_watch::add_job(
            &mut cluster,
            record,
            row.version,
            (now, time_of_day),
            finished,
        );
    }
    let jobs = &cluster.jobs;
    cluster
        .completion_pages
        .retain_jobs(|id| jobs.contains_key(id));
    for row in batches {
        let record: PlacementBatchRecord = decode_record(&row.key, row.value)?;
        if let Some(name) = row.key.strip_prefix("p/") {
            cluster.restore_placements(name, &record, now, time_of_day);
        }
        // Users and workers are not kept waiting by many.
        tokio::task::yield_now().await;
    }
    let (jobs, machines) = (cluster.jobs.len(), cluster.workers.len());
    cluster.term_started_at = controller.now();
    if let Some(lead) = controller
        .lock(&controller.leadership)
        .as_mut()
        .filter(|l| l.term == term)
    {
        lead.cluster = Some(cluster);
        lead.watched_revision = revision;
        // None could be answered until now.
        lead.last_heartbeat_at = controller.now();
    }
    tracing::info!(term, jobs, machines, "picture loaded");
    Ok((revision, kept))
}

/// Follows submissions and cancellations made through any node.
async fn watch_jobs(controller: &Controller, mut revision: u64) {
    let block = Duration::from_secs_f64(controller.fence_s() / 6.0);
    loop {
        let asked = controller.now();
        match controller.store.watch("o/", revision, block).await {
            Ok(WatchOutcome::Events(changes)) => {
                let now = controller.now();
                let time_of_day = controller.time_of_day();
                let any = !changes.events.is_empty();
                revision = revision.max(changes.revision);
                if let Some(lead) = controller.lock(&controller.leadership).as_mut() {
                    lead.watch_confirmed_at = asked;
                    lead.watched_revision = revision;
                    if let Some(cluster) = lead.cluster.as_mut() {
                        for change in changes.events {
                            job_watch::apply_event(cluster, change, now, time_of_day);
                        }
                    }
                }
                if any {
                    controller.wake_scheduler.notify_one();
                }
            }
            Ok(WatchOutcome::Compacted) => {
                match controller
                    .store
                    .list(RequestPriority::Leadership, "o/")
                    .await
                {
                    Ok((rows, at)) => {
                        let now = controller.now();
                        let time_of_day = controller.time_of_day();
                        controller.with_cluster(|cluster| {
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
                                let change = WatchEvent::Set {
                                    key: row.key,
                                    value: row.value,
                                    version: row.version,
                                };
                                job_watch::apply_event(cluster, change, now, time_of_day);
                            }
                        });
                        revision = at;
                        if let Some(lead) = controller.lock(&controller.leadership).as_mut() {
                            lead.watched_revision = at;
                        }
                        controller.wake_scheduler.notify_one();
                    }
                    Err(_) => tokio::time::sleep(controller.leader_lease_ttl() / 8).await,
                }
            }
            Err(_) => tokio::time::sleep(controller.leader_lease_ttl() / 8).await,
        }
    }
}

#[cfg(test)]
mod tests;
