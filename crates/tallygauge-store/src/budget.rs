//! This controller's share of the key-value store's rate limits.

use crate::RequestPriority;
use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Share of the request rate that is reserved for polls.
const POLLS_SHARE: f64 = 0.05;

/// Minimum rate reserved for polls, in requests per second. Capped by
/// [`MAX_POLLS_SHARE`].
const MIN_POLLS_PER_S: f64 = 1.0;

/// Upper bound on the minimum rate reserved for polls, as a share of the request rate.
const MAX_POLLS_SHARE: f64 = 0.25;

/// Bound on the number of requests that wait for a permit at one time, in seconds of
/// the request rate.
const MAX_WAITING_S: f64 = 4.0;

/// Interval at which a waiting request tries again to acquire a permit.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(25);

/// Rate reserved for polls, in requests per second, at a total of `requests_per_s`.
fn reserved_for_polls(requests_per_s: f64) -> f64 {
    (requests_per_s * POLLS_SHARE).max(MIN_POLLS_PER_S.min(requests_per_s * MAX_POLLS_SHARE))
}

/// Token bucket. Its burst is one second's worth of tokens.
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
}

impl TokenBucket {
    fn full(rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s,
        }
    }

    fn refill(&mut self, elapsed_s: f64, max_tokens: f64) {
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(max_tokens);
    }

    fn has_tokens(&self, count: f64, priority: RequestPriority) -> bool {
        // A transaction that needs more tokens than its priority's share of the burst
        // must still be admitted once the bucket is full.
        let reserve = (priority.reserved_share() * self.rate_per_s).min(self.rate_per_s - count);
        priority == RequestPriority::Leadership || self.tokens - count >= reserve
    }
}

struct BudgetState {
    requests: TokenBucket,
    writes: TokenBucket,
    /// Reserve for polls, used when the other priorities leave no tokens over. Holds at
    /// most one second's worth of tokens, or one token if that is more.
    polls: TokenBucket,
    refilled_at: Instant,
    /// Requests that wait for a permit.
    waiting: usize,
}

impl BudgetState {
    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.requests.refill(elapsed_s, self.requests.rate_per_s);
        self.writes.refill(elapsed_s, self.writes.rate_per_s);
        self.polls.refill(elapsed_s, self.polls.rate_per_s.max(1.0));
    }

    fn has_tokens(&self, priority: RequestPriority, writes: usize) -> bool {
        self.requests.has_tokens(1.0, priority)
            && (writes == 0 || self.writes.has_tokens(writes as f64, priority))
    }

    /// Takes one token from the reserve for polls, if there is one.
    fn take_poll_reserve(&mut self) -> bool {
        let has_reserve = self.polls.tokens >= 1.0;
        if has_reserve {
            self.polls.tokens -= 1.0;
        }
        has_reserve
    }
}

/// Rate limiter for requests and writes: one token bucket for each, with a burst of one
/// second, and a reserve for polls.
pub struct RequestBudget {
    state: Mutex<BudgetState>,
    max_waiting: usize,
}

impl RequestBudget {
    /// Creates a budget with these rates per second.
    #[must_use]
    pub fn new(requests_per_s: f64, writes_per_s: f64) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                requests: TokenBucket::full(requests_per_s),
                writes: TokenBucket::full(writes_per_s),
                polls: TokenBucket {
                    rate_per_s: reserved_for_polls(requests_per_s),
                    tokens: 1.0,
                },
                refilled_at: Instant::now(),
                waiting: 0,
            }),
            max_waiting: (requests_per_s * MAX_WAITING_S) as usize,
        }
    }

    /// Changes the rates, for example when the controller is elected leader or steps down.
    pub fn set_rates(&self, requests_per_s: f64, writes_per_s: f64) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.rate_per_s = requests_per_s;
        state.writes.rate_per_s = writes_per_s;
        state.polls.rate_per_s = reserved_for_polls(requests_per_s);
    }

    /// Request rate of this controller, in requests per second.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        self.state.lock().expect("budget lock").requests.rate_per_s
    }

    /// Number of requests that wait for a permit.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().expect("budget lock").waiting
    }

    /// Records that the store responded with 429 (rate limit exceeded): discards the
    /// accumulated tokens.
    pub fn record_rate_limited(&self) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.tokens = state.requests.tokens.min(0.0);
        state.writes.tokens = state.writes.tokens.min(0.0);
    }

    /// Charges one write for a failed comparison (a transaction without writes), as the
    /// store counts it as a write.
    pub fn charge_failed_comparison(&self) {
        self.state.lock().expect("budget lock").writes.tokens -= 1.0;
    }

    /// Acquires a permit for one request with this many writes if enough tokens are
    /// available now.
    pub fn try_acquire(&self, priority: RequestPriority, writes: usize) -> bool {
        let mut state = self.state.lock().expect("budget lock");
        state.refill(Instant::now());
        let is_plain_poll = priority == RequestPriority::Polls && writes == 0;
        let is_granted =
            state.has_tokens(priority, writes) || (is_plain_poll && state.take_poll_reserve());
        if is_granted {
            state.requests.tokens -= 1.0;
            state.writes.tokens -= writes as f64;
        }
        is_granted
    }

    /// Acquires a permit for one request with this many writes, waiting for at most the
    /// priority's maximum wait. Returns `false` if the wait ended without a permit, or if
    /// too many requests are waiting already.
    pub async fn acquire(&self, priority: RequestPriority, writes: usize) -> bool {
        if self.try_acquire(priority, writes) {
            return true;
        }
        let Some(_waiting) = self.enter_queue() else {
            return false;
        };
        let deadline = Instant::now() + priority.max_wait();
        loop {
            tokio::time::sleep(ACQUIRE_INTERVAL).await;
            if self.try_acquire(priority, writes) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
        }
    }

    /// Counts a request as waiting until the guard is dropped; `None` if too many
    /// requests are waiting already.
    fn enter_queue(&self) -> Option<WaitingGuard<'_>> {
        let mut state = self.state.lock().expect("budget lock");
        if state.waiting >= self.max_waiting {
            return None;
        }
        state.waiting += 1;
        Some(WaitingGuard(self))
    }
}

/// Counts one waiting request. Dropping it ends the count, also when the caller's future
/// is cancelled.
struct WaitingGuard<'a>(&'a RequestBudget);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().expect("budget lock").waiting -= 1;
    }
}

#[cfg(test)]
mod tests;
