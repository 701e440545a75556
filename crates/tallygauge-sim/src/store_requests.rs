//! Requests of controllers to the key-value store's stand-in, with the faults that are set:
//! refusals, partitions, lost responses and late writes.

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

/// Seconds after which a late write is executed.
const LATE_WRITE_DELAY_S: Range<f64> = 2.0..12.0;

/// Prefix of the records of active jobs.
const ACTIVE_JOB_PREFIX: &str = "o/";

/// Longest time after which a watch looks again for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What goes wrong with a request.
enum RequestFault {
    None,
    /// It is never executed and gets no response.
    Hang,
    /// It is executed late and gets no response.
    Late {
        delay_s: f64,
    },
    /// It is executed and gets no response.
    LoseResponse,
    /// It is executed, and the connection breaks before the response.
    BreakConnection,
}

impl Simulation {
    /// Makes the store refuse everybody, or serve again: then all leases get their full
    /// time back.
    pub fn set_store_down(&self, down: bool) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.faults.store_down = down;
        state.store.renew_all_leases(now);
    }

    /// Counts the changes so far of keys that begin with a prefix.
    pub fn count_changes(&self, prefix: &str) -> usize {
        let state = self.state.lock().unwrap();
        let changes = state.store.changes_after(0).iter();
        changes
            .filter(|change| change.key.starts_with(prefix))
            .count()
    }

    /// Counts the keys that begin with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.state.lock().unwrap().store.keys(prefix).count()
    }

    /// Answers a controller's request as the store does.
    ///
    /// # Errors
    /// When an injected fault loses the request or its response.
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
        if self.state.lock().unwrap().faults.store_refuses(controller) {
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
        self.changed.notify_waiters();
        match result {
            Some(result) => result,
            None => hang().await,
        }
    }

    /// Executes late writes that are due, in the order in which they are.
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
            self.changed.notify_waiters();
        }
    }

    fn is_store_partitioned(&self, controller: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.faults.store_partitioned.contains(controller)
    }

    /// Answers a watch as soon as there are changes, or when its time is over.
    async fn watch(&self, controller: &str, query: &str) -> Response {
        let parameter = |name| query_parameter(query, name).unwrap_or_default();
        let prefix = parameter("starts=");
        let since: u64 = parameter("since=").parse().unwrap();
        let timeout = Duration::from_millis(parameter("blockMs=").parse().unwrap());
        let deadline = Instant::now() + timeout;
        loop {
            let is_over = Instant::now() >= deadline;
            if let Some(response) = self.poll_watch(controller, prefix, since, is_over) {
                return response;
            }
            let next = Instant::now() + WATCH_POLL_INTERVAL;
            let _ = tokio::time::timeout_at(next, self.changed.notified()).await;
        }
    }

    /// The response to a watch, if there are changes or its time is over.
    fn poll_watch(
        &self,
        controller: &str,
        prefix: &str,
        since: u64,
        is_over: bool,
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
        let hangs = state.faults.store_refuses(controller)
            || (state.faults.hang_job_watches && prefix == ACTIVE_JOB_PREFIX);
        if hangs || (changes.is_empty() && !is_over) {
            return None;
        }
        Some(ok(
            json!({"epoch": state.store.revision(), "news": changes}),
        ))
    }
}

impl SimState {
    /// Executes a request with the fault that strikes it; `None` if there is no response.
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

    /// Draws the fault that strikes a request.
    fn draw_request_fault(&mut self, path: &str, body: &[u8]) -> RequestFault {
        let text = String::from_utf8_lossy(body);
        let is_transaction = path == TRANSACTION_PATH;
        let has_writes = is_transaction && text.contains("\"writes\"");
        let sets_key = |prefix: &str| text.contains(&format!("\"set\":\"{prefix}"));
        let mut delay_s = None;
        if has_writes && self.strikes(self.faults.late_write_probability) {
            delay_s = Some(self.random.random_range(LATE_WRITE_DELAY_S));
        }
        let delayed = &mut self.faults.delay_next_write;
        if let Some(write) = delayed.take_if(|write| sets_key(write.key_prefix)) {
            delay_s = Some(write.delay_s);
        }
        let is_lost = is_transaction && self.strikes(self.faults.lost_response_probability);
        if self.faults.hang_writes_with_prefix.is_some_and(sets_key) {
            RequestFault::Hang
        } else if let Some(delay_s) = delay_s {
            RequestFault::Late { delay_s }
        } else if has_writes && self.faults.lose_next_responses > 0 {
            self.faults.lose_next_responses -= 1;
            RequestFault::BreakConnection
        } else if is_lost {
            RequestFault::LoseResponse
        } else {
            RequestFault::None
        }
    }

    /// Draws whether a fault of this probability strikes; draws nothing if it is 0.
    pub(crate) fn strikes(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random::<f64>() < probability
    }
}

/// A change as the response to a watch has it.
fn change_message(change: &Change) -> Value {
    match &change.value {
        Some(value) => json!({"set": change.key, "value": value, "stamp": change.revision}),
        None => json!({"remove": change.key, "stamp": change.revision}),
    }
}
