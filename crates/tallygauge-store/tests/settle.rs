//! Settling transactions whose answers are lost, late or refused, against a plain
//! service that executes guarded writes.

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
    RequestBudget, RequestPriority, StoreClient, StoreError, TransactionOutcome,
    http::{HttpClient, HttpResult, RequestError, Transport},
    round_trip::RoundTripEstimator,
};
use tokio::time::Instant;

const FLOOR: Duration = Duration::from_millis(100);
const CAP: Duration = Duration::from_secs(2);

/// What becomes of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    /// Executed and answered.
    Answered,
    /// Executed, the answer is lost.
    AnswerLost,
    /// Neither executed nor answered.
    Lost,
    /// Answered 503.
    Refused,
    /// Executed and answered after so many milliseconds.
    Slow(u64),
}

/// A service with one key, written once at most.
#[derive(Default)]
struct Service {
    fates: VecDeque<Fate>,
    /// Fate of all requests beyond those named.
    then: Option<Fate>,
    executed: u32,
    requests: u32,
}

struct Wire(Arc<Mutex<Service>>);

impl Transport for Wire {
    fn send(
        &self,
        _: Method,
        _: String,
        _: Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>> {
        let service = self.0.clone();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let (fate, answer) = {
                let mut service = service.lock().unwrap();
                service.requests += 1;
                let then = service.then.unwrap_or(Fate::Answered);
                let fate = service.fates.pop_front().unwrap_or(then);
                let executes = !matches!(fate, Fate::Lost | Fate::Refused);
                let first = service.executed == 0;
                service.executed += u32::from(executes && first);
                let answer = if first {
                    (StatusCode::OK, Bytes::from_static(b"{\"epoch\":7}"))
                } else {
                    let body = b"{\"failed\":[\"k\"],\"epoch\":7}";
                    (StatusCode::CONFLICT, Bytes::from_static(body))
                };
                (fate, answer)
            };
            match fate {
                Fate::Answered => Ok(answer),
                Fate::Refused => Ok((StatusCode::SERVICE_UNAVAILABLE, Bytes::new())),
                Fate::Slow(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    Ok(answer)
                }
                Fate::Lost | Fate::AnswerLost => {
                    tokio::time::sleep(Duration::from_secs(3600)).await;
                    Err(RequestError::NoResponse)
                }
            }
        })
    }
}

fn client(fates: &[Fate], then: Option<Fate>) -> (StoreClient, Arc<Mutex<Service>>) {
    let service = Arc::new(Mutex::new(Service {
        fates: fates.iter().copied().collect(),
        then,
        ..Service::default()
    }));
    let http = HttpClient::over(Arc::new(Wire(service.clone())));
    let budget = Arc::new(RequestBudget::new(100.0, 100.0));
    (
        StoreClient::new(http, "service", budget, FLOOR, CAP),
        service,
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

// Before, one lost answer cost a whole time-out of a twelfth of a lease.
#[tokio::test(start_paused = true)]
async fn lost_answers_are_settled_by_copies_and_the_write_is_made_once() {
    use Fate::{AnswerLost, Answered, Lost};
    for (fates, conflict) in [
        (vec![Answered], false),
        (vec![Lost, Answered], false),
        (vec![AnswerLost, Answered], true),
        (vec![Lost, AnswerLost, Lost, Answered], true),
    ] {
        let (client, service) = client(&fates, None);
        let began = Instant::now();
        let settled = client
            .commit_with_retries(RequestPriority::Users, &transaction(), None)
            .await;
        assert_eq!(
            matches!(settled.outcome, Ok(TransactionOutcome::Conflict(_))),
            conflict
        );
        // A conflict after a lost answer has to be read; without one it is final.
        assert_eq!(settled.in_doubt, fates.len() > 1);
        assert_eq!(service.lock().unwrap().executed, 1);
        assert!(
            began.elapsed() < CAP * 2,
            "{fates:?}: {:?}",
            began.elapsed()
        );
        assert_eq!(client.in_doubt_writes().0, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_counts_though_a_copy_was_sent_after_it() {
    let (client, service) = client(&[Fate::Slow(600)], Some(Fate::Lost));
    let settled = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert_eq!(settled.outcome, Ok(TransactionOutcome::Committed(7)));
    assert!(service.lock().unwrap().requests > 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_final_only_while_no_copy_may_have_been_executed() {
    let (client, service) = client(&[Fate::Refused], None);
    let settled = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert_eq!(settled.outcome, Err(StoreError::Refused));
    assert!(!settled.in_doubt && service.lock().unwrap().executed == 0);
    // Lost, then refused by an outage: it may have been executed, and it was.
    use Fate::{AnswerLost, Answered, Refused};
    let (client, _) = self::client(&[AnswerLost, Refused, Refused, Answered], None);
    let settled = client
        .commit_with_retries(RequestPriority::Users, &transaction(), None)
        .await;
    assert!(matches!(settled.outcome, Ok(TransactionOutcome::Conflict(_))) && settled.in_doubt);
}

#[tokio::test(start_paused = true)]
async fn patience_ends_in_doubt_and_the_oldest_doubt_is_shown() {
    let (client, _) = client(&[], Some(Fate::Lost));
    let patience = Some(Duration::from_secs(3));
    let began = Instant::now();
    let other = client.clone();
    let waits = tokio::spawn(async move {
        other
            .commit_with_retries(RequestPriority::Users, &transaction(), patience)
            .await
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (count, longest) = client.in_doubt_writes();
    assert!(count == 1 && longest >= Duration::from_millis(1900));
    let settled = waits.await.unwrap();
    assert_eq!(settled.outcome, Err(StoreError::Unknown));
    assert!(settled.in_doubt);
    assert!(began.elapsed() < Duration::from_millis(3100));
    assert_eq!(client.in_doubt_writes().0, 0);
}

// Copies are bounded by a share of the transactions, so that an outage in which
// nothing is answered brings no storm.
#[tokio::test(start_paused = true)]
async fn an_outage_without_answers_brings_no_storm_of_copies() {
    let (client, service) = client(&[], Some(Fate::Lost));
    let all: Vec<_> = (0..40)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move {
                let patience = Some(Duration::from_secs(20));
                client
                    .commit_with_retries(RequestPriority::Users, &transaction(), patience)
                    .await
            })
        })
        .collect();
    for one in all {
        assert!(one.await.unwrap().in_doubt);
    }
    let requests = service.lock().unwrap().requests;
    // One for each, one more for each, and two a second.
    assert!(
        (80..=40 * 2 + 20 * 2 + 40).contains(&requests),
        "{requests}"
    );
}

#[test]
fn the_time_out_follows_what_answers_take() {
    let mut round_trip = RoundTripEstimator::default();
    let timeout = |r: &RoundTripEstimator| r.timeout(FLOOR, CAP).as_secs_f64();
    assert!((timeout(&round_trip) - 0.447).abs() < 0.01, "before any");
    for _ in 0..100 {
        round_trip.observe(Duration::from_millis(10));
    }
    assert!((timeout(&round_trip) - 0.1).abs() < 1e-6, "the floor");
    for n in 0..100 {
        round_trip.observe(Duration::from_millis(200 + n % 2 * 400));
    }
    let unsteady = timeout(&round_trip);
    assert!((0.8..=2.0).contains(&unsteady), "{unsteady}");
    for _ in 0..100 {
        round_trip.observe(Duration::from_secs(9));
    }
    assert!((timeout(&round_trip) - 2.0).abs() < 1e-6, "the cap");
}
