//! What is done of each cutoff, and how the last ones ended.

use crate::rule::CutoffWindow;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use tallygauge_records::{Durability, Record};

/// Results that are kept.
const RESULTS: usize = 24;

/// Cutoffs that are counted at a time; jobs of further ones are not.
const MOST_OPEN: usize = 32;

/// One cutoff, as far as it is not told by the jobs that are open.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CutoffProgress {
    /// The cutoff, seconds of the time of day.
    #[serde(rename = "c")]
    pub cutoff: f64,
    /// Jobs that are done, and how many of them after the cutoff.
    #[serde(rename = "d")]
    pub done: (u32, u32),
    /// Tasks of these.
    #[serde(rename = "t")]
    pub tasks: u64,
    /// When the last of them was done.
    #[serde(rename = "l")]
    pub last: f64,
    /// Operators declared it.
    #[serde(rename = "o")]
    pub declared: bool,
}

/// What happened to a cutoff.
#[derive(Debug, Clone, PartialEq)]
pub enum CutoffEvent {
    /// The first job that counts for it is there.
    Opened(Arc<str>),
    /// It has passed with work left.
    Missed(Arc<str>),
    /// It has passed and all its jobs are over: whether it was met, and by how
    /// many seconds its last job was late.
    Closed(Arc<str>, bool, f64),
}

/// All of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DeadlineTracker {
    #[serde(rename = "o")]
    open: BTreeMap<String, CutoffProgress>,
    /// The last results, the oldest first: name, line.
    #[serde(rename = "r")]
    results: VecDeque<(String, CutoffProgress)>,
    /// Open ones that have been missed.
    #[serde(rename = "m", default)]
    missed: BTreeSet<String>,
}

impl Record for DeadlineTracker {
    const NAME: &'static str = "calendar";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteBehind;
}

impl CutoffProgress {
    /// Whether it was met: nothing of it was done too late.
    #[must_use]
    pub fn is_met(&self) -> bool {
        self.done.1 == 0
    }
}

impl DeadlineTracker {
    /// A job that counts for a cutoff is open. Returns what that means.
    pub fn add_job(&mut self, due: &CutoffWindow) -> Option<CutoffEvent> {
        if self.open.contains_key(&*due.name) || self.open.len() >= MOST_OPEN {
            return None;
        }
        // One more job of a cutoff that was closed: it goes on where it was.
        let closed = self.results.iter().position(|r| r.0 == *due.name);
        let line = closed.and_then(|at| self.results.remove(at));
        let line = line.map_or(
            CutoffProgress {
                cutoff: due.cutoff,
                done: (0, 0),
                tasks: 0,
                last: 0.0,
                declared: due.declared,
            },
            |r| r.1,
        );
        self.open.insert(due.name.to_string(), line);
        Some(CutoffEvent::Opened(due.name.clone()))
    }

    /// A job that counts for a cutoff is done.
    pub fn record_job_done(&mut self, name: &str, tasks: u32, at: f64) {
        if let Some(line) = self.open.get_mut(name) {
            line.done.0 += 1;
            line.done.1 += u32::from(at > line.cutoff);
            line.tasks += u64::from(tasks);
            line.last = line.last.max(at);
        }
    }

    /// Lets time pass: cutoffs that are over are closed. `open_jobs` says how
    /// many jobs of a cutoff are open.
    pub fn expire(&mut self, at: f64, open_jobs: &dyn Fn(&str) -> usize) -> Vec<CutoffEvent> {
        let mut events = Vec::new();
        let due: Vec<String> = self
            .open
            .iter()
            .filter(|(_, line)| line.cutoff <= at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if open_jobs(&name) > 0 {
                if self.missed.insert(name.clone()) {
                    events.push(CutoffEvent::Missed(name.into()));
                }
                continue;
            }
            self.missed.remove(&name);
            if let Some(line) = self.open.remove(&name) {
                let late = (line.last - line.cutoff).max(0.0);
                events.push(CutoffEvent::Closed(
                    name.as_str().into(),
                    line.is_met(),
                    late,
                ));
                self.results.push_back((name, line));
                let over = self.results.len().saturating_sub(RESULTS);
                self.results.drain(..over);
            }
        }
        events
    }

    /// Cutoffs that are open, by name.
    pub fn open(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.open.iter().map(|(name, line)| (name.as_str(), line))
    }

    /// The last results, the oldest first.
    pub fn results(&self) -> impl Iterator<Item = (&str, &CutoffProgress)> {
        self.results
            .iter()
            .map(|(name, line)| (name.as_str(), line))
    }
}

#[cfg(test)]
mod tests;
