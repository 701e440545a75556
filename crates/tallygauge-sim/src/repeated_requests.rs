//! Requests that arrive once more after they were executed and answered: at random, or when a
//! test asks for it. Nobody waits for the response to a copy.

use crate::{
    SimState, Simulation,
    exchanges::Request,
    transport::{CLOUD_ADDRESS, Response, STORE_ADDRESS},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tallygauge_store::http::HttpResult;
use warp::http::{Method, StatusCode};

/// Minimum delay of a copy, in seconds.
const MIN_DELAY_S: f64 = 2.0;

/// Sender of copies, as recorded in the exchanged messages.
const COPY_SENDER: &str = "copy";

/// Default seed of the random number generator.
const DEFAULT_SEED: u64 = 1;

/// A request of a controller that was executed and answered.
#[derive(Debug, Clone)]
pub(crate) struct AnsweredRequest {
    pub(crate) method: Method,
    /// Address of the receiver: the store, the cloud or a worker.
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) body: Vec<u8>,
}

/// A copy of a request that arrives at a later time.
#[derive(Debug, Clone)]
struct ScheduledCopy {
    /// When it arrives, in seconds of simulated time.
    due_at: f64,
    request: AnsweredRequest,
}

/// Copies of answered requests: those that are kept for a test, and those that are due later.
pub(crate) struct RepeatedRequests {
    /// Answered direct commands, if they are captured.
    captured: Vec<AnsweredRequest>,
    /// Copies that are still to arrive.
    scheduled: Vec<ScheduledCopy>,
    /// Random number generator of its own, so that scenarios without copies stay as they are.
    random: StdRng,
}

impl Default for RepeatedRequests {
    fn default() -> Self {
        Self::from_seed(DEFAULT_SEED)
    }
}

impl RepeatedRequests {
    /// No copies yet; the random ones are determined by the seed.
    pub(crate) fn from_seed(seed: u64) -> Self {
        Self {
            captured: Vec::new(),
            scheduled: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Simulation {
    /// Captures an answered request if that is asked for, and randomly schedules a copy of it.
    /// Requests that change nothing, and those that were not executed, are not repeated.
    pub(crate) fn record_answered(&self, request: AnsweredRequest, response: &HttpResult) {
        let is_executed = matches!(response, Ok((StatusCode::OK, _)));
        if request.method == Method::GET || !is_executed {
            return;
        }
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        let SimState {
            faults,
            repeated_requests: repeated,
            ..
        } = &mut *state;
        let is_direct = request.host != STORE_ADDRESS && request.host != CLOUD_ADDRESS;
        if faults.capture_commands && is_direct {
            repeated.captured.push(request.clone());
        }
        let delays = faults.repeated_requests;
        if delays.probability > 0.0 && repeated.random.random_bool(delays.probability) {
            let delay_s = repeated
                .random
                .random_range(MIN_DELAY_S..delays.max_delay_s);
            let due_at = now + delay_s;
            repeated.scheduled.push(ScheduledCopy { due_at, request });
        }
    }

    /// Delivers the copies that are due. Those to hung machines wait, and so do those to the store
    /// while it is down.
    pub(crate) fn deliver_due_copies(&self, now: f64) {
        let due: Vec<ScheduledCopy> = {
            let mut state = self.state.lock().unwrap();
            let scheduled = std::mem::take(&mut state.repeated_requests.scheduled);
            let (due, rest) = scheduled
                .into_iter()
                .partition(|copy| copy.due_at <= now && state.can_deliver_copy(&copy.request));
            state.repeated_requests.scheduled = rest;
            due
        };
        for copy in &due {
            self.deliver_copy(&copy.request);
        }
    }

    /// Delivers copies of all captured direct commands, in the order in which they were answered.
    /// Returns how many a worker executed once more.
    pub fn replay_captured_commands(&self) -> usize {
        let captured = self
            .state
            .lock()
            .unwrap()
            .repeated_requests
            .captured
            .clone();
        let copies = captured.iter();
        copies.filter(|copy| self.deliver_copy(copy)).count()
    }

    /// Delivers a copy of a request. Returns whether the request was executed once more.
    fn deliver_copy(&self, copy: &AnsweredRequest) -> bool {
        let number = self.record_request(&Request {
            from: COPY_SENDER,
            to: &copy.host,
            method: copy.method.as_str(),
            path: &copy.path,
            body: &copy.body,
        });
        let response = self.execute_copy(copy);
        let status = response.as_ref().map(|(status, _)| *status);
        if let Some((status, body)) = &response {
            self.record_response(number, status.as_u16(), body);
        }
        status == Some(StatusCode::OK)
    }

    fn execute_copy(&self, copy: &AnsweredRequest) -> Option<Response> {
        if copy.host == CLOUD_ADDRESS {
            return Some(self.handle_cloud_request(&copy.method, &copy.path, &copy.body));
        }
        if copy.host == STORE_ADDRESS {
            return Some(self.repeat_store_request(&copy.method, &copy.path, &copy.body));
        }
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.apply_direct_commands(now, &copy.host, &copy.body)
    }
}

impl SimState {
    fn can_deliver_copy(&self, copy: &AnsweredRequest) -> bool {
        match copy.host.as_str() {
            STORE_ADDRESS => !self.faults.store_down,
            host => !self.is_hung(host),
        }
    }
}
