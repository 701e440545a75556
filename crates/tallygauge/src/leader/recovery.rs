//! Recovery of the cluster state from the store when a term begins.

use super::stored_value::{ReadError, decode_value};
use crate::{
    controller::Controller,
    job_watch,
    leader_records::{self, StoredRecords},
    scheduler_config::scheduler_config,
    scheduling_loop,
    store_keys::{
        ACTIVE_JOB_PREFIX, COMPLETION_PAGE_PREFIX, PLACEMENT_BATCH_PREFIX,
        UNDELIVERED_STARTS_PREFIX,
    },
    user_api::{self, ActiveJobRecord},
};
use std::collections::{BTreeMap, HashMap};
use tallygauge_protocol::state::KeyValue;
use tallygauge_scheduler::{
    ClusterState, CompletionPageRecord, ImageLocations, PlacementBatchRecord, RangeSet,
    UndeliveredStartsRecord,
};
use tallygauge_store::RequestPriority;

/// Result of the recovery, with which the background loops of the term start.
pub(super) struct RecoveredTerm {
    /// Revision of the store after which active jobs must be watched.
    pub(super) revision: u64,
    /// Auxiliary records that earlier leaders stored.
    pub(super) records: StoredRecords,
}

/// All stored records from which the cluster state is rebuilt.
struct DurableState {
    active_jobs: Vec<KeyValue>,
    completion_pages: Vec<KeyValue>,
    placement_batches: Vec<KeyValue>,
    undelivered_starts: Vec<KeyValue>,
    records: StoredRecords,
    /// Revision of the store at which the active jobs were listed. They are listed before
    /// the other records, and the watch starts from this revision, so that no change is
    /// missed.
    revision: u64,
}

/// Time at which the records were read, by both clocks.
#[derive(Clone, Copy)]
struct RecoveryTime {
    /// Seconds of the process's monotonic clock.
    now: f64,
    /// Wall-clock time, in seconds since the Unix epoch.
    unix_time_s: f64,
}

/// Completed tasks of each job, by the job's id.
type CompletedTasks = HashMap<String, RangeSet>;

/// Rebuilds the cluster state from jobs, completed tasks and placements, and
/// installs it in the term.
///
/// # Errors
/// Returns an error, and installs nothing, when the store does not answer or a record is
/// malformed.
pub(super) async fn recover_cluster_state(
    controller: &Controller,
    term: u64,
) -> Result<RecoveredTerm, ReadError> {
    let durable = read_durable_state(controller).await?;
    let time = RecoveryTime {
        now: controller.now(),
        unix_time_s: controller.unix_time_s(),
    };
    let mut cluster = new_cluster_state(controller, term, time);
    restore_machine_types(controller, &mut cluster, &durable.records);
    restore_leader_records(&mut cluster, &durable.records);
    let completed = restore_completion_pages(&mut cluster, durable.completion_pages)?;
    restore_active_jobs(&mut cluster, durable.active_jobs, &completed, time)?;
    restore_placements(&mut cluster, durable.placement_batches, time).await?;
    restore_undelivered_starts(&mut cluster, durable.undelivered_starts)?;
    install_cluster_state(controller, term, cluster, durable.revision);
    Ok(RecoveredTerm {
        revision: durable.revision,
        records: durable.records,
    })
}

async fn read_durable_state(controller: &Controller) -> Result<DurableState, ReadError> {
    let store = &controller.store;
    let priority = RequestPriority::Leadership;
    let active_jobs = store.list(priority, ACTIVE_JOB_PREFIX).await?;
    let versions = active_jobs
        .entries
        .iter()
        .map(|row| (row.key.as_str(), row.version));
    user_api::cache_active_jobs(controller, versions);
    let completion_pages = store.list(priority, COMPLETION_PAGE_PREFIX).await?;
    let (placement_batches, undelivered_starts, records) = tokio::join!(
        store.list(priority, PLACEMENT_BATCH_PREFIX),
        store.list(priority, UNDELIVERED_STARTS_PREFIX),
        leader_records::load(controller)
    );
    Ok(DurableState {
        revision: active_jobs.revision,
        active_jobs: active_jobs.entries,
        completion_pages: completion_pages.entries,
        placement_batches: placement_batches?.entries,
        undelivered_starts: undelivered_starts?.entries,
        records: records?,
    })
}

fn new_cluster_state(controller: &Controller, term: u64, time: RecoveryTime) -> ClusterState {
    let mut cluster = ClusterState::new(
        scheduler_config(controller, term),
        time.now,
        controller.tasks_per_chunk(),
        scheduling_loop::max_record_bytes(controller),
    );
    cluster.set_unix_time(time.now, time.unix_time_s);
    cluster
}

/// Restores the machine types that this controller has read from the cloud or that earlier
/// leaders have recorded: the cloud may not answer for the whole term.
fn restore_machine_types(
    controller: &Controller,
    cluster: &mut ClusterState,
    records: &StoredRecords,
) {
    controller
        .catalogue
        .add_recorded(records.machine_types().types());
    if let Some(types) = controller.catalogue.get() {
        cluster.restore_machine_types(&types);
    }
}

/// Restores the auxiliary records of earlier leaders. Missing ones are rebuilt in the course
/// of the term.
fn restore_leader_records(cluster: &mut ClusterState, records: &StoredRecords) {
    if let Some(service_counts) = records.decode(None) {
        cluster.restore_service_counts(service_counts);
    }
    for shard in records.decode_shards::<ImageLocations>() {
        cluster.restore_image_locations(&shard);
    }
    if let Some(cutoffs) = &records.cutoffs {
        cutoffs.apply_to(cluster);
    }
    if let Some(deadline_tracker) = records.decode(None) {
        cluster.restore_deadline_tracker(deadline_tracker);
    }
    if let Some(priority_rules) = records.decode(None) {
        cluster.set_priority_rules(priority_rules);
    }
}

fn restore_completion_pages(
    cluster: &mut ClusterState,
    rows: Vec<KeyValue>,
) -> Result<CompletedTasks, ReadError> {
    let mut completed = CompletedTasks::new();
    for row in rows {
        let number = row.key.strip_prefix(COMPLETION_PAGE_PREFIX);
        let Some(page) = number.and_then(|number| number.parse().ok()) else {
            continue;
        };
        let version = row.version;
        let record: CompletionPageRecord = decode_value(row)?;
        for (chunk, tasks) in cluster.completion_pages.restore(page, version, record) {
            completed
                .entry(chunk.job)
                .or_default()
                .insert_all_below(&tasks, u32::MAX);
        }
    }
    Ok(completed)
}

/// Adds the active jobs to the cluster state, and drops the completed tasks of all jobs
/// that are not active.
fn restore_active_jobs(
    cluster: &mut ClusterState,
    rows: Vec<KeyValue>,
    completed: &CompletedTasks,
    time: RecoveryTime,
) -> Result<(), ReadError> {
    let none_completed = RangeSet::default();
    for row in rows {
        let version = row.version;
        let record: ActiveJobRecord = decode_value(row)?;
        let tasks = completed.get(&record.spec.id).unwrap_or(&none_completed);
        job_watch::add_job(
            cluster,
            record,
            version,
            (time.now, time.unix_time_s),
            tasks,
        );
    }
    let jobs = &cluster.jobs;
    cluster
        .completion_pages
        .retain_jobs(|id| jobs.contains_key(id));
    Ok(())
}

async fn restore_placements(
    cluster: &mut ClusterState,
    rows: Vec<KeyValue>,
    time: RecoveryTime,
) -> Result<(), ReadError> {
    for row in rows {
        let key = row.key.clone();
        let record: PlacementBatchRecord = decode_value(row)?;
        if let Some(name) = key.strip_prefix(PLACEMENT_BATCH_PREFIX) {
            cluster.restore_placements(name, &record, time.now, time.unix_time_s);
        }
        // There may be many batches: let requests of users and workers run in between.
        tokio::task::yield_now().await;
    }
    Ok(())
}

fn restore_undelivered_starts(
    cluster: &mut ClusterState,
    rows: Vec<KeyValue>,
) -> Result<(), ReadError> {
    let mut stored = BTreeMap::new();
    for row in rows {
        let key = row.key.clone();
        let record: UndeliveredStartsRecord = decode_value(row)?;
        if let Some(name) = key.strip_prefix(UNDELIVERED_STARTS_PREFIX) {
            stored.insert(name.into(), record);
        }
    }
    cluster.restore_undelivered_starts(stored);
    Ok(())
}

/// Installs the recovered cluster state in the term, unless the term has ended in the
/// meantime.
fn install_cluster_state(
    controller: &Controller,
    term: u64,
    mut cluster: ClusterState,
    revision: u64,
) {
    let (jobs, machines) = (cluster.jobs.len(), cluster.workers.len());
    cluster.term_started_at = controller.now();
    let mut leadership = controller.leadership.lock();
    if let Some(leadership) = leadership.as_mut().filter(|own| own.term == term) {
        // The cloud may have answered since the types were restored. From now on an answer
        // reaches the cluster state itself.
        if let Some(types) = controller.catalogue.get() {
            cluster.restore_machine_types(&types);
        }
        leadership.cluster = Some(cluster);
        leadership.watched_revision = revision;
        // No heartbeat could be answered before the recovery, so silence counts from here.
        leadership.last_worker_heartbeat_at = controller.now();
    }
    tracing::info!(term, jobs, machines, "recovered cluster state");
}
