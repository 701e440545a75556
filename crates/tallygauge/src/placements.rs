//! Durable placements: batches whose transactions are under way at the same time.

use crate::{
    controller::{Controller, TERM_KEY, active_job_key, placement_batch_key},
    worker_api,
};
use futures_util::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_scheduler::{JobVersion, PlacementBatch};
use tallygauge_store::{RequestPriority, TransactionOutcome};

/// Part of the leader's writes of a second that may be placements under way.
const IN_FLIGHT_WRITE_SHARE: f64 = 0.125;

/// Batches under way, however few writes there are.
const MIN_IN_FLIGHT: usize = 3;

/// Batches that a leader is making durable. One in doubt holds its own tasks,
/// capacity and quota, and nothing else: rounds go on over the rest.
pub struct PlacementWriter<'a> {
    controller: &'a Arc<Controller>,
    term_guard: &'a Condition,
    /// Planned and not sent yet, for want of a turn.
    waiting: VecDeque<PlacementBatch>,
    in_flight: FuturesUnordered<BoxFuture<'a, ()>>,
    max_in_flight: usize,
}

impl<'a> PlacementWriter<'a> {
    /// None under way.
    #[must_use]
    pub fn new(controller: &'a Arc<Controller>, term_guard: &'a Condition) -> Self {
        let writes = controller.settings.deployment.store.writes_per_s;
        Self {
            controller,
            term_guard,
            waiting: VecDeque::new(),
            in_flight: FuturesUnordered::new(),
            max_in_flight: ((writes * IN_FLIGHT_WRITE_SHARE) as usize).max(MIN_IN_FLIGHT),
        }
    }

    /// Whether another round may plan: what it plans could be sent at once.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.len() < self.max_in_flight
    }

    /// Takes batches over; they are sent in order, as turns come.
    pub fn push(&mut self, batches: Vec<PlacementBatch>) {
        self.waiting.extend(batches);
        self.send();
    }

    fn send(&mut self) {
        while self.in_flight.len() < self.max_in_flight
            && let Some(batch) = self.waiting.pop_front()
        {
            let (controller, term_guard) = (self.controller, self.term_guard);
            self.in_flight
                .push(Box::pin(commit_batch(controller, term_guard, batch)));
        }
    }

    /// Works on what is under way for as long as something else takes. A turn
    /// that comes free where there was none brings a round.
    pub async fn run_until(&mut self, work: impl Future<Output = ()>) {
        tokio::pin!(work);
        loop {
            let had_turn = self.has_capacity();
            tokio::select! {
                // A fixed order of polling, so that simulations repeat themselves.
                biased;
                () = &mut work => return,
                Some(()) = self.in_flight.next(), if !self.in_flight.is_empty() => {
                    self.send();
                    if !had_turn && self.has_capacity() {
                        self.controller.wake_scheduler.notify_one();
                    }
                }
            }
        }
    }
}

/// The transaction that makes a batch durable. Conditioned on the term, on the
/// batch's name being new, and on the records of the jobs, so that nothing starts
/// after a cancellation.
fn transaction(term_guard: &Condition, batch: &PlacementBatch) -> Transaction {
    let key = placement_batch_key(&batch.name);
    let mut guards = vec![
        term_guard.clone(),
        Condition {
            key: key.clone(),
            version: 0,
        },
    ];
    guards.extend(
        batch
            .jobs
            .iter()
            .map(|JobVersion { job: id, version }| Condition {
                key: active_job_key(id),
                version: *version,
            }),
    );
    Transaction {
        conditions: guards,
        writes: vec![Write::Set {
            key,
            value: serde_json::to_value(&batch.record).unwrap_or_default(),
            lease: None,
        }],
    }
}

/// Makes a batch durable. Only then may its starts go out.
///
/// Unanswered, the same transaction is sent until it is answered: it can be
/// made once at most, and a refusal on its conditions is final, since neither
/// a removed job nor a term comes back.
async fn commit_batch(controller: &Arc<Controller>, term_guard: &Condition, batch: PlacementBatch) {
    let txn = transaction(term_guard, &batch);
    let settled = controller
        .store
        .commit_with_retries(RequestPriority::Placement, &txn, None)
        .await;
    let made = match settled.outcome {
        Ok(TransactionOutcome::Committed(_)) => {
            if let Some(lead) = controller.lock(&controller.leadership).as_mut() {
                let asked = controller.instant_to_seconds(settled.sent_at);
                lead.term_confirmed_at = lead.term_confirmed_at.max(asked);
            }
            true
        }
        Ok(TransactionOutcome::Conflict(failed)) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                controller.step_down("a write found another term");
                return;
            }
            let now = controller.now();
            // The jobs are over; the watch will say how.
            controller.with_cluster(|c| {
                for JobVersion { job: id, .. } in &batch.jobs {
                    if failed.contains(&active_job_key(id)) {
                        c.remove_job(id, now);
                    }
                }
            });
            // Made by an earlier copy, it is there now; else it never will be.
            settled.in_doubt && exists(controller, &batch).await
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => false,
    };
    let now = controller.now();
    controller.with_cluster(|c| {
        if made {
            c.record_batch_committed(&batch, now);
        } else {
            c.record_batch_rejected(&batch, now);
        }
    });
    tracing::debug!(batch = &*batch.name, made, "placements");
    if !made {
        controller.wake_scheduler.notify_one();
    }
    worker_api::send_direct_messages(controller);
}

/// Whether a batch is on record.
async fn exists(controller: &Controller, batch: &PlacementBatch) -> bool {
    let key = placement_batch_key(&batch.name);
    let pause: Duration = controller.leader_lease_ttl() / 8;
    loop {
        if let Ok(row) = controller.store.get(RequestPriority::Placement, &key).await {
            return row.is_some();
        }
        tokio::time::sleep(pause).await;
    }
}
