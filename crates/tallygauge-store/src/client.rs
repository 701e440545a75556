//! The client: sending single requests, reads, listings and watches.

use crate::{
    Listing, RequestBudget, RequestPriority, StoreError, WatchOutcome,
    availability::Availability,
    error::{IndeterminateReason, NotExecutedReason},
    http::{HttpClient, RequestError},
    log_once::is_first_occurrence,
    retry_policy::RetryPolicy,
    transaction::TRANSACTION_PATH,
};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge_protocol::state::{KeyValue, ListResponse, RevisionResponse, WatchResponse};
use tokio::time::Instant;

/// Maximum number of entries on one page of a listing.
const LIST_PAGE_SIZE: usize = 1000;

/// Timeout for one page of a listing, as a multiple of the client's request timeout.
const LIST_TIMEOUT_FACTOR: u32 = 2;

/// Client of the key-value store. Cheap to clone; clones share the request budget.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    base_url: Arc<str>,
    pub(crate) budget: Arc<RequestBudget>,
    pub(crate) timeout: Duration,
    availability: Arc<Mutex<Availability>>,
    pub(crate) retries: Arc<RetryPolicy>,
}

/// One request, before the store's address is added.
pub(crate) struct StoreRequest<'a, B> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Option<&'a B>,
    pub(crate) timeout: Duration,
}

impl<'a> StoreRequest<'a, ()> {
    pub(crate) fn without_body(method: Method, path: &'a str, timeout: Duration) -> Self {
        Self {
            method,
            path,
            body: None,
            timeout,
        }
    }
}

impl StoreClient {
    /// Creates a client of the store at `address`. A request times out after `timeout`.
    /// A transaction that is committed with retries is sent again after
    /// `min_retry_timeout` at the earliest.
    #[must_use]
    pub fn new(
        http: HttpClient,
        address: &str,
        budget: Arc<RequestBudget>,
        min_retry_timeout: Duration,
        timeout: Duration,
    ) -> Self {
        Self {
            http,
            base_url: format!("http://{address}").into(),
            budget,
            timeout,
            availability: Arc::default(),
            retries: Arc::new(RetryPolicy::new(min_retry_timeout, timeout)),
        }
    }

    /// Makes the jitter of retries reproducible from a seed, for simulations. Without a
    /// seed the jitter is random.
    pub fn seed_jitter(&self, seed: u64) {
        self.retries.seed_jitter(seed);
    }

    /// Time since which the store has not served this controller's requests; `None` while
    /// it serves them. Requests that were not sent because the request budget was
    /// exhausted do not count.
    #[must_use]
    pub fn failing_since(&self) -> Option<Instant> {
        let availability = self.availability.lock().expect("availability lock");
        availability.failing_since()
    }

    /// The request budget.
    #[must_use]
    pub fn budget(&self) -> &RequestBudget {
        &self.budget
    }

    /// Sends one request without writes once the request budget grants a permit.
    pub(crate) async fn call<B: Serialize>(
        &self,
        priority: RequestPriority,
        request: StoreRequest<'_, B>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let path = request.path;
        if !self.budget.acquire(priority, 0).await {
            let reason = NotExecutedReason::BudgetExhausted;
            return Err(StoreError::not_executed(path, reason));
        }
        let response = self.exchange(request).await;
        response.map_err(|failure| failure.into_store_error(path))
    }

    /// Sends one request for which a permit has already been acquired.
    pub(crate) async fn exchange<B: Serialize>(
        &self,
        request: StoreRequest<'_, B>,
    ) -> Result<(StatusCode, Bytes), ExchangeFailure> {
        let StoreRequest {
            method,
            path,
            body,
            timeout,
        } = request;
        let url = format!("{}{path}", self.base_url);
        let sent_at = Instant::now();
        let response = self.http.call(method, &url, body, timeout).await;
        if response.is_ok() && path == TRANSACTION_PATH {
            self.retries.observe_round_trip(sent_at.elapsed());
        }
        {
            let mut availability = self.availability.lock().expect("availability lock");
            availability.record(&response, self.timeout);
        }
        match response {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.budget.record_rate_limited();
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::RateLimited))
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => {
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::Unavailable))
            }
            Ok(response) => Ok(response),
            Err(RequestError::NotSent) => Err(ExchangeFailure::NotExecuted(
                NotExecutedReason::NotConnected,
            )),
            Err(RequestError::NoResponse) => Err(ExchangeFailure::Indeterminate(
                IndeterminateReason::NoResponse,
            )),
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    /// If there is no usable response from the store.
    pub async fn get(
        &self,
        priority: RequestPriority,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/store/{key}");
        let request = StoreRequest::without_body(Method::GET, &path, self.timeout);
        let (status, body) = self.call(priority, request).await?;
        match status {
            StatusCode::OK => decode(key, &body).map(Some),
            StatusCode::NOT_FOUND => decode::<RevisionResponse>(key, &body).map(|_| None),
            _ => Err(StoreError::unexpected_status(path, status)),
        }
    }

    /// Lists all keys with a prefix, page by page, with the revision of the first page.
    ///
    /// # Errors
    /// If there is no usable response from the store for one of the pages.
    pub async fn list(
        &self,
        priority: RequestPriority,
        prefix: &str,
    ) -> Result<Listing, StoreError> {
        let mut entries: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let last_key = entries.last().map(|entry| entry.key.as_str());
            let page = self.list_page(priority, prefix, last_key).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.entries.is_empty();
            entries.extend(page.entries);
            if !page.has_more || is_empty {
                return Ok(Listing { entries, revision });
            }
        }
    }

    /// Reads the page of a listing that starts after `last_key`; the first page if it is
    /// `None`.
    async fn list_page(
        &self,
        priority: RequestPriority,
        prefix: &str,
        last_key: Option<&str>,
    ) -> Result<ListResponse, StoreError> {
        let since = last_key
            .map(|key| format!("&since={key}"))
            .unwrap_or_default();
        let path = format!("/store?starts={prefix}{since}&page={LIST_PAGE_SIZE}");
        let timeout = self.timeout * LIST_TIMEOUT_FACTOR;
        let request = StoreRequest::without_body(Method::GET, &path, timeout);
        let (status, body) = self.call(priority, request).await?;
        if status != StatusCode::OK {
            return Err(StoreError::unexpected_status(path, status));
        }
        decode(&path, &body)
    }

    /// Waits up to `block` for changes under a prefix after the revision `since`. If there
    /// is no response within the request timeout after `block`, the watch fails, so that
    /// a dead connection is detected.
    ///
    /// # Errors
    /// If there is no usable response from the store.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let path = format!(
            "/changes?starts={prefix}&since={since}&blockMs={}",
            block.as_millis()
        );
        let request = StoreRequest::without_body(Method::GET, &path, block + self.timeout);
        let (status, body) = self.call(RequestPriority::Leadership, request).await?;
        match status {
            StatusCode::OK => decode::<WatchResponse>(&path, &body).map(WatchOutcome::Events),
            StatusCode::GONE => Ok(WatchOutcome::Compacted),
            _ => Err(StoreError::unexpected_status(path, status)),
        }
    }
}

/// Why a request has no usable response. The caller adds which request it was.
pub(crate) enum ExchangeFailure {
    NotExecuted(NotExecutedReason),
    Indeterminate(IndeterminateReason),
}

impl ExchangeFailure {
    pub(crate) fn into_store_error(self, request: impl Into<String>) -> StoreError {
        match self {
            Self::NotExecuted(reason) => StoreError::not_executed(request, reason),
            Self::Indeterminate(reason) => StoreError::indeterminate(request, reason),
        }
    }
}

/// Decodes a response body. Each distinct decoding error is logged once per process.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| {
        if is_first_occurrence(&format!("malformed store response: {error}")) {
            tracing::warn!(%error, key, "malformed response from the key-value store, treated as no response");
        }
        StoreError::Malformed {
            key: key.to_string(),
            source: Arc::new(error),
        }
    })
}
