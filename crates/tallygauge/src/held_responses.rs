//! Holds the response to a heartbeat while starts for its worker are about to become due.
//!
//! A hold ends before the worker would send another heartbeat, so that nothing that the worker has to
//! report waits for it. Whether the response may be sent is decided when the hold has ended.

use crate::controller::Controller;
use std::time::Duration;
use tallygauge_protocol::workers::MIN_HEARTBEAT_GAP_S;
use tallygauge_scheduler::HeldResponse;
use tokio::time::{Instant, timeout_at};

/// Longest hold, as a fraction of the minimum time between two heartbeats of a worker. The rest is
/// left to the transit of the heartbeat and of the response.
const MAX_HOLD_FRACTION: f64 = 0.8;

/// A hold, which ends at the latest when this is dropped: the connection may end before the response
/// is sent.
pub(crate) struct Hold<'a> {
    controller: &'a Controller,
    response: HeldResponse,
    has_ended: bool,
}

impl<'a> Hold<'a> {
    /// The hold of a response. The caller has begun it in the cluster state.
    pub(crate) fn new(controller: &'a Controller, response: HeldResponse) -> Self {
        Self {
            controller,
            response,
            has_ended: false,
        }
    }

    /// Waits until starts are due, none can be expected, or the time is over. Then ends the hold,
    /// and returns whether the worker still waits for the response.
    pub(crate) async fn wait(mut self) -> bool {
        let max_hold = Duration::from_secs_f64(MIN_HEARTBEAT_GAP_S * MAX_HOLD_FRACTION);
        let deadline = Instant::now() + max_hold;
        loop {
            let changed = self.controller.starts_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.expects_starts() || timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        self.end()
    }

    fn expects_starts(&self) -> bool {
        self.controller
            .with_cluster(|cluster| cluster.expects_starts(&self.response))
            .unwrap_or(false)
    }

    fn end(&mut self) -> bool {
        self.has_ended = true;
        self.controller
            .with_cluster(|cluster| cluster.end_hold(&self.response))
            .unwrap_or(false)
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end();
            self.controller.wake_scheduler.notify_one();
        }
    }
}
