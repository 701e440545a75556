//! When an unanswered or refused transaction is sent again: hedging time-outs,
//! backoff after refusals, and the bound on additional attempts.

use crate::{indeterminate::IndeterminateWrites, round_trip::RoundTripEstimator};
use backon::{BackoffBuilder, ExponentialBuilder};
use std::{sync::Mutex, time::Duration};
use tallygauge_protocol::state::Transaction;
use tower::retry::budget::{Budget as _, TpsBudget};

/// Growth of the time-out from one attempt of a write to the next: a store that has
/// become slower is given the time in the end, and lost answers cost little.
const WRITE_TIMEOUT_GROWTH: f32 = 1.25;

/// The same for comparisons, which write nothing and whose callers soon give up.
const COMPARE_TIMEOUT_GROWTH: f32 = 1.0;

/// Growth of the backoff after a refusal.
const BACKOFF_GROWTH: f32 = 2.0;

/// Additional attempts allowed per transaction over a window, on average. With two
/// answers in five lost, two thirds of an attempt are needed.
const RETRIES_PER_TRANSACTION: f32 = 1.0;

/// Additional attempts a second that are allowed however few transactions there are.
const MIN_RETRIES_PER_S: u32 = 2;

/// Window over which additional attempts are counted against transactions.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// State that the transactions of one client share for sending again.
pub(crate) struct RetryPolicy {
    round_trip: Mutex<RoundTripEstimator>,
    pub(crate) indeterminate_writes: IndeterminateWrites,
    retry_budget: TpsBudget,
    /// Seed of the next transaction's jitter; without one, jitter is random.
    next_jitter_seed: Mutex<Option<u64>>,
    min_timeout: Duration,
    max_timeout: Duration,
}

impl RetryPolicy {
    /// A policy whose attempts time out after `min_timeout` to `max_timeout`.
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

    /// The longest time-out and the longest backoff.
    pub(crate) fn max_timeout(&self) -> Duration {
        self.max_timeout
    }

    /// Records the round-trip time of an answered transaction.
    pub(crate) fn observe_round_trip(&self, elapsed: Duration) {
        let mut round_trip = self.round_trip.lock().expect("round-trip lock");
        round_trip.observe(elapsed);
    }

    /// Counts a transaction, which allows for further attempts.
    pub(crate) fn deposit(&self) {
        self.retry_budget.deposit();
    }

    /// Takes one additional attempt from the retry budget, if it has one.
    pub(crate) fn withdraw(&self) -> bool {
        self.retry_budget.withdraw()
    }

    /// Time-outs of a transaction's attempts, one after the other.
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

    /// Backoff before another attempt after a refusal, so that an outage brings no
    /// storm of requests.
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

    /// Makes jitter reproducible from a seed.
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
