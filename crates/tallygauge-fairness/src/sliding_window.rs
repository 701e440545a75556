//! Counts over a sliding window.

use serde::{Deserialize, Serialize};

/// Parts that a window is cut into.
pub const BUCKETS: usize = 8;

/// A count over a sliding window of fixed length, by time of day, in parts of
/// an eighth. What fell into a part that is over by a window is forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlidingWindow(Vec<(u64, u32)>);

impl SlidingWindow {
    fn bucket_at(at: f64, span: f64) -> u64 {
        (at.max(0.0) / (span / BUCKETS as f64).max(1e-3)) as u64
    }

    /// Counts one at a time of day.
    pub fn add(&mut self, at: f64, span: f64) {
        let part = Self::bucket_at(at, span);
        // Clocks of nodes differ a little: a part may come up again.
        match self.0.iter_mut().find(|p| p.0 == part) {
            Some(found) => found.1 = found.1.saturating_add(1),
            None => self.0.push((part, 1)),
        }
        self.expire(at, span);
    }

    fn expire(&mut self, at: f64, span: f64) {
        let oldest = Self::bucket_at(at, span).saturating_sub(BUCKETS as u64 - 1);
        self.0.retain(|p| p.0 >= oldest);
        self.0.sort_unstable();
        // Times of day that leap ahead must not make it grow.
        let over = self.0.len().saturating_sub(BUCKETS);
        self.0.drain(..over);
    }

    /// How many were counted within the window before a time of day.
    #[must_use]
    pub fn sum(&self, at: f64, span: f64) -> u32 {
        let oldest = Self::bucket_at(at, span).saturating_sub(BUCKETS as u64 - 1);
        let within = self.0.iter().filter(|p| p.0 >= oldest);
        within.fold(0u32, |sum, p| sum.saturating_add(p.1))
    }
}

#[cfg(test)]
mod tests;
