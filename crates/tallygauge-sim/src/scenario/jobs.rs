//! Jobs of a scenario, and what their users may be told of them.

use crate::{Simulation, reply_status};
use tallygauge::user_api::Reply;
use tallygauge_protocol::users::JobStatus;

/// An accepted job, what its user did and was told.
pub(super) struct TrackedJob {
    pub(super) id: String,
    tasks: u32,
    /// Whether its user asked to cancel it.
    pub(super) cancel_requested: bool,
    /// The final status that its user was told.
    pub(super) final_status: Option<JobStatus>,
}

impl TrackedJob {
    /// A job that was accepted and that nobody has asked about.
    pub(super) fn new(id: String, tasks: u32) -> Self {
        Self {
            id,
            tasks,
            cancel_requested: false,
            final_status: None,
        }
    }

    /// Records an answer that its user got. Returns what is wrong with it.
    pub(super) fn record_reply(
        &mut self,
        simulation: &Simulation,
        reply: &Reply,
    ) -> Option<String> {
        let id = &self.id;
        if reply.status() == 404 {
            return Some(format!("{id} is forgotten: 404"));
        }
        let status = reply_status(reply)?;
        if let Some(earlier) = self.final_status
            && earlier != status
        {
            return Some(format!("{id} went back from {earlier:?} to {status:?}"));
        }
        match status {
            JobStatus::Cancelled if !self.cancel_requested => {
                return Some(format!("{id} is called cancelled"));
            }
            JobStatus::Cancelled if self.final_status.is_none() => {
                simulation.record_cancellation(id);
            }
            JobStatus::Done if !simulation.all_tasks_completed(id, self.tasks) => {
                return Some(format!("{id} is not done"));
            }
            _ => {}
        }
        if matches!(status, JobStatus::Done | JobStatus::Cancelled) {
            self.final_status = Some(status);
        }
        None
    }
}
