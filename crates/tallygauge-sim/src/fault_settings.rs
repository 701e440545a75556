//! What may be set to fail, and with which probability or delay.

use std::{
    collections::{BTreeSet, HashMap},
    task::Waker,
};

/// Seconds that a message takes each way unless a test sets another time.
const DEFAULT_LINK_DELAY_S: f64 = 0.003;

/// A request of a controller at which a fault is injected.
pub struct FaultPoint {
    /// Name of the controller.
    pub controller: String,
    /// What the request's method and path begin with.
    pub request: &'static str,
    /// Whether the fault comes at the next wait after the response was read, instead of
    /// before the request is sent.
    pub after_response: bool,
}

impl FaultPoint {
    /// Just before a controller sends a request.
    pub fn before_request(controller: &str, request: &'static str) -> Self {
        Self {
            controller: controller.to_string(),
            request,
            after_response: false,
        }
    }

    /// At the next wait after a controller has read the response to a request.
    pub fn after_response(controller: &str, request: &'static str) -> Self {
        Self {
            controller: controller.to_string(),
            request,
            after_response: true,
        }
    }

    /// Whether a request of a controller is at this point.
    pub(crate) fn matches(&self, controller: &str, request: &str, after_response: bool) -> bool {
        self.controller == controller
            && self.after_response == after_response
            && request.starts_with(self.request)
    }
}

/// A delay that strikes some of the messages of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RandomDelay {
    /// Probability that a message is struck.
    pub probability: f64,
    /// Longest delay, in seconds.
    pub max_delay_s: f64,
}

impl RandomDelay {
    /// No message is delayed.
    pub const NONE: Self = Self {
        probability: 0.0,
        max_delay_s: 0.0,
    };
}

/// A transaction that gets no response and is executed late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayedWrite {
    /// What one of the keys that it sets begins with.
    pub key_prefix: &'static str,
    /// Seconds after which it is executed.
    pub delay_s: f64,
}

/// Faults in force.
pub struct FaultSettings {
    /// Controllers whose requests to the store get no response.
    pub store_partitioned: BTreeSet<String>,
    /// Controllers that the store answers 503, while it serves others.
    pub store_refused: BTreeSet<String>,
    /// The store answers everybody 503.
    pub store_down: bool,
    /// Probability that a transaction gets no response and is executed 2 to 12 seconds
    /// later.
    pub late_write_probability: f64,
    /// Probability that a transaction is executed at once and gets no response.
    pub lost_response_probability: f64,
    /// How many of the next transactions with writes are executed while their connection
    /// breaks before the response.
    pub lose_next_responses: u32,
    /// Transactions that set a key with this prefix get no response and are never
    /// executed.
    pub hang_writes_with_prefix: Option<&'static str>,
    /// The next transaction that matches gets no response and is executed late.
    pub delay_next_write: Option<DelayedWrite>,
    /// Watches of active jobs hang.
    pub hang_job_watches: bool,
    /// Responses of store and cloud are cut in half.
    pub truncate_responses: bool,
    /// Seconds that a message takes each way.
    pub link_delay_s: f64,
    /// Workers that only one controller reaches, and that reach only that one.
    pub exclusive_links: HashMap<String, String>,
    /// Direct commands that are delivered late.
    pub delayed_commands: RandomDelay,
    /// Heartbeats that are delivered once more, late.
    pub duplicated_heartbeats: RandomDelay,
    /// A copy of each heartbeat is kept for [`crate::Simulation::replay_captured_heartbeats`].
    pub capture_heartbeats: bool,
    /// Where a controller will be paused.
    pub pause_at: Option<FaultPoint>,
    /// At which request of a controller the store begins to refuse everybody.
    pub store_down_at: Option<FaultPoint>,
    /// Paused controllers, and the tasks to wake when they resume.
    pub(crate) paused: HashMap<String, Vec<Waker>>,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            store_partitioned: BTreeSet::new(),
            store_refused: BTreeSet::new(),
            store_down: false,
            late_write_probability: 0.0,
            lost_response_probability: 0.0,
            lose_next_responses: 0,
            hang_writes_with_prefix: None,
            delay_next_write: None,
            hang_job_watches: false,
            truncate_responses: false,
            link_delay_s: DEFAULT_LINK_DELAY_S,
            exclusive_links: HashMap::new(),
            delayed_commands: RandomDelay::NONE,
            duplicated_heartbeats: RandomDelay::NONE,
            capture_heartbeats: false,
            pause_at: None,
            store_down_at: None,
            paused: HashMap::new(),
        }
    }
}

impl FaultSettings {
    /// Whether the store answers a controller 503; its open watches hang.
    pub(crate) fn store_refuses(&self, controller: &str) -> bool {
        self.store_down || self.store_refused.contains(controller)
    }
}
