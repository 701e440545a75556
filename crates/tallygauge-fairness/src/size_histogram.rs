//! Histograms of job sizes, which tell the largest jobs of a class.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Buckets for each doubling of a size.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Buckets on either side of size 1; sizes beyond the last count as equal.
const MAX_BUCKET: f64 = 100.0;

/// Fraction of a class's jobs that are its largest, by each dimension of size.
pub const LARGEST_FRACTION: f64 = 0.1;

/// Dimensions of a job's size.
const DIMENSIONS: usize = 3;

/// Size of a job by each dimension: tasks, CPU-seconds of all tasks, CPUs of a task.
pub type JobSize = [f64; DIMENSIONS];

/// Histograms of the sizes of a class's jobs, one for each dimension: number of jobs
/// by bucket. Bounded, as the buckets are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SizeHistogram([BTreeMap<i8, u32>; DIMENSIONS]);

/// Lowest bucket of the largest jobs, by dimension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeThresholds([i8; DIMENSIONS]);

impl SizeThresholds {
    /// Whether a job of this size is among the largest by any dimension.
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
    /// Counts a job.
    pub fn add(&mut self, size: JobSize) {
        for (counts, size) in self.0.iter_mut().zip(size) {
            let count = counts.entry(bucket_of(size)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Removes a job that was counted with [`add`](Self::add).
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

    /// Number of jobs counted.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0[0]
            .values()
            .fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Number of buckets in use, of all dimensions.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.0.iter().map(BTreeMap::len).sum()
    }

    /// Thresholds of the largest jobs among those counted here and in `other`: by
    /// dimension, the lowest bucket from which on there are at most `fraction` of all
    /// jobs, rounded up to at least one.
    #[must_use]
    pub fn thresholds(&self, other: &Self, fraction: f64) -> SizeThresholds {
        let total = f64::from(self.total()) + f64::from(other.total());
        let max_largest = (total * fraction).ceil().max(1.0);
        let mut thresholds = [i8::MAX; DIMENSIONS];
        let dimensions = self.0.iter().zip(&other.0);
        for (threshold, (own, others)) in thresholds.iter_mut().zip(dimensions) {
            let mut counts: BTreeMap<i8, f64> = BTreeMap::new();
            for (bucket, count) in own.iter().chain(others) {
                *counts.entry(*bucket).or_default() += f64::from(*count);
            }
            let mut largest = 0.0;
            for (bucket, count) in counts.iter().rev() {
                largest += count;
                if largest > max_largest {
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
