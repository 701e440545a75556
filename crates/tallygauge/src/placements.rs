//! Makes placements durable, in batches whose transactions run concurrently.

use crate::{
    controller::Controller,
    direct_messages,
    leader_transaction::{new_transaction, set_record, step_down_if_deposed},
    store_keys::{active_job_key, placement_batch_key},
};
use futures_util::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use std::{collections::VecDeque, sync::Arc};
use tallygauge_protocol::state::{Condition, Transaction};
use tallygauge_scheduler::{JobVersion, PlacementBatch};
use tallygauge_store::{CommitResult, RequestPriority, TransactionOutcome};
use tokio::time::Instant;

/// Maximum number of placement batches in flight, as a fraction of the number of writes
/// that the store allows per second.
const IN_FLIGHT_WRITE_SHARE: f64 = 0.125;

/// Lower limit of the maximum number of batches in flight, however few writes the store
/// allows.
const MIN_IN_FLIGHT: usize = 3;

/// Writes the leader's placement batches. A batch whose outcome is indeterminate blocks
/// only its own tasks, capacity and quota: scheduling rounds continue with all others.
pub struct PlacementWriter<'a> {
    controller: &'a Arc<Controller>,
    term_condition: &'a Condition,
    /// Batches not sent yet because the maximum number of batches is in flight.
    queued: VecDeque<PlacementBatch>,
    in_flight: FuturesUnordered<BoxFuture<'a, ()>>,
    max_in_flight: usize,
}

impl<'a> PlacementWriter<'a> {
    /// Creates a writer without batches for the term of `term_condition`.
    #[must_use]
    pub fn new(controller: &'a Arc<Controller>, term_condition: &'a Condition) -> Self {
        let writes_per_s = controller.settings.deployment.store.writes_per_s;
        let max_in_flight = (writes_per_s * IN_FLIGHT_WRITE_SHARE) as usize;
        Self {
            controller,
            term_condition,
            queued: VecDeque::new(),
            in_flight: FuturesUnordered::new(),
            max_in_flight: max_in_flight.max(MIN_IN_FLIGHT),
        }
    }

    /// Whether another scheduling round may place tasks: no batch is queued, and fewer than
    /// the maximum number are in flight.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.queued.is_empty() && self.in_flight.len() < self.max_in_flight
    }

    /// Queues batches, which are sent in this order as batches in flight complete.
    pub fn push(&mut self, batches: Vec<PlacementBatch>) {
        self.queued.extend(batches);
        self.send_queued();
    }

    fn send_queued(&mut self) {
        while self.in_flight.len() < self.max_in_flight
            && let Some(batch) = self.queued.pop_front()
        {
            let commit = commit_batch(self.controller, self.term_condition, batch);
            self.in_flight.push(Box::pin(commit));
        }
    }

    /// Polls the batches in flight until `work` completes. Wakes the scheduling loop when the
    /// writer had no capacity and has some again.
    pub async fn run_until(&mut self, work: impl Future<Output = ()>) {
        tokio::pin!(work);
        loop {
            let had_capacity = self.has_capacity();
            tokio::select! {
                // A fixed polling order keeps simulations reproducible.
                biased;
                () = &mut work => return,
                Some(()) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    self.send_queued();
                    if !had_capacity && self.has_capacity() {
                        self.controller.wake_scheduler.notify_one();
                    }
                }
            }
        }
    }
}

/// The transaction that makes a batch durable. It is conditioned on the following:
///
/// - The term is unchanged.
/// - No batch of this name is stored.
/// - The active records of the batch's jobs are unchanged, so that no task starts after a
///   cancellation.
fn placement_transaction(term_condition: &Condition, batch: &PlacementBatch) -> Transaction {
    let key = placement_batch_key(&batch.name);
    let mut transaction = new_transaction(term_condition);
    transaction.conditions.push(Condition {
        key: key.clone(),
        version: 0,
    });
    let job_conditions = batch.jobs.iter().map(|job| Condition {
        key: active_job_key(&job.job),
        version: job.version,
    });
    transaction.conditions.extend(job_conditions);
    transaction.writes.push(set_record(key, &batch.record));
    transaction
}

/// Makes a batch durable. Its start commands may only be sent after that.
///
/// A transaction that is not answered is sent again until it is. This is safe: it can be
/// executed at most once, and a conflict is final, since neither a removed job nor a past
/// term comes back.
async fn commit_batch(
    controller: &Arc<Controller>,
    term_condition: &Condition,
    batch: PlacementBatch,
) {
    let transaction = placement_transaction(term_condition, &batch);
    let result = controller
        .store
        .commit_with_retries(RequestPriority::Placement, &transaction, None)
        .await;
    let Some(committed) = resolve_commit(controller, &batch, result).await else {
        return;
    };
    let now = controller.now();
    controller.with_cluster(|cluster| {
        if committed {
            cluster.record_batch_committed(&batch, now);
        } else {
            cluster.record_batch_rejected(&batch, now);
        }
    });
    tracing::debug!(batch = &*batch.name, committed, "placement batch decided");
    controller.starts_changed.notify_waiters();
    if !committed {
        controller.wake_scheduler.notify_one();
    }
    direct_messages::send_direct_messages(controller);
}

/// Determines whether a batch was committed; `None` when this controller was deposed.
async fn resolve_commit(
    controller: &Controller,
    batch: &PlacementBatch,
    result: CommitResult,
) -> Option<bool> {
    match result.outcome {
        Ok(TransactionOutcome::Committed(_)) => {
            confirm_term(controller, result.sent_at);
            Some(true)
        }
        Ok(TransactionOutcome::Conflict { failed_keys }) => {
            if step_down_if_deposed(controller, &failed_keys) {
                return None;
            }
            remove_ended_jobs(controller, batch, &failed_keys);
            // If an earlier attempt was executed, the batch is in the store by now.
            Some(result.has_indeterminate_attempt && is_stored(controller, batch).await)
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => Some(false),
    }
}

/// Records that the term was current at `sent_at`, when a transaction that has since been
/// committed was sent.
fn confirm_term(controller: &Controller, sent_at: Instant) {
    if let Some(leadership) = controller.leadership.lock().as_mut() {
        let confirmed_at = controller.instant_to_seconds(sent_at);
        leadership.term_confirmed_at = leadership.term_confirmed_at.max(confirmed_at);
    }
}

/// Removes from the cluster state those jobs of a batch whose active records caused the
/// conflict, since they have ended. The watch of active jobs reports how they ended.
fn remove_ended_jobs(controller: &Controller, batch: &PlacementBatch, failed_keys: &[String]) {
    let now = controller.now();
    controller.with_cluster(|cluster| {
        for JobVersion { job, .. } in &batch.jobs {
            if failed_keys.contains(&active_job_key(job)) {
                cluster.remove_job(job, now);
            }
        }
    });
}

/// Reads whether a batch is in the store, and retries until the store answers.
async fn is_stored(controller: &Controller, batch: &PlacementBatch) -> bool {
    let key = placement_batch_key(&batch.name);
    let pause = controller.store_retry_pause();
    loop {
        if let Ok(stored) = controller.store.get(RequestPriority::Placement, &key).await {
            return stored.is_some();
        }
        tokio::time::sleep(pause).await;
    }
}
