//! Estimate of the round-trip time to a service, and the time-out that follows
//! from it (RFC 6298: smoothed mean and mean deviation).

use std::time::Duration;

/// Weight of a new sample in the smoothed round-trip time.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Mean deviations above the mean at which a request is given up.
const DEVIATIONS: f64 = 4.0;

/// Round-trip times of answered requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoundTripEstimator {
    /// Smoothed mean and mean deviation, seconds; `None` before the first sample.
    estimate: Option<(f64, f64)>,
}

impl RoundTripEstimator {
    /// Takes up how long an answered request took.
    pub fn observe(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => (
                mean + MEAN_GAIN * (sample - mean),
                deviation + DEVIATION_GAIN * ((sample - mean).abs() - deviation),
            ),
        });
    }

    /// How long to wait for an answer before the request counts as unanswered,
    /// between `floor` and `cap`. Before the first sample: their geometric mean.
    #[must_use]
    pub fn timeout(&self, floor: Duration, cap: Duration) -> Duration {
        let (floor, cap) = (floor.as_secs_f64(), cap.as_secs_f64());
        let wait = match self.estimate {
            Some((mean, deviation)) => mean + DEVIATIONS * deviation,
            None => (floor * cap).sqrt(),
        };
        Duration::from_secs_f64(wait.max(floor).min(cap))
    }
}
