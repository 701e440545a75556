//! Cache of the states of jobs, as this controller last read them from the key-value store.

use crate::user_api::TerminalJobRecord;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, MutexGuard},
};

/// State of a job as last read from the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CachedJob {
    /// The job was active, and its record had this version when last read.
    Active(u64),
    /// The job was active, but its record has changed or has been removed since.
    Stale,
    /// The job is done or cancelled, which is final.
    Terminal(TerminalJobRecord),
}

/// Bounded cache of job states, which evicts the job that was added first. Only a terminal
/// state may be reported to a user straight from the cache. The version of an active job
/// has to be checked against the store before.
pub struct JobCache {
    entries: Mutex<Entries>,
}

struct Entries {
    jobs: HashMap<String, CachedJob>,
    /// Ids of the cached jobs, in the order in which they were added.
    insertion_order: VecDeque<String>,
    capacity: usize,
}

impl JobCache {
    /// Creates an empty cache of at most `capacity` jobs.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: Mutex::new(Entries {
                jobs: HashMap::new(),
                insertion_order: VecDeque::new(),
                capacity,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries
            .lock()
            .expect("a task that held the lock of the job cache panicked")
    }

    /// The cached state of a job.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<CachedJob> {
        self.lock().jobs.get(id).copied()
    }

    /// Whether a job is known to be done or cancelled.
    #[must_use]
    pub fn is_terminal(&self, id: &str) -> bool {
        matches!(self.lock().jobs.get(id), Some(CachedJob::Terminal(_)))
    }

    /// Caches the version of an active job's record. Does nothing if the job is cached as
    /// terminal.
    pub fn insert_active(&self, id: &str, version: u64) {
        self.lock().insert(id, CachedJob::Active(version));
    }

    /// Caches the record of a job that has ended.
    pub fn insert_terminal(&self, id: &str, record: TerminalJobRecord) {
        self.lock().insert(id, CachedJob::Terminal(record));
    }

    /// Caches versions of active jobs' records, given as pairs of id and version, for those
    /// jobs that are not cached yet.
    pub fn insert_missing_active<'a>(&self, versions: impl Iterator<Item = (&'a str, u64)>) {
        let mut entries = self.lock();
        for (id, version) in versions {
            if !entries.jobs.contains_key(id) {
                entries.insert(id, CachedJob::Active(version));
            }
        }
    }

    /// Marks an active job as stale if the cache has it with this version, which its record no
    /// longer has.
    pub fn mark_stale(&self, id: &str, version: u64) {
        let mut entries = self.lock();
        if let Some(job) = entries.jobs.get_mut(id)
            && *job == CachedJob::Active(version)
        {
            *job = CachedJob::Stale;
        }
    }
}

impl Entries {
    fn insert(&mut self, id: &str, job: CachedJob) {
        match self.jobs.get_mut(id) {
            Some(CachedJob::Terminal(_)) => {}
            Some(cached) => *cached = job,
            None => {
                self.jobs.insert(id.to_string(), job);
                self.insertion_order.push_back(id.to_string());
                if self.insertion_order.len() > self.capacity
                    && let Some(oldest) = self.insertion_order.pop_front()
                {
                    self.jobs.remove(&oldest);
                }
            }
        }
    }
}
