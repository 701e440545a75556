//! Decisions to return a machine to the cloud. Each reason has its own: none delays, replaces
//! or revokes that of another.

/// Why a machine is to be returned to the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnReason {
    /// It has been idle for too long, or is surplus.
    Idle,
    /// Its agent never sent a heartbeat.
    BootTimeout,
    /// The cloud reports that it failed.
    Failed,
    /// Tasks of several jobs failed on it.
    Faulty,
    /// Tasks run slower on it than on other machines.
    Slow,
    /// It did not confirm in time that cancelled tasks have ended.
    CancelUnconfirmed,
    /// A start that it did not answer may still arrive. Its agent has restarted meanwhile, or
    /// the attempt has ended and its task is to be placed elsewhere.
    UndeliveredStart,
    /// It has sent no heartbeat for several leases.
    Silent,
    /// It sends heartbeats, but messages sent to it do not arrive.
    Unreachable,
}

impl ReturnReason {
    /// Whether the machine is returned with the tasks on it, and even while another controller
    /// may be the leader.
    #[must_use]
    pub fn is_for_safety(self) -> bool {
        self == Self::CancelUnconfirmed
    }
}

/// A decision to return a machine to the cloud.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnDecision {
    /// Why the machine is returned.
    pub reason: ReturnReason,
    /// When the decision was made, in seconds of the leader's monotonic clock.
    pub at: f64,
}

/// The decisions to return a machine, in the order in which they were made.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReturnDecisions(Vec<ReturnDecision>);

impl ReturnDecisions {
    /// Whether the machine is to be kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The decision that was made first, if any.
    #[must_use]
    pub fn first(&self) -> Option<ReturnDecision> {
        self.0.first().copied()
    }

    /// All decisions.
    pub fn iter(&self) -> impl Iterator<Item = ReturnDecision> {
        self.0.iter().copied()
    }

    /// Adds a decision unless there is one for this reason. Returns whether it is new.
    pub(crate) fn add(&mut self, reason: ReturnReason, now: f64) -> bool {
        if self.0.iter().any(|decision| decision.reason == reason) {
            return false;
        }
        self.0.push(ReturnDecision { reason, at: now });
        true
    }

    /// Removes the decisions for these reasons.
    pub(crate) fn revoke(&mut self, reasons: &[ReturnReason]) {
        self.0
            .retain(|decision| !reasons.contains(&decision.reason));
    }
}
