//! Open jobs and the state of their tasks.

use super::{SampleSum, Worker};
use crate::range_set::RangeSet;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tallygauge_deadlines::CutoffWindow;
use tallygauge_protocol::users::{JobSpec, Shape};

/// Numbers of completed and of placed tasks of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCount {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that are placed on a machine, running or not.
    pub running: u32,
}

/// When a task that failed or was refused may be placed again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RetryRestriction {
    /// The task is not placed before this time.
    pub(crate) not_before: f64,
    /// The task is not placed on the same machine before this time. Another machine is used or
    /// rented meanwhile; if there is none to be had, the task is tried on the same one again.
    pub(crate) avoids_machine_until: f64,
}

/// A machine that a pending task avoids for a while, because it failed there or was refused.
#[derive(Debug, Clone, PartialEq)]
pub struct AvoidedMachine {
    /// Name of the machine.
    pub name: String,
    /// From this time on, the task may be placed on the machine again.
    pub until: f64,
}

/// A pending task with a checkpoint to resume from, or with a backoff.
#[derive(Debug, Clone, PartialEq)]
pub struct ResumableTask {
    /// Number of the task within the job.
    pub index: u32,
    /// Run time that its checkpoint holds, in seconds; 0 without a checkpoint.
    pub checkpointed_s: f64,
    /// Machine type that the checkpoint was taken on, the only one that it can be used on.
    pub machine_type: Option<String>,
    /// The task is not placed before this time.
    pub not_before: f64,
    /// Machine that it failed on or that refused it.
    pub avoided_machine: Option<AvoidedMachine>,
}

impl ResumableTask {
    /// Whether the task must not be placed on the machine now.
    pub(crate) fn avoids(&self, machine: &str, now: f64) -> bool {
        self.avoided_machine_at(now) == Some(machine)
    }

    /// The machine that the task must not be placed on now.
    pub(crate) fn avoided_machine_at(&self, now: f64) -> Option<&str> {
        let avoided = self.avoided_machine.as_ref();
        avoided
            .filter(|avoided| now < avoided.until)
            .map(|avoided| avoided.name.as_str())
    }

    /// When the next of its restrictions ends, its backoff or the time for which it avoids a
    /// machine; `None` if it has none at this time.
    pub(crate) fn next_restriction_end(&self, now: f64) -> Option<f64> {
        let avoided_until = self.avoided_machine.as_ref().map(|avoided| avoided.until);
        [Some(self.not_before), avoided_until]
            .into_iter()
            .flatten()
            .find(|end| *end > now)
    }
}

/// A completed task whose end is not durable yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnsavedCompletion {
    /// Number of the task within the job.
    pub index: u32,
    /// Name of the worker that reported the end of the task.
    pub worker: String,
}

/// An open job. Times are seconds of the leader's monotonic clock.
#[derive(Debug, Clone)]
pub struct Job {
    /// Spec as submitted.
    pub spec: Arc<JobSpec>,
    /// Version of its record. Every write of a placement is conditional on it.
    pub version: u64,
    /// When it was accepted.
    pub accepted_at: f64,
    /// Index of its team in [`Config::teams`](super::Config::teams).
    pub team: usize,
    /// Ids of the minimum-share groups that it counts for: its class and its team.
    pub group_ids: [usize; 2],
    /// Whether any of its tasks has run.
    pub started: bool,
    /// Numbers of the completed tasks.
    pub completed: RangeSet,
    /// Chunks of `completed` that are not durable yet.
    pub unsaved_chunks: BTreeSet<u32>,
    /// Completed tasks whose end is not durable yet.
    pub unsaved_completions: Vec<UnsavedCompletion>,
    /// Numbers of the pending tasks that have neither a checkpoint nor a backoff.
    pub pending: RangeSet,
    /// Pending tasks with a checkpoint or a backoff, by task number.
    pub resumable: BTreeMap<u32, ResumableTask>,
    /// Number of attempts that occupy capacity, by task number.
    pub attempts_by_task: BTreeMap<u32, u32>,
    /// Number of attempts that occupy capacity, by zone.
    pub attempts_by_zone: BTreeMap<String, u32>,
    /// Number of attempts on each worker, including ended ones that the worker has not
    /// forgotten.
    pub attempts_by_worker: BTreeMap<String, u32>,
    /// Number of failed attempts since a task of the job last completed.
    pub consecutive_failures: u32,
    /// Run times of its completed tasks, by machine.
    pub run_times_by_machine: BTreeMap<String, SampleSum>,
    /// Numbers of the tasks that have not started: as far as this leader knows, no
    /// attempt of the task has run for long enough to count as a start.
    pub unstarted: RangeSet,
    /// The cutoff that it has to meet, if any.
    pub cutoff: Option<CutoffWindow>,
    /// Unix time, in seconds, at which the job was accepted, as stored in the job's record.
    pub accepted_unix_time_s: Option<f64>,
    /// How far its utility is raised towards that of the next priority, from 0 (not at
    /// all) to 1 (as far as a boost goes).
    pub boost: f64,
}

impl Job {
    /// Creates a job without any placed task. `team` is the index of its team in the
    /// configuration; `group_ids` are the ids of its class and of its team. All tasks that
    /// are not in `completed` are pending.
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
            accepted_unix_time_s: None,
            boost: 0.0,
            spec: Arc::new(spec),
        }
    }

    /// Whether all its tasks are completed. Never true for a service.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Array && self.completed.len() == self.spec.tasks
    }

    /// Whether any of its tasks is pending.
    pub(crate) fn has_pending_tasks(&self) -> bool {
        !self.pending.is_empty() || !self.resumable.is_empty()
    }

    /// Whether the job has pending tasks and all of them avoid the machine.
    pub(crate) fn all_pending_tasks_avoid(&self, machine: &str, now: f64) -> bool {
        let mut resumables = self.resumable.values();
        self.pending.is_empty()
            && !self.resumable.is_empty()
            && resumables.all(|task| task.avoids(machine, now))
    }

    /// Number of tasks that are not completed.
    #[must_use]
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed.len()
    }

    /// Whether a task of the job may be placed on a machine of this type, zone and rental
    /// kind, given the number of the job's tasks in each zone.
    pub(crate) fn allows(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        tasks_by_zone: &BTreeMap<String, u32>,
    ) -> bool {
        let types = self.spec.machine_types.as_ref();
        (self.spec.spot || !spot)
            && types.is_none_or(|allowed| allowed.iter().any(|name| name == machine_type))
            && self.allows_zone(zone, tasks_by_zone)
    }

    /// Whether any pending task of the job may be placed on the worker once there is room.
    pub(crate) fn may_use_worker(&self, worker: &Worker, now: f64) -> bool {
        let is_allowed = self.allows(
            &worker.machine_type,
            &worker.zone,
            worker.spot,
            &self.attempts_by_zone,
        );
        is_allowed && !self.all_pending_tasks_avoid(&worker.name, now)
    }

    /// Whether another task may be placed in a zone, given the number of the job's tasks
    /// in each zone.
    fn allows_zone(&self, zone: &str, tasks_by_zone: &BTreeMap<String, u32>) -> bool {
        if self
            .spec
            .zone
            .as_ref()
            .is_some_and(|required| required != zone)
        {
            return false;
        }
        if self.spec.one_zone && tasks_by_zone.keys().any(|occupied| occupied != zone) {
            return false;
        }
        if self.spec.spread {
            let tasks_in_zone = tasks_by_zone.get(zone).copied().unwrap_or(0);
            if tasks_in_zone + 1 > self.spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }
}
