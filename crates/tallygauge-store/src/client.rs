//! The client, how it sends a request, and reads and watches.

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

/// Entries of one page of a listing.
const LIST_PAGE_SIZE: usize = 1000;

/// A page of a listing may take this many times the usual time-out.
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
    /// A client of the store at `address`. A request times out after `timeout`; an
    /// additional attempt of one that is sent again when needed goes out after
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

    /// Makes the jitter of retries reproducible from a seed, for simulations. Without
    /// it, jitter is random.
    pub fn seed_jitter(&self, seed: u64) {
        self.retries.seed_jitter(seed);
    }

    /// Since when the store has not served this controller; `None` while it does.
    /// An exhausted request budget does not count.
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

    /// Sends one request without writes once the budget has a permit for it.
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
        let answer = self.exchange(request).await;
        answer.map_err(|failure| failure.into_store_error(path))
    }

    /// Sends one request that the budget has been charged for.
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
        let answer = self.http.call(method, &url, body, timeout).await;
        if answer.is_ok() && path == TRANSACTION_PATH {
            self.retries.observe_round_trip(sent_at.elapsed());
        }
        {
            let mut availability = self.availability.lock().expect("availability lock");
            availability.record(&answer, self.timeout);
        }
        match answer {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.budget.record_rate_limited();
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::RateLimited))
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => {
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::Unavailable))
            }
            Ok(answer) => Ok(answer),
            Err(RequestError::NotSent) => Err(ExchangeFailure::NotExecuted(
                NotExecutedReason::NotConnected,
            )),
            Err(RequestError::NoResponse) => Err(ExchangeFailure::Indeterminate(
                IndeterminateReason::NoResponse,
            )),
        }
    }

    /// Reads one key; `None` when it does not exist.
    ///
    /// # Errors
    /// When the store gave no usable answer.
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

    /// Reads all keys with a prefix, page by page, and the revision of the first page.
    ///
    /// # Errors
    /// When the store gave no usable answer about one of the pages.
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

    /// Reads the page of a listing that follows `last_key`, or the first.
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

    /// Waits for changes under a prefix after the revision `since`. A watch without an
    /// answer well after `block` is given up, so that a dead connection is noticed.
    ///
    /// # Errors
    /// When the store gave no usable answer.
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

/// Why a request brought no answer, before it is said which request.
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

/// Decodes an answer; the first of each kind that can't be decoded is logged.
pub(crate) fn decode<T: DeserializeOwned>(key: &str, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| {
        if is_first_occurrence(&format!("malformed store answer: {error}")) {
            tracing::warn!(%error, key, "malformed answer from the key-value store, treated as none");
        }
        StoreError::Malformed {
            key: key.to_string(),
            source: Arc::new(error),
        }
    })
}
