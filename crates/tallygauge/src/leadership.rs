//! This controller's knowledge of the leadership: its own term, if it is the leader, and
//! the highest term that it has observed.

use crate::locking::lock;
use std::sync::{Mutex, MutexGuard};
use tallygauge_protocol::state::Condition;
use tallygauge_scheduler::ClusterState;
use tokio::sync::Notify;

/// The highest term that this controller has observed, and its leader.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaderView {
    /// Highest term observed.
    pub term: u64,
    /// Name of the controller that leads this term; `None` unless that controller is known
    /// to hold its lease.
    pub leader: Option<String>,
}

/// State of the term that this controller leads. All times are readings of
/// [`Controller::now`](crate::controller::Controller::now), in seconds.
pub struct Leadership {
    /// The term's number, which is also the fencing token of every command to a worker.
    pub term: u64,
    /// The condition that the term key still has the version of this term. Every write of
    /// this term carries it.
    pub term_condition: Condition,
    /// The cluster state; `None` until it has been recovered from the store.
    pub cluster: Option<ClusterState>,
    /// Latest time at which this term is confirmed to have been the current one.
    pub term_confirmed_at: f64,
    /// When the last acknowledged renewal of the leader lease was sent. No other controller
    /// can win a term until the lease's time to live has passed since then.
    pub lease_renewed_at: f64,
    /// When the last answered watch of active jobs was sent. The cluster state contains
    /// every cancellation up to this time.
    pub watch_confirmed_at: f64,
    /// Revision of the store up to which the cluster state contains all changes of active
    /// jobs.
    pub watched_revision: u64,
    /// When a heartbeat of any worker was last received.
    pub last_worker_heartbeat_at: f64,
}

impl Leadership {
    /// Whether the leader is fenced, so that it must neither answer nor command workers.
    /// It is fenced in each of these cases:
    ///
    /// - The cluster state may lack a cancellation that was acknowledged more than
    ///   `fencing_timeout_s` seconds ago.
    /// - The term may have been superseded more than `fencing_timeout_s` seconds ago.
    /// - The cluster state has not been recovered.
    #[must_use]
    pub fn is_fenced(&self, now: f64, fencing_timeout_s: f64) -> bool {
        let confirmed_at = self.term_confirmed_at.min(self.watch_confirmed_at);
        self.cluster.is_none() || now - confirmed_at > fencing_timeout_s
    }
}

/// The term that this controller leads, if any, the leader that it has observed, and
/// whether it may campaign.
pub struct LeadershipState {
    node_name: String,
    own: Mutex<Option<Leadership>>,
    view: Mutex<LeaderView>,
    candidacy_suspended_until: Mutex<f64>,
    last_worker_heartbeat_as_follower: Mutex<f64>,
    stepped_down: Notify,
    leader_changed: Notify,
}

impl LeadershipState {
    /// Creates the state of a follower that has not observed any term. `node_name` is the
    /// name under which this controller is elected.
    #[must_use]
    pub fn new(node_name: String) -> Self {
        Self {
            node_name,
            own: Mutex::default(),
            view: Mutex::default(),
            candidacy_suspended_until: Mutex::new(f64::NEG_INFINITY),
            last_worker_heartbeat_as_follower: Mutex::new(f64::NEG_INFINITY),
            stepped_down: Notify::new(),
            leader_changed: Notify::new(),
        }
    }

    /// Locks the state of the term that this controller leads, which is `None` while it is a
    /// follower.
    pub fn lock(&self) -> MutexGuard<'_, Option<Leadership>> {
        lock(&self.own)
    }

    /// Whether this controller considers itself the leader. Its term may already have been
    /// superseded.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.lock().is_some()
    }

    /// The term that this controller leads; `None` while it is a follower.
    #[must_use]
    pub fn own_term(&self) -> Option<u64> {
        self.lock().as_ref().map(|leadership| leadership.term)
    }

    /// The highest term observed, and its leader if it is known.
    #[must_use]
    pub fn leader_view(&self) -> LeaderView {
        lock(&self.view).clone()
    }

    /// Starts the term that this controller has won.
    pub fn begin_term(&self, leadership: Leadership) {
        let term = leadership.term;
        *self.lock() = Some(leadership);
        self.observe_term(term, Some(&self.node_name));
    }

    /// Records that a term exists, and its leader if it is known. Steps down if this
    /// controller leads a lower term.
    pub fn observe_term(&self, term: u64, leader: Option<&str>) {
        {
            let mut view = lock(&self.view);
            if term < view.term || (term == view.term && leader == view.leader.as_deref()) {
                return;
            }
            if term > view.term || leader.is_some() {
                view.leader = leader.map(str::to_string);
            }
            view.term = term;
        }
        self.leader_changed.notify_waiters();
        if self.own_term().is_some_and(|own_term| own_term < term) {
            self.step_down("observed a higher term");
        }
    }

    /// Ends the term that this controller leads, if any, and logs `cause`.
    pub fn step_down(&self, cause: &str) {
        if let Some(leadership) = self.lock().take() {
            tracing::info!(term = leadership.term, cause, "stepped down");
            let mut view = lock(&self.view);
            if view.leader.as_deref() == Some(self.node_name.as_str()) {
                view.leader = None;
            }
        }
        self.stepped_down.notify_waiters();
        self.stepped_down.notify_one();
    }

    /// Waits until this controller no longer leads the given term.
    pub async fn wait_until_deposed(&self, term: u64) {
        while self.own_term() == Some(term) {
            self.stepped_down.notified().await;
        }
    }

    /// Waits until another term or another leader is observed.
    pub async fn wait_for_leader_change(&self) {
        self.leader_changed.notified().await;
    }

    /// Keeps this controller from campaigning before the given time.
    pub fn suspend_candidacy_until(&self, time: f64) {
        *lock(&self.candidacy_suspended_until) = time;
    }

    /// Whether this controller must not campaign now.
    #[must_use]
    pub fn is_candidacy_suspended(&self, now: f64) -> bool {
        now < *lock(&self.candidacy_suspended_until)
    }

    /// Records that a worker's heartbeat was received while this controller is a follower.
    pub fn record_worker_heartbeat_as_follower(&self, now: f64) {
        *lock(&self.last_worker_heartbeat_as_follower) = now;
    }

    /// When a worker's heartbeat was last received while this controller was a follower.
    #[must_use]
    pub fn last_worker_heartbeat_as_follower(&self) -> f64 {
        *lock(&self.last_worker_heartbeat_as_follower)
    }
}

#[cfg(test)]
mod tests;
