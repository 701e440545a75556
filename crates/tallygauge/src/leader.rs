//! Leader election and the terms that this controller leads.
//!
//! - `election` campaigns for a term under a lease.
//! - `lease` renews the lease.
//! - `recovery` restores the cluster state from the store.
//! - `background_loops` runs the background loops of the term.
//!
//! The term ends as soon as the renewal or the background loops end or the controller
//! steps down.

mod background_loops;
mod election;
mod lease;
mod recovery;
mod stored_value;

use crate::{controller::Controller, leadership::Leadership};
use std::sync::Arc;
use tallygauge_store::StoreError;

/// Fraction of the store's request rate limits that the leader may use.
const LEADER_REQUEST_SHARE: f64 = 0.55;

/// Fraction of the store's request rate limits that all followers together may use.
const FOLLOWERS_REQUEST_SHARE: f64 = 0.45;

/// The leader lease's time to live divided by this is the pause between two reads of the term
/// while candidacy is suspended, and the upper limit of the random pause after a term that
/// this controller led.
const CANDIDACY_PAUSE_DIVISOR: u32 = 4;

/// Observes the elections, campaigns when there is no leader, and leads every term that
/// this controller wins. Never returns.
pub async fn run(controller: Arc<Controller>) {
    let ttl = controller.leader_lease_ttl();
    loop {
        let Ok(observed) = election::read_term(&controller).await else {
            pause_after_error(&controller).await;
            continue;
        };
        controller.record_store_reached();
        controller.observe_term(observed.term, observed.leader_name());
        if observed.has_leader() {
            election::wait_for_term_change(&controller, observed.revision).await;
        } else if controller
            .leadership
            .is_candidacy_suspended(controller.now())
        {
            tokio::time::sleep(ttl / CANDIDACY_PAUSE_DIVISOR).await;
        } else if campaign_and_lead(&controller, &observed).await.is_err() {
            pause_after_error(&controller).await;
        }
    }
}

/// Pauses before the next election request; the jitter keeps candidates from acting in
/// lockstep.
async fn pause_after_error(controller: &Controller) {
    let pause = controller.store_retry_pause();
    tokio::time::sleep(pause + controller.jitter(pause)).await;
}

/// Campaigns under a new lease and, if the term is won, leads it until it ends.
///
/// # Errors
/// Returns an error when the lease is not granted.
async fn campaign_and_lead(
    controller: &Arc<Controller>,
    observed: &election::ObservedTerm,
) -> Result<(), StoreError> {
    let ttl = controller.leader_lease_ttl();
    let requested_at = controller.now();
    let lease = controller.store.grant_lease(ttl).await?;
    let won = election::campaign(controller, observed, lease, requested_at).await;
    let has_led = won.is_some();
    if let Some(leadership) = won {
        lead_term(controller, leadership, lease).await;
    }
    let _ = controller.store.revoke_lease(lease).await;
    if has_led {
        tokio::time::sleep(controller.jitter(ttl / CANDIDACY_PAUSE_DIVISOR)).await;
    }
    Ok(())
}

/// Leads one term until its lease is lost or the controller steps down.
async fn lead_term(controller: &Arc<Controller>, leadership: Leadership, lease: u64) {
    let term = leadership.term;
    let term_condition = leadership.term_condition.clone();
    controller.leadership.begin_term(leadership);
    set_request_share(controller, true);
    tokio::select! {
        biased;
        () = lease::renew_until_lost(controller, lease) => {}
        () = background_loops::run(controller, term, &term_condition) => {}
        () = controller.leadership.wait_until_deposed(term) => {}
    }
    controller.step_down("the term has ended");
    set_request_share(controller, false);
}

/// Sets this controller's share of the store's request rate limits.
fn set_request_share(controller: &Controller, is_leader: bool) {
    let deployment = &controller.settings.deployment;
    let followers = f64::from(deployment.controller_count.max(2) - 1);
    let share = if is_leader {
        LEADER_REQUEST_SHARE
    } else {
        FOLLOWERS_REQUEST_SHARE / followers
    };
    let limits = &deployment.store;
    controller
        .store
        .budget()
        .set_rates(limits.requests_per_s * share, limits.writes_per_s * share);
}

/// Steps down in favour of a controller that workers can reach, and does not campaign for
/// the duration of a worker's lease.
pub fn yield_leadership(controller: &Controller) {
    let leadership = &controller.leadership;
    let pause_s = controller.settings.deployment.workers.lease_s;
    leadership.suspend_candidacy_until(controller.now() + pause_s);
    leadership.step_down("workers reach only other controllers");
}
