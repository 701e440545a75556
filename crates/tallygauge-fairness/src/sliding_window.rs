//! Counts of events over a sliding window.

use serde::{Deserialize, Serialize};

/// Buckets that a window is divided into.
pub const BUCKETS_PER_WINDOW: usize = 8;

/// Shortest bucket, seconds.
const MIN_BUCKET_S: f64 = 1e-3;

/// Number of events in a sliding window of fixed length, counted in [`BUCKETS_PER_WINDOW`]
/// buckets by wall-clock time. Buckets that have left the window are dropped.
///
/// The window's length is not stored: all calls for one counter must pass the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlidingWindow(Vec<Bucket>);

/// Events in one bucket. Stored as the pair (number, count).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
struct Bucket {
    /// Time of day, in buckets.
    number: u64,
    count: u32,
}

impl From<(u64, u32)> for Bucket {
    fn from((number, count): (u64, u32)) -> Self {
        Self { number, count }
    }
}

impl From<Bucket> for (u64, u32) {
    fn from(bucket: Bucket) -> Self {
        (bucket.number, bucket.count)
    }
}

/// Number of the bucket that a wall-clock time falls into.
fn bucket_number(at: f64, window_s: f64) -> u64 {
    (at.max(0.0) / (window_s / BUCKETS_PER_WINDOW as f64).max(MIN_BUCKET_S)) as u64
}

/// Number of the oldest bucket in the window that ends at a wall-clock time.
fn oldest_bucket_number(at: f64, window_s: f64) -> u64 {
    bucket_number(at, window_s).saturating_sub(BUCKETS_PER_WINDOW as u64 - 1)
}

impl SlidingWindow {
    /// Counts an event at the wall-clock time `at`. All arguments are seconds.
    pub fn add(&mut self, at: f64, window_s: f64) {
        let number = bucket_number(at, window_s);
        // The clocks of controllers differ a little: an earlier bucket may come up
        // again.
        match self.0.iter_mut().find(|bucket| bucket.number == number) {
            Some(bucket) => bucket.count = bucket.count.saturating_add(1),
            None => self.0.push(Bucket { number, count: 1 }),
        }
        self.expire(at, window_s);
    }

    fn expire(&mut self, at: f64, window_s: f64) {
        let oldest = oldest_bucket_number(at, window_s);
        self.0.retain(|bucket| bucket.number >= oldest);
        self.0.sort_unstable();
        // A clock that leaps ahead leaves buckets in the future, which must
        // not accumulate.
        let excess = self.0.len().saturating_sub(BUCKETS_PER_WINDOW);
        self.0.drain(..excess);
    }

    /// Number of events in the window that ends at the wall-clock time `at`. All arguments
    /// are seconds.
    #[must_use]
    pub fn sum(&self, at: f64, window_s: f64) -> u32 {
        let oldest = oldest_bucket_number(at, window_s);
        let in_window = self.0.iter().filter(|bucket| bucket.number >= oldest);
        in_window.fold(0, |sum, bucket| sum.saturating_add(bucket.count))
    }
}

#[cfg(test)]
mod tests;
