//! Client of the state service: transactions, watches, and the request budget.
//!
//! An answer is one of three: made, refused (surely not executed), or unknown
//! (no answer: it may have been executed or may yet be, minutes later). Callers
//! guard every write on the versions it was worked out from, so that a late
//! transaction fails.

mod budget;
mod commit;
mod connection_count;
pub mod http;
mod log_once;
pub mod round_trip;

pub use budget::{RequestBudget, RequestPriority};
pub use commit::CommitResult;
pub use connection_count::{ConnectionCount, ConnectionGuard};
pub use log_once::is_first_occurrence;

use http::{HttpClient, HttpResult, RequestError};
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

/// Why a request brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// Surely not executed: over budget, outage, or refused.
    Refused,
    /// No usable answer: may have been executed, or may yet be.
    Unknown,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            StoreError::Refused => "refused by the state service",
            StoreError::Unknown => "no answer from the state service",
        })
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// Made at this revision.
    Committed(u64),
    /// Not made: some of these conditions failed.
    Conflict(Vec<String>),
    /// Not made: a lease named in it has ended.
    LeaseExpired,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome {
    /// Changes, in order.
    Events(WatchResponse),
    /// The service no longer keeps changes that old: list again.
    Compacted,
}

/// How the service has served this node.
#[derive(Debug, Default)]
struct Availability {
    /// When a request was last served.
    served: Option<Instant>,
    /// Since when none is.
    failing: Option<Instant>,
}

/// Path of transactions; their answers tell the round-trip time.
const TRANSACTION_PATH: &str = "/multi";

/// Client of the state service. Cheap to clone.
#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    base: Arc<str>,
    budget: Arc<RequestBudget>,
    timeout: Duration,
    service: Arc<Mutex<Availability>>,
    retries: Arc<commit::RetryPolicy>,
}

impl StoreClient {
    /// A client of the service at `addr`; a request is given up after `timeout`,
    /// and a copy of one that is sent again when needed after `floor` at the
    /// soonest.
    #[must_use]
    pub fn new(
        http: HttpClient,
        addr: &str,
        budget: Arc<RequestBudget>,
        floor: Duration,
        timeout: Duration,
    ) -> Self {
        Self {
            http,
            base: format!("http://{addr}").into(),
            budget,
            timeout,
            service: Arc::default(),
            retries: Arc::new(commit::RetryPolicy::new(floor, timeout)),
        }
    }

    /// Makes the jitter of repeated requests follow from a seed, for simulations.
    /// Without it, jitter is random.
    pub fn seed_jitter(&self, seed: u64) {
        self.retries.seed_jitter(seed);
    }

    /// Since when the service has not served this node, if it does not. Being
    /// over the budget does not count.
    #[must_use]
    pub fn failing_since(&self) -> Option<Instant> {
        self.service.lock().expect("service lock").failing
    }

    /// Takes up whether a request was served. One lost answer among others that
    /// came says nothing of the service: only none for a whole time-out does.
    fn record_availability(&self, answer: &HttpResult) {
        let mut service = self.service.lock().expect("service lock");
        let now = Instant::now();
        let fails = match answer {
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) | Err(RequestError::NotSent) => true,
            Err(RequestError::NoResponse) => {
                service.served.is_none_or(|at| now - at >= self.timeout)
            }
            Ok(_) => {
                service.served = Some(now);
                service.failing = None;
                false
            }
        };
        if fails {
            service.failing.get_or_insert(now);
        }
    }

    /// The request budget.
    #[must_use]
    pub fn budget(&self) -> &RequestBudget {
        &self.budget
    }

    async fn call<B: Serialize>(
        &self,
        class: RequestPriority,
        writes: usize,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        if !self.budget.acquire(class, writes).await {
            return Err(StoreError::Refused);
        }
        self.exchange(method, path, body, timeout).await
    }

    /// Sends one request that the budget has been charged for.
    async fn exchange<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<(StatusCode, bytes::Bytes), StoreError> {
        let url = format!("{}{path}", self.base);
        let sent = Instant::now();
        let answer = self.http.call(method, &url, body, timeout).await;
        if answer.is_ok() && path == TRANSACTION_PATH {
            let mut round_trip = self.retries.round_trip.lock().expect("round-trip lock");
            round_trip.observe(sent.elapsed());
        }
        self.record_availability(&answer);
        match answer {
            Ok((StatusCode::TOO_MANY_REQUESTS, _)) => {
                self.budget.record_refusal();
                Err(StoreError::Refused)
            }
            Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => Err(StoreError::Refused),
            Ok(answer) => Ok(answer),
            Err(RequestError::NotSent) => Err(StoreError::Refused),
            Err(RequestError::NoResponse) => Err(StoreError::Unknown),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// When the service gave no usable answer.
    pub async fn get(
        &self,
        class: RequestPriority,
        key: &str,
    ) -> Result<Option<KeyValue>, StoreError> {
        let path = format!("/store/{key}");
        let (status, body) = self
            .call::<()>(class, 0, Method::GET, &path, None, self.timeout)
            .await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => parse::<RevisionResponse>(&body).map(|_| None),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Reads all keys with a prefix, and the revision of the first page.
    ///
    /// # Errors
    /// When the service gave no usable answer.
    pub async fn list(
        &self,
        class: RequestPriority,
        prefix: &str,
    ) -> Result<(Vec<KeyValue>, u64), StoreError> {
        let mut rows: Vec<KeyValue> = Vec::new();
        let mut revision = None;
        loop {
            let since = rows
                .last()
                .map(|r| format!("&since={}", r.key))
                .unwrap_or_default();
            let path = format!("/store?starts={prefix}{since}&page=1000");
            let (status, body) = self
                .call::<()>(class, 0, Method::GET, &path, None, self.timeout * 2)
                .await?;
            if status != StatusCode::OK {
                return Err(StoreError::Unknown);
            }
            let page: ListResponse = parse(&body)?;
            let first = *revision.get_or_insert(page.revision);
            let empty = page.entries.is_empty();
            rows.extend(page.entries);
            if !page.has_more || empty {
                return Ok((rows, first));
            }
        }
    }

    /// Makes a transaction.
    ///
    /// # Errors
    /// `Refused`: surely not made. `Unknown`: may have been made, or may yet be.
    pub async fn transact(
        &self,
        class: RequestPriority,
        txn: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        if !self.budget.acquire(class, txn.writes.len()).await {
            return Err(StoreError::Refused);
        }
        self.send(txn).await
    }

    /// Sends a transaction that the budget has been charged for.
    async fn send(&self, txn: &Transaction) -> Result<TransactionOutcome, StoreError> {
        let post = Method::POST;
        let sent = self
            .exchange(post, TRANSACTION_PATH, Some(txn), self.timeout)
            .await;
        let (status, body) = sent?;
        match status {
            StatusCode::OK => {
                parse::<RevisionResponse>(&body).map(|r| TransactionOutcome::Committed(r.revision))
            }
            StatusCode::CONFLICT => {
                if txn.writes.is_empty() {
                    self.budget.charge_failed_comparison();
                }
                // A conflict whose keys can't be read is still surely not made.
                let failed =
                    parse::<ConflictResponse>(&body).map_or_else(|_| Vec::new(), |c| c.failed);
                Ok(TransactionOutcome::Conflict(failed))
            }
            StatusCode::BAD_REQUEST if body.windows(13).any(|w| w == b"no such lease") => {
                Ok(TransactionOutcome::LeaseExpired)
            }
            StatusCode::BAD_REQUEST => {
                let (key, bytes) = largest_write(txn);
                let (body, writes) = (String::from_utf8_lossy(&body), txn.writes.len());
                tracing::error!(%body, writes, largest = key, bytes, "state service calls a transaction malformed");
                Err(StoreError::Refused)
            }
            _ => Err(StoreError::Unknown),
        }
    }

    /// Takes a lease.
    ///
    /// # Errors
    /// When the service gave no usable answer.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let ask = LeaseRequest {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(600_000),
        };
        let (status, body) = self
            .call(
                RequestPriority::Leadership,
                0,
                Method::POST,
                "/leases",
                Some(&ask),
                self.timeout,
            )
            .await?;
        if status != StatusCode::OK {
            return Err(StoreError::Unknown);
        }
        parse::<LeaseResponse>(&body).map(|l| l.id)
    }

    /// Renews a lease; `false` when it has ended.
    ///
    /// # Errors
    /// When the service gave no usable answer.
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{lease}/touch");
        let (status, _) = self
            .call::<()>(
                RequestPriority::Leadership,
                0,
                Method::POST,
                &path,
                None,
                timeout,
            )
            .await?;
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(StoreError::Unknown),
        }
    }

    /// Ends a lease at once.
    ///
    /// # Errors
    /// When the service gave no usable answer.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        self.call::<()>(
            RequestPriority::Leadership,
            0,
            Method::DELETE,
            &path,
            None,
            self.timeout,
        )
        .await
        .map(|_| ())
    }

    /// Waits for changes under a prefix after a revision. A watch that is not
    /// answered well after `block` is given up, so that a dead connection is
    /// noticed.
    ///
    /// # Errors
    /// When the service gave no usable answer.
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
        let (status, body) = self
            .call::<()>(
                RequestPriority::Leadership,
                0,
                Method::GET,
                &path,
                None,
                block + self.timeout,
            )
            .await?;
        match status {
            StatusCode::OK => parse(&body).map(WatchOutcome::Events),
            StatusCode::GONE => Ok(WatchOutcome::Compacted),
            _ => Err(StoreError::Unknown),
        }
    }
}

/// The key with the longest value of a transaction, and its bytes.
fn largest_write(txn: &Transaction) -> (&str, usize) {
    let sizes = txn.writes.iter().map(|write| match write {
        Write::Set { key, value, .. } => (key.as_str(), value.to_string().len()),
        Write::Remove { key } => (key.as_str(), 0),
    });
    sizes.max_by_key(|s| s.1).unwrap_or_default()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| {
        if is_first_occurrence(&format!("state service: {error}")) {
            tracing::warn!(%error, "malformed answer from the state service, taken as none");
        }
        StoreError::Unknown
    })
}
