//! Commits a transaction whose response may be lost: the same transaction is sent
//! again, as a hedged request, until a response tells its outcome.
//!
//! Sending it again is safe only because every transaction of this project carries
//! conditions on the versions that it was computed from. At most one of several
//! attempts is executed, the one that arrives first; the conditions of each later one
//! fail. A conflict after an attempt without a response therefore means that either an
//! earlier attempt was executed or none ever will be. If
//! [`CommitResult::has_indeterminate_attempt`] is set, the caller has to read the keys
//! to find out which.

use crate::{
    RequestPriority, StoreClient, StoreError, TransactionOutcome,
    error::{IndeterminateReason, NotExecutedReason},
    indeterminate::{IndeterminateGuard, IndeterminateSummary},
    transaction::describe_transaction,
};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::time::Duration;
use tallygauge_protocol::state::Transaction;
use tokio::time::Instant;

/// Result of a transaction that was sent with retries.
#[derive(Debug, Clone)]
pub struct CommitResult {
    /// Outcome from the conclusive response, or why there is none.
    pub outcome: Result<TransactionOutcome, StoreError>,
    /// Whether an attempt other than the one that gave the outcome has no usable
    /// response, so that it may have been executed.
    pub has_indeterminate_attempt: bool,
    /// When the attempt that gave the outcome was sent: the outcome reflects the store at
    /// this time or later. After an exceeded deadline, when the first attempt was sent.
    pub sent_at: Instant,
}

impl CommitResult {
    /// The request budget granted no permit, so nothing was sent.
    fn not_sent(transaction: &Transaction) -> Self {
        Self {
            outcome: Err(StoreError::not_executed(
                describe_transaction(transaction),
                NotExecutedReason::BudgetExhausted,
            )),
            has_indeterminate_attempt: false,
            sent_at: Instant::now(),
        }
    }

    /// The caller's deadline passed without a conclusive response to any attempt.
    fn deadline_exceeded(transaction: &Transaction, first_sent_at: Instant) -> Self {
        Self {
            outcome: Err(StoreError::indeterminate(
                describe_transaction(transaction),
                IndeterminateReason::DeadlineExceeded,
            )),
            has_indeterminate_attempt: true,
            sent_at: first_sent_at,
        }
    }
}

/// A finished attempt to execute a transaction: one request, with its response or error.
struct Attempt {
    sent_at: Instant,
    outcome: Result<TransactionOutcome, StoreError>,
}

/// What a finished attempt shows of the transaction's outcome.
enum AttemptOutcome {
    /// The outcome of the transaction is known.
    Conclusive(CommitResult),
    /// The store refused the attempt, while another one may have been executed.
    Refused,
    /// The attempt may have been executed.
    Indeterminate,
}

/// The results of a transaction's finished attempts.
#[derive(Default)]
struct AttemptResults {
    /// Whether an attempt has finished with an error that leaves its outcome open.
    has_indeterminate: bool,
}

impl AttemptResults {
    /// Adds a finished attempt. `others_in_flight` says whether attempts are unfinished.
    fn add(&mut self, attempt: Attempt, others_in_flight: bool) -> AttemptOutcome {
        let has_indeterminate_attempt = self.has_indeterminate || others_in_flight;
        match attempt.outcome {
            Err(error) if error.may_have_executed() => {
                self.has_indeterminate = true;
                AttemptOutcome::Indeterminate
            }
            Err(_) if has_indeterminate_attempt => AttemptOutcome::Refused,
            outcome => AttemptOutcome::Conclusive(CommitResult {
                outcome,
                has_indeterminate_attempt,
                sent_at: attempt.sent_at,
            }),
        }
    }
}

/// Schedule of a transaction's attempts: when the next one is due.
struct AttemptSchedule<T, B> {
    timeouts: T,
    backoffs: B,
    /// Delay once `timeouts` or `backoffs` is exhausted.
    max_delay: Duration,
    next_attempt_at: Instant,
}

impl<T, B> AttemptSchedule<T, B>
where
    T: Iterator<Item = Duration>,
    B: Iterator<Item = Duration>,
{
    /// Schedule of a transaction whose first attempt is sent at `first_sent_at`.
    fn new(timeouts: T, backoffs: B, max_delay: Duration, first_sent_at: Instant) -> Self {
        let mut schedule = Self {
            timeouts,
            backoffs,
            max_delay,
            next_attempt_at: first_sent_at,
        };
        schedule.start_timeout(first_sent_at);
        schedule
    }

    /// Starts the timeout of an attempt that was sent: the next attempt is due when it
    /// elapses.
    fn start_timeout(&mut self, now: Instant) {
        self.next_attempt_at = now + self.timeouts.next().unwrap_or(self.max_delay);
    }

    /// Delays the next attempt, after the store refused one or a budget denied one.
    fn back_off(&mut self, now: Instant) {
        self.next_attempt_at = now + self.backoffs.next().unwrap_or(self.max_delay);
    }

    /// When to act if no response arrives: at the next attempt or the deadline,
    /// whichever is earlier.
    fn next_wake(&self, deadline: Option<Instant>) -> Instant {
        deadline.map_or(self.next_attempt_at, |deadline| {
            deadline.min(self.next_attempt_at)
        })
    }
}

impl StoreClient {
    /// Sends a transaction until its outcome is known, or until `timeout` has elapsed if
    /// one is given. The transaction's conditions must ensure that it can be executed at
    /// most once.
    ///
    /// An additional attempt is sent whenever the last one has had no response within its
    /// timeout; the first conclusive response to any attempt counts. A refusal is
    /// conclusive only if no other attempt may have been executed.
    pub async fn commit_with_retries(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
        timeout: Option<Duration>,
    ) -> CommitResult {
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        if !self.acquire_permit(priority, transaction).await {
            return CommitResult::not_sent(transaction);
        }
        self.retries.deposit();
        self.send_until_conclusive(priority, transaction, deadline)
            .await
    }

    /// Sends the first attempt, for which a permit has already been acquired, and further
    /// attempts until a response is conclusive or the deadline passes.
    async fn send_until_conclusive(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
        deadline: Option<Instant>,
    ) -> CommitResult {
        let retries = &self.retries;
        let first_sent_at = Instant::now();
        let (timeouts, backoffs) = (retries.timeouts(transaction), retries.backoffs());
        let mut schedule =
            AttemptSchedule::new(timeouts, backoffs, retries.max_timeout(), first_sent_at);
        let mut attempts = FuturesUnordered::new();
        attempts.push(self.attempt(transaction));
        let mut indeterminate_guard: Option<IndeterminateGuard> = None;
        let mut results = AttemptResults::default();
        loop {
            let wake_at = schedule.next_wake(deadline);
            tokio::select! {
                biased;
                Some(attempt) = attempts.next(), if !attempts.is_empty() => {
                    match results.add(attempt, !attempts.is_empty()) {
                        AttemptOutcome::Conclusive(result) => return result,
                        AttemptOutcome::Refused => schedule.back_off(Instant::now()),
                        AttemptOutcome::Indeterminate => {}
                    }
                }
                () = tokio::time::sleep_until(wake_at) => {
                    let now = Instant::now();
                    indeterminate_guard
                        .get_or_insert_with(|| retries.indeterminate_writes.register(first_sent_at));
                    if deadline.is_some_and(|deadline| now >= deadline) {
                        return CommitResult::deadline_exceeded(transaction, first_sent_at);
                    }
                    if self.try_acquire_attempt(priority, transaction) {
                        attempts.push(self.attempt(transaction));
                        schedule.start_timeout(now);
                    } else {
                        schedule.back_off(now);
                    }
                }
            }
        }
    }

    async fn attempt(&self, transaction: &Transaction) -> Attempt {
        let sent_at = Instant::now();
        let outcome = self.send_transaction(transaction).await;
        Attempt { sent_at, outcome }
    }

    /// Acquires an additional attempt from the request budget and the retry budget;
    /// `false` if one of them denies it.
    fn try_acquire_attempt(&self, priority: RequestPriority, transaction: &Transaction) -> bool {
        self.budget()
            .try_acquire(priority, transaction.writes.len())
            && self.retries.withdraw()
    }

    /// Number and age of the transactions whose outcome is indeterminate now, for the
    /// operators' summary.
    #[must_use]
    pub fn indeterminate_writes(&self) -> IndeterminateSummary {
        self.retries.indeterminate_writes.summary()
    }
}
