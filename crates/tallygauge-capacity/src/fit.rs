//! Linear regression through measured data points.

/// The line `cost = intercept + slope * size`, fitted by least squares of the relative errors,
/// so that small sizes weigh as much as large ones. The units are those of the data points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Cost at size 0.
    pub intercept: f64,
    /// Cost per unit of size.
    pub slope: f64,
    /// Largest deviation of the line from a data point, as a fraction of the point's cost.
    pub max_relative_error: f64,
}

impl Line {
    /// Fits a line through points `(size, cost)`. Returns `None` if there are fewer than two
    /// different sizes, or if a cost is zero or negative.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let first_size = points.first()?.0;
        let has_one_size = points.iter().all(|(size, _)| *size == first_size);
        if has_one_size || points.iter().any(|(_, cost)| *cost <= 0.0) {
            return None;
        }
        let sums = WeightedSums::of(points);
        let slope = (sums.weight * sums.size_cost - sums.size * sums.cost)
            / (sums.weight * sums.size_squared - sums.size * sums.size);
        let intercept = (sums.cost - slope * sums.size) / sums.weight;
        let relative_error =
            |&(size, cost): &(f64, f64)| ((intercept + slope * size - cost) / cost).abs();
        let max_relative_error = points.iter().map(relative_error).fold(0.0, f64::max);
        Some(Self {
            intercept,
            slope,
            max_relative_error,
        })
    }

    /// Cost at the given size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Size at which the cost reaches `limit`; `None` if the cost does not increase with size.
    #[must_use]
    pub fn size_at(&self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| ((limit - self.intercept) / self.slope).max(0.0))
    }
}

/// Sums over data points, each weighted by the inverse square of its cost.
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
