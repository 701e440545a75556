//! `POST /work`: submits a job.

use super::{
    ActiveJobRecord, Reply, WRITE_TIMEOUT,
    lookup::{JobStateUnavailable, absent, job_response, lookup_for_write, read_job_records},
};
use crate::{
    controller::Controller,
    machine_types,
    store_keys::{active_job_key, terminal_job_key},
};
use serde_json::Value;
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::{JobSpec, JobStatus, is_valid_job_id},
};
use tallygauge_scheduler::{InfeasibleJob, check_feasible};
use tallygauge_store::{RequestPriority, TransactionOutcome};

/// Maximum size of a job's record, as a fraction of the store's value size limit.
const MAX_RECORD_FRACTION: f64 = 0.9;

/// Why a submission is rejected. The text is the error in the body of the reply.
#[derive(Debug, thiserror::Error)]
enum SubmissionError {
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    #[error("not a JSON object")]
    NotAnObject,
    #[error("nameId must be 'req-' followed by digits")]
    InvalidId,
    /// A field is missing or has an invalid value.
    #[error("{0}")]
    InvalidField(String),
    /// The job fits no machine type, or exceeds its team's quota.
    #[error(transparent)]
    Infeasible(#[from] InfeasibleJob),
    #[error("the machine types are not known yet")]
    CatalogueUnknown,
    /// The job fits none of the machine types as they were recorded, or read too long ago. The
    /// cloud may have begun to offer one that it fits.
    #[error("{0}, but the machine types may be out of date")]
    CatalogueOutdated(InfeasibleJob),
    #[error("the submission can't be kept")]
    NotEncodable,
    #[error("the submission is too long to be kept")]
    TooLong,
}

impl From<SubmissionError> for Reply {
    fn from(error: SubmissionError) -> Self {
        let status = match error {
            SubmissionError::CatalogueUnknown | SubmissionError::CatalogueOutdated(_) => {
                return Reply::retry_later(error.to_string());
            }
            SubmissionError::Infeasible(_) => 422,
            _ => 400,
        };
        Reply::Rejected {
            status,
            error: error.to_string(),
        }
    }
}

/// A submission of which only the job's id has been validated.
struct Submission {
    id: String,
    value: Value,
}

/// `POST /work`. Idempotent: the reply to the submission of a job that exists is the job's
/// status, even if the rest of the submission differs or is invalid.
pub async fn submit(controller: &Controller, body: &[u8]) -> Reply {
    let Submission { id, value } = match parse_submission(body) {
        Ok(submission) => submission,
        Err(error) => return error.into(),
    };
    if controller.job_cache.get(&id).is_some() {
        match existing_job_reply(controller, &id).await {
            Ok(Some(reply)) => return reply,
            Ok(None) => {}
            Err(unavailable) => return unavailable.into(),
        }
    }
    match validate_spec(controller, value) {
        Ok(spec) => create_job(controller, &id, spec).await,
        Err(error) => match existing_job_reply(controller, &id).await {
            Ok(Some(reply)) => reply,
            Ok(None) => error.into(),
            Err(_) if matches!(error, SubmissionError::CatalogueUnknown) => error.into(),
            Err(unavailable) => unavailable.into(),
        },
    }
}

fn parse_submission(body: &[u8]) -> Result<Submission, SubmissionError> {
    let value: Value = serde_json::from_slice(body).map_err(SubmissionError::NotJson)?;
    let object = value.as_object().ok_or(SubmissionError::NotAnObject)?;
    match object.get("nameId").and_then(Value::as_str) {
        Some(id) if is_valid_job_id(id) => Ok(Submission {
            id: id.to_string(),
            value,
        }),
        _ => Err(SubmissionError::InvalidId),
    }
}

/// Checks that a submission is well-formed and that some machine type and its team's quota
/// allow the job to run. Machine types that may be out of date suffice to accept a job, but not
/// to reject one for good.
fn validate_spec(controller: &Controller, value: Value) -> Result<JobSpec, SubmissionError> {
    let spec: JobSpec = serde_json::from_value(value)
        .map_err(|error| SubmissionError::InvalidField(error.to_string()))?;
    spec.validate()
        .map_err(|error| SubmissionError::InvalidField(error.to_string()))?;
    let catalogue = controller.catalogue.get();
    let known_types = catalogue.ok_or(SubmissionError::CatalogueUnknown)?;
    match check_feasible(&spec, &controller.settings.teams(), &known_types) {
        Ok(()) => Ok(spec),
        Err(infeasible)
            if infeasible.depends_on_machine_types() && !machine_types::are_current(controller) =>
        {
            Err(SubmissionError::CatalogueOutdated(infeasible))
        }
        Err(infeasible) => Err(infeasible.into()),
    }
}

/// The reply to the submission of a job that exists, or `None` if the job does not exist.
async fn existing_job_reply(
    controller: &Controller,
    id: &str,
) -> Result<Option<Reply>, JobStateUnavailable> {
    let found = lookup_for_write(controller, id).await?;
    let response = job_response(controller, id, found);
    Ok(response.map(|response| Reply::job_status(200, id, response.status)))
}

/// Writes the record of a new job to the store, and builds the reply.
async fn create_job(controller: &Controller, id: &str, spec: JobSpec) -> Reply {
    let record = match encode_record(controller, spec) {
        Ok(record) => record,
        Err(error) => return error.into(),
    };
    let result = controller
        .store
        .commit_with_retries(
            RequestPriority::Users,
            &build_create_transaction(id, record),
            Some(WRITE_TIMEOUT),
        )
        .await;
    match result.outcome {
        Ok(TransactionOutcome::Committed(version)) => {
            controller.job_cache.insert_active(id, version);
            Reply::job_status(201, id, JobStatus::Pending)
        }
        Ok(TransactionOutcome::Conflict { .. }) => reply_to_conflict(controller, id).await,
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => {
            Reply::retry_later("the job can't be kept now")
        }
    }
}

fn encode_record(controller: &Controller, spec: JobSpec) -> Result<Value, SubmissionError> {
    let record = ActiveJobRecord {
        spec,
        accepted_at: controller.unix_time_s(),
    };
    let value = serde_json::to_value(&record).map_err(|_| SubmissionError::NotEncodable)?;
    let max_value_bytes = controller.settings.deployment.store.max_value_kib * 1024.0;
    if value.to_string().len() as f64 > max_value_bytes * MAX_RECORD_FRACTION {
        return Err(SubmissionError::TooLong);
    }
    Ok(value)
}

/// The transaction that creates a job. It is safe to send it again when no response
/// arrived: by its conditions the record of a job is created once, and is not created
/// again after the job has ended.
fn build_create_transaction(id: &str, record: Value) -> Transaction {
    Transaction {
        conditions: vec![absent(active_job_key(id)), absent(terminal_job_key(id))],
        writes: vec![Write::Set {
            key: active_job_key(id),
            value: record,
            lease: None,
        }],
    }
}

/// The reply when the transaction that creates a job met a conflict: the job exists
/// already, possibly created by an earlier copy of the same transaction.
async fn reply_to_conflict(controller: &Controller, id: &str) -> Reply {
    match read_job_records(controller, id).await {
        Ok(found) => match job_response(controller, id, found) {
            Some(response) => Reply::job_status(200, id, response.status),
            None => JobStateUnavailable.into(),
        },
        Err(unavailable) => unavailable.into(),
    }
}
