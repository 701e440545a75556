//! This node's share of the state service's request limits.

use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// What a request is for, most important first. A class may only use tokens
/// that the classes above it have left over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Terms, leases and watches: never waits.
    Leadership,
    /// Submissions and cancellations.
    Users,
    /// Placements.
    Placement,
    /// Finished tasks and cleaning up.
    Progress,
    /// What can be done without.
    Maintenance,
    /// Users' polls: as many as users like, so that they must never take what
    /// the others need. They come last, and have all that is left; besides, a
    /// small part of the requests is theirs alone, so that each is answered in
    /// the end however long the others have enough to do.
    Polls,
}

impl RequestPriority {
    /// Part of the burst that this class leaves to the classes above it.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Leadership => f64::NEG_INFINITY,
            RequestPriority::Users => 0.1,
            RequestPriority::Placement => 0.25,
            RequestPriority::Progress => 0.4,
            RequestPriority::Maintenance => 0.5,
            RequestPriority::Polls => 0.6,
        }
    }

    /// How long a request of this class may wait for its turn.
    fn patience(self) -> Duration {
        match self {
            RequestPriority::Leadership => Duration::ZERO,
            RequestPriority::Users | RequestPriority::Polls => Duration::from_millis(800),
            RequestPriority::Placement
            | RequestPriority::Progress
            | RequestPriority::Maintenance => Duration::from_millis(1500),
        }
    }
}

/// Part of the requests that polls have whatever else there is to do, and the
/// least of them a second, as far as that is a quarter at most.
const POLLS_OWN: f64 = 0.05;
const POLLS_LEAST: f64 = 1.0;

/// Requests a second that polls have whatever else there is to do.
fn reserved_for_polls(requests: f64) -> f64 {
    (requests * POLLS_OWN).max(POLLS_LEAST.min(requests * 0.25))
}

struct Bucket {
    rate: f64,
    tokens: f64,
}

impl Bucket {
    fn refill(&mut self, seconds: f64) {
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate);
    }

    fn has(&self, count: f64, class: RequestPriority) -> bool {
        // A transaction larger than what the class may ever gather must still
        // pass once the bucket is full.
        let floor = (class.reserve() * self.rate).min(self.rate - count);
        class == RequestPriority::Leadership || self.tokens - count >= floor
    }
}

struct BudgetState {
    requests: Bucket,
    writes: Bucket,
    /// What polls have of the requests whatever else there is to do. A second
    /// of it at most is saved up, or one request.
    polls: Bucket,
    at: Instant,
    waiting: usize,
}

/// Two token buckets, for requests and for writes, with one second's burst.
pub struct RequestBudget {
    state: Mutex<BudgetState>,
    most_waiting: usize,
}

impl RequestBudget {
    /// A budget of so many requests and writes a second.
    #[must_use]
    pub fn new(requests: f64, writes: f64) -> Self {
        Self {
            state: Mutex::new(BudgetState {
                requests: Bucket {
                    rate: requests,
                    tokens: requests,
                },
                writes: Bucket {
                    rate: writes,
                    tokens: writes,
                },
                polls: Bucket {
                    rate: reserved_for_polls(requests),
                    tokens: 1.0,
                },
                at: Instant::now(),
                waiting: 0,
            }),
            most_waiting: (requests * 4.0) as usize,
        }
    }

    /// Changes the share, as when the node starts or stops leading.
    pub fn set_rates(&self, requests: f64, writes: f64) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.rate = requests;
        state.writes.rate = writes;
        state.polls.rate = reserved_for_polls(requests);
    }

    /// Requests a second that this node may make.
    #[must_use]
    pub fn request_rate(&self) -> f64 {
        self.state.lock().expect("budget lock").requests.rate
    }

    /// Requests that wait for their turn.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.state.lock().expect("budget lock").waiting
    }

    /// The service said that the limit is passed: what was saved up is void.
    pub fn record_refusal(&self) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.tokens = state.requests.tokens.min(0.0);
        state.writes.tokens = state.writes.tokens.min(0.0);
    }

    /// A comparison failed: the service counts it as a write.
    pub fn charge_failed_comparison(&self) {
        self.state.lock().expect("budget lock").writes.tokens -= 1.0;
    }

    /// Takes one request with so many writes if its turn is now.
    pub fn try_acquire(&self, class: RequestPriority, writes: usize) -> bool {
        let mut state = self.state.lock().expect("budget lock");
        let now = Instant::now();
        let passed = now.duration_since(state.at).as_secs_f64();
        state.at = now;
        state.requests.refill(passed);
        state.writes.refill(passed);
        let most = state.polls.rate.max(1.0);
        state.polls.tokens = (state.polls.tokens + passed * state.polls.rate).min(most);
        let count = writes as f64;
        let mut fits =
            state.requests.has(1.0, class) && (writes == 0 || state.writes.has(count, class));
        if class == RequestPriority::Polls && writes == 0 && !fits && state.polls.tokens >= 1.0 {
            state.polls.tokens -= 1.0;
            fits = true;
        }
        if fits {
            state.requests.tokens -= 1.0;
            state.writes.tokens -= count;
        }
        fits
    }

    /// Takes one request with so many writes, waiting a little for its turn;
    /// `false` when the turn did not come. The number that wait is bounded.
    pub async fn acquire(&self, class: RequestPriority, writes: usize) -> bool {
        if self.try_acquire(class, writes) {
            return true;
        }
        {
            let mut state = self.state.lock().expect("budget lock");
            if state.waiting >= self.most_waiting {
                return false;
            }
            state.waiting += 1;
        }
        let _left = Permit(self);
        let until = Instant::now() + class.patience();
        loop {
            tokio::time::sleep(Duration::from_millis(25)).await;
            if self.try_acquire(class, writes) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
        }
    }
}

/// Counts a waiting request out, also when its caller gave up.
struct Permit<'a>(&'a RequestBudget);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.state.lock().expect("budget lock").waiting -= 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lower_classes_leave_room_for_higher_ones() {
        let budget = RequestBudget::new(10.0, 10.0);
        // What is kept for polls alone is used up.
        budget.state.lock().unwrap().polls.tokens = 0.0;
        let mut taken = [0; 4];
        let classes = [
            RequestPriority::Polls,
            RequestPriority::Progress,
            RequestPriority::Placement,
            RequestPriority::Users,
        ];
        for (i, class) in classes.into_iter().enumerate() {
            while budget.try_acquire(class, 1) {
                taken[i] += 1;
            }
        }
        assert_eq!(taken, [4, 2, 1, 2]);
        assert!(
            budget.try_acquire(RequestPriority::Leadership, 1),
            "leadership never waits"
        );
        budget.charge_failed_comparison();
        budget.record_refusal();
        assert!(!budget.try_acquire(RequestPriority::Users, 0));
    }

    // Polls came last and nothing said that any would ever be taken while the
    // others had enough to do.
    #[tokio::test(start_paused = true)]
    async fn polls_are_taken_however_much_else_there_is_to_do() {
        let budget = RequestBudget::new(40.0, 40.0);
        let (mut polls, mut users, mut refused) = (0, 0, 0);
        for tick in 0..6000 {
            tokio::time::advance(Duration::from_millis(10)).await;
            while budget.try_acquire(RequestPriority::Users, 0) {
                users += 1;
            }
            if tick % 10 == 0 {
                match budget.try_acquire(RequestPriority::Polls, 0) {
                    true => polls += 1,
                    false => refused += 1,
                }
            }
        }
        // 60 s: a twentieth of 40 a second, out of what there is.
        assert!((110..=125).contains(&polls) && refused > 0, "{polls}");
        assert!(users + polls <= 40 * 61, "{users}");
        assert!((reserved_for_polls(2.0), reserved_for_polls(400.0)) == (0.5, 20.0));
    }
}
