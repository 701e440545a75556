//! Lines through measured points.

/// `cost = fixed + each * size`, by least squares of relative errors, so that small
/// sizes count as much as large ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Cost at size 0.
    pub fixed: f64,
    /// Cost for each unit of size.
    pub each: f64,
    /// Largest error of the line at a measured point, as a part of the cost there.
    pub residual: f64,
}

impl Line {
    /// The line through points of size and cost; `None` for fewer than two sizes or
    /// a cost that is not positive.
    #[must_use]
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let first = points.first()?.0;
        if points.iter().all(|p| p.0 == first) || points.iter().any(|p| p.1 <= 0.0) {
            return None;
        }
        let (mut w, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for &(size, cost) in points {
            let weight = 1.0 / (cost * cost);
            w += weight;
            wx += weight * size;
            wy += weight * cost;
            wxx += weight * size * size;
            wxy += weight * size * cost;
        }
        let each = (w * wxy - wx * wy) / (w * wxx - wx * wx);
        let fixed = (wy - each * wx) / w;
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

    /// The size at which the cost reaches a limit; `None` if it does not grow.
    #[must_use]
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        (self.each > 0.0).then(|| ((limit - self.fixed) / self.each).max(0.0))
    }
}
