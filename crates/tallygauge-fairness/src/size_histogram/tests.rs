use super::*;

/// Reference for the thresholds: whether a job is among the largest. It is if, in some
/// dimension, the jobs at least as large as it, itself included, are at most a tenth of
/// all, rounded up.
fn is_largest_by_counting(closed: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
    let total = f64::from(closed.total() + open.total());
    let max_largest_jobs = (total * LARGEST_FRACTION).ceil().max(1.0);
    let mut dimensions = closed.0.iter().zip(&open.0).zip(size);
    dimensions.any(|((closed, open), size)| {
        let buckets = closed.iter().chain(open);
        let at_least_as_large = buckets
            .filter(|c| *c.0 >= bucket_of(size))
            .map(|c| f64::from(*c.1));
        at_least_as_large.sum::<f64>() <= max_largest_jobs
    })
}

fn is_largest(closed: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
    let is_largest = closed
        .thresholds(open, LARGEST_FRACTION)
        .is_reached_by(size);
    assert_eq!(is_largest, is_largest_by_counting(closed, open, size));
    is_largest
}

#[test]
fn largest_jobs_are_a_tenth_in_each_dimension() {
    let (mut closed, mut open) = (SizeHistogram::default(), SizeHistogram::default());
    let size = |n: u32| [f64::from(n), f64::from(101 - n), 16.0];
    for n in 1..=100 {
        let sizes = if n % 2 == 0 { &mut closed } else { &mut open };
        sizes.add(size(n));
    }
    let largest: Vec<u32> = (1..=100)
        .filter(|n| is_largest_by_counting(&closed, &open, size(*n)))
        .collect();
    // Thresholds that are computed once for all sizes give the same jobs.
    let thresholds = closed.thresholds(&open, LARGEST_FRACTION);
    let by_thresholds: Vec<u32> = (1..=100)
        .filter(|n| thresholds.is_reached_by(size(*n)))
        .collect();
    assert_eq!(by_thresholds, largest);
    // The largest are those with the most tasks (high n) and those with the most work (low
    // n). All jobs need the same CPUs for a task, so none is among the largest by that.
    assert!(largest.contains(&100) && largest.contains(&1));
    assert!(!largest.contains(&50));
    assert!((4..=20).contains(&largest.len()), "{largest:?}");
    for n in (1..=100).filter(|n| n % 2 == 1) {
        open.remove(size(n));
    }
    assert_eq!(open, SizeHistogram::default());
}

#[test]
fn at_least_one_job_is_largest_and_bucket_count_is_bounded() {
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
