//! Requests of simulated users to the controllers of a scenario.

use super::Scenario;
use crate::{eventually, reply_status};
use serde_json::Value;
use std::time::Duration;
use tallygauge::user_api::Reply;
use tallygauge_protocol::users::POLL_TIMEOUT_S;

/// How long users wait for a reply to a cancellation or an invalid submission.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for the retried submission of a job, in seconds.
const ACCEPTANCE_TIMEOUT_S: f64 = 30.0;

/// Id of the invalid jobs, which every controller must reject.
const INVALID_JOB_ID: &str = "req-900000";

impl Scenario {
    /// Submits a job to a controller, and retries until it is accepted; panics after
    /// [`ACCEPTANCE_TIMEOUT_S`].
    pub(super) async fn submit_until_accepted(&self, controller: usize, body: &[u8]) {
        let controller = &self.controllers[controller].0;
        let accepted = eventually(ACCEPTANCE_TIMEOUT_S, async || {
            let reply = self.simulation.submit(controller, body).await;
            matches!(reply.status(), 200 | 201)
        });
        assert!(
            accepted.await,
            "job was not accepted within {ACCEPTANCE_TIMEOUT_S} s"
        );
    }

    /// Requests the cancellation of a job from a controller and checks the reply.
    pub(super) async fn cancel(&mut self, controller: usize, id: &str) {
        let reply = self
            .simulation
            .request_cancellation(&self.controllers[controller].0, id);
        let reply = self
            .request_with_timeout(controller, REQUEST_TIMEOUT, reply)
            .await;
        if let Some(job) = self.jobs.iter_mut().find(|job| job.id == id) {
            // A request that timed out may still have cancelled the job.
            job.cancel_requested = true;
            if let Some(reply) = reply {
                let violation = job.record_reply(&self.simulation, &reply);
                self.violations.extend(violation);
            }
        }
    }

    /// Polls a job through a controller and checks the reply. Returns whether the reply
    /// contained the job's status.
    pub(super) async fn poll(&mut self, controller: usize, job: usize) -> bool {
        let id = self.jobs[job].id.clone();
        let reply = self
            .simulation
            .request_status(&self.controllers[controller].0, &id);
        let timeout = Duration::from_secs_f64(POLL_TIMEOUT_S);
        let Some(reply) = self.request_with_timeout(controller, timeout, reply).await else {
            return false;
        };
        let violation = self.jobs[job].record_reply(&self.simulation, &reply);
        self.violations.extend(violation);
        reply_status(&reply).is_some()
    }

    /// Submits several invalid jobs and a duplicate of the valid job in `body`, and records a
    /// violation for each reply with an unexpected status code. Every submission may also get
    /// 503.
    pub(super) async fn submit_invalid_jobs(&mut self, controller: usize, body: &[u8]) {
        let job: Value = serde_json::from_slice(body).unwrap();
        let invalid_job = |field: &str, value: Value| {
            let mut invalid = job.clone();
            invalid["nameId"] = INVALID_JOB_ID.into();
            invalid[field] = value;
            invalid
        };
        let mut incomplete = invalid_job("cores", 1.0.into());
        incomplete.as_object_mut().unwrap().remove("bundle");
        for (submitted, expected) in [
            (invalid_job("cores", 900.0.into()), &[422, 503][..]),
            (invalid_job("owner", "nobody".into()), &[422, 503]),
            (invalid_job("site", "nowhere".into()), &[422, 503]),
            (invalid_job("pieces", 0.into()), &[400, 503]),
            (incomplete, &[400, 503]),
            (job.clone(), &[200, 201, 503]),
        ] {
            let body = submitted.to_string().into_bytes();
            let reply = self
                .simulation
                .submit(&self.controllers[controller].0, &body);
            let reply = self
                .request_with_timeout(controller, REQUEST_TIMEOUT, reply)
                .await;
            if let Some(reply) = reply
                && !expected.contains(&reply.status())
            {
                let violation =
                    format!("unexpected reply to {submitted}: status {}", reply.status());
                self.violations.push(violation);
            }
        }
    }

    /// Runs a request on a controller, which may be paused meanwhile; `None` if there is no
    /// reply in time.
    async fn request_with_timeout(
        &self,
        controller: usize,
        timeout: Duration,
        reply: impl Future<Output = Reply>,
    ) -> Option<Reply> {
        let reply = self
            .simulation
            .run_on(&Self::controller_name(controller), reply);
        tokio::time::timeout(timeout, reply).await.ok()
    }
}
