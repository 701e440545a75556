//! Which jobs of a class are its largest.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Steps of a size that are told apart, for each doubling.
const STEPS: f64 = 4.0;

/// Sizes beyond this many steps from 1 are taken as equal.
const FURTHEST: f64 = 100.0;

/// Part of a class's jobs that are its largest, by one reading.
pub const LARGEST_FRACTION: f64 = 0.1;

/// How large a job is, by each reading: tasks, CPU-seconds, CPUs of a task.
pub type JobSize = [f64; 3];

/// Sizes of a class's jobs: by reading, how many jobs by step. Bounded, as steps
/// are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SizeHistogram([BTreeMap<i8, u32>; 3]);

/// From which step on jobs are large, by reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SizeThresholds([i8; 3]);

impl SizeThresholds {
    /// Whether a job of this size is large by any reading.
    #[must_use]
    pub fn is_at_least(&self, size: JobSize) -> bool {
        let readings = self.0.iter().zip(size);
        readings
            .into_iter()
            .any(|(limit, size)| bucket_of(size) >= *limit)
    }
}

fn bucket_of(size: f64) -> i8 {
    let steps = size.max(f64::MIN_POSITIVE).log2() * STEPS;
    steps.clamp(-FURTHEST, FURTHEST) as i8
}

impl SizeHistogram {
    /// Counts a job.
    pub fn add(&mut self, size: JobSize) {
        for (counts, size) in self.0.iter_mut().zip(size) {
            let count = counts.entry(bucket_of(size)).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Counts a job no more.
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

    /// Jobs that are counted.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0[0].values().fold(0, |a, b| a.saturating_add(*b))
    }

    /// Steps that are told apart now, of all readings.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.0.iter().map(BTreeMap::len).sum()
    }

    /// By reading, the least step from which on those counted here and in `more`
    /// are such a part of all at most, or the only one.
    #[must_use]
    pub fn thresholds(&self, more: &Self, part: f64) -> SizeThresholds {
        let total = f64::from(self.total()) + f64::from(more.total());
        let most = (total * part).ceil().max(1.0);
        let mut limits = [i8::MAX; 3];
        for (limit, (own, more)) in limits.iter_mut().zip(self.0.iter().zip(&more.0)) {
            let mut steps: BTreeMap<i8, f64> = BTreeMap::new();
            for (step, count) in own.iter().chain(more) {
                *steps.entry(*step).or_default() += f64::from(*count);
            }
            let mut above = 0.0;
            for (step, count) in steps.iter().rev() {
                above += count;
                if above > most {
                    break;
                }
                *limit = *step;
            }
        }
        SizeThresholds(limits)
    }
}

#[cfg(test)]
mod tests;
