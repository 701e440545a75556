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
mod tests;
