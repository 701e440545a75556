//! Renewal of the leader's lease.

use crate::controller::Controller;

/// Timeout of a renewal: the lease's time to live, divided by this.
const TIMEOUT_DIVISOR: u32 = 3;

/// Pause after a renewal: the lease's time to live, divided by this.
const INTERVAL_DIVISOR: u32 = 4;

/// Pause after a failed renewal: the lease's time to live, divided by this.
const RETRY_DIVISOR: u32 = 10;

/// Renews the lease until it has certainly expired. While the store does not answer,
/// the term goes on: the leader fences itself and cannot write.
pub(super) async fn renew_until_lost(controller: &Controller, lease: u64) {
    let ttl = controller.leader_lease_ttl();
    loop {
        let sent_at = controller.now();
        match controller
            .store
            .renew_lease(lease, ttl / TIMEOUT_DIVISOR)
            .await
        {
            Ok(true) => {
                record_renewal(controller, sent_at);
                tokio::time::sleep(ttl / INTERVAL_DIVISOR).await;
            }
            Ok(false) => {
                tracing::info!("leader lease expired");
                return;
            }
            Err(_) => tokio::time::sleep(ttl / RETRY_DIVISOR).await,
        }
    }
}

/// A renewal confirms both the lease and the term as of when it was sent.
fn record_renewal(controller: &Controller, sent_at: f64) {
    if let Some(leadership) = controller.leadership.lock().as_mut() {
        leadership.term_confirmed_at = leadership.term_confirmed_at.max(sent_at);
        leadership.lease_renewed_at = leadership.lease_renewed_at.max(sent_at);
    }
}
