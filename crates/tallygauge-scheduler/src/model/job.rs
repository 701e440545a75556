//! An open job and what is known of its tasks.

use super::SampleSum;
use crate::range_set::RangeSet;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tallygauge_deadlines::CutoffWindow;
use tallygauge_protocol::users::{JobSpec, Shape};

/// Numbers of a job's tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCount {
    /// Tasks done.
    pub done: u32,
    /// Tasks placed on machines.
    pub running: u32,
}

/// A pending task with state of its own: a checkpoint, or a backoff.
#[derive(Debug, Clone, PartialEq)]
pub struct ResumableTask {
    /// Number of the task.
    pub index: u32,
    /// Run time that its checkpoint holds, in seconds.
    pub checkpointed_s: f64,
    /// Machine type that the checkpoint is for.
    pub machine_type: Option<String>,
    /// It is not placed before this time.
    pub not_before: f64,
    /// Machine that it failed on.
    pub avoid_machine: Option<String>,
}

/// A finished task whose end is not durable yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnsavedCompletion {
    /// Number of the task.
    pub index: u32,
    /// Worker that reported its end.
    pub worker: String,
}

/// An open job. Times are seconds of the leader's steady clock.
#[derive(Debug, Clone)]
pub struct Job {
    /// As submitted.
    pub spec: Arc<JobSpec>,
    /// Version of its record: every placement is conditioned on it.
    pub version: u64,
    /// When it was accepted.
    pub accepted_at: f64,
    /// Its team's place in the configuration.
    pub team: usize,
    /// Groups of the minimum share that it counts for: its class and its team.
    pub group_ids: [usize; 2],
    /// Whether a task of it has run.
    pub started: bool,
    /// Completed tasks.
    pub completed: RangeSet,
    /// Chunks of `completed` that are not durable yet.
    pub unsaved_chunks: BTreeSet<u32>,
    /// Completed tasks whose end is not durable yet.
    pub unsaved_completions: Vec<UnsavedCompletion>,
    /// Pending tasks without state of their own.
    pub pending: RangeSet,
    /// Pending tasks with state of their own, by number.
    pub resumable: BTreeMap<u32, ResumableTask>,
    /// How many attempts occupy a machine, by task.
    pub attempts_by_task: BTreeMap<u32, u32>,
    /// How many attempts occupy a machine, by zone.
    pub attempts_by_zone: BTreeMap<String, u32>,
    /// How many attempts each worker knows, ended ones too.
    pub attempts_by_worker: BTreeMap<String, u32>,
    /// Failed attempts since the last completed task.
    pub consecutive_failures: u32,
    /// Run times of its completed tasks, by machine.
    pub run_times_by_machine: BTreeMap<String, SampleSum>,
    /// Tasks no attempt of which has run for long enough to count as started, as far
    /// as this leader knows.
    pub unstarted: RangeSet,
    /// The cutoff that it counts for.
    pub cutoff: Option<CutoffWindow>,
    /// Time of day when it was accepted, as its record says.
    pub accepted_time_of_day: Option<f64>,
    /// How far it is raised within its priority, 0 to 1.
    pub boost: f64,
}

impl Job {
    /// A job none of whose tasks is placed. `team` is its team's place in the
    /// configuration; `group_ids` are those of its class and its team.
    #[must_use]
    pub(crate) fn new(
        spec: JobSpec,
        version: u64,
        accepted_at: f64,
        team: usize,
        group_ids: [usize; 2],
        completed: &RangeSet,
    ) -> Self {
        let mut pending = RangeSet::first(spec.tasks);
        let mut known_completed = RangeSet::default();
        known_completed.insert_all_below(completed, spec.tasks);
        for task in known_completed.iter() {
            pending.remove(task);
        }
        Self {
            version,
            accepted_at,
            team,
            group_ids,
            started: !known_completed.is_empty(),
            completed: known_completed,
            unsaved_chunks: BTreeSet::new(),
            unsaved_completions: Vec::new(),
            unstarted: pending.clone(),
            pending,
            resumable: BTreeMap::new(),
            attempts_by_task: BTreeMap::new(),
            attempts_by_zone: BTreeMap::new(),
            attempts_by_worker: BTreeMap::new(),
            consecutive_failures: 0,
            run_times_by_machine: BTreeMap::new(),
            cutoff: None,
            accepted_time_of_day: None,
            boost: 0.0,
            spec: Arc::new(spec),
        }
    }

    /// Whether all its tasks are completed. A service never is.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Array && self.completed.len() == self.spec.tasks
    }

    /// Whether a task of it is pending.
    pub(crate) fn has_pending_tasks(&self) -> bool {
        !self.pending.is_empty() || !self.resumable.is_empty()
    }

    /// Number of tasks that are not completed.
    #[must_use]
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed.len()
    }

    /// Whether a task of the job may be placed on such a machine, given the number of
    /// its tasks in each zone.
    pub(crate) fn allows(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        zones: &BTreeMap<String, u32>,
    ) -> bool {
        let types = self.spec.machine_types.as_ref();
        (self.spec.spot || !spot)
            && types.is_none_or(|t| t.iter().any(|name| name == machine_type))
            && self.zone_allowed(zone, zones)
    }

    /// Whether another task may be placed in a zone, given the number in each.
    fn zone_allowed(&self, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
        if self.spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && zones.keys().any(|z| z != zone) {
            return false;
        }
        if self.spec.spread {
            let there = zones.get(zone).copied().unwrap_or(0);
            if there + 1 > self.spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }
}
