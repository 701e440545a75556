//! `POST /work/{id}/abort`: cancels a job.

use super::{
    ActiveJobRecord, Reply, TerminalJobRecord, WRITE_TIMEOUT,
    lookup::{
        JobLookup, JobStateUnavailable, cluster_task_count, lookup_for_write, read_job_records,
    },
};
use crate::{
    controller::Controller,
    store_keys::{active_job_key, terminal_job_key},
};
use serde_json::Value;
use tallygauge_protocol::{
    state::{Condition, Transaction, Write},
    users::{JobSpec, JobStatus, Shape, is_valid_job_id},
};
use tallygauge_store::{RequestPriority, TransactionOutcome};

/// Maximum number of attempts to cancel a job whose record changes during each attempt.
const MAX_CANCEL_ATTEMPTS: usize = 3;

/// `POST /work/{id}/abort`. Idempotent: the reply for a job that is already done or
/// cancelled is its status.
pub async fn cancel(controller: &Controller, id: &str) -> Reply {
    if !is_valid_job_id(id) {
        return Reply::no_such_job();
    }
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match lookup_for_write(controller, id).await {
            Ok(JobLookup::Unknown) => return Reply::no_such_job(),
            Ok(JobLookup::Terminal(record)) => return Reply::job_status(200, id, record.status),
            Ok(JobLookup::Active) => {}
            Err(unavailable) => return unavailable.into(),
        }
        match cancel_active(controller, id).await {
            Ok(Some(status)) => return Reply::job_status(200, id, status),
            Ok(None) => {}
            Err(unavailable) => return unavailable.into(),
        }
    }
    JobStateUnavailable.into()
}

/// Replaces the record of an active job by the record of a cancelled one. Returns the
/// status in which the job ended, or `None` if its record changed meanwhile and the job
/// has to be looked up again.
async fn cancel_active(
    controller: &Controller,
    id: &str,
) -> Result<Option<JobStatus>, JobStateUnavailable> {
    let entry = controller
        .store
        .get(RequestPriority::Users, &active_job_key(id))
        .await
        .map_err(|_| JobStateUnavailable)?;
    let Some(entry) = entry else {
        return Ok(None);
    };
    let active: ActiveJobRecord =
        serde_json::from_value(entry.value).map_err(|_| JobStateUnavailable)?;
    let cancelled = build_cancelled_record(controller, id, &active.spec);
    let value = serde_json::to_value(cancelled).map_err(|_| JobStateUnavailable)?;
    let result = controller
        .store
        .commit_with_retries(
            RequestPriority::Users,
            &build_cancel_transaction(id, entry.version, value),
            Some(WRITE_TIMEOUT),
        )
        .await;
    match result.outcome {
        Ok(TransactionOutcome::Committed(revision)) => {
            tracing::debug!(job = id, revision, "committed cancellation");
            apply_cancellation(controller, id, cancelled);
            Ok(Some(JobStatus::Cancelled))
        }
        // The job ended meanwhile, possibly by an earlier copy of this transaction.
        Ok(_) => match read_job_records(controller, id).await {
            Ok(JobLookup::Terminal(record)) => Ok(Some(record.status)),
            _ => Ok(None),
        },
        Err(_) => Err(JobStateUnavailable),
    }
}

/// Builds the record of a job that is being cancelled. The number of completed tasks is 0
/// for a service, since its tasks never complete, and for a job that is not in this
/// controller's cluster state.
fn build_cancelled_record(controller: &Controller, id: &str, spec: &JobSpec) -> TerminalJobRecord {
    let done = cluster_task_count(controller, id).map_or(0, |count| count.done);
    TerminalJobRecord {
        status: JobStatus::Cancelled,
        done: if spec.shape == Shape::Service {
            0
        } else {
            done
        },
    }
}

/// The transaction that cancels a job, on condition that the job's record still has the
/// given version. Thus only one of a concurrent cancellation and completion succeeds.
fn build_cancel_transaction(id: &str, version: u64, record: Value) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: active_job_key(id),
            version,
        }],
        writes: vec![
            Write::Remove {
                key: active_job_key(id),
            },
            Write::Set {
                key: terminal_job_key(id),
                value: record,
                lease: None,
            },
        ],
    }
}

/// Records a cancellation in the job cache and, on the leader, stops the job's tasks.
fn apply_cancellation(controller: &Controller, id: &str, record: TerminalJobRecord) {
    controller.job_cache.insert_terminal(id, record);
    let now = controller.now();
    controller.with_cluster(|cluster| cluster.remove_job(id, now));
    controller.wake_scheduler.notify_one();
}
