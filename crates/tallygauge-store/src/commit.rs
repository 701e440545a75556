//! Settling a transaction whose answer may be lost: the same guarded transaction
//! is sent again until an answer tells what became of it.
//!
//! Sending again is safe only because every transaction of this project is
//! guarded on the versions that it was worked out from: of several copies one at
//! most is executed, whichever comes first, and one that arrives later finds its
//! guards broken. A conflict after an unanswered copy therefore says "an earlier
//! copy was executed, or it never will be"; [`Settled::in_doubt`] tells the caller
//! that it has to read which.

use crate::{
    RequestPriority, StoreClient, StoreError, TransactionOutcome, round_trip::RoundTripEstimator,
};
use backon::{BackoffBuilder, ExponentialBuilder};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge_protocol::state::Transaction;
use tokio::time::Instant;
use tower::retry::budget::{Budget as _, TpsBudget};

/// Growth of the time-out from one copy of a write to the next. A service that is
/// slower than it was is answered for in the end; lost answers cost little.
const WRITE_TIMEOUT_GROWTH: f32 = 1.25;

/// The same for comparisons, which write nothing and whose askers soon give up.
const COMPARE_TIMEOUT_GROWTH: f32 = 1.0;

/// Growth of the pause after a refusal.
const PAUSE_GROWTH: f32 = 2.0;

/// Copies allowed for each transaction over a window, on average. With two
/// answers in five lost, two thirds of a copy are needed.
const RETRY_SHARE: f32 = 1.0;

/// Copies a second that are allowed however few transactions there are.
const LEAST_RETRIES_PER_S: u32 = 2;

/// Window over which copies are counted against transactions.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What became of a transaction that was sent as often as needed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommitResult {
    /// The last answer, or why there is none.
    pub outcome: Result<TransactionOutcome, StoreError>,
    /// Whether an earlier copy got no answer: it may have been executed.
    pub in_doubt: bool,
    /// When the copy that was answered was sent: the answer is no older.
    pub sent_at: Instant,
}

/// Requests without an answer yet whose outcome somebody waits for.
#[derive(Debug, Default)]
pub(crate) struct InDoubtWrites {
    next: u64,
    since: BTreeMap<u64, Instant>,
}

/// One request in doubt, for as long as this is held.
struct InDoubtGuard {
    all: Arc<Mutex<InDoubtWrites>>,
    number: u64,
}

impl InDoubtGuard {
    fn new(all: &Arc<Mutex<InDoubtWrites>>, since: Instant) -> Self {
        let mut doubts = all.lock().expect("doubts lock");
        let number = doubts.next;
        doubts.next += 1;
        doubts.since.insert(number, since);
        drop(doubts);
        Self {
            all: all.clone(),
            number,
        }
    }
}

impl Drop for InDoubtGuard {
    fn drop(&mut self) {
        let mut doubts = self.all.lock().expect("doubts lock");
        doubts.since.remove(&self.number);
    }
}

/// What a client shares for repeating requests.
pub(crate) struct RetryPolicy {
    pub(crate) round_trip: Mutex<RoundTripEstimator>,
    doubts: Arc<Mutex<InDoubtWrites>>,
    allowed: TpsBudget,
    /// Seed of the next transaction's jitter; if there is none, jitter is random.
    next_jitter_seed: Mutex<Option<u64>>,
    /// Shortest and longest time-out of a copy.
    floor: Duration,
    cap: Duration,
}

impl RetryPolicy {
    pub(crate) fn new(floor: Duration, cap: Duration) -> Self {
        Self {
            round_trip: Mutex::default(),
            doubts: Arc::default(),
            allowed: TpsBudget::new(RETRY_WINDOW, LEAST_RETRIES_PER_S, RETRY_SHARE),
            next_jitter_seed: Mutex::default(),
            floor,
            cap,
        }
    }

    /// Time-out of a copy that is sent now.
    fn timeout(&self) -> Duration {
        let round_trip = *self.round_trip.lock().expect("round-trip lock");
        round_trip.timeout(self.floor, self.cap)
    }

    /// Time-outs of a transaction's copies, one after the other.
    fn timeouts(&self, txn: &Transaction) -> impl Iterator<Item = Duration> + use<> {
        let growth = if txn.writes.is_empty() {
            COMPARE_TIMEOUT_GROWTH
        } else {
            WRITE_TIMEOUT_GROWTH
        };
        ExponentialBuilder::default()
            .with_min_delay(self.timeout())
            .with_max_delay(self.cap)
            .with_factor(growth)
            .without_max_times()
            .build()
    }

    /// Pauses before a copy after a refusal, so that an outage brings no storm.
    fn pauses(&self) -> impl Iterator<Item = Duration> + use<> {
        let pauses = ExponentialBuilder::default()
            .with_min_delay(self.floor)
            .with_max_delay(self.cap)
            .with_factor(PAUSE_GROWTH)
            .with_jitter()
            .without_max_times();
        match self.take_jitter_seed() {
            Some(seed) => pauses.with_jitter_seed(seed).build(),
            None => pauses.build(),
        }
    }

    /// Makes jitter follow from a seed.
    pub(crate) fn seed_jitter(&self, seed: u64) {
        *self.next_jitter_seed.lock().expect("jitter lock") = Some(seed);
    }

    fn take_jitter_seed(&self) -> Option<u64> {
        let mut next = self.next_jitter_seed.lock().expect("jitter lock");
        let seed = *next;
        *next = seed.map(|seed| seed.wrapping_add(1));
        seed
    }
}

/// A copy that was sent: when, and what became of it.
type Copy = (Instant, Result<TransactionOutcome, StoreError>);

impl StoreClient {
    /// Sends a transaction until it is known what became of it, until `patience`
    /// is over if one is given. Every write of the transaction must be guarded so
    /// that it can be executed once at most.
    ///
    /// A copy goes out whenever the last has had no answer for a time-out; the
    /// first answer to any of them counts. A refusal is final while no other copy
    /// may have been executed.
    pub async fn commit_with_retries(
        &self,
        class: RequestPriority,
        txn: &Transaction,
        patience: Option<Duration>,
    ) -> CommitResult {
        let retries = &self.retries;
        let until = patience.map(|p| Instant::now() + p);
        let writes = txn.writes.len();
        if !self.budget.acquire(class, writes).await {
            return CommitResult {
                outcome: Err(StoreError::Refused),
                in_doubt: false,
                sent_at: Instant::now(),
            };
        }
        retries.allowed.deposit();
        let began = Instant::now();
        let (mut timeouts, mut pauses) = (retries.timeouts(txn), retries.pauses());
        let copy = || async move {
            let sent = Instant::now();
            (sent, self.send(txn).await)
        };
        let mut under_way = FuturesUnordered::new();
        under_way.push(copy());
        let mut next_copy = began + timeouts.next().unwrap_or(retries.cap);
        let mut doubt: Option<InDoubtGuard> = None;
        let mut unanswered = false;
        loop {
            let wake = until.map_or(next_copy, |until| until.min(next_copy));
            tokio::select! {
                biased;
                Some((sent, outcome)) = under_way.next(), if !under_way.is_empty() => {
                    let (sent, outcome): Copy = (sent, outcome);
                    let in_doubt = unanswered || !under_way.is_empty();
                    match outcome {
                        Err(StoreError::Unknown) => unanswered = true,
                        Err(StoreError::Refused) if in_doubt => {
                            next_copy = Instant::now() + pauses.next().unwrap_or(retries.cap);
                        }
                        outcome => return CommitResult { outcome, in_doubt, sent_at: sent },
                    }
                }
                () = tokio::time::sleep_until(wake) => {
                    let now = Instant::now();
                    doubt.get_or_insert_with(|| InDoubtGuard::new(&retries.doubts, began));
                    if until.is_some_and(|until| now >= until) {
                        let outcome = Err(StoreError::Unknown);
                        return CommitResult { outcome, in_doubt: true, sent_at: began };
                    }
                    if self.budget.try_acquire(class, writes) && retries.allowed.withdraw() {
                        under_way.push(copy());
                        next_copy = now + timeouts.next().unwrap_or(retries.cap);
                    } else {
                        next_copy = now + pauses.next().unwrap_or(retries.cap);
                    }
                }
            }
        }
    }

    /// How many transactions are in doubt, and for how long the oldest has been.
    #[must_use]
    pub fn in_doubt_writes(&self) -> (usize, Duration) {
        let doubts = self.retries.doubts.lock().expect("doubts lock");
        let oldest = doubts.since.values().min();
        let longest = oldest.map_or(Duration::ZERO, |since| since.elapsed());
        (doubts.since.len(), longest)
    }
}
