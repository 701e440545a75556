//! Counts of the jobs that have ended: by class, by team, and for the largest jobs of each
//! class.

use crate::{
    service_counts_record::{
        ClassSizesRecord, FORMAT_VERSION, GroupRecord, GroupTotals, ServiceCountsRecord,
    },
    size_histogram::{JobSize, LARGEST_FRACTION, SizeHistogram, SizeThresholds},
    sliding_window::SlidingWindow,
};
use std::{cmp::Reverse, collections::HashMap, sync::Arc};

/// What jobs are grouped by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GroupKind {
    /// By class.
    Class,
    /// By team.
    Team,
    /// By class, counting only the largest jobs of each class.
    Largest,
}

/// Ids of the groups that a job counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupIds {
    /// Group of its class.
    pub class: usize,
    /// Group of its team.
    pub team: usize,
    /// Group of the largest jobs of its class, if it is one of them.
    pub largest: Option<usize>,
}

impl GroupIds {
    /// The ids, those of the class and the team first.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        [self.class, self.team].into_iter().chain(self.largest)
    }
}

/// Kind and name that identify a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// What the jobs of the group have in common.
    pub kind: GroupKind,
    /// Name of the class or team.
    pub name: Arc<str>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All its tasks are done.
    Done {
        /// Whether that was later than its loosest service-level objective.
        late: bool,
    },
    /// Its user cancelled it.
    Cancelled {
        /// Whether any of its tasks had started.
        started: bool,
    },
}

/// Numbers of jobs of a group that have ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs done.
    pub done: u64,
    /// Jobs of `done` that missed their loosest service-level objective.
    pub late: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs of `cancelled` of which a task had started.
    pub cancelled_after_start: u64,
    /// Jobs done in the longer window.
    done_in_day: SlidingWindow,
    /// Jobs done in the shorter window.
    done_recently: SlidingWindow,
}

/// Number of sliding windows over which the jobs done are counted.
pub(crate) const WINDOW_COUNT: usize = 2;

/// Length of the longer window, seconds.
const DAY_WINDOW_S: f64 = 86_400.0;

/// Minimum length of the shorter window, seconds.
const MIN_RECENT_WINDOW_S: f64 = 1.0;

/// Maximum number of classes with counts of their own; the jobs of further classes are
/// counted together.
const MAX_CLASSES: usize = 200;

/// Name of the group in which the classes beyond [`MAX_CLASSES`] are counted together.
const OTHER_CLASSES: &str = "(others)";

/// Bytes of a record as JSON besides its entries.
const RECORD_OVERHEAD_BYTES: usize = 32;

/// Histograms of the sizes of a class's jobs.
#[derive(Debug, Clone, Default)]
struct ClassSizes {
    /// Jobs that have ended.
    closed: SizeHistogram,
    /// Open jobs.
    open: SizeHistogram,
}

impl ClassSizes {
    fn thresholds(&self, fraction: f64) -> SizeThresholds {
        self.closed.thresholds(&self.open, fraction)
    }
}

/// Counts of the jobs that have ended, by group, and histograms of job sizes, by class.
///
/// A group id is an index that never changes during the life of the value. Ids are not
/// stored.
#[derive(Debug, Clone)]
pub struct ServiceCounts {
    /// Keys of the groups, by group id.
    keys: Vec<GroupKey>,
    /// Counts of the groups, by group id.
    counts: Vec<Counts>,
    group_ids: HashMap<GroupKey, usize>,
    /// Classes with counts of their own.
    class_count: usize,
    /// Length of the shorter window, seconds.
    recent_window_s: f64,
    /// Sizes of the jobs of classes, by the group id of the class.
    sizes: HashMap<usize, ClassSizes>,
}

impl ServiceCounts {
    /// Creates empty counts. `recent_window_s` is the length of the shorter window in
    /// seconds; it is limited to the range from 1 s to a day.
    #[must_use]
    pub fn new(recent_window_s: f64) -> Self {
        Self {
            keys: Vec::new(),
            counts: Vec::new(),
            group_ids: HashMap::new(),
            class_count: 0,
            recent_window_s: recent_window_s.clamp(MIN_RECENT_WINDOW_S, DAY_WINDOW_S),
            sizes: HashMap::new(),
        }
    }

    /// Returns the id of a group, which is added if it is new. A class beyond the maximum
    /// number of classes gets the id of the group that these classes share.
    pub fn group_id(&mut self, kind: GroupKind, name: &str) -> usize {
        let mut key = GroupKey {
            kind,
            name: name.into(),
        };
        if let Some(id) = self.group_ids.get(&key) {
            return *id;
        }
        if kind != GroupKind::Team && name != OTHER_CLASSES {
            let has_own_group = kind == GroupKind::Largest || self.class_count < MAX_CLASSES;
            if !has_own_group {
                key.name = OTHER_CLASSES.into();
                if let Some(id) = self.group_ids.get(&key) {
                    return *id;
                }
            } else if kind == GroupKind::Class {
                self.class_count += 1;
            }
        }
        let id = self.keys.len();
        self.keys.push(key.clone());
        self.counts.push(Counts::default());
        self.group_ids.insert(key, id);
        id
    }

    /// Adds the size of a job that was opened to those of the open jobs. `class` is the group
    /// id of its class.
    pub fn record_opened(&mut self, class: usize, size: JobSize) {
        self.sizes.entry(class).or_default().open.add(size);
    }

    /// Moves the size of a job that has ended from the open to the closed jobs of its class.
    pub fn record_closed(&mut self, class: usize, size: JobSize) {
        let sizes = self.sizes.entry(class).or_default();
        sizes.open.remove(size);
        sizes.closed.add(size);
    }

    /// Returns the group id of a class's largest jobs if a job of this size is one of them.
    pub fn largest_group_of_job(&mut self, class: usize, size: JobSize) -> Option<usize> {
        let is_large = self.is_large(class, size, LARGEST_FRACTION);
        is_large.then(|| self.largest_group_id(class))
    }

    /// Returns the group id of a class's largest jobs, which is added if it is new.
    pub fn largest_group_id(&mut self, class: usize) -> usize {
        let name = self.keys[class].name.clone();
        self.group_id(GroupKind::Largest, &name)
    }

    /// Size thresholds of the largest `fraction` of each class, by the group id of the class.
    #[must_use]
    pub fn size_thresholds(&self, fraction: f64) -> HashMap<usize, SizeThresholds> {
        let sizes = self.sizes.iter();
        sizes
            .map(|(class, sizes)| (*class, sizes.thresholds(fraction)))
            .collect()
    }

    /// Whether a job of this size is, in any dimension, among the largest `fraction` of its
    /// class.
    #[must_use]
    pub fn is_large(&self, class: usize, size: JobSize, fraction: f64) -> bool {
        let sizes = self.sizes.get(&class);
        sizes.is_some_and(|sizes| sizes.thresholds(fraction).is_reached_by(size))
    }

    /// Keys of all groups; the index is the group id.
    #[must_use]
    pub fn keys(&self) -> &[GroupKey] {
        &self.keys
    }

    /// Counts of a group.
    ///
    /// # Panics
    /// If the id was not returned by [`group_id`](Self::group_id).
    #[must_use]
    pub fn counts(&self, group: usize) -> &Counts {
        &self.counts[group]
    }

    /// Lengths of the windows in seconds, the longer first.
    #[must_use]
    pub fn window_lengths_s(&self) -> [f64; WINDOW_COUNT] {
        [DAY_WINDOW_S, self.recent_window_s]
    }

    /// Number of jobs of a group that were done within each window, in the order of
    /// [`window_lengths_s`](Self::window_lengths_s). The windows end at `unix_time_s`.
    ///
    /// # Panics
    /// If the id was not returned by [`group_id`](Self::group_id).
    #[must_use]
    pub fn done_in_windows(&self, group: usize, unix_time_s: f64) -> [u32; WINDOW_COUNT] {
        let counts = &self.counts[group];
        [
            counts.done_in_day.sum(unix_time_s, DAY_WINDOW_S),
            counts.done_recently.sum(unix_time_s, self.recent_window_s),
        ]
    }

    /// Counts a job that ended at `unix_time_s` for each of its groups.
    pub fn record_end(&mut self, groups: GroupIds, end: JobEnd, unix_time_s: f64) {
        for group in groups.iter() {
            let counts = &mut self.counts[group];
            match end {
                JobEnd::Done { late } => {
                    counts.done += 1;
                    counts.late += u64::from(late);
                    counts.done_in_day.add(unix_time_s, DAY_WINDOW_S);
                    counts.done_recently.add(unix_time_s, self.recent_window_s);
                }
                JobEnd::Cancelled { started } => {
                    counts.cancelled += 1;
                    counts.cancelled_after_start += u64::from(started);
                }
            }
        }
    }

    /// Builds the record to store, of at most `max_bytes` bytes as JSON. Groups are added
    /// first, then the sizes of classes, each with the most ended jobs first. Entries that no
    /// longer fit are left out.
    #[must_use]
    pub fn to_record(&self, max_bytes: usize) -> ServiceCountsRecord {
        let mut record = ServiceCountsRecord {
            version: FORMAT_VERSION,
            ..ServiceCountsRecord::default()
        };
        let mut free_bytes = max_bytes.saturating_sub(RECORD_OVERHEAD_BYTES);
        for group in self.groups_by_ended_jobs() {
            let entry = self.group_record(group);
            let Some(remaining_bytes) = free_bytes.checked_sub(entry.max_bytes()) else {
                continue;
            };
            free_bytes = remaining_bytes;
            match self.keys[group].kind {
                GroupKind::Class => record.classes.push(entry),
                GroupKind::Team => record.teams.push(entry),
                GroupKind::Largest => record.largest.push(entry),
            }
        }
        for entry in self.sizes_by_ended_jobs() {
            if let Some(remaining_bytes) = free_bytes.checked_sub(entry.max_bytes()) {
                free_bytes = remaining_bytes;
                record.sizes.push(entry);
            }
        }
        record
    }

    /// Ids of the groups with ended jobs, sorted by the number of these jobs in descending
    /// order.
    fn groups_by_ended_jobs(&self) -> Vec<usize> {
        let ended_jobs = |group: &usize| self.counts[*group].done + self.counts[*group].cancelled;
        let mut groups: Vec<usize> = (0..self.keys.len()).collect();
        groups.retain(|group| ended_jobs(group) > 0);
        groups.sort_by_key(|group| (Reverse(ended_jobs(group)), &self.keys[*group]));
        groups
    }

    fn group_record(&self, group: usize) -> GroupRecord {
        let counts = &self.counts[group];
        GroupRecord {
            name: self.keys[group].name.to_string(),
            totals: GroupTotals {
                done: counts.done,
                late: counts.late,
                cancelled: counts.cancelled,
                cancelled_after_start: counts.cancelled_after_start,
            },
            done_in_day: counts.done_in_day.clone(),
            done_recently: counts.done_recently.clone(),
        }
    }

    /// Sizes of the ended jobs of each class, sorted by their number, the most first.
    fn sizes_by_ended_jobs(&self) -> Vec<ClassSizesRecord> {
        let mut entries: Vec<ClassSizesRecord> = self
            .sizes
            .iter()
            .filter(|(_, sizes)| sizes.closed.total() > 0)
            .map(|(class, sizes)| ClassSizesRecord {
                class: self.keys[*class].name.to_string(),
                sizes: sizes.closed.clone(),
            })
            .collect();
        entries.sort_by(|a, b| {
            let by_total = b.sizes.total().cmp(&a.sizes.total());
            by_total.then_with(|| a.class.cmp(&b.class))
        });
        entries
    }

    /// Restores the counts that an earlier leader stored: adds its totals, and replaces the
    /// windows and the sizes. Returns false and changes nothing if the record's format is not
    /// known.
    pub fn restore(&mut self, record: ServiceCountsRecord) -> bool {
        if record.version != FORMAT_VERSION {
            return false;
        }
        for entry in record.sizes {
            let class = self.group_id(GroupKind::Class, &entry.class);
            self.sizes.entry(class).or_default().closed = entry.sizes;
        }
        let entries_by_kind = [
            (GroupKind::Class, record.classes),
            (GroupKind::Team, record.teams),
            (GroupKind::Largest, record.largest),
        ];
        for (kind, entries) in entries_by_kind {
            for entry in entries {
                self.restore_group(kind, entry);
            }
        }
        true
    }

    fn restore_group(&mut self, kind: GroupKind, entry: GroupRecord) {
        let group = self.group_id(kind, &entry.name);
        let counts = &mut self.counts[group];
        counts.done += entry.totals.done;
        counts.late += entry.totals.late;
        counts.cancelled += entry.totals.cancelled;
        counts.cancelled_after_start += entry.totals.cancelled_after_start;
        counts.done_in_day = entry.done_in_day;
        counts.done_recently = entry.done_recently;
    }
}

#[cfg(test)]
mod tests;
