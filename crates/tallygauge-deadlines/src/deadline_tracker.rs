//! Progress of open cutoffs, and the results of the latest closed ones.

use crate::rule::CutoffWindow;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use tallygauge_records::{Durability, Record};

/// Maximum number of closed cutoffs whose results are kept.
const MAX_CLOSED_CUTOFFS: usize = 24;

/// Maximum number of open cutoffs. Jobs of further cutoffs are not counted.
const MAX_OPEN_CUTOFFS: usize = 32;

/// Progress of one cutoff that cannot be computed from its open jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CutoffProgress {
    /// The cutoff, Unix time in seconds.
    #[serde(rename = "c")]
    pub cutoff: f64,
    /// Jobs done.
    #[serde(rename = "d")]
    pub done: DoneJobs,
    /// Number of tasks of the jobs done.
    #[serde(rename = "t")]
    pub tasks: u64,
    /// When the last job was done, Unix time in seconds; 0 if none is done.
    #[serde(rename = "l")]
    pub last_done_at: f64,
    /// Whether it follows from a declared rule; otherwise it was inferred from jobs.
    #[serde(rename = "o")]
    pub declared: bool,
}

/// Numbers of jobs done for a cutoff. Stored as the pair (total, late).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct DoneJobs {
    /// All jobs done.
    pub total: u32,
    /// Jobs done after the cutoff, which `total` includes.
    pub late: u32,
}

impl From<(u32, u32)> for DoneJobs {
    fn from((total, late): (u32, u32)) -> Self {
        Self { total, late }
    }
}

impl From<DoneJobs> for (u32, u32) {
    fn from(done: DoneJobs) -> Self {
        (done.total, done.late)
    }
}

/// Change of a cutoff's state. The first field is the name of the cutoff.
#[derive(Debug, Clone, PartialEq)]
pub enum CutoffEvent {
    /// The cutoff is tracked from now on: a job that counts for it was accepted.
    Opened(Arc<str>),
    /// The cutoff has passed while some of its jobs are still open.
    Missed(Arc<str>),
    /// The cutoff has passed and all its jobs have ended. The other fields are whether it was
    /// met, and by how many seconds its last job was late.
    Closed(Arc<str>, bool, f64),
}

/// Progress of open cutoffs and results of closed ones, of bounded size.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DeadlineTracker {
    /// Progress of open cutoffs, by name.
    #[serde(rename = "o")]
    open: BTreeMap<String, CutoffProgress>,
    /// The latest closed cutoffs, the oldest first.
    #[serde(rename = "r")]
    closed: VecDeque<ClosedCutoff>,
    /// Names of the open cutoffs that were reported as missed.
    #[serde(rename = "m", default)]
    missed: BTreeSet<String>,
}

/// A closed cutoff. Stored as the pair (name, progress).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClosedCutoff(String, CutoffProgress);

impl ClosedCutoff {
    fn name(&self) -> &str {
        &self.0
    }

    fn progress(&self) -> &CutoffProgress {
        &self.1
    }
}

impl Record for DeadlineTracker {
    const NAME: &'static str = "calendar";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

impl CutoffProgress {
    fn new(window: &CutoffWindow) -> Self {
        Self {
            cutoff: window.cutoff,
            done: DoneJobs::default(),
            tasks: 0,
            last_done_at: 0.0,
            declared: window.declared,
        }
    }

    /// Whether no job was done after the cutoff so far.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.done.late == 0
    }
}

impl DeadlineTracker {
    /// Starts to track the cutoff of a job that was accepted, and returns
    /// [`Opened`](CutoffEvent::Opened). Returns `None` if the cutoff is already tracked or if
    /// the maximum number of cutoffs is tracked.
    pub fn track_cutoff(&mut self, window: &CutoffWindow) -> Option<CutoffEvent> {
        if self.open.contains_key(&*window.name) || self.open.len() >= MAX_OPEN_CUTOFFS {
            return None;
        }
        // A cutoff that was already closed is reopened with its progress.
        let closed_index = self
            .closed
            .iter()
            .position(|cutoff| cutoff.name() == &*window.name);
        let progress = closed_index
            .and_then(|index| self.closed.remove(index))
            .map_or_else(|| CutoffProgress::new(window), |ClosedCutoff(_, p)| p);
        self.open.insert(window.name.to_string(), progress);
        Some(CutoffEvent::Opened(window.name.clone()))
    }

    /// Counts a job of `tasks` tasks, done at `unix_time_s`, for the cutoff with this name.
    /// Does nothing if the cutoff is not open.
    pub fn record_job_done(&mut self, name: &str, tasks: u32, unix_time_s: f64) {
        if let Some(progress) = self.open.get_mut(name) {
            progress.done.total += 1;
            progress.done.late += u32::from(unix_time_s > progress.cutoff);
            progress.tasks += u64::from(tasks);
            progress.last_done_at = progress.last_done_at.max(unix_time_s);
        }
    }

    /// Closes the cutoffs that have passed by `unix_time_s` and have no open jobs. Those that
    /// have passed with open jobs are reported as missed, once each. `open_jobs` returns the
    /// number of open jobs of a cutoff, by its name.
    pub fn expire(
        &mut self,
        unix_time_s: f64,
        open_jobs: &dyn Fn(&str) -> usize,
    ) -> Vec<CutoffEvent> {
        let mut events = Vec::new();
        for name in self.passed_cutoffs(unix_time_s) {
            if open_jobs(&name) > 0 {
                if self.missed.insert(name.clone()) {
                    events.push(CutoffEvent::Missed(name.into()));
                }
                continue;
            }
            self.missed.remove(&name);
            events.extend(self.close(name));
        }
        events
    }

    /// Names of the open cutoffs that have passed by `unix_time_s`.
    fn passed_cutoffs(&self, unix_time_s: f64) -> Vec<String> {
        self.open
            .iter()
            .filter(|(_, progress)| progress.cutoff <= unix_time_s)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn close(&mut self, name: String) -> Option<CutoffEvent> {
        let progress = self.open.remove(&name)?;
        let late_s = (progress.last_done_at - progress.cutoff).max(0.0);
        let event = CutoffEvent::Closed(name.as_str().into(), progress.is_met(), late_s);
        self.closed.push_back(ClosedCutoff(name, progress));
        let excess = self.closed.len().saturating_sub(MAX_CLOSED_CUTOFFS);
        self.closed.drain(..excess);
        Some(event)
    }

    /// Open cutoffs: their names and progress, ordered by name.
    pub fn open_cutoffs(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.open
            .iter()
            .map(|(name, progress)| (name.as_str(), progress))
    }

    /// The latest closed cutoffs: their names and progress, the oldest first.
    pub fn closed_cutoffs(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.closed
            .iter()
            .map(|cutoff| (cutoff.name(), cutoff.progress()))
    }
}

#[cfg(test)]
mod tests;
