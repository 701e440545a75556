//! Batched version checks: whether keys of the key-value store still have the versions that
//! this controller has cached.
//!
//! A user may be told the state of an active job only if the store has confirmed it
//! recently. Since many users poll at the same time, checks that arrive within a short time
//! share one transaction, which has conditions and no writes.

use crate::controller::Controller;
use std::{cmp::Ordering, sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Condition, Transaction},
    users::POLL_TIMEOUT_S,
};
use tallygauge_store::{RequestPriority, TransactionOutcome};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// Time for which checks are gathered into a batch, in multiples of the interval between
/// requests at the rate of the store's request budget. At 2, batches use at most half of the
/// budget, however many checks there are.
const BATCH_WINDOW_REQUESTS: f64 = 2.0;

/// Maximum time for which checks are gathered into a batch, in seconds.
const MAX_BATCH_WINDOW_S: f64 = 0.1;

/// Maximum number of batches that are processed at the same time.
const MAX_CONCURRENT_BATCHES: usize = 3;

/// Maximum number of conditions in a batch, in multiples of the number of writes that a
/// transaction may have.
const CONDITIONS_PER_WRITE: usize = 4;

/// Time for which a batch is retried, in seconds. It is shorter than the time for which the
/// callers wait.
const RETRY_TIMEOUT_S: f64 = POLL_TIMEOUT_S * 0.6;

/// Order of checks: by the priority of their requests, and among equal priorities by how
/// long their callers have been unanswered, longest first.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// Priority of the check's requests to the store.
    pub priority: RequestPriority,
    /// Time since which the caller has been unanswered, in seconds of the controller's clock.
    pub unanswered_since: f64,
}

impl Urgency {
    /// Compares so that the more urgent of the two is ordered first.
    fn compare(&self, other: &Self) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.unanswered_since.total_cmp(&other.unanswered_since))
    }
}

/// A check requested by one caller.
struct VersionCheck {
    urgency: Urgency,
    requested_at: f64,
    conditions: Vec<Condition>,
    /// Receives `None` if the result could not be determined.
    reply: oneshot::Sender<Option<VersionCheckResult>>,
}

/// Result of a version check.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionCheckResult {
    /// For each condition, in order, whether it holds.
    pub holds: Vec<bool>,
    /// When the earliest request to the store behind this result was sent, in seconds of the
    /// controller's clock. The result reflects the store at that time or later.
    pub as_of: f64,
}

/// The sending end of the queue of version checks, for callers that need a check.
pub struct VersionChecks {
    queue: mpsc::Sender<VersionCheck>,
}

/// The receiving end of the queue of version checks. [`VersionCheckQueue::serve`] processes
/// the checks.
pub struct VersionCheckQueue {
    incoming: mpsc::Receiver<VersionCheck>,
    /// Received checks that are not part of a batch yet.
    waiting: Vec<VersionCheck>,
}

impl VersionChecks {
    /// Creates both ends of a queue that holds at most `capacity` checks.
    #[must_use]
    pub fn new(capacity: usize) -> (Self, VersionCheckQueue) {
        let (queue, incoming) = mpsc::channel(capacity);
        let waiting = Vec::new();
        (Self { queue }, VersionCheckQueue { incoming, waiting })
    }

    /// Checks conditions against the store. Returns `None` if the queue is full, or if the
    /// store did not respond within the time for which a user waits.
    pub async fn check(
        &self,
        urgency: Urgency,
        now: f64,
        conditions: Vec<Condition>,
    ) -> Option<VersionCheckResult> {
        let (reply, result) = oneshot::channel();
        let check = VersionCheck {
            urgency,
            requested_at: now,
            conditions,
            reply,
        };
        self.queue.try_send(check).ok()?;
        result.await.ok()?
    }
}

impl VersionCheckQueue {
    /// Processes checks in batches for as long as the process runs.
    pub async fn serve(mut self, controller: Arc<Controller>) {
        let store_settings = &controller.settings.deployment.store;
        let max_conditions = store_settings.max_writes_per_transaction * CONDITIONS_PER_WRITE;
        let batch_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_BATCHES));
        loop {
            if self.waiting.is_empty() {
                let Some(first) = self.incoming.recv().await else {
                    return;
                };
                self.waiting.push(first);
            }
            tokio::time::sleep(batch_window(&controller)).await;
            let Ok(permit) = batch_permits.clone().acquire_owned().await else {
                return;
            };
            self.receive_queued();
            self.drop_expired(controller.now());
            let batch = take_most_urgent(&mut self.waiting, max_conditions);
            if batch.is_empty() {
                continue;
            }
            let controller = controller.clone();
            tokio::spawn(async move {
                check_batch(&controller, batch).await;
                drop(permit);
            });
        }
    }

    fn receive_queued(&mut self) {
        while let Ok(check) = self.incoming.try_recv() {
            self.waiting.push(check);
        }
    }

    /// Drops checks whose callers no longer wait, or have waited for as long as a user does.
    fn drop_expired(&mut self, now: f64) {
        self.waiting
            .retain(|check| !check.reply.is_closed() && now - check.requested_at < POLL_TIMEOUT_S);
    }
}

/// Time for which checks are gathered before a batch is sent.
fn batch_window(controller: &Controller) -> Duration {
    let request_rate = controller.store.budget().request_rate().max(1.0);
    let window_s = BATCH_WINDOW_REQUESTS / request_rate;
    Duration::from_secs_f64(window_s.min(MAX_BATCH_WINDOW_S))
}

/// Takes the most urgent of the waiting checks, up to the first one with which the batch
/// would exceed `max_conditions` conditions.
fn take_most_urgent(waiting: &mut Vec<VersionCheck>, max_conditions: usize) -> Vec<VersionCheck> {
    waiting.sort_by(|a, b| a.urgency.compare(&b.urgency));
    let mut condition_count = 0;
    let fitting = waiting.iter().take_while(|check| {
        condition_count += check.conditions.len();
        condition_count <= max_conditions
    });
    let batch_size = fitting.count();
    waiting.drain(..batch_size).collect()
}

/// Checks a batch against the store, at the highest priority among its checks, and replies to
/// every caller.
async fn check_batch(controller: &Controller, batch: Vec<VersionCheck>) {
    let priorities = batch.iter().map(|check| check.urgency.priority);
    let priority = priorities.min().unwrap_or(RequestPriority::Polls);
    let mut conditions: Vec<Condition> = Vec::new();
    for condition in batch.iter().flat_map(|check| &check.conditions) {
        if !conditions.contains(condition) {
            conditions.push(condition.clone());
        }
    }
    let failed = find_failed_conditions(controller, priority, conditions).await;
    for check in batch {
        let result = failed.as_ref().map(|failed| VersionCheckResult {
            holds: check
                .conditions
                .iter()
                .map(|condition| !failed.keys.contains(&condition.key))
                .collect(),
            as_of: failed.as_of,
        });
        // The send fails if the caller no longer waits, which needs no action.
        let _ = check.reply.send(result);
    }
}

/// Conditions that do not hold according to the store.
struct FailedConditions {
    /// Keys of the failed conditions.
    keys: Vec<String>,
    /// When the earliest of the requests to the store was sent, in seconds of the
    /// controller's clock.
    as_of: f64,
}

/// Asks the store which of the conditions fail. Returns `None` if the store did not determine
/// it within [`RETRY_TIMEOUT_S`]. The transactions write nothing, so a transaction whose
/// response is lost can safely be sent again.
async fn find_failed_conditions(
    controller: &Controller,
    priority: RequestPriority,
    mut conditions: Vec<Condition>,
) -> Option<FailedConditions> {
    let mut failed = FailedConditions {
        keys: Vec::new(),
        as_of: f64::INFINITY,
    };
    let deadline = controller.now() + RETRY_TIMEOUT_S;
    // A conflict may name only some of the conditions that failed. The remaining conditions
    // are checked again until all of them hold.
    while !conditions.is_empty() {
        let transaction = Transaction {
            conditions: conditions.clone(),
            writes: Vec::new(),
        };
        let timeout = Duration::from_secs_f64((deadline - controller.now()).max(0.0));
        let result = controller
            .store
            .commit_with_retries(priority, &transaction, Some(timeout))
            .await;
        failed.as_of = failed
            .as_of
            .min(controller.instant_to_seconds(result.sent_at));
        match result.outcome {
            Ok(TransactionOutcome::Committed(_)) => break,
            Ok(TransactionOutcome::Conflict { failed_keys: keys }) if !keys.is_empty() => {
                conditions.retain(|condition| !keys.contains(&condition.key));
                failed.keys.extend(keys);
            }
            _ => return None,
        }
    }
    Some(failed)
}

#[cfg(test)]
mod tests;
