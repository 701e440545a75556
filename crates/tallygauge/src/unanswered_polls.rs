//! Users that poll a job without getting an answer, and for how long.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

/// Most jobs whose unanswered polls are remembered.
const MAX_POLLED_JOBS: usize = 4096;

/// Jobs that were polled and not answered for yet. Bounded: when it is full, jobs
/// that nobody polls any more are dropped, and new ones are not remembered.
#[derive(Default)]
pub struct UnansweredPolls {
    by_job: Mutex<HashMap<String, UnansweredPoll>>,
}

/// Times of a job's unanswered polls, in seconds of the controller's clock.
struct UnansweredPoll {
    /// The first poll that got no answer.
    unanswered_since: f64,
    /// The latest poll.
    last_request_at: f64,
}

impl UnansweredPoll {
    /// Whether the job was polled within the last `expiry_s` seconds. Whoever
    /// stopped polling was answered by another controller.
    fn is_waiting(&self, now: f64, expiry_s: f64) -> bool {
        now - self.last_request_at <= expiry_s
    }
}

impl UnansweredPolls {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, UnansweredPoll>> {
        self.by_job
            .lock()
            .expect("a task that held the lock of the unanswered polls panicked")
    }

    /// Records a poll of a job. Returns since when the job's polls have had no
    /// answer.
    pub fn record_poll(&self, id: &str, now: f64, expiry_s: f64) -> f64 {
        let mut by_job = self.lock();
        if let Some(caller) = by_job.get_mut(id) {
            if !caller.is_waiting(now, expiry_s) {
                caller.unanswered_since = now;
            }
            caller.last_request_at = now;
            return caller.unanswered_since;
        }
        if by_job.len() >= MAX_POLLED_JOBS {
            by_job.retain(|_, caller| caller.is_waiting(now, expiry_s));
        }
        if by_job.len() < MAX_POLLED_JOBS {
            let caller = UnansweredPoll {
                unanswered_since: now,
                last_request_at: now,
            };
            by_job.insert(id.to_string(), caller);
        }
        now
    }

    /// Records that a poll of a job was answered.
    pub fn record_reply(&self, id: &str) {
        self.lock().remove(id);
    }

    /// Seconds without an answer of the job that has gone without one for longest,
    /// of those polled within the last `expiry_s` seconds. `None` if there is none.
    #[must_use]
    pub fn longest_wait_s(&self, now: f64, expiry_s: f64) -> Option<f64> {
        self.lock()
            .values()
            .filter(|caller| caller.is_waiting(now, expiry_s))
            .map(|caller| caller.unanswered_since)
            .min_by(f64::total_cmp)
            .map(|since| now - since)
    }
}
