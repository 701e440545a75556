//! Which of the other controllers answer this one.

use crate::locking::lock;
use std::sync::Mutex;

/// Results of the latest probes of the other controllers.
pub struct PeerReachability {
    reachable: Mutex<usize>,
    last_contact_at: Mutex<f64>,
}

impl Default for PeerReachability {
    fn default() -> Self {
        Self {
            reachable: Mutex::new(0),
            last_contact_at: Mutex::new(f64::NEG_INFINITY),
        }
    }
}

impl PeerReachability {
    /// Records how many peers answered the latest probe; 0 when none was sent.
    pub fn record_reachable_count(&self, count: usize) {
        *lock(&self.reachable) = count;
    }

    /// Number of peers that answered the latest probe.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        *lock(&self.reachable)
    }

    /// Records that a peer answered, or that the store is available and no peer
    /// had to be probed.
    pub fn record_contact(&self, now: f64) {
        *lock(&self.last_contact_at) = now;
    }

    /// When contact was last recorded.
    #[must_use]
    pub fn last_contact_at(&self) -> f64 {
        *lock(&self.last_contact_at)
    }
}
