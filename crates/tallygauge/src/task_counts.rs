//! A follower's cache of the task counts of active jobs, for display.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
};
use tallygauge_scheduler::TaskCount;

/// Age at which cached counts expire unless they are read again, in seconds.
const EXPIRY_S: f64 = 60.0;

/// Task counts of active jobs on a controller that is not the leader. A user's request
/// returns the counts that were read last, and requests new ones. The peer client then reads
/// the requested counts from the leader.
#[derive(Default)]
pub struct TaskCountCache {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counts: HashMap<String, CachedCount>,
    /// Ids of the jobs whose counts were requested since the last read.
    requested: BTreeSet<String>,
}

struct CachedCount {
    count: TaskCount,
    /// When the count was read from the leader, in seconds of the controller's clock.
    read_at: f64,
}

impl TaskCountCache {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("a task that held the lock of the task counts panicked")
    }

    /// Returns the cached counts of a job, or zero if there are none, and requests that they
    /// be read from the leader again.
    pub fn get_and_request(&self, id: &str) -> TaskCount {
        let mut state = self.lock();
        state.requested.insert(id.to_string());
        state
            .counts
            .get(id)
            .map_or_else(TaskCount::default, |cached| cached.count)
    }

    /// Takes the ids of the jobs whose counts were requested.
    pub fn take_requested(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().requested)
            .into_iter()
            .collect()
    }

    /// Caches counts that were read from the leader, and drops expired ones.
    pub fn update(&self, counts: impl Iterator<Item = (String, TaskCount)>, now: f64) {
        let mut state = self.lock();
        for (id, count) in counts {
            let read_at = now;
            state.counts.insert(id, CachedCount { count, read_at });
        }
        state
            .counts
            .retain(|_, cached| now - cached.read_at < EXPIRY_S);
    }
}
