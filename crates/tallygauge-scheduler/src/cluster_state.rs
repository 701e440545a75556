//! The leader's picture of jobs, workers and teams.

use crate::{
    completion_pages::CompletionPages,
    events::ClusterEvent,
    model::*,
    parts::{BatchDeadlines, DemandHistory, MinimumShare, ReconciliationCursor, StartDeadlines},
    range_set::RangeSet,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_health::Tombstones;
use tallygauge_locality::ImageIndex;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Machines that went which are remembered, at most.
const MOST_DEPARTED: usize = 4096;

/// Leases for which they are: copies of their reports come no later.
const DEPARTED_LEASES: f64 = 16.0;

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

/// How long the tasks of a class run, against what their owners said.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RuntimeRatio {
    pub(crate) ratio_sum: f64,
    pub(crate) count: f64,
}

/// The picture. Times are seconds of one steady clock.
pub struct ClusterState {
    /// Settings.
    pub config: Config,
    /// When the term began.
    pub term_started_at: f64,
    pub(crate) machine_types: HashMap<String, MachineType>,
    /// Open jobs.
    pub jobs: BTreeMap<String, Job>,
    /// Machines.
    pub workers: BTreeMap<String, Worker>,
    pub(crate) quota_usage: Vec<QuotaUsage>,
    pub(crate) runtime_ratios: HashMap<String, RuntimeRatio>,
    pub(crate) last_attempt: u64,
    pub(crate) tasks_per_chunk: u32,
    pub(crate) capacity_backoff: HashMap<MachineKind, CapacityBackoff>,
    /// How many attempts still occupy a machine, by durable batch.
    pub(crate) live_attempts_by_batch: BTreeMap<Arc<str>, u32>,
    pub(crate) last_batch_number: u64,
    /// Batches whose attempts are over, to be removed.
    pub obsolete_batches: BTreeSet<Arc<str>>,
    /// Attempts mapped, or found on a machine, since batches were last taken,
    /// by worker.
    pub(crate) unbatched_attempts: Vec<UnbatchedAttempt>,
    /// Where finished tasks are kept.
    pub completion_pages: CompletionPages,
    /// Jobs with progress that is not durable.
    pub(crate) jobs_with_unsaved_progress: BTreeSet<String>,
    /// Workers that may be due for a direct message.
    pub(crate) needs_direct_message: BTreeSet<String>,
    /// Direct messages under way.
    pub(crate) direct_messages_in_flight: usize,
    /// Questions among them.
    pub(crate) probes_in_flight: usize,
    /// By place of a machine type in order of size: demand for machines at
    /// least as large.
    pub(crate) demand_history: Vec<DemandHistory>,
    /// The earliest backoff end that the last round met.
    pub(crate) next_backoff_end: Option<f64>,
    /// What happened since they were last drained, for the log.
    pub events: Vec<ClusterEvent>,
    /// Something changed that a round should look at.
    pub needs_scheduling: bool,
    /// Machines that went: old lists and late reports may still show them.
    pub(crate) tombstones: Tombstones,
    pub(crate) minimum_share: MinimumShare,
    pub(crate) start_deadlines: StartDeadlines,
    pub(crate) reconciliation: ReconciliationCursor,
    pub(crate) batch_deadlines: BatchDeadlines,
    /// What an earlier leader believed of machines that are not known yet.
    pub(crate) image_index: ImageIndex,
}

impl ClusterState {
    /// An empty picture at the start of a term. A chunk of finished tasks has
    /// `chunk` task numbers, a page of chunks at most `page` bytes.
    #[must_use]
    pub fn new(cfg: Config, now: f64, chunk: u32, page: usize) -> Self {
        let ledgers = vec![QuotaUsage::default(); cfg.teams.len()];
        let next_attempt = attempt_before_first(cfg.term);
        let floor = MinimumShare::new(&cfg);
        let departed = Tombstones::new(MOST_DEPARTED, cfg.lease_s * DEPARTED_LEASES);
        Self {
            config: cfg,
            term_started_at: now,
            machine_types: HashMap::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            quota_usage: ledgers,
            runtime_ratios: HashMap::new(),
            last_attempt: next_attempt,
            tasks_per_chunk: chunk.max(1),
            capacity_backoff: HashMap::new(),
            live_attempts_by_batch: BTreeMap::new(),
            last_batch_number: 0,
            obsolete_batches: BTreeSet::new(),
            unbatched_attempts: Vec::new(),
            completion_pages: CompletionPages::new(page),
            jobs_with_unsaved_progress: BTreeSet::new(),
            needs_direct_message: BTreeSet::new(),
            direct_messages_in_flight: 0,
            probes_in_flight: 0,
            demand_history: Vec::new(),
            next_backoff_end: None,
            events: Vec::new(),
            needs_scheduling: true,
            tombstones: departed,
            minimum_share: floor,
            start_deadlines: StartDeadlines::default(),
            reconciliation: ReconciliationCursor::default(),
            batch_deadlines: BatchDeadlines::default(),
            image_index: ImageIndex::default(),
        }
    }

    /// Takes up the machine types on offer and their prices.
    pub fn set_machine_types(&mut self, types: &[MachineType]) {
        for t in types {
            self.machine_types.insert(t.name.clone(), t.clone());
        }
        // Machines may be known before their types are, as after a take-over
        // by a node that has just begun.
        for worker in self.workers.values_mut() {
            let Some(t) = self.machine_types.get(&worker.machine_type) else {
                continue;
            };
            worker.free_resources = Resources::of_type(t);
            for held in worker.attempts.iter().filter(|h| h.occupies_capacity()) {
                worker.free_resources.add_scaled(&held.spec, -1.0);
            }
        }
        self.needs_scheduling = true;
    }

    /// Adds an open job with the tasks known to be done.
    pub fn add_job(&mut self, spec: JobSpec, version: u64, accepted_at: f64, done: &RangeSet) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let Some(team) = self.config.team_index(&spec.team) else {
            return;
        };
        let places = self.group_ids(&spec.class, &spec.team);
        let mut waiting = RangeSet::first(spec.tasks);
        let mut finished = RangeSet::default();
        finished.extend(done, spec.tasks);
        for n in finished.iter() {
            waiting.remove(n);
        }
        let fresh = waiting.clone();
        let job = Job {
            version,
            accepted_at,
            team,
            group_ids: places,
            started: !finished.is_empty(),
            completed: finished,
            unsaved_chunks: BTreeSet::new(),
            pending: waiting,
            unsaved_completions: Vec::new(),
            resumable: BTreeMap::new(),
            attempts_by_task: BTreeMap::new(),
            attempts_by_zone: BTreeMap::new(),
            attempts_by_worker: BTreeMap::new(),
            consecutive_failures: 0,
            run_times_by_machine: BTreeMap::new(),
            unstarted: fresh,
            cutoff: None,
            accepted_time_of_day: None,
            boost: 0.0,
            spec: Arc::new(spec),
        };
        self.minimum_share
            .service_counts
            .record_opened(job.group_ids[0], job.size());
        if job.is_complete() {
            self.jobs_with_unsaved_progress.insert(job.spec.id.clone());
        }
        self.needs_scheduling = true;
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Drops a job that is over; what still runs of it is stopped.
    pub fn remove_job(&mut self, id: &str, now: f64) -> bool {
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        self.record_cutoff_completion(&job, now);
        self.record_job_end(&job, now);
        self.jobs_with_unsaved_progress.remove(id);
        self.completion_pages
            .forget_job(id, job.spec.tasks.div_ceil(self.tasks_per_chunk));
        for name in job.attempts_by_worker.keys() {
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            self.needs_direct_message.insert(name.clone());
            for held in worker.attempts.iter_mut().filter(|h| h.spec.id == id) {
                match held.phase {
                    AttemptPhase::Ended(_) => held.end_durable = true,
                    _ => {
                        held.request_stop(StopReason::Cancelled, now);
                    }
                }
            }
        }
        true
    }

    /// Done and running tasks of an open job.
    #[must_use]
    pub fn task_counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        let running = u32::try_from(job.attempts_by_task.len()).unwrap_or(u32::MAX);
        Some((job.completed.len(), running))
    }
}
