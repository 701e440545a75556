//! Tracks how many of the other controllers respond to this one, and since when none does.

use crate::locking::lock;
use std::sync::Mutex;

/// Results of the latest probes of the other controllers. A probe is an announcement to
/// every peer.
pub struct PeerReachability {
    /// Number of peers that responded to the latest probe for load shedding.
    reachable_count: Mutex<usize>,
    /// In seconds of the controller's clock.
    last_contact_at: Mutex<f64>,
}

impl Default for PeerReachability {
    fn default() -> Self {
        Self {
            reachable_count: Mutex::new(0),
            last_contact_at: Mutex::new(f64::NEG_INFINITY),
        }
    }
}

impl PeerReachability {
    /// Records how many peers responded to the latest probe, or 0 when no probe was sent.
    pub fn record_reachable_count(&self, count: usize) {
        *lock(&self.reachable_count) = count;
    }

    /// Number of peers that responded to the latest probe, or 0 when no probe was sent.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        *lock(&self.reachable_count)
    }

    /// Records that a peer responded, or that the store is available so that no peer had to
    /// be probed.
    pub fn record_contact(&self, now: f64) {
        *lock(&self.last_contact_at) = now;
    }

    /// When [`Self::record_contact`] was last called, in seconds of the controller's clock.
    /// Negative infinity if it never was.
    #[must_use]
    pub fn last_contact_at(&self) -> f64 {
        *lock(&self.last_contact_at)
    }
}
