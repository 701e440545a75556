//! Estimate of the round-trip time to the store, and the retransmission timeout derived
//! from it, as in RFC 6298 (smoothed mean and mean deviation).

use std::time::Duration;

/// Weight of a new sample in the smoothed round-trip time.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of mean deviations that the timeout lies above the mean.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Estimator of the round-trip time, from requests that received a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoundTripEstimator {
    /// `None` before the first sample.
    estimate: Option<Estimate>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl RoundTripEstimator {
    /// Adds a sample: the round-trip time of a request that received a response.
    pub fn observe(&mut self, sample: Duration) {
        let sample_s = sample.as_secs_f64();
        self.estimate = Some(match self.estimate {
            None => Estimate {
                mean_s: sample_s,
                deviation_s: sample_s / 2.0,
            },
            Some(Estimate {
                mean_s,
                deviation_s,
            }) => Estimate {
                mean_s: mean_s + MEAN_GAIN * (sample_s - mean_s),
                deviation_s: deviation_s
                    + DEVIATION_GAIN * ((sample_s - mean_s).abs() - deviation_s),
            },
        });
    }

    /// How long to wait for a response before the request is sent again, between `min`
    /// and `max`. Before the first sample this is the geometric mean of `min` and `max`.
    #[must_use]
    pub fn timeout(&self, min: Duration, max: Duration) -> Duration {
        let (min_s, max_s) = (min.as_secs_f64(), max.as_secs_f64());
        let timeout_s = match self.estimate {
            Some(estimate) => estimate.mean_s + TIMEOUT_DEVIATIONS * estimate.deviation_s,
            None => (min_s * max_s).sqrt(),
        };
        Duration::from_secs_f64(timeout_s.max(min_s).min(max_s))
    }
}
