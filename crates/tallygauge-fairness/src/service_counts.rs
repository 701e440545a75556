//! What is over, by class of jobs and by team.

use crate::{
    size_histogram::{JobSize, LARGEST_FRACTION, SizeHistogram, SizeThresholds},
    sliding_window::{BUCKETS, SlidingWindow},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// What jobs are told apart by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GroupKind {
    /// Class of jobs.
    Class,
    /// Team.
    Team,
    /// The largest jobs of a class.
    Largest,
}

/// Where a job counts: for its class, its team, and, if it is among them, for
/// the largest of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupIds {
    /// Class.
    pub class: usize,
    /// Team.
    pub team: usize,
    /// The largest of its class.
    pub largest: Option<usize>,
}

impl GroupIds {
    /// All of them.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        [self.class, self.team].into_iter().chain(self.largest)
    }
}

/// A class or a team.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// Which of them.
    pub kind: GroupKind,
    /// Its name.
    pub name: Arc<str>,
}

/// How a job came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All its tasks are done; `late` when that was after its loosest aim.
    Done {
        /// After its loosest aim.
        late: bool,
    },
    /// Its user gave it up; `started` when a task of it had run.
    Cancelled {
        /// A task of it had run.
        started: bool,
    },
}

/// Jobs of a class or of a team that are over.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Done.
    pub done: u64,
    /// Done, after their loosest aim.
    pub late: u64,
    /// Cancelled.
    pub cancelled: u64,
    /// Cancelled, with tasks that had run.
    pub cancelled_after_start: u64,
    day: SlidingWindow,
    recent: SlidingWindow,
}

/// Seconds of the longer window.
const DAY_S: f64 = 86_400.0;

/// Most classes that are told apart; jobs of further ones are counted together.
const MAX_CLASSES: usize = 200;

/// Name under which classes beyond the most are counted.
const OTHERS: &str = "(others)";

/// The record's format.
const VERSION: u32 = 1;

/// What is kept of a book, small and bounded. Lost, counting begins anew.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCountsRecord {
    /// Format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Classes.
    #[serde(rename = "c")]
    classes: Vec<GroupRecord>,
    /// Teams.
    #[serde(rename = "t")]
    teams: Vec<GroupRecord>,
    /// The largest of classes. Versions that don't know them pass them over.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    largest: Vec<GroupRecord>,
    /// Sizes of classes' jobs.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    sizes: Vec<(String, SizeHistogram)>,
}

impl tallygauge_records::Record for ServiceCountsRecord {
    const NAME: &'static str = "floor";
    const VERSION: u32 = VERSION;
    const DURABILITY: tallygauge_records::Durability = tallygauge_records::Durability::WriteBehind;
}

/// Name; done, late, cancelled, stopped; by day, of late.
type GroupRecord = (String, [u64; 4], SlidingWindow, SlidingWindow);

/// Bytes of a kept tally, at most: numbers of up to ten digits.
fn max_record_bytes(kept: &GroupRecord) -> usize {
    // A name is written with escapes: at worst six bytes for one.
    kept.0.len() * 6 + 64 + 2 * (BUCKETS * 26 + 2)
}

/// Bytes of a class's sizes, at most.
fn max_sizes_bytes(kept: &(String, SizeHistogram)) -> usize {
    kept.0.len() * 6 + 24 + kept.1.bucket_count() * 18
}

/// Counts by class and by team. Places of classes and teams never change.
#[derive(Debug, Clone)]
pub struct ServiceCounts {
    keys: Vec<GroupKey>,
    counts: Vec<Counts>,
    group_ids: HashMap<GroupKey, usize>,
    classes: usize,
    recent_s: f64,
    /// By place of a class: sizes of jobs that are over, and of open ones.
    sizes: HashMap<usize, [SizeHistogram; 2]>,
}

impl ServiceCounts {
    /// An empty book whose shorter window has `recent_s` seconds.
    #[must_use]
    pub fn new(recent_s: f64) -> Self {
        Self {
            keys: Vec::new(),
            counts: Vec::new(),
            group_ids: HashMap::new(),
            classes: 0,
            recent_s: recent_s.clamp(1.0, DAY_S),
            sizes: HashMap::new(),
        }
    }

    /// The place of a class or team, made if it is new.
    pub fn group_id(&mut self, kind: GroupKind, name: &str) -> usize {
        let mut key = GroupKey {
            kind,
            name: name.into(),
        };
        if let Some(place) = self.group_ids.get(&key) {
            return *place;
        }
        if kind != GroupKind::Team && name != OTHERS {
            let known = kind == GroupKind::Largest || self.classes < MAX_CLASSES;
            if !known {
                key.name = OTHERS.into();
                if let Some(place) = self.group_ids.get(&key) {
                    return *place;
                }
            } else if kind == GroupKind::Class {
                self.classes += 1;
            }
        }
        self.keys.push(key.clone());
        self.counts.push(Counts::default());
        self.group_ids.insert(key, self.keys.len() - 1);
        self.keys.len() - 1
    }

    /// A job of the class at a place is open.
    pub fn record_opened(&mut self, class: usize, size: JobSize) {
        self.sizes.entry(class).or_default()[1].add(size);
    }

    /// An open job of the class at a place is over.
    pub fn record_closed(&mut self, class: usize, size: JobSize) {
        let [over, open] = self.sizes.entry(class).or_default();
        open.remove(size);
        over.add(size);
    }

    /// Where the largest jobs of the class at a place count, if a job of this
    /// size is one of them.
    pub fn largest_group_of_job(&mut self, class: usize, size: JobSize) -> Option<usize> {
        let large = self.is_large(class, size, LARGEST_FRACTION);
        large.then(|| self.largest_group_id(class))
    }

    /// Where the largest jobs of the class at a place count.
    pub fn largest_group_id(&mut self, class: usize) -> usize {
        let name = self.keys[class].name.clone();
        self.group_id(GroupKind::Largest, &name)
    }

    /// From which sizes on jobs are among such a part of the largest of their
    /// class, by its place.
    #[must_use]
    pub fn size_thresholds(&self, part: f64) -> HashMap<usize, SizeThresholds> {
        let sizes = self.sizes.iter();
        sizes
            .map(|(class, [over, open])| (*class, over.thresholds(open, part)))
            .collect()
    }

    /// Whether a job of this size is among such a part of the largest jobs of the
    /// class at a place, by any reading.
    #[must_use]
    pub fn is_large(&self, class: usize, size: JobSize, part: f64) -> bool {
        let sizes = self.sizes.get(&class);
        sizes.is_some_and(|[over, open]| over.thresholds(open, part).is_at_least(size))
    }

    /// All classes and teams, by place.
    #[must_use]
    pub fn keys(&self) -> &[GroupKey] {
        &self.keys
    }

    /// What is over of the class or team at a place.
    #[must_use]
    pub fn counts(&self, place: usize) -> &Counts {
        &self.counts[place]
    }

    /// Seconds of the windows, longer first.
    #[must_use]
    pub fn window_lengths_s(&self) -> [f64; 2] {
        [DAY_S, self.recent_s]
    }

    /// Jobs done within each window before a time of day, longer first.
    #[must_use]
    pub fn done_in_windows(&self, place: usize, at: f64) -> [u32; 2] {
        let tally = &self.counts[place];
        [
            tally.day.sum(at, DAY_S),
            tally.recent.sum(at, self.recent_s),
        ]
    }

    /// A job with these places is over, at a time of day.
    pub fn record_end(&mut self, places: GroupIds, end: JobEnd, at: f64) {
        for place in places.iter() {
            let tally = &mut self.counts[place];
            match end {
                JobEnd::Done { late } => {
                    tally.done += 1;
                    tally.late += u64::from(late);
                    tally.day.add(at, DAY_S);
                    tally.recent.add(at, self.recent_s);
                }
                JobEnd::Cancelled { started } => {
                    tally.cancelled += 1;
                    tally.cancelled_after_start += u64::from(started);
                }
            }
        }
    }

    /// What is to be kept, at most so many bytes as JSON: those with the most
    /// jobs first.
    #[must_use]
    pub fn to_record(&self, most_bytes: usize) -> ServiceCountsRecord {
        let mut order: Vec<usize> = (0..self.keys.len()).collect();
        let weight = |at: &usize| self.counts[*at].done + self.counts[*at].cancelled;
        order.retain(|at| weight(at) > 0);
        order.sort_by_key(|at| (std::cmp::Reverse(weight(at)), &self.keys[*at]));
        let mut record = ServiceCountsRecord {
            version: VERSION,
            ..ServiceCountsRecord::default()
        };
        let mut left = most_bytes.saturating_sub(32);
        for at in order {
            let tally = &self.counts[at];
            let kept: GroupRecord = (
                self.keys[at].name.to_string(),
                [
                    tally.done,
                    tally.late,
                    tally.cancelled,
                    tally.cancelled_after_start,
                ],
                tally.day.clone(),
                tally.recent.clone(),
            );
            let Some(rest) = left.checked_sub(max_record_bytes(&kept)) else {
                continue;
            };
            left = rest;
            match self.keys[at].kind {
                GroupKind::Class => record.classes.push(kept),
                GroupKind::Team => record.teams.push(kept),
                GroupKind::Largest => record.largest.push(kept),
            }
        }
        let mut sizes: Vec<(String, SizeHistogram)> = self
            .sizes
            .iter()
            .filter(|(_, s)| s[0].total() > 0)
            .map(|(class, s)| (self.keys[*class].name.to_string(), s[0].clone()))
            .collect();
        sizes.sort_by(|a, b| b.1.total().cmp(&a.1.total()).then(a.0.cmp(&b.0)));
        for kept in sizes {
            if let Some(rest) = left.checked_sub(max_sizes_bytes(&kept)) {
                left = rest;
                record.sizes.push(kept);
            }
        }
        record
    }

    /// Takes up what an earlier leader kept, on top of what is counted already.
    /// `false`: a format that this version doesn't know.
    pub fn restore(&mut self, record: ServiceCountsRecord) -> bool {
        if record.version != VERSION {
            return false;
        }
        for (name, sizes) in record.sizes {
            let class = self.group_id(GroupKind::Class, &name);
            self.sizes.entry(class).or_default()[0] = sizes;
        }
        let kinds = [
            (GroupKind::Class, record.classes),
            (GroupKind::Team, record.teams),
            (GroupKind::Largest, record.largest),
        ];
        for (kind, kept) in kinds {
            for (name, [done, late, cancelled, stopped], day, recent) in kept {
                let place = self.group_id(kind, &name);
                let tally = &mut self.counts[place];
                tally.done += done;
                tally.late += late;
                tally.cancelled += cancelled;
                tally.cancelled_after_start += stopped;
                (tally.day, tally.recent) = (day, recent);
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
