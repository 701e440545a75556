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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn due(n: u32) -> CutoffWindow {
        CutoffWindow {
            name: format!("night@{n}").into(),
            opens: 0.0,
            cutoff: f64::from(n) * 100.0,
            declared: true,
        }
    }

    #[test]
    fn a_cutoff_opens_is_missed_and_closes_once() {
        let mut book = DeadlineTracker::default();
        assert_eq!(
            book.add_job(&due(1)),
            Some(CutoffEvent::Opened("night@1".into()))
        );
        assert_eq!(book.add_job(&due(1)), None);
        book.record_job_done("night@1", 5, 90.0);
        let one_open = |_: &str| 1;
        assert!(book.expire(99.0, &one_open).is_empty());
        assert_eq!(
            book.expire(101.0, &one_open),
            [CutoffEvent::Missed("night@1".into())]
        );
        assert!(book.expire(102.0, &one_open).is_empty(), "said once");
        book.record_job_done("night@1", 7, 130.0);
        let none_open = |_: &str| 0;
        assert_eq!(
            book.expire(131.0, &none_open),
            [CutoffEvent::Closed("night@1".into(), false, 30.0)]
        );
        let results: Vec<(&str, (u32, u32), u64)> =
            book.results().map(|(n, l)| (n, l.done, l.tasks)).collect();
        assert_eq!(results, [("night@1", (2, 1), 12)]);
        // Last night's is late while tonight's has opened.
        book.add_job(&due(2));
        book.add_job(&due(3));
        assert_eq!(
            book.expire(250.0, &|n| usize::from(n == "night@2")),
            [CutoffEvent::Missed("night@2".into())]
        );
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(101), failure_persistence: None, ..ProptestConfig::default() })]
        // Whatever leaders come and go, each with the record as it was last
        // written: counts are those of the jobs, and it stays small.
        #[test]
        fn nothing_is_lost_or_counted_twice(steps in prop::collection::vec((0u8..4, 0u32..6), 1..120)) {
            let mut book = DeadlineTracker::default();
            let mut open: BTreeMap<u32, usize> = BTreeMap::new();
            let mut done: BTreeMap<u32, u32> = BTreeMap::new();
            let mut now = 0.0;
            for (what, n) in steps {
                match what {
                    0 => { book.add_job(&due(n)); *open.entry(n).or_default() += 1; }
                    1 => if let Some(count) = open.get_mut(&n).filter(|c| **c > 0) {
                        *count -= 1;
                        *done.entry(n).or_default() += 1;
                        book.record_job_done(&format!("night@{n}"), 1, now);
                    },
                    2 => {
                        let text = serde_json::to_string(&book).unwrap();
                        prop_assert!(text.len() < 6500);
                        book = serde_json::from_str(&text).unwrap();
                    }
                    _ => {
                        now += 20.0;
                        book.expire(now, &|name| open.get(&name[6..].parse().unwrap()).copied().unwrap_or(0));
                    }
                }
                for (n, count) in &done {
                    let name = format!("night@{n}");
                    let all = book.open().chain(book.results());
                    let counted: Vec<u32> = all.filter(|l| l.0 == name).map(|l| l.1.done.0).collect();
                    prop_assert_eq!(counted, vec![*count]);
                }
            }
        }
    }

    #[test]
    fn it_stays_small() {
        let mut book = DeadlineTracker::default();
        for n in 0..1000 {
            book.add_job(&due(n));
            book.record_job_done(&format!("night@{n}"), 1, 0.0);
            if n % 3 == 0 {
                book.expire(f64::from(n) * 50.0, &|_| 0);
            }
        }
        assert!(book.open().count() <= MOST_OPEN && book.results().count() <= RESULTS);
        assert!(serde_json::to_string(&book).unwrap().len() < 6500);
    }
}
