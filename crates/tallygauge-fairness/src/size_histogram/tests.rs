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
