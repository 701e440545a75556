//! The cluster state: the leader's model of jobs, workers and teams.

use crate::{
    batch_deadlines::state::BatchDeadlines, commands::InFlightMessages,
    completion_pages::CompletionPages, demand_history::DemandHistory, events::ClusterEvent,
    minimum_share::state::MinimumShare, model::*, range_set::RangeSet,
    reconciliation::state::ReconciliationCursor, runtime_estimates::RuntimeRatio,
    start_deadline::state::StartDeadlines,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_health::Tombstones;
use tallygauge_locality::ImageIndex;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Most tombstones of machines that are gone.
const MAX_TOMBSTONES: usize = 4096;

/// Leases for which a tombstone is kept: duplicates of heartbeats arrive no later.
const TOMBSTONE_LEASES: f64 = 16.0;

/// Resources that a team's attempts occupy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct QuotaUsage {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
}

impl QuotaUsage {
    pub(crate) fn add_scaled(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
    }
}

/// The leader's model of jobs, workers and teams. Times are seconds of one steady
/// clock.
///
/// Invariants, which reconciliation checks:
/// - `free_resources` of a worker is what its machine type has, less its attempts that
///   occupy capacity;
/// - `quota_usage` is the sum of those attempts by team;
/// - a job's `attempts_by_*` count the attempts on `workers`;
/// - each task of a job is completed, on a worker, `pending` or `resumable`;
/// - `live_attempts_by_batch` has the durable batches with attempts that occupy
///   capacity, and `obsolete_batches` those without.
pub struct ClusterState {
    /// Settings.
    pub config: Config,
    /// When the term began.
    pub term_started_at: f64,

    // Entities.
    /// Machine types on offer, by name.
    pub(crate) machine_types: HashMap<String, MachineType>,
    /// Open jobs, by id.
    pub jobs: BTreeMap<String, Job>,
    /// Machines with their workers, by name.
    pub workers: BTreeMap<String, Worker>,
    /// Machines that are gone: old machine lists and late heartbeats may still show
    /// them.
    pub(crate) tombstones: Tombstones,

    // Accounting.
    /// What each team uses of its quota, in the order of the configuration.
    pub(crate) quota_usage: Vec<QuotaUsage>,
    /// Measured over expected run times, by class.
    pub(crate) runtime_ratios: HashMap<String, RuntimeRatio>,

    // Placements and their records.
    /// Number of the newest attempt.
    pub(crate) last_attempt_number: u64,
    /// Number of the newest placement batch of this term.
    pub(crate) last_batch_number: u64,
    /// Attempts that are to go into the next placement batches.
    pub(crate) unbatched_attempts: Vec<UnbatchedAttempt>,
    /// How many attempts occupy capacity, by durable batch.
    pub(crate) live_attempts_by_batch: BTreeMap<Arc<str>, u32>,
    /// Durable batches whose attempts are over, to be removed.
    pub obsolete_batches: BTreeSet<Arc<str>>,

    // Durable progress.
    /// Task numbers of a chunk of completed tasks.
    pub(crate) tasks_per_chunk: u32,
    /// Completed tasks as they are stored.
    pub completion_pages: CompletionPages,
    /// Jobs with progress that is not durable, by id.
    pub(crate) jobs_with_unsaved_progress: BTreeSet<String>,

    // Direct messages.
    /// Workers that may be due for a direct message.
    pub(crate) needs_direct_message: BTreeSet<String>,
    /// Direct messages that wait for an answer.
    pub(crate) in_flight_messages: InFlightMessages,

    // Demand for machines.
    /// Backoff of rentals, by kind of machine.
    pub(crate) capacity_backoff: HashMap<MachineKind, CapacityBackoff>,
    /// Demand for machines at least as large as a machine type, for the types in
    /// order of size.
    pub(crate) demand_history: Vec<DemandHistory>,

    // Scheduling rounds.
    /// Something changed that a scheduling round should look at.
    pub needs_scheduling: bool,
    /// The earliest end of a task's backoff that the last round met.
    pub(crate) next_backoff_end: Option<f64>,
    /// What happened since they were last drained, for the log.
    pub events: Vec<ClusterEvent>,

    // State of other modules.
    pub(crate) minimum_share: MinimumShare,
    pub(crate) start_deadlines: StartDeadlines,
    pub(crate) reconciliation: ReconciliationCursor,
    pub(crate) batch_deadlines: BatchDeadlines,
    /// Images that an earlier leader recorded for machines that are not known yet.
    pub(crate) image_index: ImageIndex,
}

impl ClusterState {
    /// The empty state at the start of a term. A chunk of completed tasks has
    /// `tasks_per_chunk` task numbers, a page of chunks at most `max_page_bytes`.
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
            capacity_backoff: HashMap::new(),
            demand_history: Vec::new(),
            needs_scheduling: true,
            next_backoff_end: None,
            events: Vec::new(),
            minimum_share: MinimumShare::new(&config),
            start_deadlines: StartDeadlines::default(),
            reconciliation: ReconciliationCursor::default(),
            batch_deadlines: BatchDeadlines::default(),
            image_index: ImageIndex::default(),
            config,
        }
    }

    /// Sets the machine types on offer and their prices.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        for machine_type in types {
            self.machine_types
                .insert(machine_type.name.clone(), machine_type.clone());
        }
        // Machines may be known before their types are, as after a failover to a
        // controller that has just started.
        for worker in self.workers.values_mut() {
            let Some(machine_type) = self.machine_types.get(&worker.machine_type) else {
                continue;
            };
            worker.free_resources = Resources::of_type(machine_type);
            for attempt in worker.attempts.iter().filter(|a| a.occupies_capacity()) {
                worker.free_resources.add_scaled(&attempt.spec, -1.0);
            }
        }
        self.needs_scheduling = true;
    }

    /// Adds an open job with the tasks that are known to be completed. A job that is
    /// known, or whose team is not configured, is ignored.
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

    /// Removes a job that is over; its attempts that still run are stopped. Returns
    /// whether it was known.
    pub fn remove_job(&mut self, id: &str, now: f64) -> bool {
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        self.record_cutoff_completion(&job, now);
        self.record_job_end(&job, now);
        self.jobs_with_unsaved_progress.remove(id);
        self.completion_pages
            .forget_job(id, job.spec.tasks.div_ceil(self.tasks_per_chunk));
        for machine in job.attempts_by_worker.keys() {
            let Some(worker) = self.workers.get_mut(machine) else {
                continue;
            };
            self.needs_direct_message.insert(machine.clone());
            for attempt in worker.attempts.iter_mut().filter(|a| a.spec.id == id) {
                if attempt.is_ended() {
                    attempt.end_durable = true;
                } else {
                    attempt.request_stop(StopReason::Cancelled, now);
                }
            }
        }
        true
    }

    /// Numbers of tasks of an open job, for display.
    #[must_use]
    pub fn task_count(&self, id: &str) -> Option<TaskCount> {
        let job = self.jobs.get(id)?;
        Some(TaskCount {
            done: job.completed.len(),
            running: u32::try_from(job.attempts_by_task.len()).unwrap_or(u32::MAX),
        })
    }
}
