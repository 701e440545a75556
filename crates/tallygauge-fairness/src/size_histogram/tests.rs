use super::*;

/// Whether a job is among the largest, counted one by one: with those at least as
/// large by some dimension it is a tenth at most, or the only one.
fn is_largest_by_counting(closed: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
    let total = f64::from(closed.total() + open.total());
    let max_largest = (total * LARGEST_FRACTION).ceil().max(1.0);
    let mut dimensions = closed.0.iter().zip(&open.0).zip(size);
    dimensions.any(|((closed, open), size)| {
        let all = closed.iter().chain(open);
        let above = all
            .filter(|c| *c.0 >= bucket_of(size))
            .map(|c| f64::from(*c.1));
        above.sum::<f64>() <= max_largest
    })
}

fn is_largest(closed: &SizeHistogram, open: &SizeHistogram, size: JobSize) -> bool {
    let large = closed
        .thresholds(open, LARGEST_FRACTION)
        .is_reached_by(size);
    assert_eq!(large, is_largest_by_counting(closed, open, size));
    large
}

#[test]
fn the_largest_are_a_tenth_by_each_dimension() {
    let (mut closed, mut open) = (SizeHistogram::default(), SizeHistogram::default());
    let size = |n: u32| [f64::from(n), f64::from(101 - n), 16.0];
    for n in 1..=100 {
        let sizes = if n % 2 == 0 { &mut closed } else { &mut open };
        sizes.add(size(n));
    }
    let largest: Vec<u32> = (1..=100)
        .filter(|n| is_largest_by_counting(&closed, &open, size(*n)))
        .collect();
    // Thresholds computed once give the same.
    let thresholds = closed.thresholds(&open, LARGEST_FRACTION);
    let again: Vec<u32> = (1..=100)
        .filter(|n| thresholds.is_reached_by(size(*n)))
        .collect();
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
fn at_least_one_job_is_largest_and_the_buckets_are_bounded() {
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
