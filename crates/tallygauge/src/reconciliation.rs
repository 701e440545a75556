//! Periodic reconciliation. The cluster state is checked for internal consistency and
//! compared with the stored records of active jobs. Every difference is logged and repaired.

use crate::{
    controller::Controller,
    job_watch,
    pacing::heartbeat_intervals,
    store_keys::{ACTIVE_JOB_PREFIX, active_job_id},
};
use std::collections::BTreeSet;
use tallygauge_protocol::state::{KeyValue, WatchEvent};
use tallygauge_scheduler::ClusterState;
use tallygauge_store::RequestPriority;

/// Maximum number of jobs, and of machines, that one step checks.
const MAX_ITEMS_PER_STEP: usize = 16;

/// Pause between two steps, in heartbeat intervals.
const STEP_HEARTBEAT_INTERVALS: f64 = 0.5;

/// Numbers of jobs that the reconciliation with the store added or removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobRepairCounts {
    /// Active jobs that the cluster state lacked.
    pub added: usize,
    /// Ended jobs that the cluster state still contained.
    pub removed: usize,
}

/// Reconciles for as long as this controller leads. The cluster state is checked step by
/// step; all records of active jobs are compared once per duration of a worker's lease.
/// Never returns.
pub async fn run(controller: &Controller) {
    let lease_s = controller.settings.deployment.workers.lease_s;
    let pause = heartbeat_intervals(controller, STEP_HEARTBEAT_INTERVALS);
    let mut listed_at = controller.now();
    loop {
        tokio::time::sleep(pause).await;
        check_consistency_step(controller);
        let now = controller.now();
        if now - listed_at > lease_s {
            listed_at = now;
            reconcile_with_store(controller).await;
        }
    }
}

/// Checks the next jobs and machines of the cluster state against each other.
fn check_consistency_step(controller: &Controller) {
    let differences = controller
        .with_cluster(|cluster| cluster.reconcile(MAX_ITEMS_PER_STEP))
        .unwrap_or_default();
    for difference in &differences {
        tracing::warn!(%difference, "reconciliation repaired the cluster state");
    }
    if !differences.is_empty() {
        controller.wake_scheduler.notify_one();
    }
}

/// Compares the cluster state with the records of active jobs and repairs it.
///
/// The ids of the jobs in the cluster state are taken before the records are listed. Two
/// differences are repaired:
///
/// - The cluster state must contain every active job whose record is not newer than the
///   watched revision. A job with such a record whose id was not in the cluster state was
///   lost, and is added.
/// - A job whose id was in the cluster state and which has no record in the later listing
///   has ended, and is removed.
pub async fn reconcile_with_store(controller: &Controller) -> JobRepairCounts {
    let Some(snapshot) = take_snapshot(controller) else {
        return JobRepairCounts::default();
    };
    let Ok(stored) = controller
        .store
        .list(RequestPriority::Maintenance, ACTIVE_JOB_PREFIX)
        .await
    else {
        return JobRepairCounts::default();
    };
    let differences = compare_jobs(&snapshot.job_ids, stored.entries, snapshot.watched_revision);
    let repaired = repair_in_term(controller, snapshot.term, differences);
    if repaired != JobRepairCounts::default() {
        controller.wake_scheduler.notify_one();
    }
    repaired
}

/// The active jobs in the cluster state before the records were listed.
struct JobSnapshot {
    term: u64,
    watched_revision: u64,
    job_ids: BTreeSet<String>,
}

fn take_snapshot(controller: &Controller) -> Option<JobSnapshot> {
    let leadership = controller.leadership.lock();
    let leadership = leadership.as_ref()?;
    let cluster = leadership.cluster.as_ref()?;
    Some(JobSnapshot {
        term: leadership.term,
        watched_revision: leadership.watched_revision,
        job_ids: cluster.active_job_ids(),
    })
}

/// Differences between the cluster state and the records of active jobs.
struct JobDifferences {
    /// Records of active jobs that the cluster state lacks.
    missing: Vec<KeyValue>,
    /// Ids of jobs that the cluster state contains although they have ended.
    ended: Vec<String>,
}

/// Compares `cluster_jobs`, the ids of the jobs in a cluster state that contained all changes
/// up to `watched_revision`, with `stored`, the records that were listed afterwards.
fn compare_jobs(
    cluster_jobs: &BTreeSet<String>,
    stored: Vec<KeyValue>,
    watched_revision: u64,
) -> JobDifferences {
    let job_id = |entry: &KeyValue| active_job_id(&entry.key).map(str::to_string);
    let active: BTreeSet<String> = stored.iter().filter_map(job_id).collect();
    let is_missing = |entry: &KeyValue| {
        let is_in_cluster = job_id(entry).is_some_and(|id| cluster_jobs.contains(&id));
        entry.version <= watched_revision && !is_in_cluster
    };
    JobDifferences {
        ended: cluster_jobs.difference(&active).cloned().collect(),
        missing: stored.into_iter().filter(is_missing).collect(),
    }
}

/// Repairs the cluster state, unless the term has changed in the meantime.
fn repair_in_term(
    controller: &Controller,
    term: u64,
    differences: JobDifferences,
) -> JobRepairCounts {
    let (now, unix_time_s) = (controller.now(), controller.unix_time_s());
    let mut leadership = controller.leadership.lock();
    let leadership = leadership.as_mut().filter(|current| current.term == term);
    let Some(cluster) = leadership.and_then(|current| current.cluster.as_mut()) else {
        return JobRepairCounts::default();
    };
    JobRepairCounts {
        added: add_missing_jobs(cluster, differences.missing, now, unix_time_s),
        removed: remove_ended_jobs(cluster, &differences.ended, now),
    }
}

fn add_missing_jobs(
    cluster: &mut ClusterState,
    missing: Vec<KeyValue>,
    now: f64,
    unix_time_s: f64,
) -> usize {
    let mut added = 0;
    for entry in missing {
        let key = entry.key.clone();
        let event = WatchEvent::Set {
            key: entry.key,
            value: entry.value,
            version: entry.version,
        };
        let jobs_before = cluster.jobs.len();
        job_watch::apply_event(cluster, event, now, unix_time_s);
        if cluster.jobs.len() > jobs_before {
            added += 1;
            tracing::warn!(key, "reconciliation added a missing active job");
        }
    }
    added
}

fn remove_ended_jobs(cluster: &mut ClusterState, ended: &[String], now: f64) -> usize {
    let mut removed = 0;
    for id in ended {
        if cluster.remove_job(id, now) {
            removed += 1;
            tracing::warn!(id, "reconciliation removed a job that has ended");
        }
    }
    removed
}

#[cfg(test)]
mod tests;
