//! Replies to users' requests.

use crate::relay::RelayedReply;
use tallygauge_protocol::users::{ErrorResponse, JobResponse, JobStatus};

/// Seconds after which a user should retry a request that cannot be served now.
const RETRY_AFTER_S: u64 = 1;

/// Reply to a user's request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The status of the job, with its task counts where they are known.
    Job {
        /// Status code: 201 if the job was created by this request, otherwise 200.
        status: u16,
        /// Body of the reply.
        response: JobResponse,
    },
    /// The request is invalid, and a retry cannot succeed.
    Rejected {
        /// Status code: 400, 404 or 422.
        status: u16,
        /// Body: what is wrong with the request.
        error: String,
    },
    /// 503: the request cannot be served now.
    RetryLater {
        /// Body: why the request cannot be served.
        reason: String,
        /// Value of the `retry-after` header, in seconds.
        retry_after_s: u64,
    },
    /// The reply of another controller, to which the request was relayed.
    Relayed(RelayedReply),
}

impl Reply {
    /// The HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Reply::Job { status, .. }
            | Reply::Rejected { status, .. }
            | Reply::Relayed(RelayedReply { status, .. }) => *status,
            Reply::RetryLater { .. } => 503,
        }
    }

    /// The HTTP body.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let body = match self {
            Reply::Relayed(reply) => Ok(reply.body.clone()),
            Reply::Job { response, .. } => serde_json::to_vec(response),
            Reply::Rejected { error, .. } | Reply::RetryLater { reason: error, .. } => {
                serde_json::to_vec(&ErrorResponse {
                    error: error.clone(),
                })
            }
        };
        body.unwrap_or_default()
    }

    /// Value of the HTTP `retry-after` header in seconds, if the reply has the header.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u64> {
        match self {
            Reply::RetryLater { retry_after_s, .. } => Some(*retry_after_s),
            _ => None,
        }
    }

    /// The reply to a request that cannot be served now.
    pub(super) fn retry_later(reason: impl Into<String>) -> Self {
        Reply::RetryLater {
            reason: reason.into(),
            retry_after_s: RETRY_AFTER_S,
        }
    }

    /// The reply to a request about a job that does not exist.
    pub(super) fn no_such_job() -> Self {
        Reply::Rejected {
            status: 404,
            error: "no such job".into(),
        }
    }

    /// A reply with a job's status and without task counts.
    pub(super) fn job_status(status: u16, id: &str, job_status: JobStatus) -> Self {
        Reply::Job {
            status,
            response: response_without_counts(id, job_status),
        }
    }
}

/// A response body with a job's status and without task counts.
pub(super) fn response_without_counts(id: &str, status: JobStatus) -> JobResponse {
    JobResponse {
        id: id.to_string(),
        status,
        done: None,
        running: None,
    }
}
