//! The background loops of a term.

use super::recovery::{self, RecoveredTerm};
use crate::{
    cleanup, cloud, controller::Controller, direct_messages, job_watch_loop, leader_records,
    machine_types, progress, reconciliation, scheduling_loop, summary,
};
use std::sync::Arc;
use tallygauge_protocol::state::Condition;

/// Recovers the cluster state and then runs every background loop of the term. The loops
/// end with the term, when the caller drops this future: they run in the caller's Tokio
/// task and spawn no tasks of their own, except for direct messages in flight.
pub(super) async fn run(controller: &Arc<Controller>, term: u64, term_condition: &Condition) {
    let RecoveredTerm { revision, records } = recover_with_retries(controller, term).await;
    let recorded_types = records.machine_types();
    direct_messages::send_direct_messages(controller);
    controller.wake_scheduler.notify_one();
    tokio::join!(
        job_watch_loop::run(controller, revision),
        scheduling_loop::run(controller, term_condition),
        progress::commit_completed_jobs(controller, term_condition),
        progress::flush_completion_pages(controller, term_condition),
        cleanup::run(controller, term_condition),
        summary::run(controller),
        leader_records::run(controller, term_condition, records),
        machine_types::record_types(controller, term_condition, recorded_types),
        reconciliation::run(controller),
        cloud::run(controller, term),
    );
}

async fn recover_with_retries(controller: &Controller, term: u64) -> RecoveredTerm {
    loop {
        match recovery::recover_cluster_state(controller, term).await {
            Ok(recovered) => return recovered,
            Err(error) => {
                tracing::warn!(%error, "failed to recover the cluster state, retrying");
                tokio::time::sleep(controller.store_retry_pause()).await;
            }
        }
    }
}
