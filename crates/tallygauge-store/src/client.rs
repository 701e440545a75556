//! The requests of the key-value store: reads, transactions, leases and watches.

use crate::{
    RequestBudget, RequestPriority, StoreError, TransactionOutcome, WatchOutcome,
    availability::Availability,
    error::{InDoubtReason, NotExecutedReason},
    http::{HttpClient, RequestError},
    log_once::is_first_occurrence,
    retry_policy::RetryPolicy,
};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge_protocol::state::{
    ConflictResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse, RevisionResponse,
    Transaction, WatchResponse, Write,
};
use tokio::time::Instant;

/// Path of transactions; their answers tell the round-trip time.
const TRANSACTION_PATH: &str = "/multi";

/// What the store's answer contains when a write refers to an expired lease.
const LEASE_EXPIRED_TEXT: &[u8] = b"no such lease";

/// Entries of one page of a listing.
const LIST_PAGE_SIZE: usize = 1000;

/// A page of a listing may take this many times the usual time-out.
const LIST_TIMEOUT_FACTOR: u32 = 2;

/// Conditions of a transaction that an error names.
const MAX_DESCRIBED_CONDITIONS: usize = 3;

/// Time to live that is asked for when the wanted one can't be expressed.
const FALLBACK_LEASE_TTL_MS: u64 = 600_000;

/// Client of the key-value store. Cheap to clone; clones share the request budget.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    base_url: Arc<str>,
    budget: Arc<RequestBudget>,
    timeout: Duration,
    availability: Arc<Mutex<Availability>>,
    pub(crate) retries: Arc<RetryPolicy>,
}

/// One request, before the store's address is added.
struct StoreRequest<'a, B> {
    method: Method,
    path: &'a str,
    body: Option<&'a B>,
    timeout: Duration,
}

impl<'a> StoreRequest<'a, ()> {
    fn without_body(method: Method, path: &'a str, timeout: Duration) -> Self {
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

    /// Takes the permit for a transaction from the request budget.
    pub(crate) async fn acquire_permit(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
    ) -> bool {
        let writes = transaction.writes.len();
        self.budget.acquire(priority, writes).await
    }

    /// Sends one request without writes once the budget has a permit for it.
    async fn call<B: Serialize>(
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
    async fn exchange<B: Serialize>(
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
                self.budget.record_refusal();
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::RateLimited))
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => {
                Err(ExchangeFailure::NotExecuted(NotExecutedReason::Unavailable))
            }
            Ok(answer) => Ok(answer),
            Err(RequestError::NotSent) => Err(ExchangeFailure::NotExecuted(
                NotExecutedReason::NotConnected,
            )),
            Err(RequestError::NoResponse) => {
                Err(ExchangeFailure::InDoubt(InDoubtReason::NoResponse))
            }
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
    ) -> Result<(Vec<KeyValue>, u64), StoreError> {
        let mut entries: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            let last_key = entries.last().map(|entry| entry.key.as_str());
            let page = self.list_page(priority, prefix, last_key).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            let is_empty = page.entries.is_empty();
            entries.extend(page.entries);
            if !page.has_more || is_empty {
                return Ok((entries, revision));
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

    /// Sends a transaction once.
    ///
    /// # Errors
    /// [`StoreError::NotExecuted`]: certainly not committed. Any other: it may have been
    /// committed, or may yet be.
    pub async fn transact(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        if !self.acquire_permit(priority, transaction).await {
            return Err(StoreError::not_executed(
                describe_transaction(transaction),
                NotExecutedReason::BudgetExhausted,
            ));
        }
        self.send_transaction(transaction).await
    }

    /// Sends a transaction that the budget has been charged for.
    pub(crate) async fn send_transaction(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        let request = StoreRequest {
            method: Method::POST,
            path: TRANSACTION_PATH,
            body: Some(transaction),
            timeout: self.timeout,
        };
        let answer = self.exchange(request).await;
        let (status, body) = answer
            .map_err(|failure| failure.into_store_error(describe_transaction(transaction)))?;
        match status {
            StatusCode::OK => {
                let committed = decode::<RevisionResponse>(TRANSACTION_PATH, &body)?;
                Ok(TransactionOutcome::Committed(committed.revision))
            }
            StatusCode::CONFLICT => Ok(self.conflict(transaction, &body)),
            StatusCode::BAD_REQUEST if contains(&body, LEASE_EXPIRED_TEXT) => {
                Ok(TransactionOutcome::LeaseExpired)
            }
            StatusCode::BAD_REQUEST => Err(rejected_as_malformed(transaction, &body)),
            _ => Err(StoreError::unexpected_status(
                describe_transaction(transaction),
                status,
            )),
        }
    }

    /// The outcome of a transaction whose conditions failed.
    fn conflict(&self, transaction: &Transaction, body: &[u8]) -> TransactionOutcome {
        if transaction.writes.is_empty() {
            self.budget.charge_failed_comparison();
        }
        // A conflict whose keys can't be decoded is still certainly not committed.
        let failed_keys = decode::<ConflictResponse>(TRANSACTION_PATH, body)
            .map_or_else(|_| Vec::new(), |conflict| conflict.failed);
        TransactionOutcome::Conflict { failed_keys }
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    /// When the store gave no usable answer; a lease granted nevertheless expires.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let path = "/leases";
        let body = LeaseRequest {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(FALLBACK_LEASE_TTL_MS),
        };
        let request = StoreRequest {
            method: Method::POST,
            path,
            body: Some(&body),
            timeout: self.timeout,
        };
        let (status, body) = self.call(RequestPriority::Leadership, request).await?;
        if status != StatusCode::OK {
            return Err(StoreError::unexpected_status(path, status));
        }
        decode::<LeaseResponse>(path, &body).map(|lease| lease.id)
    }

    /// Renews a lease; `false` when it has expired.
    ///
    /// # Errors
    /// When the store gave no usable answer.
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{lease}/touch");
        let request = StoreRequest::without_body(Method::POST, &path, timeout);
        let (status, _) = self.call(RequestPriority::Leadership, request).await?;
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(StoreError::unexpected_status(path, status)),
        }
    }

    /// Revokes a lease at once.
    ///
    /// # Errors
    /// When the store gave no usable answer; the lease expires anyway.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        let request = StoreRequest::without_body(Method::DELETE, &path, self.timeout);
        self.call(RequestPriority::Leadership, request).await?;
        Ok(())
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
enum ExchangeFailure {
    NotExecuted(NotExecutedReason),
    InDoubt(InDoubtReason),
}

impl ExchangeFailure {
    fn into_store_error(self, request: impl Into<String>) -> StoreError {
        match self {
            Self::NotExecuted(reason) => StoreError::not_executed(request, reason),
            Self::InDoubt(reason) => StoreError::in_doubt(request, reason),
        }
    }
}

/// A transaction in words, for errors: its first conditions and how much it writes.
pub(crate) fn describe_transaction(transaction: &Transaction) -> String {
    let conditions: Vec<String> = transaction
        .conditions
        .iter()
        .take(MAX_DESCRIBED_CONDITIONS)
        .map(|condition| format!("{} at version {}", condition.key, condition.version))
        .collect();
    format!(
        "transaction of {} writes on {} conditions, first [{}]",
        transaction.writes.len(),
        transaction.conditions.len(),
        conditions.join(", ")
    )
}

/// Logs and returns the error of a transaction that the store answered with 400.
fn rejected_as_malformed(transaction: &Transaction, body: &[u8]) -> StoreError {
    let (largest_key, largest_bytes) = largest_write(transaction);
    tracing::error!(
        answer = %String::from_utf8_lossy(body),
        writes = transaction.writes.len(),
        largest_key,
        largest_bytes,
        "key-value store rejected a transaction as malformed"
    );
    let request = describe_transaction(transaction);
    StoreError::not_executed(request, NotExecutedReason::Rejected)
}

/// The key with the longest value of a transaction, and the value's bytes.
fn largest_write(transaction: &Transaction) -> (&str, usize) {
    let sizes = transaction.writes.iter().map(|write| match write {
        Write::Set { key, value, .. } => (key.as_str(), value.to_string().len()),
        Write::Remove { key } => (key.as_str(), 0),
    });
    sizes.max_by_key(|(_, bytes)| *bytes).unwrap_or_default()
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}

/// Decodes an answer; the first of each kind that can't be decoded is logged.
fn decode<T: DeserializeOwned>(key: &str, body: &[u8]) -> Result<T, StoreError> {
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
