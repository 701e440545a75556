//! `GET /work/{id}`: reports the status of a job.

use super::{
    Reply,
    lookup::{job_response, lookup},
};
use crate::{controller::Controller, version_checks::Urgency};
use tallygauge_protocol::users::is_valid_job_id;
use tallygauge_store::RequestPriority;

/// `GET /work/{id}`. Records the poll as unanswered until the job's state is known.
pub async fn job_status(controller: &Controller, id: &str) -> Reply {
    if !is_valid_job_id(id) {
        return Reply::no_such_job();
    }
    let (now, expiry_s) = (controller.now(), controller.poll_expiry_s());
    let unanswered_since = controller.unanswered_polls.record_poll(id, now, expiry_s);
    let urgency = Urgency {
        priority: RequestPriority::Polls,
        unanswered_since,
    };
    let found = match lookup(controller, id, urgency).await {
        Ok(found) => found,
        Err(unavailable) => return unavailable.into(),
    };
    controller.unanswered_polls.record_answer(id);
    match job_response(controller, id, found) {
        Some(response) => Reply::Job {
            status: 200,
            response,
        },
        None => Reply::no_such_job(),
    }
}
