//! The loop in which the leader watches the records of active jobs. It thereby learns of
//! the submissions and cancellations made through any controller.

use crate::{
    controller::Controller,
    job_watch,
    store_keys::{ACTIVE_JOB_PREFIX, active_job_id, active_job_key},
};
use std::time::Duration;
use tallygauge_protocol::state::{KeyValue, WatchEvent, WatchResponse};
use tallygauge_scheduler::ClusterState;
use tallygauge_store::{Listing, RequestPriority, StoreError, WatchOutcome};

/// Number of successive watches without events that complete within the time after which an
/// unconfirmed leader is fenced.
const WATCHES_PER_FENCING_TIMEOUT: f64 = 6.0;

/// Watches the records of active jobs from `revision` on. Never returns: the caller drops
/// the future when the term ends.
pub async fn run(controller: &Controller, mut revision: u64) {
    let timeout =
        Duration::from_secs_f64(controller.fencing_timeout_s() / WATCHES_PER_FENCING_TIMEOUT);
    loop {
        let sent_at = controller.now();
        let outcome = controller
            .store
            .watch(ACTIVE_JOB_PREFIX, revision, timeout)
            .await;
        let watch_result = match outcome {
            Ok(WatchOutcome::Events(response)) => {
                revision = revision.max(response.revision);
                apply_events(controller, response, revision, sent_at);
                Ok(())
            }
            Ok(WatchOutcome::Compacted) => relist(controller)
                .await
                .map(|list_revision| revision = list_revision),
            Err(error) => Err(error),
        };
        if watch_result.is_err() {
            tokio::time::sleep(controller.store_retry_pause()).await;
        }
    }
}

/// Applies the events of a watch response, and records that the cluster state contains every
/// change made before the watch was sent.
fn apply_events(controller: &Controller, response: WatchResponse, revision: u64, sent_at: f64) {
    let (now, unix_time_s) = (controller.now(), controller.unix_time_s());
    let has_events = !response.events.is_empty();
    if has_events && tracing::enabled!(tracing::Level::DEBUG) {
        log_events(&response, sent_at, now);
    }
    if let Some(leadership) = controller.leadership.lock().as_mut() {
        leadership.watch_confirmed_at = sent_at;
        leadership.watched_revision = revision;
        if let Some(cluster) = leadership.cluster.as_mut() {
            for event in response.events {
                job_watch::apply_event(cluster, event, now, unix_time_s);
            }
        }
    }
    if has_events {
        controller.wake_scheduler.notify_one();
    }
}

/// Logs what was read from the store: which active jobs ended, how many were added or changed,
/// and when the watch was sent that was answered with these events.
fn log_events(response: &WatchResponse, sent_at: f64, now: f64) {
    let ended_jobs: Vec<&str> = response
        .events
        .iter()
        .filter_map(|event| match event {
            WatchEvent::Remove { key, .. } => active_job_id(key),
            WatchEvent::Set { .. } => None,
        })
        .collect();
    tracing::debug!(
        revision = response.revision,
        watch_sent_ms_ago = ((now - sent_at) * 1000.0) as u64,
        changed_jobs = response.events.len() - ended_jobs.len(),
        ?ended_jobs,
        "applied changes of active jobs"
    );
}

/// Replaces the jobs of the cluster state by a list of the active jobs, when the store no
/// longer has the events since the last watch. Returns the revision of the list.
async fn relist(controller: &Controller) -> Result<u64, StoreError> {
    let Listing { entries, revision } = controller
        .store
        .list(RequestPriority::Leadership, ACTIVE_JOB_PREFIX)
        .await?;
    let (now, unix_time_s) = (controller.now(), controller.unix_time_s());
    controller.with_cluster(|cluster| replace_jobs(cluster, entries, now, unix_time_s));
    if let Some(leadership) = controller.leadership.lock().as_mut() {
        leadership.watched_revision = revision;
    }
    controller.wake_scheduler.notify_one();
    Ok(revision)
}

/// Removes the jobs that are not listed, since they have ended, and adds or updates the
/// listed ones.
fn replace_jobs(cluster: &mut ClusterState, listed: Vec<KeyValue>, now: f64, unix_time_s: f64) {
    let is_listed = |id: &str| {
        let key = active_job_key(id);
        listed.iter().any(|entry| entry.key == key)
    };
    let ended: Vec<String> = cluster
        .jobs
        .keys()
        .filter(|id| !is_listed(id))
        .cloned()
        .collect();
    for id in ended {
        cluster.remove_job(&id, now);
    }
    for entry in listed {
        let event = WatchEvent::Set {
            key: entry.key,
            value: entry.value,
            version: entry.version,
        };
        job_watch::apply_event(cluster, event, now, unix_time_s);
    }
}
