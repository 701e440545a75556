//! Jobs of a scenario, and checks of the replies that their users get.

use crate::{Simulation, reply_status};
use tallygauge::user_api::Reply;
use tallygauge_protocol::users::JobStatus;

/// An accepted job, whether its user requested its cancellation, and the final status that
/// the user was told.
pub(super) struct TrackedJob {
    pub(super) id: String,
    tasks: u32,
    /// Whether its user requested its cancellation.
    pub(super) cancel_requested: bool,
    /// The final status that its user was told, if any.
    pub(super) final_status: Option<JobStatus>,
}

impl TrackedJob {
    /// An accepted job of which no status has been requested yet.
    pub(super) fn new(id: String, tasks: u32) -> Self {
        Self {
            id,
            tasks,
            cancel_requested: false,
            final_status: None,
        }
    }

    /// Records a reply to the user. Returns a description of the violation if the reply is
    /// incorrect.
    pub(super) fn record_reply(
        &mut self,
        simulation: &Simulation,
        reply: &Reply,
    ) -> Option<String> {
        let id = &self.id;
        if reply.status() == 404 {
            return Some(format!("{id} is forgotten: status 404"));
        }
        let status = reply_status(reply)?;
        if let Some(earlier) = self.final_status
            && earlier != status
        {
            return Some(format!(
                "{id} changed from final status {earlier:?} to {status:?}"
            ));
        }
        match status {
            JobStatus::Cancelled if !self.cancel_requested => {
                return Some(format!(
                    "{id} is reported cancelled without a cancellation request"
                ));
            }
            JobStatus::Cancelled if self.final_status.is_none() => {
                simulation.record_cancellation(id);
            }
            JobStatus::Done if !simulation.all_tasks_completed(id, self.tasks) => {
                return Some(format!(
                    "{id} is not done: reported done before all tasks completed"
                ));
            }
            _ => {}
        }
        if matches!(status, JobStatus::Done | JobStatus::Cancelled) {
            self.final_status = Some(status);
        }
        None
    }
}
