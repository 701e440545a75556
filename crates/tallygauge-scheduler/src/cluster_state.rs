//! The cluster state: the leader's model of jobs, workers and teams.

use crate::{
    batch_deadlines::state::BatchDeadlines,
    completion_pages::CompletionPages,
    demand_history::DemandHistory,
    direct_messages::InFlightMessages,
    events::{ClusterEvent, JobEvent},
    minimum_share::state::MinimumShare,
    model::*,
    range_set::RangeSet,
    reconciliation::state::ReconciliationCursor,
    runtime_estimates::RuntimeRatio,
    start_deadline::state::StartDeadlines,
    start_waits::StartWaits,
    undelivered_start_records::UndeliveredStartRecords,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_health::Tombstones;
use tallygauge_locality::ImageIndex;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Maximum number of tombstones for machines that no longer exist.
const MAX_TOMBSTONES: usize = 4096;

/// How long a tombstone is kept, as a multiple of the lease duration. Late duplicates of
/// heartbeats arrive within this time.
const TOMBSTONE_LEASES: f64 = 16.0;

/// CPUs and GPUs that the attempts of a team occupy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QuotaUsage {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
}

impl QuotaUsage {
    /// Adds the usage of `task_count` tasks of the job; a negative count subtracts.
    pub(crate) fn add_scaled(&mut self, spec: &JobSpec, task_count: f64) {
        self.cpus += task_count * spec.cpus;
        self.gpus += task_count * spec.gpus;
    }
}

/// The leader's model of jobs, workers and teams. Times are seconds of the leader's
/// monotonic clock.
///
/// Invariants, which reconciliation checks:
/// - `free_resources` of a worker equals the resources of its machine type minus those of
///   its attempts that occupy capacity;
/// - `quota_usage` is the sum of the resources of these attempts by team;
/// - the `attempts_by_*` counts of a job match the attempts on `workers`;
/// - each task of a job is completed, placed on a worker, `pending` or `resumable`;
/// - `live_attempts_by_batch` contains the durable batches with attempts that occupy
///   capacity, and `obsolete_batches` the durable batches without any.
pub struct ClusterState {
    /// Settings of the scheduler.
    pub config: Config,
    /// When this leader's term began.
    pub term_started_at: f64,

    // Entities.
    /// Machine types on offer, by name.
    pub(crate) machine_types: HashMap<String, MachineType>,
    /// Open jobs, by id.
    pub jobs: BTreeMap<String, Job>,
    /// Machines with their workers, by name.
    pub workers: BTreeMap<String, Worker>,
    /// Machines that no longer exist but may still appear in old machine lists and late
    /// heartbeats.
    pub(crate) tombstones: Tombstones,

    // Accounting.
    /// Quota usage of each team, in the order of the configuration.
    pub(crate) quota_usage: Vec<QuotaUsage>,
    /// Ratio of measured to expected run times, by class.
    pub(crate) runtime_ratios: HashMap<String, RuntimeRatio>,

    // Placements and their records.
    /// Highest attempt number assigned so far.
    pub(crate) last_attempt_number: u64,
    /// Highest number of a placement batch of this term.
    pub(crate) last_batch_number: u64,
    /// Attempts that still have to be written into placement batches.
    pub(crate) unbatched_attempts: Vec<UnbatchedAttempt>,
    /// Number of attempts that occupy capacity, by durable batch.
    pub(crate) live_attempts_by_batch: BTreeMap<Arc<str>, u32>,
    /// Durable batches whose attempts have all ended, to be removed from the store.
    pub obsolete_batches: BTreeSet<Arc<str>>,

    // Durable progress.
    /// Number of task numbers that one chunk of completed tasks covers.
    pub(crate) tasks_per_chunk: u32,
    /// Completed tasks, in the pages in which they are stored.
    pub completion_pages: CompletionPages,
    /// Ids of the jobs with progress that is not durable.
    pub(crate) jobs_with_unsaved_progress: BTreeSet<String>,

    // Direct messages.
    /// Names of the workers that a direct message may be due for.
    pub(crate) needs_direct_message: BTreeSet<String>,
    /// Direct messages that have not been answered.
    pub(crate) in_flight_messages: InFlightMessages,
    /// Number of the last hold of a heartbeat response.
    pub(crate) last_hold_number: u64,
    /// Records by leaders of earlier versions of direct starts that were given up.
    pub(crate) undelivered_start_records: UndeliveredStartRecords,

    // Demand for machines.
    /// Backoff for rentals after the cloud had no capacity, by kind of machine.
    pub(crate) capacity_backoff: HashMap<MachineKind, CapacityBackoff>,
    /// For each machine type, in order of size, the demand for machines of at least that
    /// size.
    pub(crate) demand_history: Vec<DemandHistory>,

    // Scheduling rounds.
    /// Whether something changed that a scheduling round should consider.
    pub needs_scheduling: bool,
    /// Number of scheduling rounds of this term so far.
    pub(crate) rounds_run: u64,
    /// The earliest end of a retry restriction that the last round encountered.
    pub(crate) next_restriction_end: Option<f64>,
    /// Number of attempts of this term that a worker had again after it had been told to forget
    /// them.
    pub reappeared_attempts: u64,
    /// Waits of starts since the last summary.
    pub(crate) start_waits: StartWaits,
    /// Events for the log that the caller has not drained yet.
    pub events: Vec<ClusterEvent>,

    // State of other modules.
    pub(crate) minimum_share: MinimumShare,
    pub(crate) start_deadlines: StartDeadlines,
    pub(crate) reconciliation: ReconciliationCursor,
    pub(crate) batch_deadlines: BatchDeadlines,
    /// Images that an earlier leader recorded for machines that this leader does not know
    /// yet.
    pub(crate) image_index: ImageIndex,
}

impl ClusterState {
    /// Creates the empty state for the start of a term. A chunk of completed tasks covers
    /// `tasks_per_chunk` task numbers; a page of chunks has at most `max_page_bytes` bytes.
    #[must_use]
    pub fn new(config: Config, now: f64, tasks_per_chunk: u32, max_page_bytes: usize) -> Self {
        Self {
            term_started_at: now,
            machine_types: HashMap::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            tombstones: Tombstones::new(MAX_TOMBSTONES, config.lease_s * TOMBSTONE_LEASES),
            quota_usage: vec![QuotaUsage::default(); config.teams.len()],
            runtime_ratios: HashMap::new(),
            last_attempt_number: number_before_first_attempt(config.term),
            last_batch_number: 0,
            unbatched_attempts: Vec::new(),
            live_attempts_by_batch: BTreeMap::new(),
            obsolete_batches: BTreeSet::new(),
            tasks_per_chunk: tasks_per_chunk.max(1),
            completion_pages: CompletionPages::new(max_page_bytes),
            jobs_with_unsaved_progress: BTreeSet::new(),
            needs_direct_message: BTreeSet::new(),
            in_flight_messages: InFlightMessages::default(),
            last_hold_number: 0,
            undelivered_start_records: UndeliveredStartRecords::default(),
            capacity_backoff: HashMap::new(),
            demand_history: Vec::new(),
            needs_scheduling: true,
            rounds_run: 0,
            next_restriction_end: None,
            reappeared_attempts: 0,
            start_waits: StartWaits::default(),
            events: Vec::new(),
            minimum_share: MinimumShare::new(&config),
            start_deadlines: StartDeadlines::default(),
            reconciliation: ReconciliationCursor::default(),
            batch_deadlines: BatchDeadlines::default(),
            image_index: ImageIndex::default(),
            config,
        }
    }

    /// Adds an open job with the tasks that are known to be completed. A job that was added
    /// before, or whose team is not configured, is ignored.
    pub fn add_job(&mut self, spec: JobSpec, version: u64, accepted_at: f64, completed: &RangeSet) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let Some(team) = self.config.team_index(&spec.team) else {
            return;
        };
        let group_ids = self.group_ids(&spec.class, &spec.team);
        let job = Job::new(spec, version, accepted_at, team, group_ids, completed);
        self.minimum_share
            .service_counts
            .record_opened(job.group_ids[0], job.size());
        if job.is_complete() {
            self.jobs_with_unsaved_progress.insert(job.spec.id.clone());
        }
        self.needs_scheduling = true;
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Removes a job that has completed or was cancelled, and decides to stop its
    /// attempts that have not ended. Returns whether the job was open.
    pub fn remove_job(&mut self, id: &str, now: f64) -> bool {
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        self.record_cutoff_completion(&job, now);
        self.record_job_end(&job, now);
        self.jobs_with_unsaved_progress.remove(id);
        self.completion_pages
            .remove_job(id, job.spec.tasks.div_ceil(self.tasks_per_chunk));
        self.stop_attempts_of_ended_job(&job, now);
        true
    }

    /// Decides to stop the attempts of a job that has ended.
    fn stop_attempts_of_ended_job(&mut self, job: &Job, now: f64) {
        let mut stopped = 0;
        let mut undelivered_starts = Vec::new();
        for machine in job.attempts_by_worker.keys() {
            let Some(worker) = self.workers.get_mut(machine) else {
                continue;
            };
            self.needs_direct_message.insert(machine.clone());
            let attempts = worker.attempts.iter_mut();
            for attempt in attempts.filter(|attempt| attempt.spec.id == job.spec.id) {
                if attempt.is_ended() {
                    attempt.end_durable = true;
                    if attempt.start_undelivered && !job.is_complete() {
                        attempt.request_stop(StopReason::Cancelled, now);
                    }
                    continue;
                }
                attempt.request_stop(StopReason::Cancelled, now);
                stopped += 1;
                if attempt.start_undelivered {
                    undelivered_starts.push(attempt.number);
                }
            }
        }
        if stopped > 0 {
            self.events.push(ClusterEvent::Job(JobEvent::Stopping {
                job: job.spec.id.clone(),
                attempts: stopped,
                undelivered_starts,
            }));
        }
    }

    /// Numbers of completed and placed tasks of an open job, for display.
    #[must_use]
    pub fn task_count(&self, id: &str) -> Option<TaskCount> {
        let job = self.jobs.get(id)?;
        Some(TaskCount {
            done: job.completed.len(),
            running: u32::try_from(job.attempts_by_task.len()).unwrap_or(u32::MAX),
        })
    }
}
