//! Straight lines fitted through measured points.

/// `cost = fixed + each * size`, fitted by least squares of relative errors, so that
/// small sizes weigh as much as large ones. The units are those of the points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Cost at size 0.
    pub fixed: f64,
    /// Cost for each unit of size.
    pub each: f64,
    /// Largest error of the line at a point, as a fraction of the cost there.
    pub residual: f64,
}

impl Line {
    /// Fits a line through points of size and cost; `None` for fewer than two different
    /// sizes, or for a cost that is not positive.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let first_size = points.first()?.0;
        let has_one_size = points.iter().all(|(size, _)| *size == first_size);
        if has_one_size || points.iter().any(|(_, cost)| *cost <= 0.0) {
            return None;
        }
        let sums = WeightedSums::of(points);
        let each = (sums.weight * sums.size_cost - sums.size * sums.cost)
            / (sums.weight * sums.size_squared - sums.size * sums.size);
        let fixed = (sums.cost - each * sums.size) / sums.weight;
        let error = |&(size, cost): &(f64, f64)| ((fixed + each * size - cost) / cost).abs();
        let residual = points.iter().map(error).fold(0.0, f64::max);
        Some(Self {
            fixed,
            each,
            residual,
        })
    }

    /// Cost at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.each * size
    }

    /// Size at which the cost reaches a limit; `None` if the cost does not grow.
    #[must_use]
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        (self.each > 0.0).then(|| ((limit - self.fixed) / self.each).max(0.0))
    }
}

/// Sums over points, each weighted by the inverse square of its cost.
#[derive(Default)]
struct WeightedSums {
    weight: f64,
    size: f64,
    cost: f64,
    size_squared: f64,
    size_cost: f64,
}

impl WeightedSums {
    fn of(points: &[(f64, f64)]) -> Self {
        let mut sums = Self::default();
        for &(size, cost) in points {
            let weight = 1.0 / (cost * cost);
            sums.weight += weight;
            sums.size += weight * size;
            sums.cost += weight * cost;
            sums.size_squared += weight * size * size;
            sums.size_cost += weight * size * cost;
        }
        sums
    }
}
