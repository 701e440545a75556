//! Finding out the state of a job, confirmed by the key-value store a moment ago.

use super::{MAX_ANSWER_AGE_S, Reply, TerminalJobRecord, reply::without_counts};
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

/// Version of a key that does not exist.
const ABSENT: u64 = 0;

/// Attempts to find a job's state: one for each change of state that a job may go
/// through meanwhile, and one more.
const MAX_LOOKUP_ATTEMPTS: usize = 4;

/// State of a job according to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobLookup {
    /// There is no such job.
    Unknown,
    /// Neither done nor cancelled.
    Active,
    /// Done or cancelled.
    Terminal(TerminalJobRecord),
}

/// The state of a job can't be found out now. The text is the body of the reply.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the state of the job can't be told now")]
pub(super) struct JobStateUnavailable;

impl From<JobStateUnavailable> for Reply {
    fn from(error: JobStateUnavailable) -> Self {
        Reply::retry_later(error.to_string())
    }
}

/// Finds out the state of a job for a request that writes.
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

/// Finds out the state of a job. Between the check that it is recent enough and the
/// caller's reply there is no await.
///
/// # Errors
/// When the store did not answer in time, or the job kept changing.
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
            Some(CachedJob::Stale) => find_uncached(controller, id, urgency).await?,
            None => {
                controller.job_refresh.record_unknown_job();
                find_uncached(controller, id, urgency).await?
            }
        };
        if let Some(found) = found {
            return Ok(found);
        }
    }
    Err(JobStateUnavailable)
}

/// Checks that an active job's record still has the cached version. `None` if it
/// does not, or the check took too long.
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

/// Finds out which record a job has, and reads it into the cache. `None` if the
/// store has to be asked again: the job is terminal, it changed meanwhile, or an
/// answer took too long.
async fn find_uncached(
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

/// Reads a job's records after a transaction on them met a conflict.
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

/// Reads the record of an active job and caches its version. Returns whether there
/// is one.
async fn read_active_record(
    controller: &Controller,
    priority: RequestPriority,
    id: &str,
) -> Result<bool, JobStateUnavailable> {
    let row = controller
        .store
        .get(priority, &active_job_key(id))
        .await
        .map_err(|_| JobStateUnavailable)?;
    if let Some(row) = &row {
        controller.job_cache.insert_active(id, row.version);
    }
    Ok(row.is_some())
}

/// Reads the record of a terminal job and caches it. `None` if there is none.
async fn read_terminal_record(
    controller: &Controller,
    priority: RequestPriority,
    id: &str,
) -> Result<Option<TerminalJobRecord>, JobStateUnavailable> {
    let row = controller
        .store
        .get(priority, &terminal_job_key(id))
        .await
        .map_err(|_| JobStateUnavailable)?;
    let Some(row) = row else {
        return Ok(None);
    };
    let record: TerminalJobRecord =
        serde_json::from_value(row.value).map_err(|_| JobStateUnavailable)?;
    controller.job_cache.insert_terminal(id, record);
    Ok(Some(record))
}

/// What users are told of a job; `None` if it does not exist. Task counts of an
/// active job are the leader's, on other controllers as last read from it.
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
            let count = own_task_count(controller, id)
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
        ..without_counts(id, status)
    })
}

/// A job's task counts in this controller's cluster state, if it is the leader.
pub(super) fn own_task_count(controller: &Controller, id: &str) -> Option<TaskCount> {
    controller
        .with_cluster(|cluster| cluster.task_count(id))
        .flatten()
}

/// The condition that a key does not exist.
pub(super) fn absent(key: String) -> Condition {
    Condition {
        key,
        version: ABSENT,
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

/// Whether an answer to what was sent at `sent_at` may still be told to a user.
fn is_recent(controller: &Controller, sent_at: f64) -> bool {
    controller.now() - sent_at <= MAX_ANSWER_AGE_S
}
