//! Batched version checks: whether keys of the key-value store still have the
//! versions that this controller knows.
//!
//! A user may be told the state of an active job only if the store has confirmed
//! it a moment ago. Many users poll at a time, so checks that arrive together
//! share one transaction of conditions without writes.

use crate::controller::Controller;
use std::{cmp::Ordering, sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Condition, Transaction},
    users::POLL_TIMEOUT_S,
};
use tallygauge_store::{RequestPriority, TransactionOutcome};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// Checks are gathered for as long as this many requests take at the store's
/// request budget: they use half of the budget at most, however many there are.
const BATCH_WINDOW_REQUESTS: f64 = 2.0;

/// Longest time for which checks are gathered, seconds.
const MAX_BATCH_WINDOW_S: f64 = 0.1;

/// Batches that may be under way at a time.
const MAX_CONCURRENT_BATCHES: usize = 3;

/// Conditions of a batch per write that a transaction may have.
const CONDITIONS_PER_WRITE: usize = 4;

/// How long a batch is retried while its callers still wait, seconds.
const RETRY_TIMEOUT_S: f64 = POLL_TIMEOUT_S * 0.6;

/// Decides which checks come first: those of the higher priority, and among these
/// those whose callers have been unanswered for longest.
#[derive(Debug, Clone, Copy)]
pub struct Urgency {
    /// Priority of the requests to the store.
    pub priority: RequestPriority,
    /// Since when the caller has had no answer, in seconds of the controller's clock.
    pub unanswered_since: f64,
}

impl Urgency {
    /// Orders the more urgent first.
    fn compare(&self, other: &Self) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.unanswered_since.total_cmp(&other.unanswered_since))
    }
}

/// One caller's check.
struct VersionCheck {
    urgency: Urgency,
    requested_at: f64,
    conditions: Vec<Condition>,
    /// `None` is sent if the result can't be known.
    reply: oneshot::Sender<Option<VersionCheckResult>>,
}

/// Result of a version check.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionCheckResult {
    /// For each condition, in order, whether it holds.
    pub holds: Vec<bool>,
    /// When the request to the store was sent, in seconds of the controller's
    /// clock: the result is no older.
    pub as_of: f64,
}

/// Callers' end of the queue of version checks.
pub struct VersionChecks {
    queue: mpsc::Sender<VersionCheck>,
}

/// The end of the queue that is served by [`VersionCheckQueue::serve`].
pub struct VersionCheckQueue {
    incoming: mpsc::Receiver<VersionCheck>,
    /// Checks that are not part of a batch yet.
    waiting: Vec<VersionCheck>,
}

impl VersionChecks {
    /// Creates a queue of at most `capacity` checks.
    #[must_use]
    pub fn new(capacity: usize) -> (Self, VersionCheckQueue) {
        let (queue, incoming) = mpsc::channel(capacity);
        let waiting = Vec::new();
        (Self { queue }, VersionCheckQueue { incoming, waiting })
    }

    /// Checks conditions against the store. `None` if the queue is full or the
    /// store gave no answer in the time that a user waits.
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
    /// Runs checks in batches, for the life of the process.
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
                run_version_checks(&controller, batch).await;
                drop(permit);
            });
        }
    }

    fn receive_queued(&mut self) {
        while let Ok(check) = self.incoming.try_recv() {
            self.waiting.push(check);
        }
    }

    /// Drops checks whose callers have gone, or have waited for as long as a user
    /// does.
    fn drop_expired(&mut self, now: f64) {
        self.waiting
            .retain(|check| !check.reply.is_closed() && now - check.requested_at < POLL_TIMEOUT_S);
    }
}

/// How long checks are gathered before a batch is sent.
fn batch_window(controller: &Controller) -> Duration {
    let request_rate = controller.store.budget().request_rate().max(1.0);
    let window_s = BATCH_WINDOW_REQUESTS / request_rate;
    Duration::from_secs_f64(window_s.min(MAX_BATCH_WINDOW_S))
}

/// Takes the most urgent of the waiting checks, as many as have at most
/// `max_conditions` conditions together.
fn take_most_urgent(waiting: &mut Vec<VersionCheck>, max_conditions: usize) -> Vec<VersionCheck> {
    waiting.sort_by(|a, b| a.urgency.compare(&b.urgency));
    let mut condition_count = 0;
    let fitting = waiting.iter().take_while(|check| {
        condition_count += check.conditions.len();
        condition_count <= max_conditions
    });
    let fitting = fitting.count();
    waiting.drain(..fitting).collect()
}

/// Runs a batch at the priority of its most important check, and replies to all.
async fn run_version_checks(controller: &Controller, batch: Vec<VersionCheck>) {
    let priorities = batch.iter().map(|check| check.urgency.priority);
    let priority = priorities.min().unwrap_or(RequestPriority::Polls);
    let mut conditions: Vec<Condition> = Vec::new();
    for condition in batch.iter().flat_map(|check| &check.conditions) {
        if !conditions.contains(condition) {
            conditions.push(condition.clone());
        }
    }
    let failed = failed_conditions(controller, priority, conditions).await;
    for check in batch {
        let result = failed.as_ref().map(|failed| VersionCheckResult {
            holds: check
                .conditions
                .iter()
                .map(|condition| !failed.keys.contains(&condition.key))
                .collect(),
            as_of: failed.as_of,
        });
        // A caller that no longer waits needs no result.
        let _ = check.reply.send(result);
    }
}

/// Conditions that the store says don't hold.
struct FailedConditions {
    keys: Vec<String>,
    /// When the earliest of the requests behind this was sent.
    as_of: f64,
}

/// Asks the store which of these conditions fail; `None` if that can't be known
/// while the callers wait. The transactions write nothing, so one whose answer is
/// lost may be sent again at will.
async fn failed_conditions(
    controller: &Controller,
    priority: RequestPriority,
    mut conditions: Vec<Condition>,
) -> Option<FailedConditions> {
    let mut failed = FailedConditions {
        keys: Vec::new(),
        as_of: f64::INFINITY,
    };
    let deadline = controller.now() + RETRY_TIMEOUT_S;
    // A conflict names conditions that failed, perhaps not all of them: the others
    // are checked again until they hold.
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
