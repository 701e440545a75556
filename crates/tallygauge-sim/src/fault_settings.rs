//! Settings of the faults to inject, with their probabilities and delays.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    task::Waker,
};

/// Default delay of a controller's request, in seconds.
const DEFAULT_LINK_DELAY_S: f64 = 0.003;

/// The point before or after a controller's request at which a fault is injected once.
pub struct FaultPoint {
    /// Name of the controller.
    pub controller: String,
    /// Prefix of the request's method and path, such as `POST /multi`.
    pub request: &'static str,
    /// Whether the fault is injected after the response instead of before the request is
    /// sent. A controller that is paused after a response still reads it, and stops when it
    /// next waits.
    pub after_response: bool,
}

impl FaultPoint {
    /// The point just before a controller sends a request.
    pub fn before_request(controller: &str, request: &'static str) -> Self {
        Self {
            controller: controller.to_string(),
            request,
            after_response: false,
        }
    }

    /// The point after the response to a controller's request; see [`Self::after_response`].
    pub fn after_response(controller: &str, request: &'static str) -> Self {
        Self {
            controller: controller.to_string(),
            request,
            after_response: true,
        }
    }

    /// Whether the fault is to be injected at this point of a controller's request.
    pub(crate) fn matches(&self, controller: &str, request: &str, after_response: bool) -> bool {
        self.controller == controller
            && self.after_response == after_response
            && request.starts_with(self.request)
    }
}

/// A random delay of a random part of the messages of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RandomDelay {
    /// Probability that a message is affected.
    pub probability: f64,
    /// Maximum delay, in seconds.
    pub max_delay_s: f64,
}

impl RandomDelay {
    /// No message is affected.
    pub const NONE: Self = Self {
        probability: 0.0,
        max_delay_s: 0.0,
    };
}

/// Delays one transaction: it gets no response and is executed late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DelayedWrite {
    /// Prefix of a key that the transaction sets.
    pub key_prefix: &'static str,
    /// Delay until it is executed, in seconds.
    pub delay_s: f64,
}

/// Faults that are active or will be injected.
pub struct FaultSettings {
    /// Names of controllers whose requests to the store get no response.
    pub store_partitioned: BTreeSet<String>,
    /// Names of controllers whose requests the store answers with status 503.
    pub store_refused: BTreeSet<String>,
    /// Whether the store answers the requests of all controllers with status 503.
    pub store_down: bool,
    /// Probability that a transaction with writes gets no response and is executed 2 to 12
    /// seconds later.
    pub late_write_probability: f64,
    /// Probability that a transaction is executed immediately but gets no response.
    pub lost_response_probability: f64,
    /// Number of upcoming transactions with writes that are executed but whose connection
    /// breaks before the response.
    pub lose_next_responses: u32,
    /// Transactions that set a key with this prefix are never executed and get no response.
    pub hang_writes_with_prefix: Option<&'static str>,
    /// Delays the next transaction that matches.
    pub delay_next_write: Option<DelayedWrite>,
    /// The next listing of the keys with this prefix is answered with status 503.
    pub refuse_next_listing: Option<&'static str>,
    /// Whether watches of active jobs get no response.
    pub hang_job_watches: bool,
    /// Whether responses to controllers are truncated to half their length.
    pub truncate_responses: bool,
    /// Delay of a controller's request to the store, the cloud or a worker, in seconds.
    pub link_delay_s: f64,
    /// Workers that are connected to a single controller, by name, and the name of that
    /// controller.
    pub exclusive_links: HashMap<String, String>,
    /// Probability and delay with which direct commands are delivered late.
    pub delayed_commands: RandomDelay,
    /// Machines to which direct commands are held in transit, by name, and the simulated time
    /// in seconds until which they are held. Heartbeats are answered meanwhile.
    pub commands_held_until: BTreeMap<String, f64>,
    /// Whether the cloud answers all requests with status 503.
    pub cloud_down: bool,
    /// Probability and delay with which a duplicate of a heartbeat is delivered to every
    /// controller.
    pub duplicated_heartbeats: RandomDelay,
    /// Whether a copy of each heartbeat is kept for
    /// [`crate::Simulation::replay_captured_heartbeats`].
    pub capture_heartbeats: bool,
    /// Probability and delay with which a copy of a request that was executed and answered
    /// arrives: at the store, the cloud or a worker.
    pub repeated_requests: RandomDelay,
    /// Whether a copy of all direct commands that a worker executed and answered is kept for
    /// [`crate::Simulation::replay_captured_commands`].
    pub capture_commands: bool,
    /// The point at which a controller will be paused.
    pub pause_at: Option<FaultPoint>,
    /// The point at which the store will start to refuse the requests of all controllers.
    pub store_down_at: Option<FaultPoint>,
    /// Names of paused controllers, with the wakers of the tasks that wait for their resume.
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
            refuse_next_listing: None,
            hang_job_watches: false,
            truncate_responses: false,
            link_delay_s: DEFAULT_LINK_DELAY_S,
            exclusive_links: HashMap::new(),
            delayed_commands: RandomDelay::NONE,
            commands_held_until: BTreeMap::new(),
            cloud_down: false,
            duplicated_heartbeats: RandomDelay::NONE,
            capture_heartbeats: false,
            repeated_requests: RandomDelay::NONE,
            capture_commands: false,
            pause_at: None,
            store_down_at: None,
            paused: HashMap::new(),
        }
    }
}

impl FaultSettings {
    /// Whether the store answers a controller's requests with status 503. Watches that are
    /// already open get no response meanwhile.
    pub(crate) fn store_refuses(&self, controller: &str) -> bool {
        self.store_down || self.store_refused.contains(controller)
    }

    /// Whether the store answers this request with status 503 because the listing is to be
    /// refused once.
    pub(crate) fn take_listing_refusal(&mut self, path: &str) -> bool {
        let refusal = self.refuse_next_listing.take_if(|prefix| {
            let listing = format!("/store?starts={prefix}&");
            path.starts_with(&listing)
        });
        refusal.is_some()
    }
}
