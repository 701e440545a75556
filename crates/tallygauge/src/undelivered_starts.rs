//! Makes the attempts durable whose direct start was given up, so that the next leader knows
//! that their starts may still arrive.

use crate::{
    controller::Controller,
    leader_transaction::{new_transaction, set_record, step_down_if_deposed},
    pacing::heartbeat_intervals,
    scheduling_loop::max_record_bytes,
    store_keys::undelivered_starts_key,
};
use tallygauge_protocol::state::Condition;
use tallygauge_store::{RequestPriority, TransactionOutcome};

/// Pause between two writes, in heartbeat intervals. All starts that were given up in the
/// meantime are written at once.
const PAUSE_HEARTBEAT_INTERVALS: f64 = 0.25;

/// Upper bound on the size of an attempt's number in a record, in bytes.
const MAX_ATTEMPT_BYTES: usize = 20;

/// Records undelivered starts for as long as this controller leads. Never returns.
pub async fn run(controller: &Controller, term_condition: &Condition) {
    let pause = heartbeat_intervals(controller, PAUSE_HEARTBEAT_INTERVALS);
    loop {
        tokio::time::sleep(pause).await;
        write_next_record(controller, term_condition).await;
    }
}

/// Writes one record, if any is due. Unless it is known to be durable, the same is written again
/// later: the value never changes, so that a late copy does no harm.
async fn write_next_record(controller: &Controller, term_condition: &Condition) {
    let max_attempts = max_record_bytes(controller) / MAX_ATTEMPT_BYTES;
    let due = controller.with_cluster(|cluster| cluster.next_undelivered_starts(max_attempts));
    let Some(due) = due.flatten() else {
        return;
    };
    let mut transaction = new_transaction(term_condition);
    let key = undelivered_starts_key(&due.name);
    transaction.writes.push(set_record(key, &due.record));
    let outcome = controller
        .store
        .transact(RequestPriority::Placement, &transaction)
        .await;
    match outcome {
        Ok(TransactionOutcome::Committed(_)) => {
            controller.with_cluster(|cluster| {
                cluster.record_undelivered_starts_committed(&due.name);
            });
        }
        Ok(TransactionOutcome::Conflict { failed_keys }) => {
            step_down_if_deposed(controller, &failed_keys);
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => {}
    }
}
