//! The part of the process's time that operators get, and each of them.

use lru::LruCache;
use std::{
    num::NonZeroUsize,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Callers that are told apart; the one that called longest ago is forgotten.
const CALLERS: usize = 256;

/// Seconds of saved-up share, of all and of one caller.
const BURST_S: f64 = 5.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    left: f64,
    at: Instant,
}

impl Bucket {
    fn refill(&mut self, rate: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.left = (self.left + passed * rate).min(rate * BURST_S);
    }
}

struct State {
    time: Bucket,
    callers: LruCache<String, Bucket>,
}

/// Bounds what operators' requests may take: a part of the process's time, all
/// together, and so many calls a second each.
pub struct Share {
    part: f64,
    calls_per_s: f64,
    state: Mutex<State>,
}

impl Share {
    /// A share of `part` (0 to 1) of the time, and so many calls a second for
    /// each caller.
    #[must_use]
    pub fn new(part: f64, calls_per_s: f64) -> Self {
        let now = Instant::now();
        let most = NonZeroUsize::new(CALLERS).unwrap_or(NonZeroUsize::MIN);
        Self {
            part,
            calls_per_s,
            state: Mutex::new(State {
                time: Bucket {
                    left: part * BURST_S,
                    at: now,
                },
                callers: LruCache::new(most),
            }),
        }
    }

    /// Whether a call may be served at `now`; else how long until one may.
    ///
    /// # Errors
    /// How long the caller should wait.
    pub fn take(&self, caller: &str, now: Instant) -> Result<(), Duration> {
        let mut state = self.state.lock().expect("share lock");
        state.time.refill(self.part, now);
        if state.time.left <= 0.0 {
            return Err(Duration::from_secs_f64(-state.time.left / self.part).max(SHORT));
        }
        let rate = self.calls_per_s;
        if let Some(bucket) = state.callers.get_mut(caller) {
            bucket.refill(rate, now);
            if bucket.left < 1.0 {
                return Err(Duration::from_secs_f64((1.0 - bucket.left) / rate).max(SHORT));
            }
            bucket.left -= 1.0;
        } else {
            let bucket = Bucket {
                left: (rate * BURST_S - 1.0).max(0.0),
                at: now,
            };
            state.callers.put(caller.to_string(), bucket);
        }
        Ok(())
    }

    /// Counts time that was spent for operators.
    pub fn spent(&self, time: Duration) {
        let mut state = self.state.lock().expect("share lock");
        state.time.left -= time.as_secs_f64();
    }
}

/// What a caller is told to wait at least.
const SHORT: Duration = Duration::from_millis(100);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_caller_does_not_use_up_what_others_get_and_time_bounds_all() {
        let share = Share::new(0.05, 10.0);
        let began = Instant::now();
        let at = |s: f64| began + Duration::from_secs_f64(s);
        let taken = |caller: &str, from: f64| {
            let calls =
                (0..100).filter(|n| share.take(caller, at(from + f64::from(*n) * 0.01)).is_ok());
            calls.count()
        };
        assert_eq!(taken("a", 0.0), 59, "a burst, and what comes meanwhile");
        assert_eq!(taken("b", 1.0), 59);
        assert_eq!(taken("a", 2.0), 20);
        // Long calls use up the time of all.
        for _ in 0..10 {
            share.spent(Duration::from_millis(50));
        }
        let wait = share.take("c", at(3.0)).unwrap_err();
        assert!((3.0..6.0).contains(&wait.as_secs_f64()), "{wait:?}");
        assert!(share.take("c", at(3.1) + wait).is_ok());
    }

    #[test]
    fn what_is_known_of_callers_is_bounded() {
        let share = Share::new(0.05, 10.0);
        let now = Instant::now();
        for n in 0..10_000 {
            let _ = share.take(&n.to_string(), now);
        }
        assert_eq!(share.state.lock().unwrap().callers.len(), CALLERS);
    }
}
