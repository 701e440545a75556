//! How long starts wait for the heartbeat whose response carries them.

use crate::{cluster_state::ClusterState, model::*};
use hdrhistogram::Histogram;

/// Longest wait that is told apart from longer ones, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Number of significant decimal digits to which waits are counted.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Waits of the starts that were sent since the last summary, each from when its placement was
/// durable until a heartbeat response carried it.
#[derive(Debug)]
pub(crate) struct StartWaits {
    waits_ms: Histogram<u32>,
}

/// Distribution of the waits of starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartWaitSummary {
    /// Number of starts.
    pub count: u64,
    /// Median wait, in milliseconds.
    pub median_ms: u64,
    /// 90th percentile of the waits, in milliseconds.
    pub p90_ms: u64,
}

impl Default for StartWaits {
    fn default() -> Self {
        let waits_ms = Histogram::new_with_bounds(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds and the number of digits are valid");
        Self { waits_ms }
    }
}

impl StartWaits {
    /// Records a wait in seconds.
    pub(crate) fn record(&mut self, wait_s: f64) {
        self.waits_ms.saturating_record((wait_s * 1000.0) as u64);
    }
}

impl ClusterState {
    /// The waits of the starts that were sent since the last call.
    pub fn take_start_waits(&mut self) -> StartWaitSummary {
        let waits_ms = &mut self.start_waits.waits_ms;
        let summary = StartWaitSummary {
            count: waits_ms.len(),
            median_ms: waits_ms.value_at_quantile(0.5),
            p90_ms: waits_ms.value_at_quantile(0.9),
        };
        waits_ms.reset();
        summary
    }

    /// Number of workers that were asked for a heartbeat and have not sent it yet.
    #[must_use]
    pub fn requested_heartbeats(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|worker| worker.heartbeat_requested).count()
    }
}

impl Attempt {
    /// How long its start has waited since its placement became durable, in seconds; `None` if the
    /// start was sent before.
    pub(crate) fn start_wait_s(&self, now: f64) -> Option<f64> {
        let committed_at = self.committed_at?;
        (!self.start_sent).then_some(now - committed_at)
    }
}
