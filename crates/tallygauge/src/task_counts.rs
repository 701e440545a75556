//! Task counts of active jobs as read from the leader, for display.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Mutex, MutexGuard},
};
use tallygauge_scheduler::TaskCount;

/// Seconds after which counts that were not read again are dropped.
const EXPIRY_S: f64 = 60.0;

/// Task counts on a controller that is not the leader. Users' requests ask for
/// counts and get the last ones read; the peer client reads from the leader those
/// that were asked for.
#[derive(Default)]
pub struct TaskCountCache {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counts: HashMap<String, CachedCount>,
    /// Jobs asked for since counts were last read.
    requested: BTreeSet<String>,
}

struct CachedCount {
    count: TaskCount,
    /// When it was read, in seconds of the controller's clock.
    read_at: f64,
}

impl TaskCountCache {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("task counts lock")
    }

    /// The last counts of a job, zero if there are none, and a request to read them
    /// again.
    pub fn get_and_request(&self, id: &str) -> TaskCount {
        let mut state = self.lock();
        state.requested.insert(id.to_string());
        state
            .counts
            .get(id)
            .map_or_else(TaskCount::default, |cached| cached.count)
    }

    /// Takes the ids of the jobs whose counts were asked for.
    pub fn take_requested(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().requested)
            .into_iter()
            .collect()
    }

    /// Caches counts read from the leader, and drops those that expired.
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
