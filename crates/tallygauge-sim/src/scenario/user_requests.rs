//! Requests of users to the controllers of a scenario.

use super::Scenario;
use crate::{eventually, reply_status};
use serde_json::Value;
use std::time::Duration;
use tallygauge::user_api::Reply;
use tallygauge_protocol::users::POLL_TIMEOUT_S;

/// How long users wait for answers other than to polls.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Seconds within which a controller that serves must accept a job.
const ACCEPTANCE_TIMEOUT_S: f64 = 30.0;

/// Id of jobs that no controller may accept.
const INVALID_JOB_ID: &str = "req-900000";

impl Scenario {
    /// Submits a job through one controller until it is accepted.
    pub(super) async fn submit_until_accepted(&self, controller: usize, body: &[u8]) {
        let controller = &self.controllers[controller].0;
        let accepted = eventually(ACCEPTANCE_TIMEOUT_S, async || {
            let reply = self.simulation.submit(controller, body).await;
            matches!(reply.status(), 200 | 201)
        });
        assert!(accepted.await, "not accepted");
    }

    /// Requests the cancellation of a job through one controller.
    pub(super) async fn cancel(&mut self, controller: usize, id: &str) {
        let reply = self
            .simulation
            .request_cancellation(&self.controllers[controller].0, id);
        let reply = self.on_controller(controller, REQUEST_TIMEOUT, reply).await;
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == id) {
            // The job may be cancelled even though the request got no answer.
            job.cancel_requested = true;
            if let Some(reply) = reply {
                let violation = job.record_reply(&self.simulation, &reply);
                self.violations.extend(violation);
            }
        }
    }

    /// Polls a job through one controller. Returns whether the user was told its status.
    pub(super) async fn poll(&mut self, controller: usize, job: usize) -> bool {
        let id = self.jobs[job].id.clone();
        let reply = self
            .simulation
            .request_status(&self.controllers[controller].0, &id);
        let timeout = Duration::from_secs_f64(POLL_TIMEOUT_S);
        let Some(reply) = self.on_controller(controller, timeout, reply).await else {
            return false;
        };
        let violation = self.jobs[job].record_reply(&self.simulation, &reply);
        self.violations.extend(violation);
        reply_status(&reply).is_some()
    }

    /// Submits invalid jobs and a repetition of a valid one, each of which must be answered
    /// accordingly.
    pub(super) async fn submit_invalid_jobs(&mut self, controller: usize, body: &[u8]) {
        let job: Value = serde_json::from_slice(body).unwrap();
        let changed = |field: &str, value: Value| {
            let mut invalid = job.clone();
            invalid["nameId"] = INVALID_JOB_ID.into();
            invalid[field] = value;
            invalid
        };
        let mut incomplete = changed("cores", 1.0.into());
        incomplete.as_object_mut().unwrap().remove("bundle");
        for (submitted, expected) in [
            (changed("cores", 900.0.into()), &[422, 503][..]),
            (changed("owner", "nobody".into()), &[422, 503]),
            (changed("site", "nowhere".into()), &[422, 503]),
            (changed("pieces", 0.into()), &[400, 503]),
            (incomplete, &[400, 503]),
            (job.clone(), &[200, 201, 503]),
        ] {
            let body = submitted.to_string().into_bytes();
            let reply = self
                .simulation
                .submit(&self.controllers[controller].0, &body);
            let reply = self.on_controller(controller, REQUEST_TIMEOUT, reply).await;
            if let Some(reply) = reply
                && !expected.contains(&reply.status())
            {
                let violation = format!("{submitted} is answered {}", reply.status());
                self.violations.push(violation);
            }
        }
    }

    /// Runs a request on a controller; `None` if it is not answered in time.
    async fn on_controller(
        &self,
        controller: usize,
        timeout: Duration,
        reply: impl Future<Output = Reply>,
    ) -> Option<Reply> {
        let reply = self.simulation.run_on(&Self::name(controller), reply);
        tokio::time::timeout(timeout, reply).await.ok()
    }
}
