//! Looks up the state of a job. Whether the job is active or unknown is confirmed by the
//! key-value store; that it has ended is final and may come from the cache.

use super::{MAX_RESPONSE_AGE_S, Reply, TerminalJobRecord, reply::response_without_counts};
use crate::{
    controller::Controller,
    job_cache::CachedJob,
    store_keys::{active_job_key, terminal_job_key},
    version_checks::{Urgency, VersionCheckResult},
};
use tallygauge_protocol::{
    state::Condition,
    users::{JobResponse, JobStatus},
};
use tallygauge_scheduler::TaskCount;
use tallygauge_store::RequestPriority;

/// Version by which a condition states that a key does not exist.
const ABSENT_KEY_VERSION: u64 = 0;

/// Maximum number of attempts to look up a job's state: one for each change of state that
/// the job may go through during the lookup, and one more.
const MAX_LOOKUP_ATTEMPTS: usize = 4;

/// State of a job according to its records in the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobLookup {
    /// The job does not exist.
    Unknown,
    /// The job is neither done nor cancelled.
    Active,
    /// The job is done or cancelled.
    Terminal(TerminalJobRecord),
}

/// The state of a job cannot be determined now. The text is the error in the body of the
/// reply.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the state of the job can't be told now")]
pub(super) struct JobStateUnavailable;

impl From<JobStateUnavailable> for Reply {
    fn from(error: JobStateUnavailable) -> Self {
        Reply::retry_later(error.to_string())
    }
}

/// Looks up the state of a job for a submission or cancellation.
pub(super) async fn lookup_for_write(
    controller: &Controller,
    id: &str,
) -> Result<JobLookup, JobStateUnavailable> {
    let urgency = Urgency {
        priority: RequestPriority::Users,
        unanswered_since: controller.now(),
    };
    lookup(controller, id, urgency).await
}

/// Looks up the state of a job. There is no await between the check that the state is
/// recent enough and the reply of the caller.
///
/// # Errors
/// When the store did not answer in time, or the job changed during every attempt.
pub(super) async fn lookup(
    controller: &Controller,
    id: &str,
    urgency: Urgency,
) -> Result<JobLookup, JobStateUnavailable> {
    for _ in 0..MAX_LOOKUP_ATTEMPTS {
        let found = match controller.job_cache.get(id) {
            Some(CachedJob::Terminal(record)) => return Ok(JobLookup::Terminal(record)),
            Some(CachedJob::Active(version)) => {
                confirm_active(controller, id, urgency, version).await?
            }
            Some(CachedJob::Stale) => lookup_uncached(controller, id, urgency).await?,
            None => {
                controller.job_refresh.record_cache_miss();
                lookup_uncached(controller, id, urgency).await?
            }
        };
        if let Some(found) = found {
            return Ok(found);
        }
    }
    Err(JobStateUnavailable)
}

/// Checks that the record of an active job still has the cached version. Returns `None` if
/// it does not, or if the check took too long.
async fn confirm_active(
    controller: &Controller,
    id: &str,
    urgency: Urgency,
    version: u64,
) -> Result<Option<JobLookup>, JobStateUnavailable> {
    let conditions = vec![Condition {
        key: active_job_key(id),
        version,
    }];
    let check = check_versions(controller, urgency, conditions).await?;
    if !check.holds[0] {
        controller.job_cache.mark_stale(id, version);
        return Ok(None);
    }
    Ok(is_recent(controller, check.as_of).then_some(JobLookup::Active))
}

/// Determines which record a job has, and reads that record into the cache.
///
/// Returns `None` if the lookup has to be repeated:
///
/// - the job is terminal (its state is in the cache now);
/// - the job changed meanwhile;
/// - a response took too long.
async fn lookup_uncached(
    controller: &Controller,
    id: &str,
    urgency: Urgency,
) -> Result<Option<JobLookup>, JobStateUnavailable> {
    let conditions = vec![absent(active_job_key(id)), absent(terminal_job_key(id))];
    let check = check_versions(controller, urgency, conditions).await?;
    let [is_active, is_terminal] = [!check.holds[0], !check.holds[1]];
    if !is_active && !is_terminal {
        return Ok(is_recent(controller, check.as_of).then_some(JobLookup::Unknown));
    }
    let sent_at = controller.now();
    if is_active && read_active_record(controller, urgency.priority, id).await? {
        return Ok(is_recent(controller, sent_at).then_some(JobLookup::Active));
    }
    read_terminal_record(controller, urgency.priority, id).await?;
    Ok(None)
}

/// Reads a job's records after a transaction on them failed on a condition.
///
/// # Errors
/// When the store did not answer in time, or the job has no record.
pub(super) async fn read_job_records(
    controller: &Controller,
    id: &str,
) -> Result<JobLookup, JobStateUnavailable> {
    let sent_at = controller.now();
    if read_active_record(controller, RequestPriority::Users, id).await? {
        return if is_recent(controller, sent_at) {
            Ok(JobLookup::Active)
        } else {
            Err(JobStateUnavailable)
        };
    }
    read_terminal_record(controller, RequestPriority::Users, id)
        .await?
        .map(JobLookup::Terminal)
        .ok_or(JobStateUnavailable)
}

/// Reads the record of an active job and caches its version. Returns whether the record
/// exists.
async fn read_active_record(
    controller: &Controller,
    priority: RequestPriority,
    id: &str,
) -> Result<bool, JobStateUnavailable> {
    let entry = controller
        .store
        .get(priority, &active_job_key(id))
        .await
        .map_err(|_| JobStateUnavailable)?;
    if let Some(entry) = &entry {
        controller.job_cache.insert_active(id, entry.version);
    }
    Ok(entry.is_some())
}

/// Reads the record of a terminal job and caches it. Returns `None` if the record does not
/// exist.
async fn read_terminal_record(
    controller: &Controller,
    priority: RequestPriority,
    id: &str,
) -> Result<Option<TerminalJobRecord>, JobStateUnavailable> {
    let entry = controller
        .store
        .get(priority, &terminal_job_key(id))
        .await
        .map_err(|_| JobStateUnavailable)?;
    let Some(entry) = entry else {
        return Ok(None);
    };
    let record: TerminalJobRecord =
        serde_json::from_value(entry.value).map_err(|_| JobStateUnavailable)?;
    controller.job_cache.insert_terminal(id, record);
    Ok(Some(record))
}

/// The response that describes a job in the given state, or `None` if the job does not
/// exist. The task counts of an active job come from the leader's cluster state. A follower
/// uses the counts that it last read from the leader, and requests newer ones.
pub(super) fn job_response(
    controller: &Controller,
    id: &str,
    found: JobLookup,
) -> Option<JobResponse> {
    let (status, count) = match found {
        JobLookup::Unknown => return None,
        JobLookup::Terminal(TerminalJobRecord { status, done }) => {
            (status, TaskCount { done, running: 0 })
        }
        JobLookup::Active => {
            let count = cluster_task_count(controller, id)
                .unwrap_or_else(|| controller.task_counts.get_and_request(id));
            let status = if count.running > 0 {
                JobStatus::Running
            } else {
                JobStatus::Pending
            };
            (status, count)
        }
    };
    Some(JobResponse {
        done: Some(count.done),
        running: Some(count.running),
        ..response_without_counts(id, status)
    })
}

/// The task counts of a job in this controller's cluster state. `None` unless this
/// controller is the leader, has recovered the cluster state, and finds the job there.
pub(super) fn cluster_task_count(controller: &Controller, id: &str) -> Option<TaskCount> {
    controller
        .with_cluster(|cluster| cluster.task_count(id))
        .flatten()
}

/// The condition that a key does not exist.
pub(super) fn absent(key: String) -> Condition {
    Condition {
        key,
        version: ABSENT_KEY_VERSION,
    }
}

async fn check_versions(
    controller: &Controller,
    urgency: Urgency,
    conditions: Vec<Condition>,
) -> Result<VersionCheckResult, JobStateUnavailable> {
    controller
        .version_checks
        .check(urgency, controller.now(), conditions)
        .await
        .ok_or(JobStateUnavailable)
}

/// Whether the response to a request sent at `sent_at` is recent enough to tell a user.
fn is_recent(controller: &Controller, sent_at: f64) -> bool {
    controller.now() - sent_at <= MAX_RESPONSE_AGE_S
}
