//! Durable placements: batches whose transactions are under way at the same time.

use crate::{
    controller::{Node, TERM_KEY, batch_key, open_key},
    worker_api,
};
use futures_util::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tallygauge_protocol::state::{Guard, Transaction, Write};
use tallygauge_scheduler::Batch;
use tallygauge_store::{Class, Outcome};

/// Part of the leader's writes of a second that may be placements under way.
const WRITES_UNDER_WAY: f64 = 0.125;

/// Batches under way, however few writes there are.
const LEAST_UNDER_WAY: usize = 3;

/// Batches that a leader is making durable. One in doubt holds its own tasks,
/// capacity and quota, and nothing else: rounds go on over the rest.
pub struct Placements<'a> {
    node: &'a Arc<Node>,
    term_guard: &'a Guard,
    /// Planned and not sent yet, for want of a turn.
    waiting: VecDeque<Batch>,
    under_way: FuturesUnordered<BoxFuture<'a, ()>>,
    most_under_way: usize,
}

impl<'a> Placements<'a> {
    /// None under way.
    #[must_use]
    pub fn new(node: &'a Arc<Node>, term_guard: &'a Guard) -> Self {
        let writes = node.settings.deployment.state.write_rps;
        Self {
            node,
            term_guard,
            waiting: VecDeque::new(),
            under_way: FuturesUnordered::new(),
            most_under_way: ((writes * WRITES_UNDER_WAY) as usize).max(LEAST_UNDER_WAY),
        }
    }

    /// Whether another round may plan: what it plans could be sent at once.
    #[must_use]
    pub fn has_turn(&self) -> bool {
        self.waiting.is_empty() && self.under_way.len() < self.most_under_way
    }

    /// Takes batches over; they are sent in order, as turns come.
    pub fn push(&mut self, batches: Vec<Batch>) {
        self.waiting.extend(batches);
        self.send();
    }

    fn send(&mut self) {
        while self.under_way.len() < self.most_under_way
            && let Some(batch) = self.waiting.pop_front()
        {
            let (node, term_guard) = (self.node, self.term_guard);
            self.under_way
                .push(Box::pin(place(node, term_guard, batch)));
        }
    }

    /// Works on what is under way for as long as something else takes. A turn
    /// that comes free where there was none brings a round.
    pub async fn drive(&mut self, work: impl Future<Output = ()>) {
        tokio::pin!(work);
        loop {
            let had_turn = self.has_turn();
            tokio::select! {
                // A fixed order of polling, so that simulations repeat themselves.
                biased;
                () = &mut work => return,
                Some(()) = self.under_way.next(), if !self.under_way.is_empty() => {
                    self.send();
                    if !had_turn && self.has_turn() {
                        self.node.wake.notify_one();
                    }
                }
            }
        }
    }
}

/// The transaction that makes a batch durable. Conditioned on the term, on the
/// batch's name being new, and on the records of the jobs, so that nothing starts
/// after a cancellation.
fn transaction(term_guard: &Guard, batch: &Batch) -> Transaction {
    let key = batch_key(&batch.name);
    let mut guards = vec![
        term_guard.clone(),
        Guard {
            key: key.clone(),
            version: 0,
        },
    ];
    guards.extend(batch.jobs.iter().map(|(id, version)| Guard {
        key: open_key(id),
        version: *version,
    }));
    Transaction {
        guards,
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
async fn place(node: &Arc<Node>, term_guard: &Guard, batch: Batch) {
    let txn = transaction(term_guard, &batch);
    let settled = node.state.settle(Class::Placement, &txn, None).await;
    let made = match settled.outcome {
        Ok(Outcome::Made(_)) => {
            if let Some(lead) = node.lock(&node.lead).as_mut() {
                let asked = node.at(settled.sent);
                lead.confirmed = lead.confirmed.max(asked);
            }
            true
        }
        Ok(Outcome::Conflict(failed)) => {
            if failed.iter().any(|k| k == TERM_KEY) {
                node.step_down("a write found another term");
                return;
            }
            let now = node.now();
            // The jobs are over; the watch will say how.
            node.with_cluster(|c| {
                for (id, _) in &batch.jobs {
                    if failed.contains(&open_key(id)) {
                        c.remove_job(id, now);
                    }
                }
            });
            // Made by an earlier copy, it is there now; else it never will be.
            settled.in_doubt && exists(node, &batch).await
        }
        Ok(Outcome::NoLease) | Err(_) => false,
    };
    let now = node.now();
    node.with_cluster(|c| {
        if made {
            c.written(&batch, now);
        } else {
            c.unwritten(&batch, now);
        }
    });
    tracing::debug!(batch = &*batch.name, made, "placements");
    if !made {
        node.wake.notify_one();
    }
    worker_api::dispatch(node);
}

/// Whether a batch is on record.
async fn exists(node: &Node, batch: &Batch) -> bool {
    let key = batch_key(&batch.name);
    let pause: Duration = node.term_ttl() / 8;
    loop {
        if let Ok(row) = node.state.get(Class::Placement, &key).await {
            return row.is_some();
        }
        tokio::time::sleep(pause).await;
    }
}
