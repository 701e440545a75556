//! Requests of controllers to the simulated key-value store, and the faults that affect
//! them: refusals, partitions, lost responses and late writes.

use crate::{
    SimState, Simulation,
    store::{Change, LateWrite, TRANSACTION_PATH, query_parameter},
    transport::{Response, hang, ok, status},
};
use rand::RngExt;
use serde_json::{Value, json};
use std::{ops::Range, time::Duration};
use tallygauge_store::http::{HttpResult, RequestError};
use tokio::time::Instant;
use warp::http::Method;

/// Range of the random delay after which a late write is executed, in seconds.
const LATE_WRITE_DELAY_S: Range<f64> = 2.0..12.0;

/// Prefix of the records of active jobs.
const ACTIVE_JOB_PREFIX: &str = "o/";

/// Maximum interval between two checks of a watch for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The fault that affects a request.
enum RequestFault {
    None,
    /// The request is not executed and gets no response.
    Hang,
    /// The request gets no response and is executed after a delay.
    Late {
        delay_s: f64,
    },
    /// The request is executed but gets no response.
    LoseResponse,
    /// The request is executed, but the connection breaks before the response.
    BreakConnection,
}

impl Simulation {
    /// Makes the store refuse the requests of all controllers, or serve them again. In both
    /// cases all leases are renewed for their full duration.
    pub fn set_store_down(&self, down: bool) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.faults.store_down = down;
        state.store.renew_all_leases(now);
    }

    /// Number of changes so far to keys that begin with a prefix.
    pub fn count_changes(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        let changes = state.store.changes_after(0).iter();
        changes
            .filter(|change| change.key.starts_with(prefix))
            .count()
    }

    /// Number of keys that begin with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.state.lock().unwrap().store.keys(prefix).count()
    }

    /// Handles a controller's request to the store.
    ///
    /// # Errors
    /// If an injected fault drops the request or its response.
    pub async fn handle_store_request(
        &self,
        controller: &str,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> HttpResult {
        if self.is_store_partitioned(controller) {
            return hang().await;
        }
        let is_refused = {
            let faults = &mut self.state.lock().unwrap().faults;
            faults.store_refuses(controller) || faults.take_listing_refusal(path)
        };
        if is_refused {
            return Ok(status(503, json!({})));
        }
        if let Some(query) = path.strip_prefix("/changes?") {
            return Ok(self.watch(controller, query).await);
        }
        let now = self.now();
        let result = {
            let mut state = self.state.lock().unwrap();
            state.execute_store_request(now, method, path, body)
        };
        self.store_changed.notify_waiters();
        match result {
            Some(result) => result,
            None => hang().await,
        }
    }

    /// Executes the late writes that are due, in the order of their due times. While the
    /// store is down they wait.
    pub(crate) fn apply_late_writes(&self, now: f64) {
        let mut state = self.state.lock().unwrap();
        if state.faults.store_down {
            return;
        }
        let store = &mut state.store;
        let due = store
            .late_writes
            .extract_if(.., |write| write.due_at <= now);
        let mut due: Vec<LateWrite> = due.collect();
        due.sort_by(|a, b| a.due_at.total_cmp(&b.due_at));
        for write in &due {
            store.handle_request(now, &Method::POST, TRANSACTION_PATH, &write.body);
        }
        drop(state);
        if !due.is_empty() {
            self.store_changed.notify_waiters();
        }
    }

    /// Executes a copy of a request, whoever sent it and whatever faults affect the sender.
    pub(crate) fn repeat_store_request(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Response {
        let now = self.now();
        let store = &mut self.state.lock().unwrap().store;
        let response = store.handle_request(now, method, path, body);
        self.store_changed.notify_waiters();
        response
    }

    fn is_store_partitioned(&self, controller: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.faults.store_partitioned.contains(controller)
    }

    /// Responds to a watch as soon as there are changes, or when it times out.
    async fn watch(&self, controller: &str, query: &str) -> Response {
        let parameter = |name| query_parameter(query, name).unwrap_or_default();
        let prefix = parameter("starts=");
        let since: u64 = parameter("since=").parse().unwrap();
        let timeout = Duration::from_millis(parameter("blockMs=").parse().unwrap());
        let deadline = Instant::now() + timeout;
        loop {
            let has_timed_out = Instant::now() >= deadline;
            if let Some(response) = self.poll_watch(controller, prefix, since, has_timed_out) {
                return response;
            }
            let next_poll_at = Instant::now() + WATCH_POLL_INTERVAL;
            let _ = tokio::time::timeout_at(next_poll_at, self.store_changed.notified()).await;
        }
    }

    /// Returns the response to a watch if there are changes or it has timed out; `None` if
    /// the watch keeps waiting.
    fn poll_watch(
        &self,
        controller: &str,
        prefix: &str,
        since: u64,
        has_timed_out: bool,
    ) -> Option<Response> {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        if !state.faults.store_down {
            state.store.expire_leases(now);
        }
        let changes = state.store.changes_after(since).iter();
        let changes: Vec<Value> = changes
            .filter(|change| change.key.starts_with(prefix))
            .map(change_message)
            .collect();
        let is_held_back = state.faults.store_refuses(controller)
            || (state.faults.hang_job_watches && prefix == ACTIVE_JOB_PREFIX);
        if is_held_back || (changes.is_empty() && !has_timed_out) {
            return None;
        }
        Some(ok(
            json!({"epoch": state.store.revision(), "news": changes}),
        ))
    }
}

impl SimState {
    /// Executes a request with the fault drawn for it; `None` if it gets no response.
    fn execute_store_request(
        &mut self,
        now: f64,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<HttpResult> {
        let fault = self.draw_request_fault(path, body);
        match fault {
            RequestFault::Hang => return None,
            RequestFault::Late { delay_s } => {
                self.store.late_writes.push(LateWrite {
                    due_at: now + delay_s,
                    body: body.to_vec(),
                });
                return None;
            }
            RequestFault::None | RequestFault::LoseResponse | RequestFault::BreakConnection => {}
        }
        self.store.expire_leases(now);
        let response = self.store.handle_request(now, method, path, body);
        match fault {
            RequestFault::LoseResponse => None,
            RequestFault::BreakConnection => Some(Err(RequestError::NoResponse)),
            _ => Some(Ok(response)),
        }
    }

    /// Draws the fault that affects a request.
    fn draw_request_fault(&mut self, path: &str, body: &[u8]) -> RequestFault {
        let text = String::from_utf8_lossy(body);
        let is_transaction = path == TRANSACTION_PATH;
        let has_writes = is_transaction && text.contains("\"writes\"");
        let sets_key = |prefix: &str| text.contains(&format!("\"set\":\"{prefix}"));
        let mut delay_s = None;
        if has_writes && self.draw_occurrence(self.faults.late_write_probability) {
            delay_s = Some(self.random.random_range(LATE_WRITE_DELAY_S));
        }
        let delayed = &mut self.faults.delay_next_write;
        if let Some(write) = delayed.take_if(|write| sets_key(write.key_prefix)) {
            delay_s = Some(write.delay_s);
        }
        let is_response_lost =
            is_transaction && self.draw_occurrence(self.faults.lost_response_probability);
        if self.faults.hang_writes_with_prefix.is_some_and(sets_key) {
            RequestFault::Hang
        } else if let Some(delay_s) = delay_s {
            RequestFault::Late { delay_s }
        } else if has_writes && self.faults.lose_next_responses > 0 {
            self.faults.lose_next_responses -= 1;
            RequestFault::BreakConnection
        } else if is_response_lost {
            RequestFault::LoseResponse
        } else {
            RequestFault::None
        }
    }

    /// Draws whether a fault with this probability occurs. If the probability is 0, no random
    /// number is drawn.
    pub(crate) fn draw_occurrence(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }
}

/// A change in the format of a response to a watch.
fn change_message(change: &Change) -> Value {
    match &change.value {
        Some(value) => json!({"set": change.key, "value": value, "stamp": change.revision}),
        None => json!({"remove": change.key, "stamp": change.revision}),
    }
}
