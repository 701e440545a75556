//! Requests to the cloud that return machines, and what becomes of the machines when the cloud
//! refuses or does not answer them.
//!
//! While the cloud is out it refuses all returns. A machine that is to be returned because it
//! is idle is then used for new tasks, however long the outage lasts.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};

/// State of the last request to return a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReturnRequest {
    /// None was sent.
    #[default]
    None,
    /// It was sent and is not answered yet.
    InFlight,
    /// It was not answered, so that it may be executed at any later time.
    Unanswered,
    /// The cloud did not execute it.
    Refused,
}

impl ReturnRequest {
    /// Whether the machine may disappear at any time because of the request.
    #[must_use]
    pub fn may_be_executed(self) -> bool {
        matches!(self, Self::InFlight | Self::Unanswered)
    }
}

impl ClusterState {
    /// Records that a request to return machines is being sent. From now on, the machines may
    /// disappear at any time.
    pub fn mark_return_sent(&mut self, names: &[String]) {
        self.change_return_requests(names, |request| {
            if *request != ReturnRequest::Unanswered {
                *request = ReturnRequest::InFlight;
            }
        });
    }

    /// Records that a request to return machines got no response.
    pub fn record_return_unanswered(&mut self, names: &[String]) {
        self.change_return_requests(names, |request| *request = ReturnRequest::Unanswered);
    }

    /// Records that the cloud refused a request to return machines. Machines that were to be
    /// returned because they are idle may be used again, those of this request and those for
    /// which none was sent yet. Each is to be returned anew if it is still idle.
    pub fn record_return_refused(&mut self, names: &[String]) {
        self.change_return_requests(names, |request| {
            if *request == ReturnRequest::InFlight {
                *request = ReturnRequest::Refused;
            }
        });
        for worker in self.workers.values_mut() {
            let is_idle = |decision: ReturnDecision| decision.reason == ReturnReason::Idle;
            if worker.return_request.may_be_executed()
                || !worker.return_decisions.iter().any(is_idle)
            {
                continue;
            }
            worker.return_request = ReturnRequest::Refused;
            worker.revoke_return(&[ReturnReason::Idle]);
            self.needs_scheduling = true;
        }
    }

    fn change_return_requests(&mut self, names: &[String], change: impl Fn(&mut ReturnRequest)) {
        for name in names {
            if let Some(worker) = self.workers.get_mut(name) {
                change(&mut worker.return_request);
            }
        }
    }
}

impl Worker {
    /// Decides to return the machine because it is idle. If the cloud refused to take it back
    /// since it fell idle, that is not reported again.
    pub(crate) fn decide_idle_return(&mut self, now: f64, events: &mut Vec<ClusterEvent>) {
        if self.return_request == ReturnRequest::Refused {
            self.return_decisions.add(ReturnReason::Idle, now);
        } else {
            self.decide_return(ReturnReason::Idle, now, events);
        }
    }
}
