//! Commits of transactions when requests or responses are lost, late or refused, against
//! a fake store that executes conditional writes.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::{
    collections::VecDeque,
    pin::Pin,
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_store::{
    IndeterminateReason, NotExecutedReason, RequestBudget, RequestPriority, StoreClient,
    StoreError, TransactionOutcome,
    http::{HttpClient, HttpResult, RequestError, Transport},
    round_trip::RoundTripEstimator,
};
use tokio::time::Instant;

const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_TIMEOUT: Duration = Duration::from_secs(2);

/// What the fake transport does with one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestOutcome {
    /// Executed, with a response.
    Responded,
    /// Executed, but the response is lost.
    ResponseLost,
    /// Neither executed nor responded to.
    RequestLost,
    /// Not executed, responded to with 503.
    Refused,
    /// Executed, with a response after this many milliseconds.
    Slow(u64),
    /// Executed, with a 200 response whose body can't be decoded.
    Malformed,
    /// Executed, with a 500 response.
    ServerError,
}

/// Fake store with one key, which is written at most once.
#[derive(Default)]
struct FakeStore {
    request_outcomes: VecDeque<RequestOutcome>,
    /// Outcome of requests after those in `request_outcomes`; `Responded` if `None`.
    default_outcome: Option<RequestOutcome>,
    executed: u32,
    requests: u32,
}

struct FakeTransport(Arc<Mutex<FakeStore>>);

impl Transport for FakeTransport {
    fn send(
        &self,
        _: Method,
        _: String,
        _: Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>> {
        let store = self.0.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let (request_outcome, response) = {
                let mut store = store.lock().unwrap();
                store.requests += 1;
                let default_outcome = store.default_outcome.unwrap_or(RequestOutcome::Responded);
                let request_outcome = store
                    .request_outcomes
                    .pop_front()
                    .unwrap_or(default_outcome);
                let executes = !matches!(
                    request_outcome,
                    RequestOutcome::RequestLost | RequestOutcome::Refused
                );
                let is_first = store.executed == 0;
                store.executed += u32::from(executes && is_first);
                let response = if is_first {
                    (StatusCode::OK, Bytes::from_static(b"{\"epoch\":7}"))
                } else {
                    let body = b"{\"failed\":[\"k\"],\"epoch\":7}";
                    (StatusCode::CONFLICT, Bytes::from_static(body))
                };
                (request_outcome, response)
            };
            match request_outcome {
                RequestOutcome::Responded => Ok(response),
                RequestOutcome::Refused => Ok((StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
                RequestOutcome::Malformed => Ok((StatusCode::OK, Bytes::from_static(b"{"))),
                RequestOutcome::ServerError => {
                    Ok((StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()))
                }
                RequestOutcome::Slow(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    Ok(response)
                }
                RequestOutcome::RequestLost | RequestOutcome::ResponseLost => {
                    tokio::time::sleep(Duration::from_secs(3600)).await;
                    Err(RequestError::NoResponse)
                }
            }
        })
    }
}

fn client(
    request_outcomes: &[RequestOutcome],
    default_outcome: Option<RequestOutcome>,
) -> (StoreClient, Arc<Mutex<FakeStore>>) {
    let store = Arc::new(Mutex::new(FakeStore {
        request_outcomes: request_outcomes.iter().copied().collect(),
        default_outcome,
        ..FakeStore::default()
    }));
    let http = HttpClient::with_transport(Arc::new(FakeTransport(store.clone())));
    let budget = Arc::new(RequestBudget::new(100.0, 100.0));
    (
        StoreClient::new(http, "store", budget, MIN_TIMEOUT, MAX_TIMEOUT),
        store,
    )
}

fn transaction() -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: "k".into(),
            version: 0,
        }],
        writes: vec![Write::Set {
            key: "k".into(),
            value: serde_json::Value::Null,
            lease: None,
        }],
    }
}

// Without hedging, a lost response would delay the commit by a whole request timeout.
#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_by_hedged_attempts_and_the_write_executes_once() {
    use RequestOutcome::{RequestLost, Responded, ResponseLost};
    for (request_outcomes, expects_conflict) in [
        (vec![Responded], false),
        (vec![RequestLost, Responded], false),
        (vec![ResponseLost, Responded], true),
        (
            vec![RequestLost, ResponseLost, RequestLost, Responded],
            true,
        ),
    ] {
        let (client, store) = client(&request_outcomes, None);
        let started_at = Instant::now();
        let result = client
            .commit_with_retries(RequestPriority::Users, &transaction(), None)
            .await;
        assert_eq!(
            matches!(result.outcome, Ok(TransactionOutcome::Conflict { .. })),
            expects_conflict
        );
        // After a lost response, a conflict does not tell whether this transaction was
        // executed by an earlier attempt.
        assert_eq!(result.has_indeterminate_attempt, request_outcomes.len() > 1);
        assert_eq!(store.lock().unwrap().executed, 1);
        assert!(
            started_at.elapsed() < MAX_TIMEOUT * 2,
            "{request_outcomes:?}: {:?}",
            started_at.elapsed()
        );
        assert_eq!(client.indeterminate_writes().count, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_response_counts_after_a_hedged_attempt_was_sent() {
    let (client, store) = client(
        &[RequestOutcome::Slow(600)],
        Some(RequestOutcome::RequestLost),
    );
    let result = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert_eq!(result.outcome.unwrap(), TransactionOutcome::Committed(7));
    assert!(store.lock().unwrap().requests > 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_conclusive_only_if_no_attempt_may_have_executed() {
    let (client, store) = client(&[RequestOutcome::Refused], None);
    let result = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert!(matches!(
        result.outcome,
        Err(StoreError::NotExecuted {
            reason: NotExecutedReason::Unavailable,
            ..
        })
    ));
    assert!(!result.has_indeterminate_attempt && store.lock().unwrap().executed == 0);
    // The first response is lost and the next attempts are refused, as in an outage: the
    // transaction may have been executed, and was.
    use RequestOutcome::{Refused, Responded, ResponseLost};
    let (client, _) = self::client(&[ResponseLost, Refused, Refused, Responded], None);
    let result = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert!(
        matches!(result.outcome, Ok(TransactionOutcome::Conflict { .. }))
            && result.has_indeterminate_attempt
    );
}

#[tokio::test(start_paused = true)]
async fn an_unusable_response_counts_as_possibly_executed() {
    for outcome in [RequestOutcome::Malformed, RequestOutcome::ServerError] {
        let (client, _) = client(&[outcome], None);
        let error = client
            .transact(RequestPriority::Users, &transaction())
            .await
            .unwrap_err();
        assert!(error.may_have_executed(), "{error}");
        let (client, store) = self::client(&[outcome], None);
        let result = client
            .commit_with_retries(RequestPriority::Users, &transaction(), None)
            .await;
        assert!(matches!(
            result.outcome,
            Ok(TransactionOutcome::Conflict { .. })
        ));
        assert!(result.has_indeterminate_attempt && store.lock().unwrap().executed == 1);
    }
}

#[tokio::test(start_paused = true)]
async fn a_refusal_counts_as_not_executed_and_its_error_names_the_conditions() {
    let (client, store) = client(&[RequestOutcome::Refused], None);
    let error = client
        .transact(RequestPriority::Users, &transaction())
        .await
        .unwrap_err();
    assert!(!error.may_have_executed() && store.lock().unwrap().executed == 0);
    assert!(error.to_string().contains("k at version 0"), "{error}");
}

#[tokio::test(start_paused = true)]
async fn an_exceeded_deadline_is_indeterminate_and_the_oldest_indeterminate_write_is_reported() {
    let (client, _) = client(&[], Some(RequestOutcome::RequestLost));
    let timeout = Some(Duration::from_secs(3));
    let started_at = Instant::now();
    let committing_client = client.clone();
    let commit = tokio::spawn(async move {
        committing_client
            .commit_with_retries(RequestPriority::Users, &transaction(), timeout)
            .await
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let indeterminate = client.indeterminate_writes();
    assert!(indeterminate.count == 1 && indeterminate.oldest_age >= Duration::from_millis(1900));
    let result = commit.await.unwrap();
    assert!(matches!(
        result.outcome,
        Err(StoreError::Indeterminate {
            reason: IndeterminateReason::DeadlineExceeded,
            ..
        })
    ));
    assert!(result.has_indeterminate_attempt);
    assert!(started_at.elapsed() < Duration::from_millis(3100));
    assert_eq!(client.indeterminate_writes().count, 0);
}

// Without the retry budget, all pending transactions would keep sending attempts during
// an outage.
#[tokio::test(start_paused = true)]
async fn an_outage_without_responses_causes_no_retry_storm() {
    let (client, store) = client(&[], Some(RequestOutcome::RequestLost));
    let commits: Vec<_> = (0..40)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move {
                let timeout = Some(Duration::from_secs(20));
                client
                    .commit_with_retries(RequestPriority::Users, &transaction(), timeout)
                    .await
            })
        })
        .collect();
    for commit in commits {
        assert!(commit.await.unwrap().has_indeterminate_attempt);
    }
    let requests = store.lock().unwrap().requests;
    // One attempt and one retry per transaction, and two retries per second for 20 s. The
    // upper bound allows 40 requests more.
    assert!(
        (80..=40 * 2 + 20 * 2 + 40).contains(&requests),
        "{requests}"
    );
}

#[test]
fn the_timeout_adapts_to_the_round_trip_times() {
    let mut round_trip = RoundTripEstimator::default();
    let timeout_s =
        |estimator: &RoundTripEstimator| estimator.timeout(MIN_TIMEOUT, MAX_TIMEOUT).as_secs_f64();
    assert!(
        (timeout_s(&round_trip) - 0.447).abs() < 0.01,
        "before the first sample"
    );
    for _ in 0..100 {
        round_trip.observe(Duration::from_millis(10));
    }
    assert!((timeout_s(&round_trip) - 0.1).abs() < 1e-6, "the minimum");
    for i in 0..100 {
        round_trip.observe(Duration::from_millis(200 + i % 2 * 400));
    }
    let timeout_with_jitter = timeout_s(&round_trip);
    assert!(
        (0.8..=2.0).contains(&timeout_with_jitter),
        "{timeout_with_jitter}"
    );
    for _ in 0..100 {
        round_trip.observe(Duration::from_secs(9));
    }
    assert!((timeout_s(&round_trip) - 2.0).abs() < 1e-6, "the maximum");
}
