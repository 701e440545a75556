//! Renewal of the leader's lease.

use crate::controller::Controller;

/// The timeout of a renewal is the lease's time to live divided by this.
const RENEWAL_TIMEOUT_DIVISOR: u32 = 3;

/// The pause after a successful renewal is the lease's time to live divided by this.
const RENEWAL_PAUSE_DIVISOR: u32 = 4;

/// The pause after a failed renewal is the lease's time to live divided by this.
const RENEWAL_RETRY_DIVISOR: u32 = 10;

/// Renews the lease until the store reports that it has expired. While the store does not
/// answer, the term continues: the leader fences itself and cannot write.
pub(super) async fn renew_until_lost(controller: &Controller, lease: u64) {
    let ttl = controller.leader_lease_ttl();
    loop {
        let sent_at = controller.now();
        match controller
            .store
            .renew_lease(lease, ttl / RENEWAL_TIMEOUT_DIVISOR)
            .await
        {
            Ok(true) => {
                record_renewal(controller, sent_at);
                tokio::time::sleep(ttl / RENEWAL_PAUSE_DIVISOR).await;
            }
            Ok(false) => {
                tracing::info!("leader lease expired");
                return;
            }
            Err(_) => tokio::time::sleep(ttl / RENEWAL_RETRY_DIVISOR).await,
        }
    }
}

/// Records a renewal, which confirms both the lease and the term as of the time at which
/// it was sent.
fn record_renewal(controller: &Controller, sent_at: f64) {
    if let Some(leadership) = controller.leadership.lock().as_mut() {
        leadership.term_confirmed_at = leadership.term_confirmed_at.max(sent_at);
        leadership.lease_renewed_at = leadership.lease_renewed_at.max(sent_at);
    }
}
