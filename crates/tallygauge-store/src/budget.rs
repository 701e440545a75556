//! This controller's share of the key-value store's rate limits.

use crate::RequestPriority;
use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// Part of the requests that is reserved for polls.
const POLLS_SHARE: f64 = 0.05;

/// Requests a second that are reserved for polls at the least ...
const MIN_POLLS_PER_S: f64 = 1.0;

/// ... unless that is more than this part of the requests.
const MAX_POLLS_SHARE: f64 = 0.25;

/// Requests that may wait for a permit, in seconds of the rate.
const MAX_WAITING_S: f64 = 4.0;

/// Pause between two tries of a request that waits for a permit.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(25);

/// Requests a second that are reserved for polls.
fn reserved_for_polls(requests_per_s: f64) -> f64 {
    (requests_per_s * POLLS_SHARE).max(MIN_POLLS_PER_S.min(requests_per_s * MAX_POLLS_SHARE))
}

/// Token bucket with a burst of one second.
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
        // A transaction larger than what its priority can ever accumulate must still
        // pass once the bucket is full.
        let reserve = (priority.reserved_share() * self.rate_per_s).min(self.rate_per_s - count);
        priority == RequestPriority::Leadership || self.tokens - count >= reserve
    }
}

struct BudgetState {
    requests: TokenBucket,
    writes: TokenBucket,
    /// Reserve of polls, used when the other requests leave nothing over. It holds at
    /// most one second's worth, or one request.
    polls: TokenBucket,
    refilled_at: Instant,
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

    /// Takes one request from the reserve of polls, if it has one.
    fn take_poll_reserve(&mut self) -> bool {
        let has_reserve = self.polls.tokens >= 1.0;
        if has_reserve {
            self.polls.tokens -= 1.0;
        }
        has_reserve
    }
}

/// Rate limiter of requests and writes: two token buckets with a burst of one second.
pub struct RequestBudget {
    state: Mutex<BudgetState>,
    max_waiting: usize,
}

impl RequestBudget {
    /// A budget of this many requests and writes a second.
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

    /// Changes the rates, as when the controller is elected leader or steps down.
    pub fn set_rates(&self, requests_per_s: f64, writes_per_s: f64) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.rate_per_s = requests_per_s;
        state.writes.rate_per_s = writes_per_s;
        state.polls.rate_per_s = reserved_for_polls(requests_per_s);
    }

    /// Requests a second that this controller may make.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        self.state.lock().expect("budget lock").requests.rate_per_s
    }

    /// Requests that wait for a permit.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().expect("budget lock").waiting
    }

    /// The store answered that the limit is exceeded: saved tokens are void.
    pub fn record_rate_limited(&self) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.tokens = state.requests.tokens.min(0.0);
        state.writes.tokens = state.writes.tokens.min(0.0);
    }

    /// A comparison failed: the store counts it as a write.
    pub fn charge_failed_comparison(&self) {
        self.state.lock().expect("budget lock").writes.tokens -= 1.0;
    }

    /// Takes one request with this many writes if the budget has it now.
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

    /// Takes one request with this many writes, waiting for it as long as the priority
    /// allows; `false` when the wait ended without it, or too many wait already.
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

    /// Counts a request as waiting until the guard is dropped; `None` when too many
    /// wait already.
    fn enter_queue(&self) -> Option<WaitingGuard<'_>> {
        let mut state = self.state.lock().expect("budget lock");
        if state.waiting >= self.max_waiting {
            return None;
        }
        state.waiting += 1;
        Some(WaitingGuard(self))
    }
}

/// Guard of one waiting request: dropping it, also when the caller is cancelled, ends
/// the wait.
struct WaitingGuard<'a>(&'a RequestBudget);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.state.lock().expect("budget lock").waiting -= 1;
    }
}

#[cfg(test)]
mod tests;
