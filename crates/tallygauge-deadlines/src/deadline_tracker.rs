//! Progress of cutoffs, and how the last ones ended.

use crate::rule::CutoffWindow;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use tallygauge_records::{Durability, Record};

/// Most closed cutoffs whose results are kept.
const MAX_RESULTS: usize = 24;

/// Most cutoffs that are tracked at a time; jobs of further ones are not counted.
const MAX_OPEN: usize = 32;

/// Progress of one cutoff, as far as the open jobs don't show it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CutoffProgress {
    /// The cutoff, wall-clock time in seconds.
    #[serde(rename = "c")]
    pub cutoff: f64,
    /// Jobs done.
    #[serde(rename = "d")]
    pub done: DoneJobs,
    /// Tasks of the jobs done.
    #[serde(rename = "t")]
    pub tasks: u64,
    /// When the last job was done, wall-clock time in seconds; 0: none was.
    #[serde(rename = "l")]
    pub last_done_at: f64,
    /// Whether operators declared it; otherwise it was inferred from jobs.
    #[serde(rename = "o")]
    pub declared: bool,
}

/// Numbers of jobs done for a cutoff. Stored as the pair (total, late).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct DoneJobs {
    /// All jobs done.
    pub total: u32,
    /// Those that were done after the cutoff.
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

/// What happened to a cutoff, with its name.
#[derive(Debug, Clone, PartialEq)]
pub enum CutoffEvent {
    /// The first job that counts for it was accepted.
    Opened(Arc<str>),
    /// It has passed with jobs still open.
    Missed(Arc<str>),
    /// It has passed and all its jobs have ended: whether it was met, and by how many
    /// seconds its last job was late.
    Closed(Arc<str>, bool, f64),
}

/// Progress of all cutoffs. Bounded.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DeadlineTracker {
    /// Open cutoffs, by name.
    #[serde(rename = "o")]
    open: BTreeMap<String, CutoffProgress>,
    /// The last closed cutoffs, the oldest first.
    #[serde(rename = "r")]
    results: VecDeque<CutoffResult>,
    /// Names of open cutoffs that were missed.
    #[serde(rename = "m", default)]
    missed: BTreeSet<String>,
}

/// A closed cutoff. Stored as the pair (name, progress).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CutoffResult(String, CutoffProgress);

impl CutoffResult {
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

    /// Whether the cutoff was met so far: no job was done after it.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.done.late == 0
    }
}

impl DeadlineTracker {
    /// Tracks the cutoff of a job that was accepted. Returns
    /// [`Opened`](CutoffEvent::Opened) if it was not tracked before; `None` also if as
    /// many cutoffs are tracked as may be.
    pub fn track_cutoff(&mut self, window: &CutoffWindow) -> Option<CutoffEvent> {
        if self.open.contains_key(&*window.name) || self.open.len() >= MAX_OPEN {
            return None;
        }
        // A cutoff that was closed already goes on from where it was.
        let closed = self
            .results
            .iter()
            .position(|result| result.name() == &*window.name);
        let progress = closed
            .and_then(|index| self.results.remove(index))
            .map_or_else(|| CutoffProgress::new(window), |CutoffResult(_, p)| p);
        self.open.insert(window.name.to_string(), progress);
        Some(CutoffEvent::Opened(window.name.clone()))
    }

    /// Counts a job that was done at the wall-clock time `at`, in seconds, for the cutoff
    /// of this name.
    pub fn record_job_done(&mut self, name: &str, tasks: u32, at: f64) {
        if let Some(progress) = self.open.get_mut(name) {
            progress.done.total += 1;
            progress.done.late += u32::from(at > progress.cutoff);
            progress.tasks += u64::from(tasks);
            progress.last_done_at = progress.last_done_at.max(at);
        }
    }

    /// Closes the cutoffs that have passed by the wall-clock time `at`, in seconds, and
    /// have no open jobs; `open_jobs` gives the number of open jobs by a cutoff's name.
    pub fn expire(&mut self, at: f64, open_jobs: &dyn Fn(&str) -> usize) -> Vec<CutoffEvent> {
        let mut events = Vec::new();
        for name in self.names_passed(at) {
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

    fn names_passed(&self, at: f64) -> Vec<String> {
        self.open
            .iter()
            .filter(|(_, progress)| progress.cutoff <= at)
            .map(|(name, _)| name.clone())
            .collect()
    }

    fn close(&mut self, name: String) -> Option<CutoffEvent> {
        let progress = self.open.remove(&name)?;
        let late_s = (progress.last_done_at - progress.cutoff).max(0.0);
        let event = CutoffEvent::Closed(name.as_str().into(), progress.is_met(), late_s);
        self.results.push_back(CutoffResult(name, progress));
        let excess = self.results.len().saturating_sub(MAX_RESULTS);
        self.results.drain(..excess);
        Some(event)
    }

    /// Open cutoffs with their names, in the order of these.
    pub fn open_cutoffs(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.open
            .iter()
            .map(|(name, progress)| (name.as_str(), progress))
    }

    /// The last closed cutoffs with their names, the oldest first.
    pub fn closed_cutoffs(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.results
            .iter()
            .map(|result| (result.name(), result.progress()))
    }
}

#[cfg(test)]
mod tests;
