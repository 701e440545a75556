//! Availability of the key-value store, as observed by this controller.

use crate::http::{HttpResult, RequestError};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Availability of the store, derived from the results of this controller's requests.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    last_served_at: Option<Instant>,
    failing_since: Option<Instant>,
}

impl Availability {
    /// Time of the first failure since a request was last served; `None` while requests
    /// are served.
    pub(crate) fn failing_since(&self) -> Option<Instant> {
        self.failing_since
    }

    /// Records the result of a request. A missing response counts as a failure only if no
    /// request has been served for at least `timeout`: a single lost response does not
    /// mean that the store is unavailable while other responses arrive.
    pub(crate) fn record(&mut self, response: &HttpResult, timeout: Duration) {
        let now = Instant::now();
        let is_failure = match response {
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
