//! Why a request to the key-value store brought no result.

use hyper::StatusCode;
use std::sync::Arc;

/// Why a request to the key-value store brought no result. Whether it may have
/// been executed decides what the caller has to do next; ask
/// [`StoreError::may_have_executed`].
#[derive(Debug, Clone, thiserror::Error)]
pub enum StoreError {
    /// Certainly not executed, now or later: it is safe to forget the request.
    #[error("{request} was not executed by the key-value store: {reason}")]
    NotExecuted {
        /// The request: its path, or the keys of a transaction.
        request: String,
        /// What kept it from being executed.
        reason: NotExecutedReason,
    },
    /// May have been executed, or may yet be: the caller has to read what is
    /// stored before it relies on either.
    #[error("{request} is in doubt, the key-value store may have executed it: {reason}")]
    Indeterminate {
        /// The request: its path, or the keys of a transaction.
        request: String,
        /// Why there is no usable answer.
        reason: IndeterminateReason,
    },
    /// Answered, but the answer can't be decoded: in doubt as well.
    #[error("answer of the key-value store about {key} can't be decoded: {source}")]
    Malformed {
        /// The key or request that the answer is about.
        key: String,
        /// What the decoder expected, and where.
        source: Arc<serde_json::Error>,
    },
}

impl StoreError {
    /// Whether the request may have been executed, or may yet be.
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

    /// The store answered with a status that the request does not expect.
    pub(crate) fn unexpected_status(request: impl Into<String>, status: StatusCode) -> Self {
        Self::indeterminate(request, IndeterminateReason::UnexpectedStatus(status))
    }
}

/// What kept a request from being executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotExecutedReason {
    /// This controller's own request budget had no permit in time.
    #[error("request budget exhausted")]
    BudgetExhausted,
    /// The store answered 429.
    #[error("rate limited by the store")]
    RateLimited,
    /// The store answered 503.
    #[error("store unavailable")]
    Unavailable,
    /// No connection was established.
    #[error("no connection to the store")]
    NotConnected,
    /// The store answered 400: it takes the request for malformed.
    #[error("rejected as malformed")]
    InvalidRequest,
}

/// Why a request that was sent has no usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum IndeterminateReason {
    /// No whole answer within the time-out.
    #[error("no response")]
    NoResponse,
    /// The caller's timeout elapsed before any attempt was answered.
    #[error("gave up waiting for a response")]
    DeadlineExceeded,
    /// The store answered with a status that the request does not expect.
    #[error("unexpected status {0}")]
    UnexpectedStatus(StatusCode),
}
