//! This node's share of the state service's request limits.

use std::{sync::Mutex, time::Duration};
use tokio::time::Instant;

/// What a request is for, most important first. A class may only use tokens
/// that the classes above it have left over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Terms, leases and watches: never waits.
    Leadership,
    /// Submissions and cancellations.
    Users,
    /// Placements.
    Placement,
    /// Finished tasks and cleaning up.
    Progress,
    /// What can be done without.
    Upkeep,
    /// Users' polls: as many as users like, so that they must never take what
    /// the others need. They come last, and have all that is left.
    Polls,
}

impl Class {
    /// Part of the burst that this class leaves to the classes above it.
    fn reserve(self) -> f64 {
        match self {
            Class::Leadership => f64::NEG_INFINITY,
            Class::Users => 0.1,
            Class::Placement => 0.25,
            Class::Progress => 0.4,
            Class::Upkeep => 0.5,
            Class::Polls => 0.6,
        }
    }

    /// How long a request of this class may wait for its turn.
    fn patience(self) -> Duration {
        match self {
            Class::Leadership => Duration::ZERO,
            Class::Users | Class::Polls => Duration::from_millis(800),
            Class::Placement | Class::Progress | Class::Upkeep => Duration::from_millis(1500),
        }
    }
}

struct Bucket {
    rate: f64,
    tokens: f64,
}

impl Bucket {
    fn refill(&mut self, seconds: f64) {
        self.tokens = (self.tokens + seconds * self.rate).min(self.rate);
    }

    fn has(&self, count: f64, class: Class) -> bool {
        // A transaction larger than what the class may ever gather must still
        // pass once the bucket is full.
        let floor = (class.reserve() * self.rate).min(self.rate - count);
        class == Class::Leadership || self.tokens - count >= floor
    }
}

struct State {
    requests: Bucket,
    writes: Bucket,
    at: Instant,
    waiting: usize,
}

/// Two token buckets, for requests and for writes, with one second's burst.
pub struct Budget {
    state: Mutex<State>,
    most_waiting: usize,
}

impl Budget {
    /// A budget of so many requests and writes a second.
    #[must_use]
    pub fn new(requests: f64, writes: f64) -> Self {
        Self {
            state: Mutex::new(State {
                requests: Bucket {
                    rate: requests,
                    tokens: requests,
                },
                writes: Bucket {
                    rate: writes,
                    tokens: writes,
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
    pub fn refused(&self) {
        let mut state = self.state.lock().expect("budget lock");
        state.requests.tokens = state.requests.tokens.min(0.0);
        state.writes.tokens = state.writes.tokens.min(0.0);
    }

    /// A comparison failed: the service counts it as a write.
    pub fn failed_comparison(&self) {
        self.state.lock().expect("budget lock").writes.tokens -= 1.0;
    }

    fn attempt(&self, class: Class, writes: usize) -> bool {
        let mut state = self.state.lock().expect("budget lock");
        let now = Instant::now();
        let passed = now.duration_since(state.at).as_secs_f64();
        state.at = now;
        state.requests.refill(passed);
        state.writes.refill(passed);
        let count = writes as f64;
        let fits =
            state.requests.has(1.0, class) && (writes == 0 || state.writes.has(count, class));
        if fits {
            state.requests.tokens -= 1.0;
            state.writes.tokens -= count;
        }
        fits
    }

    /// Takes one request with so many writes, waiting a little for its turn;
    /// `false` when the turn did not come. The number that wait is bounded.
    pub async fn take(&self, class: Class, writes: usize) -> bool {
        if self.attempt(class, writes) {
            return true;
        }
        {
            let mut state = self.state.lock().expect("budget lock");
            if state.waiting >= self.most_waiting {
                return false;
            }
            state.waiting += 1;
        }
        let _left = Leave(self);
        let until = Instant::now() + class.patience();
        loop {
            tokio::time::sleep(Duration::from_millis(25)).await;
            if self.attempt(class, writes) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
        }
    }
}

/// Counts a waiting request out, also when its caller gave up.
struct Leave<'a>(&'a Budget);

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        self.0.state.lock().expect("budget lock").waiting -= 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lower_classes_leave_room_for_higher_ones() {
        let budget = Budget::new(10.0, 10.0);
        let mut taken = [0; 4];
        let classes = [
            Class::Polls,
            Class::Progress,
            Class::Placement,
            Class::Users,
        ];
        for (i, class) in classes.into_iter().enumerate() {
            while budget.attempt(class, 1) {
                taken[i] += 1;
            }
        }
        assert_eq!(taken, [4, 2, 1, 2]);
        assert!(
            budget.attempt(Class::Leadership, 1),
            "leadership never waits"
        );
        budget.failed_comparison();
        budget.refused();
        assert!(!budget.attempt(Class::Users, 0));
    }
}
