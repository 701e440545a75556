//! Whether what is sent to a machine reaches it.

/// Something that speaks against a machine's hearing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A report that shows nothing of what the answer before it carried.
    NotAcknowledged,
    /// A question or command sent to it was not answered, though it reports.
    Unanswered,
    /// Its session ended, though its reports were answered all the time: it has
    /// taken none of the answers of a whole lease.
    LeaseExpired,
}

/// How many signs tell, and for how long they are remembered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReachabilityThresholds {
    /// Signs in a row from which on nothing new is placed there.
    pub suspected: u32,
    /// Signs in a row from which on it counts as deaf.
    pub unreachable: u32,
    /// Seconds that a sign may be younger than the one before it and still be
    /// the same event: one lost answer must not count twice.
    pub min_interval_s: f64,
    /// Seconds after which a sign that was not followed by another is forgotten.
    pub expiry_s: f64,
}

/// Whether what is sent to a machine reaches it, as far as can be told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reachability {
    /// Nothing speaks against it.
    #[default]
    Reachable,
    /// So many signs in a row, the last of them at `at`.
    Suspected {
        /// Signs.
        signs: u32,
        /// When the last came.
        at: f64,
    },
    /// It does not.
    Unreachable {
        /// Since when that is held.
        since: f64,
    },
}

impl Reachability {
    /// It has shown that it hears: it answered, or did what it was told.
    pub fn confirm(&mut self) {
        *self = Self::Reachable;
    }

    /// Something speaks against it. Returns whether it counts as deaf from now
    /// on and did not before.
    pub fn record(&mut self, sign: Evidence, now: f64, limits: &ReachabilityThresholds) -> bool {
        let weight = match sign {
            Evidence::NotAcknowledged | Evidence::Unanswered => 1,
            Evidence::LeaseExpired => limits.unreachable,
        };
        let signs = match *self {
            Self::Unreachable { .. } => return false,
            Self::Suspected { at, .. } if now - at > limits.expiry_s => weight,
            Self::Suspected { signs, at } if now - at < limits.min_interval_s => signs.max(weight),
            Self::Suspected { signs, .. } => signs + weight,
            Self::Reachable => weight,
        };
        *self = if signs >= limits.unreachable {
            Self::Unreachable { since: now }
        } else {
            Self::Suspected { signs, at: now }
        };
        matches!(self, Self::Unreachable { .. })
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn accepts_work(&self, now: f64, limits: &ReachabilityThresholds) -> bool {
        match *self {
            Self::Reachable => true,
            Self::Suspected { signs, at } => signs < limits.suspected || now - at > limits.expiry_s,
            Self::Unreachable { .. } => false,
        }
    }

    /// Whether it should be asked if it hears.
    #[must_use]
    pub fn needs_probe(&self) -> bool {
        !matches!(self, Self::Reachable)
    }

    /// For how long it has been deaf.
    #[must_use]
    pub fn unreachable_for(&self, now: f64) -> Option<f64> {
        match *self {
            Self::Unreachable { since } => Some(now - since),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMITS: ReachabilityThresholds = ReachabilityThresholds {
        suspected: 2,
        unreachable: 3,
        min_interval_s: 0.5,
        expiry_s: 30.0,
    };

    #[test]
    fn signs_in_a_row_tell_and_one_word_to_the_contrary_is_enough() {
        let mut hearing = Reachability::default();
        assert!(!hearing.record(Evidence::NotAcknowledged, 10.0, &LIMITS));
        assert!(hearing.accepts_work(10.0, &LIMITS) && hearing.needs_probe());
        assert!(!hearing.record(Evidence::Unanswered, 15.0, &LIMITS));
        assert!(!hearing.accepts_work(15.0, &LIMITS));
        assert!(hearing.record(Evidence::NotAcknowledged, 20.0, &LIMITS));
        assert!(
            !hearing.record(Evidence::NotAcknowledged, 25.0, &LIMITS),
            "known already"
        );
        assert_eq!(hearing.unreachable_for(26.0), Some(6.0));
        hearing.confirm();
        assert!(hearing.accepts_work(26.0, &LIMITS) && !hearing.needs_probe());
        assert!(hearing.record(Evidence::LeaseExpired, 30.0, &LIMITS));
    }

    /// The signs as they are worded: those that count, each more than `apart`
    /// after the one before it, none longer than the memory after it.
    fn plain(events: &[(f64, Option<Evidence>)]) -> u32 {
        let (mut row, mut last, mut deaf): (u32, Option<f64>, bool) = (0, None, false);
        for (at, sign) in events {
            let Some(sign) = sign else {
                (row, last, deaf) = (0, None, false);
                continue;
            };
            if deaf {
                continue;
            }
            let weight = if *sign == Evidence::LeaseExpired {
                3
            } else {
                1
            };
            match last {
                Some(before) if at - before > LIMITS.expiry_s => row = weight,
                Some(before) if at - before < LIMITS.min_interval_s => row = row.max(weight),
                _ => row += weight,
            }
            last = Some(*at);
            deaf = row >= LIMITS.unreachable;
        }
        row.min(LIMITS.unreachable)
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn the_judgement_is_that_of_the_plain_model(steps in prop::collection::vec((0.1f64..40.0, 0u8..6), 0..30)) {
            let mut hearing = Reachability::default();
            let (mut now, mut events) = (0.0, Vec::new());
            for (pause, what) in steps {
                now += pause;
                let sign = match what {
                    0 => None,
                    1 => Some(Evidence::LeaseExpired),
                    2 | 3 => Some(Evidence::Unanswered),
                    _ => Some(Evidence::NotAcknowledged),
                };
                match sign {
                    Some(sign) => { hearing.record(sign, now, &LIMITS); }
                    None => hearing.confirm(),
                }
                events.push((now, sign));
                let real = match hearing {
                    Reachability::Reachable => 0,
                    Reachability::Suspected { signs, .. } => signs,
                    Reachability::Unreachable { .. } => LIMITS.unreachable,
                };
                prop_assert_eq!(real, plain(&events));
            }
        }
    }
}
