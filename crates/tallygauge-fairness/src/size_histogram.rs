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
mod tests {
    use super::*;

    /// Whether a job is among the largest, counted one by one: with those at least
    /// as large by some reading it is a tenth at most, or the only one.
    fn plain(over: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
        let total = f64::from(over.total() + open.total());
        let most = (total * LARGEST_FRACTION).ceil().max(1.0);
        let readings = over.0.iter().zip(&open.0).zip(size);
        readings.into_iter().any(|((over, open), size)| {
            let all = over.iter().chain(open);
            let above = all
                .filter(|c| *c.0 >= bucket_of(size))
                .map(|c| f64::from(*c.1));
            above.sum::<f64>() <= most
        })
    }

    fn is_largest(over: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
        let large = over.thresholds(open, LARGEST_FRACTION).is_at_least(size);
        assert_eq!(large, plain(over, open, size));
        large
    }

    #[test]
    fn a_tenth_is_largest_by_each_reading() {
        let (mut over, mut open) = (SizeHistogram::default(), SizeHistogram::default());
        let size = |n: u32| [f64::from(n), f64::from(101 - n), 16.0];
        for n in 1..=100 {
            let sizes = if n % 2 == 0 { &mut over } else { &mut open };
            sizes.add(size(n));
        }
        let largest: Vec<u32> = (1..=100)
            .filter(|n| plain(&over, &open, size(*n)))
            .collect();
        // Worked out once for all, the same.
        let limits = over.thresholds(&open, LARGEST_FRACTION);
        let again: Vec<u32> = (1..=100).filter(|n| limits.is_at_least(size(*n))).collect();
        assert_eq!(again, largest);
        // By tasks those with the most, by work those with the fewest here; all
        // have tasks of one size, which makes none of them large.
        assert!(largest.contains(&100) && largest.contains(&1));
        assert!(!largest.contains(&50));
        assert!((4..=20).contains(&largest.len()), "{largest:?}");
        for n in (1..=100).filter(|n| n % 2 == 1) {
            open.remove(size(n));
        }
        assert_eq!(open, SizeHistogram::default());
    }

    #[test]
    fn at_least_one_is_largest_and_it_stays_small() {
        let mut sizes = SizeHistogram::default();
        sizes.add([1.0, 5.0, 2.0]);
        assert!(is_largest(
            &sizes,
            &SizeHistogram::default(),
            [1.0, 5.0, 2.0]
        ));
        sizes.add([4.0, 5.0, 2.0]);
        assert!(is_largest(
            &sizes,
            &SizeHistogram::default(),
            [4.0, 5.0, 2.0]
        ));
        assert!(!is_largest(
            &sizes,
            &SizeHistogram::default(),
            [1.0, 5.0, 2.0]
        ));
        for n in 0..100_000u32 {
            let size = 10f64.powi(n as i32 % 600 - 300);
            sizes.add([size, size * 3.0, 0.0]);
        }
        assert!(sizes.bucket_count() <= 3 * 201);
    }
}
