//! When a transaction without a response, or one that was refused, is sent again:
//! hedging timeouts, backoff after refusals, and the retry budget that bounds the number
//! of additional attempts.

use crate::{indeterminate::IndeterminateWrites, round_trip::RoundTripEstimator};
use backon::{BackoffBuilder, ExponentialBuilder};
use std::{sync::Mutex, time::Duration};
use tallygauge_protocol::state::Transaction;
use tower::retry::budget::{Budget as _, TpsBudget};

/// Factor from the timeout of one attempt of a write to that of the next. With this
/// growth the timeout eventually exceeds the response time of a store that has become
/// slower, while a lost response costs little time.
const WRITE_TIMEOUT_GROWTH: f32 = 1.25;

/// Factor from the timeout of one attempt of a comparison (a transaction without writes)
/// to that of the next. No growth, as the callers of comparisons soon give up.
const COMPARE_TIMEOUT_GROWTH: f32 = 1.0;

/// Factor from one backoff after a refusal to the next.
const BACKOFF_GROWTH: f32 = 2.0;

/// Additional attempts allowed per transaction, on average over the window. If two of
/// five responses are lost, two thirds of an additional attempt are needed on average.
const RETRIES_PER_TRANSACTION: f32 = 1.0;

/// Additional attempts per second that are allowed regardless of the number of
/// transactions.
const MIN_RETRIES_PER_S: u32 = 2;

/// Window of the retry budget, over which additional attempts are compared with
/// transactions.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// State that the retries of all transactions of one client share.
pub(crate) struct RetryPolicy {
    round_trip: Mutex<RoundTripEstimator>,
    pub(crate) indeterminate_writes: IndeterminateWrites,
    retry_budget: TpsBudget,
    /// Seed of the next transaction's jitter; the jitter is random if this is `None`.
    next_jitter_seed: Mutex<Option<u64>>,
    min_timeout: Duration,
    max_timeout: Duration,
}

impl RetryPolicy {
    /// Creates a policy whose attempts time out after `min_timeout` at the earliest and
    /// `max_timeout` at the latest.
    pub(crate) fn new(min_timeout: Duration, max_timeout: Duration) -> Self {
        Self {
            round_trip: Mutex::default(),
            indeterminate_writes: IndeterminateWrites::default(),
            retry_budget: TpsBudget::new(RETRY_WINDOW, MIN_RETRIES_PER_S, RETRIES_PER_TRANSACTION),
            next_jitter_seed: Mutex::default(),
            min_timeout,
            max_timeout,
        }
    }

    /// Upper bound on timeouts and backoffs.
    pub(crate) fn max_timeout(&self) -> Duration {
        self.max_timeout
    }

    /// Records the round-trip time of a transaction that received a response.
    pub(crate) fn observe_round_trip(&self, elapsed: Duration) {
        let mut round_trip = self.round_trip.lock().expect("round-trip lock");
        round_trip.observe(elapsed);
    }

    /// Counts a transaction in the retry budget, which allows for additional attempts.
    pub(crate) fn deposit(&self) {
        self.retry_budget.deposit();
    }

    /// Takes one additional attempt from the retry budget; `false` if it is exhausted.
    pub(crate) fn withdraw(&self) -> bool {
        self.retry_budget.withdraw()
    }

    /// Timeouts of a transaction's successive attempts.
    pub(crate) fn timeouts(
        &self,
        transaction: &Transaction,
    ) -> impl Iterator<Item = Duration> + use<> {
        let growth = if transaction.writes.is_empty() {
            COMPARE_TIMEOUT_GROWTH
        } else {
            WRITE_TIMEOUT_GROWTH
        };
        ExponentialBuilder::default()
            .with_min_delay(self.current_timeout())
            .with_max_delay(self.max_timeout)
            .with_factor(growth)
            .without_max_times()
            .build()
    }

    /// Backoffs before the next attempt after successive refusals, so that an outage does
    /// not cause a retry storm.
    pub(crate) fn backoffs(&self) -> impl Iterator<Item = Duration> + use<> {
        let backoffs = ExponentialBuilder::default()
            .with_min_delay(self.min_timeout)
            .with_max_delay(self.max_timeout)
            .with_factor(BACKOFF_GROWTH)
            .with_jitter()
            .without_max_times();
        match self.take_jitter_seed() {
            Some(seed) => backoffs.with_jitter_seed(seed).build(),
            None => backoffs.build(),
        }
    }

    /// Makes the jitter reproducible from a seed.
    pub(crate) fn seed_jitter(&self, seed: u64) {
        *self.next_jitter_seed.lock().expect("jitter lock") = Some(seed);
    }

    fn current_timeout(&self) -> Duration {
        let round_trip = *self.round_trip.lock().expect("round-trip lock");
        round_trip.timeout(self.min_timeout, self.max_timeout)
    }

    fn take_jitter_seed(&self) -> Option<u64> {
        let mut next_seed = self.next_jitter_seed.lock().expect("jitter lock");
        let seed = *next_seed;
        *next_seed = seed.map(|seed| seed.wrapping_add(1));
        seed
    }
}
