//! Whether the key-value store serves this controller.

use crate::http::{HttpResult, RequestError};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Availability of the store as seen by this controller's requests.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    last_served_at: Option<Instant>,
    failing_since: Option<Instant>,
}

impl Availability {
    /// Since when no request has been served; `None` while requests are.
    pub(crate) fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// Records whether a request was served. A single lost answer says nothing about
    /// the store while others arrive: only a whole `timeout` without one does.
    pub(crate) fn record(&mut self, answer: &HttpResult, timeout: Duration) {
        let now = Instant::now();
        let is_failure = match answer {
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) | Err(RequestError::NotSent) => true,
            Err(RequestError::NoResponse) => self
                .last_served_at
                .is_none_or(|served_at| now - served_at >= timeout),
            Ok(_) => {
                self.last_served_at = Some(now);
                self.failing_since = None;
                false
            }
        };
        if is_failure {
            self.failing_since.get_or_insert(now);
        }
    }
}
