//! The leader's picture of jobs, workers and teams.

use crate::{
    completion_pages::Pages,
    model::*,
    parts::{Begins, Floor, Rises, Sweep, Trade},
    range_set::RangeSet,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_health::Departed;
use tallygauge_locality::Atlas;
use tallygauge_protocol::{cloud::MachineType, users::JobSpec};

/// Machines that went which are remembered, at most.
const MOST_DEPARTED: usize = 4096;

/// Leases for which they are: copies of their reports come no later.
const DEPARTED_LEASES: f64 = 16.0;

/// Resources that a team's attempts occupy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ledger {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
}

impl Ledger {
    pub(crate) fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
    }
}

/// How long the tasks of a class run, against what their owners said.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Pace {
    pub(crate) ratio_sum: f64,
    pub(crate) count: f64,
}

/// The picture. Times are seconds of one steady clock.
pub struct Cluster {
    /// Settings.
    pub cfg: Config,
    /// When the term began.
    pub term_at: f64,
    pub(crate) types: HashMap<String, MachineType>,
    /// Open jobs.
    pub jobs: BTreeMap<String, Job>,
    /// Machines.
    pub workers: BTreeMap<String, Worker>,
    pub(crate) ledgers: Vec<Ledger>,
    pub(crate) paces: HashMap<String, Pace>,
    pub(crate) next_attempt: u64,
    pub(crate) chunk: u32,
    pub(crate) blocked: HashMap<(String, String, bool), (f64, u32)>,
    /// How many attempts still occupy a machine, by durable batch.
    pub(crate) batches: BTreeMap<Arc<str>, u32>,
    pub(crate) batch_seq: u64,
    /// Batches whose attempts are over, to be removed.
    pub garbage: BTreeSet<Arc<str>>,
    /// Attempts mapped, or found on a machine, since batches were last taken,
    /// by worker.
    pub(crate) planned: Vec<(String, u64)>,
    /// Where finished tasks are kept.
    pub pages: Pages,
    /// Jobs with progress that is not durable.
    pub(crate) dirty_jobs: BTreeSet<String>,
    /// Workers that may be due for a direct message.
    pub(crate) attention: BTreeSet<String>,
    /// Direct messages under way.
    pub(crate) direct_under_way: usize,
    /// Questions among them.
    pub(crate) questions: usize,
    /// By place of a machine type in order of size: demand for machines at
    /// least as large.
    pub(crate) rises: Vec<Rises>,
    /// The earliest backoff end that the last round met.
    pub(crate) wake_at: Option<f64>,
    /// What happened and an operator may want to know, for the log: whether it
    /// weighs much, and the words.
    pub events: Vec<(bool, String)>,
    /// Something changed that a round should look at.
    pub changed: bool,
    /// Machines that went: old lists and late reports may still show them.
    pub(crate) departed: Departed,
    pub(crate) floor: Floor,
    pub(crate) begins: Begins,
    pub(crate) sweep: Sweep,
    pub(crate) trade: Trade,
    /// What an earlier leader believed of machines that are not known yet.
    pub(crate) atlas: Atlas,
}

impl Cluster {
    /// An empty picture at the start of a term. A chunk of finished tasks has
    /// `chunk` task numbers, a page of chunks at most `page` bytes.
    #[must_use]
    pub fn new(cfg: Config, now: f64, chunk: u32, page: usize) -> Self {
        let ledgers = vec![Ledger::default(); cfg.teams.len()];
        let next_attempt = before_first(cfg.term);
        let floor = Floor::new(&cfg);
        let departed = Departed::new(MOST_DEPARTED, cfg.lease_s * DEPARTED_LEASES);
        Self {
            cfg,
            term_at: now,
            types: HashMap::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            ledgers,
            paces: HashMap::new(),
            next_attempt,
            chunk: chunk.max(1),
            blocked: HashMap::new(),
            batches: BTreeMap::new(),
            batch_seq: 0,
            garbage: BTreeSet::new(),
            planned: Vec::new(),
            pages: Pages::new(page),
            dirty_jobs: BTreeSet::new(),
            attention: BTreeSet::new(),
            direct_under_way: 0,
            questions: 0,
            rises: Vec::new(),
            wake_at: None,
            events: Vec::new(),
            changed: true,
            departed,
            floor,
            begins: Begins::default(),
            sweep: Sweep::default(),
            trade: Trade::default(),
            atlas: Atlas::default(),
        }
    }

    /// Takes up the machine types on offer and their prices.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for t in types {
            self.types.insert(t.name.clone(), t.clone());
        }
        // Machines may be known before their types are, as after a take-over
        // by a node that has just begun.
        for worker in self.workers.values_mut() {
            let Some(t) = self.types.get(&worker.machine_type) else {
                continue;
            };
            worker.free = Room::of_type(t);
            for held in worker.held.iter().filter(|h| h.occupies()) {
                worker.free.add(&held.spec, -1.0);
            }
        }
        self.changed = true;
    }

    /// Adds an open job with the tasks known to be done.
    pub fn add_job(&mut self, spec: JobSpec, version: u64, accepted_at: f64, done: &RangeSet) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let Some(team) = self.cfg.team(&spec.team) else {
            return;
        };
        let places = self.places(&spec.class, &spec.team);
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
            places,
            started: !finished.is_empty(),
            finished,
            dirty: BTreeSet::new(),
            waiting,
            unsaved: Vec::new(),
            resumes: BTreeMap::new(),
            holds: BTreeMap::new(),
            zones: BTreeMap::new(),
            on: BTreeMap::new(),
            errors: 0,
            measured: BTreeMap::new(),
            fresh,
            due: None,
            accepted_day: None,
            rise: 0.0,
            spec: Arc::new(spec),
        };
        self.floor.book.open(job.places[0], job.size());
        if job.complete() {
            self.dirty_jobs.insert(job.spec.id.clone());
        }
        self.changed = true;
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Drops a job that is over; what still runs of it is stopped.
    pub fn remove_job(&mut self, id: &str, now: f64) -> bool {
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        self.count_for_cutoff(&job, now);
        self.count_over(&job, now);
        self.dirty_jobs.remove(id);
        self.pages.forget(id, job.spec.tasks.div_ceil(self.chunk));
        for name in job.on.keys() {
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            self.attention.insert(name.clone());
            for held in worker.held.iter_mut().filter(|h| h.spec.id == id) {
                match held.phase {
                    Phase::Ended(_) => held.end_durable = true,
                    _ => {
                        held.stop = Some(Stop {
                            reason: StopReason::Cancelled,
                            at: now,
                        });
                    }
                }
            }
        }
        true
    }

    /// Done and running tasks of an open job.
    #[must_use]
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        let running = u32::try_from(job.holds.len()).unwrap_or(u32::MAX);
        Some((job.finished.len(), running))
    }
}
