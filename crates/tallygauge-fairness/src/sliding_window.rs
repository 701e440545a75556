//! Counts of events over a sliding window.

use serde::{Deserialize, Serialize};

/// Number of buckets that a window is divided into.
pub const BUCKETS_PER_WINDOW: usize = 8;

/// Minimum length of a bucket, seconds.
const MIN_BUCKET_S: f64 = 1e-3;

/// Number of events in a sliding window of fixed length, counted in [`BUCKETS_PER_WINDOW`]
/// buckets by Unix time. Buckets that are older than the window are dropped.
///
/// The window's length is not stored: all calls for one counter must pass the same length.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlidingWindow(Vec<Bucket>);

/// Number of events in one bucket. Stored as the pair (number, count).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
struct Bucket {
    /// Unix time divided by the length of a bucket.
    number: u64,
    /// Events in the bucket.
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

/// Number of the bucket that a Unix time falls into.
fn bucket_number(unix_time_s: f64, window_s: f64) -> u64 {
    (unix_time_s.max(0.0) / (window_s / BUCKETS_PER_WINDOW as f64).max(MIN_BUCKET_S)) as u64
}

/// Number of the oldest bucket of the window that ends at a Unix time.
fn oldest_bucket_number(unix_time_s: f64, window_s: f64) -> u64 {
    bucket_number(unix_time_s, window_s).saturating_sub(BUCKETS_PER_WINDOW as u64 - 1)
}

impl SlidingWindow {
    /// Counts an event at `unix_time_s` in a window of `window_s` seconds.
    pub fn add(&mut self, unix_time_s: f64, window_s: f64) {
        let number = bucket_number(unix_time_s, window_s);
        // The clocks of controllers differ slightly, so an event may belong to an earlier
        // bucket than the last one.
        match self.0.iter_mut().find(|bucket| bucket.number == number) {
            Some(bucket) => bucket.count = bucket.count.saturating_add(1),
            None => self.0.push(Bucket { number, count: 1 }),
        }
        self.drop_expired_buckets(unix_time_s, window_s);
    }

    fn drop_expired_buckets(&mut self, unix_time_s: f64, window_s: f64) {
        let oldest = oldest_bucket_number(unix_time_s, window_s);
        self.0.retain(|bucket| bucket.number >= oldest);
        self.0.sort_unstable();
        // After a clock has jumped ahead and back, buckets of future times remain, which
        // must not accumulate.
        let excess = self.0.len().saturating_sub(BUCKETS_PER_WINDOW);
        self.0.drain(..excess);
    }

    /// Number of events in the window of `window_s` seconds that ends at `unix_time_s`.
    #[must_use]
    pub fn sum(&self, unix_time_s: f64, window_s: f64) -> u32 {
        let oldest = oldest_bucket_number(unix_time_s, window_s);
        let in_window = self.0.iter().filter(|bucket| bucket.number >= oldest);
        in_window.fold(0, |sum, bucket| sum.saturating_add(bucket.count))
    }
}

#[cfg(test)]
mod tests;
