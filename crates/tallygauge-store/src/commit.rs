//! Commits a transaction whose answer may be lost: the same transaction is sent
//! again, as a hedged request, until an answer tells its outcome.
//!
//! Sending again is safe only because every transaction of this project carries
//! conditions on the versions it was computed from: of several attempts at most one
//! is executed, whichever arrives first, and the conditions of one that arrives later
//! fail. A conflict after an unanswered attempt therefore says "an earlier attempt was
//! executed, or none ever will be"; [`CommitResult::has_indeterminate_attempt`] tells the caller that
//! it has to read which.

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

/// Result of a transaction that was sent as often as needed.
#[derive(Debug, Clone)]
pub struct CommitResult {
    /// The last answer, or why there is none.
    pub outcome: Result<TransactionOutcome, StoreError>,
    /// Whether another attempt got no answer: it may have been executed.
    pub has_indeterminate_attempt: bool,
    /// When the attempt that was answered was sent: the answer is no older.
    pub sent_at: Instant,
}

impl CommitResult {
    /// The request budget had no permit: nothing was sent.
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

    /// The caller's timeout elapsed with attempts unanswered.
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

/// One sending of a transaction that was answered or given up.
struct Attempt {
    sent_at: Instant,
    outcome: Result<TransactionOutcome, StoreError>,
}

/// When the next attempt of a transaction is due.
struct AttemptSchedule<T, B> {
    timeouts: T,
    backoffs: B,
    max_delay: Duration,
    next_attempt_at: Instant,
}

impl<T, B> AttemptSchedule<T, B>
where
    T: Iterator<Item = Duration>,
    B: Iterator<Item = Duration>,
{
    /// The schedule of a transaction whose first attempt is sent at `first_sent_at`.
    fn new(timeouts: T, backoffs: B, max_delay: Duration, first_sent_at: Instant) -> Self {
        let mut schedule = Self {
            timeouts,
            backoffs,
            max_delay,
            next_attempt_at: first_sent_at,
        };
        schedule.await_timeout(first_sent_at);
        schedule
    }

    /// An attempt was sent: the next is due when it times out.
    fn await_timeout(&mut self, now: Instant) {
        self.next_attempt_at = now + self.timeouts.next().unwrap_or(self.max_delay);
    }

    /// An attempt was refused, or must not be sent yet.
    fn back_off(&mut self, now: Instant) {
        self.next_attempt_at = now + self.backoffs.next().unwrap_or(self.max_delay);
    }

    /// When to act without an answer: at the next attempt or the deadline.
    fn next_wake(&self, deadline: Option<Instant>) -> Instant {
        deadline.map_or(self.next_attempt_at, |deadline| {
            deadline.min(self.next_attempt_at)
        })
    }
}

impl StoreClient {
    /// Sends a transaction until its outcome is known, or until `timeout` is over if
    /// one is given. The transaction's conditions must make sure that it can be
    /// executed at most once.
    ///
    /// An additional attempt is sent whenever the last has had no answer for a
    /// time-out; the first answer to any of them counts. A refusal is final while no
    /// other attempt may have been executed.
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
        self.send_until_answered(priority, transaction, deadline)
            .await
    }

    /// Sends the first attempt, which the budget has been charged for, and further
    /// ones until an answer is final or the deadline passes.
    async fn send_until_answered(
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
        let mut has_unanswered_attempt = false;
        loop {
            let wake_at = schedule.next_wake(deadline);
            tokio::select! {
                biased;
                Some(Attempt { sent_at, outcome }) = attempts.next(), if !attempts.is_empty() => {
                    let has_indeterminate_attempt = has_unanswered_attempt || !attempts.is_empty();
                    match outcome {
                        Err(error) if error.may_have_executed() => has_unanswered_attempt = true,
                        Err(_) if has_indeterminate_attempt => schedule.back_off(Instant::now()),
                        outcome => return CommitResult { outcome, has_indeterminate_attempt, sent_at },
                    }
                }
                () = tokio::time::sleep_until(wake_at) => {
                    let now = Instant::now();
                    indeterminate_guard.get_or_insert_with(|| retries.indeterminate_writes.enter(first_sent_at));
                    if deadline.is_some_and(|deadline| now >= deadline) {
                        return CommitResult::deadline_exceeded(transaction, first_sent_at);
                    }
                    if self.may_hedge(priority, transaction) {
                        attempts.push(self.attempt(transaction));
                        schedule.await_timeout(now);
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

    /// Takes what an additional attempt needs from both budgets, if they have it.
    fn may_hedge(&self, priority: RequestPriority, transaction: &Transaction) -> bool {
        self.budget()
            .try_acquire(priority, transaction.writes.len())
            && self.retries.withdraw()
    }

    /// The transactions in doubt now, for the operators' summary.
    #[must_use]
    pub fn indeterminate_writes(&self) -> IndeterminateSummary {
        self.retries.indeterminate_writes.summary()
    }
}
