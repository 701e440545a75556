//! An open job and what is known of its tasks.

use super::SampleSum;
use crate::range_set::RangeSet;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tallygauge_deadlines::CutoffWindow;
use tallygauge_protocol::users::{JobSpec, Shape};

/// A task that waits with something of its own: progress, or a reason to wait.
#[derive(Debug, Clone, PartialEq)]
pub struct ResumableTask {
    /// Number of the task.
    pub index: u32,
    /// Saved progress.
    pub checkpointed_s: f64,
    /// Machine type that the progress is for.
    pub machine_type: Option<String>,
    /// Not before this time.
    pub not_before: f64,
    /// A machine it failed on.
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

/// An open job.
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
    /// Places of its class and its team in the floor's book.
    pub group_ids: [usize; 2],
    /// A task of it has run.
    pub started: bool,
    /// Tasks that are done.
    pub completed: RangeSet,
    /// Chunks of `finished` that are not durable yet.
    pub unsaved_chunks: BTreeSet<u32>,
    /// Ends that wait to be made durable: task and worker.
    pub unsaved_completions: Vec<UnsavedCompletion>,
    /// Tasks that wait and have nothing of their own.
    pub pending: RangeSet,
    /// Tasks that wait and have, by number.
    pub resumable: BTreeMap<u32, ResumableTask>,
    /// How many attempts occupy a machine, by task.
    pub attempts_by_task: BTreeMap<u32, u32>,
    /// How many attempts occupy a machine, by zone.
    pub attempts_by_zone: BTreeMap<String, u32>,
    /// How many attempts each worker knows, ended ones too.
    pub attempts_by_worker: BTreeMap<String, u32>,
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// Run times of its tasks by machine: sum and number.
    pub run_times_by_machine: BTreeMap<String, SampleSum>,
    /// Tasks of which no attempt has run for long enough to count, as far as
    /// this leader knows.
    pub unstarted: RangeSet,
    /// The cutoff that it counts for.
    pub cutoff: Option<CutoffWindow>,
    /// Time of day when it was accepted, as its record says.
    pub accepted_time_of_day: Option<f64>,
    /// How far it is raised within the step of its urgency, 0 to 1.
    pub boost: f64,
}

impl Job {
    /// Whether all its tasks are done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.spec.shape == Shape::Array && self.completed.len() == self.spec.tasks
    }

    /// Whether a task of it waits.
    pub(crate) fn has_pending_tasks(&self) -> bool {
        !self.pending.is_empty() || !self.resumable.is_empty()
    }

    /// Tasks that are not done.
    #[must_use]
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.completed.len()
    }

    /// Whether a task of the job may be on such a machine, given how many of its
    /// tasks are in each zone.
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

    /// Whether another task may start in a zone, given how many are in each.
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
