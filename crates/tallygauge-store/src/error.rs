//! Errors of requests to the key-value store.

use hyper::StatusCode;
use std::sync::Arc;

/// Error of a request to the key-value store. What the caller has to do next depends
/// on whether the request may have been executed:
/// [`StoreError::may_have_executed`].
#[derive(Debug, Clone, thiserror::Error)]
pub enum StoreError {
    /// The request was not executed and will not be executed later: the caller may drop
    /// it.
    #[error("{request} was not executed by the key-value store: {reason}")]
    NotExecuted {
        /// The request: its path, or the keys of a transaction.
        request: String,
        /// Why it was not executed.
        reason: NotExecutedReason,
    },
    /// May have been executed, or may be executed later: the caller must not assume
    /// either before it has read what is stored.
    #[error(
        "outcome of {request} is indeterminate, the key-value store may have executed it: {reason}"
    )]
    Indeterminate {
        /// The request: its path, or the keys of a transaction.
        request: String,
        /// Why there is no usable response.
        reason: IndeterminateReason,
    },
    /// The store's response can't be decoded. The outcome of the request is
    /// indeterminate as well.
    #[error("response of the key-value store about {key} can't be decoded: {source}")]
    Malformed {
        /// The key or request path that the response is about.
        key: String,
        /// What the decoder expected, and at which position.
        source: Arc<serde_json::Error>,
    },
}

impl StoreError {
    /// Whether the request may have been executed, or may be executed later.
    #[must_use]
    pub fn may_have_executed(&self) -> bool {
        match self {
            Self::NotExecuted { .. } => false,
            Self::Indeterminate { .. } | Self::Malformed { .. } => true,
        }
    }

    pub(crate) fn not_executed(request: impl Into<String>, reason: NotExecutedReason) -> Self {
        Self::NotExecuted {
            request: request.into(),
            reason,
        }
    }

    pub(crate) fn indeterminate(request: impl Into<String>, reason: IndeterminateReason) -> Self {
        Self::Indeterminate {
            request: request.into(),
            reason,
        }
    }

    /// Error of a response with a status that the request does not expect.
    pub(crate) fn unexpected_status(request: impl Into<String>, status: StatusCode) -> Self {
        Self::indeterminate(request, IndeterminateReason::UnexpectedStatus(status))
    }
}

/// Why a request was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotExecutedReason {
    /// This controller's own request budget granted no permit in time.
    #[error("request budget exhausted")]
    BudgetExhausted,
    /// The store responded with 429.
    #[error("rate limited by the store")]
    RateLimited,
    /// The store responded with 503.
    #[error("store unavailable")]
    Unavailable,
    /// No connection was established.
    #[error("no connection to the store")]
    NotConnected,
    /// The store responded with 400: it could not parse or validate the request.
    #[error("rejected by the store as malformed")]
    InvalidRequest,
}

/// Why a request that was sent has no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IndeterminateReason {
    /// No complete response arrived within the timeout of the request.
    #[error("no response")]
    NoResponse,
    /// The caller's deadline passed before any attempt had a conclusive response.
    #[error("deadline of the caller exceeded")]
    DeadlineExceeded,
    /// The store responded with a status that the request does not expect.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
}
