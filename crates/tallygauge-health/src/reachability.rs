//! Whether what is sent to a machine reaches it.

/// Something that speaks against a machine's hearing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A report that shows nothing of what the answer before it carried.
    Unheeded,
    /// A question or command sent to it was not answered, though it reports.
    Unanswered,
    /// Its session ended, though its reports were answered all the time: it has
    /// taken none of the answers of a whole lease.
    SessionOver,
}

/// How many signs tell, and for how long they are remembered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Signs in a row from which on nothing new is placed there.
    pub doubted: u32,
    /// Signs in a row from which on it counts as deaf.
    pub deaf: u32,
    /// Seconds that a sign may be younger than the one before it and still be
    /// the same event: one lost answer must not count twice.
    pub apart_s: f64,
    /// Seconds after which a sign that was not followed by another is forgotten.
    pub memory_s: f64,
}

/// Whether what is sent to a machine reaches it, as far as can be told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Hearing {
    /// Nothing speaks against it.
    #[default]
    Hears,
    /// So many signs in a row, the last of them at `at`.
    Doubted {
        /// Signs.
        signs: u32,
        /// When the last came.
        at: f64,
    },
    /// It does not.
    Deaf {
        /// Since when that is held.
        since: f64,
    },
}

impl Hearing {
    /// It has shown that it hears: it answered, or did what it was told.
    pub fn heard(&mut self) {
        *self = Self::Hears;
    }

    /// Something speaks against it. Returns whether it counts as deaf from now
    /// on and did not before.
    pub fn sign(&mut self, sign: Sign, now: f64, limits: &Limits) -> bool {
        let weight = match sign {
            Sign::Unheeded | Sign::Unanswered => 1,
            Sign::SessionOver => limits.deaf,
        };
        let signs = match *self {
            Self::Deaf { .. } => return false,
            Self::Doubted { at, .. } if now - at > limits.memory_s => weight,
            Self::Doubted { signs, at } if now - at < limits.apart_s => signs.max(weight),
            Self::Doubted { signs, .. } => signs + weight,
            Self::Hears => weight,
        };
        *self = if signs >= limits.deaf {
            Self::Deaf { since: now }
        } else {
            Self::Doubted { signs, at: now }
        };
        matches!(self, Self::Deaf { .. })
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn trusted(&self, now: f64, limits: &Limits) -> bool {
        match *self {
            Self::Hears => true,
            Self::Doubted { signs, at } => signs < limits.doubted || now - at > limits.memory_s,
            Self::Deaf { .. } => false,
        }
    }

    /// Whether it should be asked if it hears.
    #[must_use]
    pub fn in_question(&self) -> bool {
        !matches!(self, Self::Hears)
    }

    /// For how long it has been deaf.
    #[must_use]
    pub fn deaf_for(&self, now: f64) -> Option<f64> {
        match *self {
            Self::Deaf { since } => Some(now - since),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMITS: Limits = Limits {
        doubted: 2,
        deaf: 3,
        apart_s: 0.5,
        memory_s: 30.0,
    };

    #[test]
    fn signs_in_a_row_tell_and_one_word_to_the_contrary_is_enough() {
        let mut hearing = Hearing::default();
        assert!(!hearing.sign(Sign::Unheeded, 10.0, &LIMITS));
        assert!(hearing.trusted(10.0, &LIMITS) && hearing.in_question());
        assert!(!hearing.sign(Sign::Unanswered, 15.0, &LIMITS));
        assert!(!hearing.trusted(15.0, &LIMITS));
        assert!(hearing.sign(Sign::Unheeded, 20.0, &LIMITS));
        assert!(
            !hearing.sign(Sign::Unheeded, 25.0, &LIMITS),
            "known already"
        );
        assert_eq!(hearing.deaf_for(26.0), Some(6.0));
        hearing.heard();
        assert!(hearing.trusted(26.0, &LIMITS) && !hearing.in_question());
        assert!(hearing.sign(Sign::SessionOver, 30.0, &LIMITS));
    }

    /// The signs as they are worded: those that count, each more than `apart`
    /// after the one before it, none longer than the memory after it.
    fn plain(events: &[(f64, Option<Sign>)]) -> u32 {
        let (mut row, mut last, mut deaf): (u32, Option<f64>, bool) = (0, None, false);
        for (at, sign) in events {
            let Some(sign) = sign else {
                (row, last, deaf) = (0, None, false);
                continue;
            };
            if deaf {
                continue;
            }
            let weight = if *sign == Sign::SessionOver { 3 } else { 1 };
            match last {
                Some(before) if at - before > LIMITS.memory_s => row = weight,
                Some(before) if at - before < LIMITS.apart_s => row = row.max(weight),
                _ => row += weight,
            }
            last = Some(*at);
            deaf = row >= LIMITS.deaf;
        }
        row.min(LIMITS.deaf)
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn the_judgement_is_that_of_the_plain_model(steps in prop::collection::vec((0.1f64..40.0, 0u8..6), 0..30)) {
            let mut hearing = Hearing::default();
            let (mut now, mut events) = (0.0, Vec::new());
            for (pause, what) in steps {
                now += pause;
                let sign = match what {
                    0 => None,
                    1 => Some(Sign::SessionOver),
                    2 | 3 => Some(Sign::Unanswered),
                    _ => Some(Sign::Unheeded),
                };
                match sign {
                    Some(sign) => { hearing.sign(sign, now, &LIMITS); }
                    None => hearing.heard(),
                }
                events.push((now, sign));
                let real = match hearing {
                    Hearing::Hears => 0,
                    Hearing::Doubted { signs, .. } => signs,
                    Hearing::Deaf { .. } => LIMITS.deaf,
                };
                prop_assert_eq!(real, plain(&events));
            }
        }
    }
}
