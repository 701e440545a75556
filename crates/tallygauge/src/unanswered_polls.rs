//! Tracks which jobs' polls have not been answered, and since when.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

/// Maximum number of jobs whose unanswered polls are tracked.
const MAX_POLLED_JOBS: usize = 4096;

/// Jobs that users have polled without an answer so far. The number of jobs is bounded. When
/// the bound is reached, jobs that are no longer polled are dropped. If none can be dropped,
/// polls of further jobs are not tracked.
#[derive(Default)]
pub struct UnansweredPolls {
    by_job: Mutex<HashMap<String, PolledJob>>,
}

/// Times of a job's unanswered polls, in seconds of the controller's clock.
struct PolledJob {
    /// When the first of the unanswered polls arrived.
    unanswered_since: f64,
    /// When the latest poll arrived.
    last_poll_at: f64,
}

impl PolledJob {
    /// Whether the job was polled within the last `expiry_s` seconds. A user who has stopped
    /// polling is assumed to have been answered by another controller.
    fn is_still_polled(&self, now: f64, expiry_s: f64) -> bool {
        now - self.last_poll_at <= expiry_s
    }
}

impl UnansweredPolls {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, PolledJob>> {
        self.by_job
            .lock()
            .expect("a task that held the lock of the unanswered polls panicked")
    }

    /// Records a poll of a job. Returns the time since which the job's polls have been
    /// unanswered.
    pub fn record_poll(&self, id: &str, now: f64, expiry_s: f64) -> f64 {
        let mut by_job = self.lock();
        if let Some(polled_job) = by_job.get_mut(id) {
            if !polled_job.is_still_polled(now, expiry_s) {
                polled_job.unanswered_since = now;
            }
            polled_job.last_poll_at = now;
            return polled_job.unanswered_since;
        }
        if by_job.len() >= MAX_POLLED_JOBS {
            by_job.retain(|_, polled_job| polled_job.is_still_polled(now, expiry_s));
        }
        if by_job.len() < MAX_POLLED_JOBS {
            let polled_job = PolledJob {
                unanswered_since: now,
                last_poll_at: now,
            };
            by_job.insert(id.to_string(), polled_job);
        }
        now
    }

    /// Records that a poll of a job was answered, which ends the tracking of the job.
    pub fn record_answer(&self, id: &str) {
        self.lock().remove(id);
    }

    /// The longest time for which a job's polls have been unanswered, in seconds, among the
    /// jobs polled within the last `expiry_s` seconds. `None` if there is no such job.
    #[must_use]
    pub fn longest_wait_s(&self, now: f64, expiry_s: f64) -> Option<f64> {
        self.lock()
            .values()
            .filter(|polled_job| polled_job.is_still_polled(now, expiry_s))
            .map(|polled_job| polled_job.unanswered_since)
            .min_by(f64::total_cmp)
            .map(|since| now - since)
    }
}
