//! Histograms of job sizes, from which the largest jobs of a class are determined.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Histogram buckets for each doubling of a size.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets below and above size 1. Sizes beyond the outermost buckets are
/// counted in these.
const MAX_BUCKET: f64 = 100.0;

/// Fraction of a class's jobs that count as its largest, in each dimension of size.
pub const LARGEST_FRACTION: f64 = 0.1;

/// Number of dimensions of a job's size.
const DIMENSIONS: usize = 3;

/// Size of a job in each dimension: number of tasks, CPU-seconds of all tasks, and CPUs of
/// one task.
pub type JobSize = [f64; DIMENSIONS];

/// Histograms of the sizes of a class's jobs: for each dimension, the number of jobs by
/// bucket. Its size is bounded, as the number of buckets is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SizeHistogram([BTreeMap<i8, u32>; DIMENSIONS]);

/// Lowest bucket of the largest jobs, in each dimension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeThresholds([i8; DIMENSIONS]);

impl SizeThresholds {
    /// Whether a size reaches the threshold in any dimension.
    #[must_use]
    pub fn is_reached_by(&self, size: JobSize) -> bool {
        let mut dimensions = self.0.iter().zip(size);
        dimensions.any(|(threshold, size)| bucket_of(size) >= *threshold)
    }
}

/// Bucket that a size falls into.
fn bucket_of(size: f64) -> i8 {
    let bucket = size.max(f64::MIN_POSITIVE).log2() * BUCKETS_PER_DOUBLING;
    bucket.clamp(-MAX_BUCKET, MAX_BUCKET) as i8
}

impl SizeHistogram {
    /// Adds a job.
    pub fn add(&mut self, size: JobSize) {
        for (counts, size) in self.0.iter_mut().zip(size) {
            let count = counts.entry(bucket_of(size)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Removes a job that was added with [`add`](Self::add).
    pub fn remove(&mut self, size: JobSize) {
        for (counts, size) in self.0.iter_mut().zip(size) {
            if let Some(count) = counts.get_mut(&bucket_of(size)) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&bucket_of(size));
                }
            }
        }
    }

    /// Number of jobs in the histograms.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0[0]
            .values()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of non-empty buckets of all dimensions together.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.0.iter().map(BTreeMap::len).sum()
    }

    /// Thresholds of the largest jobs among those of `self` and `other`. In each dimension,
    /// this is the lowest bucket such that it and the buckets above it hold at most
    /// `fraction` of all jobs, rounded up to a whole number of at least one.
    #[must_use]
    pub fn thresholds(&self, other: &Self, fraction: f64) -> SizeThresholds {
        let total = f64::from(self.total()) + f64::from(other.total());
        let max_largest_jobs = (total * fraction).ceil().max(1.0);
        let mut thresholds = [i8::MAX; DIMENSIONS];
        let dimensions = self.0.iter().zip(&other.0);
        for (threshold, (own_counts, other_counts)) in thresholds.iter_mut().zip(dimensions) {
            let mut counts: BTreeMap<i8, f64> = BTreeMap::new();
            for (bucket, count) in own_counts.iter().chain(other_counts) {
                *counts.entry(*bucket).or_default() += f64::from(*count);
            }
            let mut largest_jobs = 0.0;
            for (bucket, count) in counts.iter().rev() {
                largest_jobs += count;
                if largest_jobs > max_largest_jobs {
                    break;
                }
                *threshold = *bucket;
            }
        }
        SizeThresholds(thresholds)
    }
}

#[cfg(test)]
mod tests;
