//! What is listed: rows in maps that share their structure with those of the
//! snapshot before, so that publishing costs what has changed, and a reader
//! holds on to one picture for as long as it needs.

use crate::operation::{JobQuery, MachineQuery, rows};
use arc_swap::ArcSwapOption;
use imbl::OrdMap;
use std::{
    ops::Bound::{self, Excluded, Unbounded},
    sync::Arc,
};
use tallygauge_wire::ops::{AsOf, JobPage, JobRow, MachinePage, MachineRow, Overview, TeamRow};

/// Rows that are looked through for one page at the most; what else there is
/// stands on the next.
const LOOKED_THROUGH: usize = 5000;

/// One published picture.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// When, and whose.
    pub as_of: AsOf,
    /// Open jobs, by id.
    pub jobs: OrdMap<Arc<str>, Arc<JobRow>>,
    /// Machines, by name.
    pub machines: OrdMap<Arc<str>, Arc<MachineRow>>,
    /// Teams.
    pub teams: Vec<TeamRow>,
    /// Sums.
    pub overview: Overview,
}

/// Puts rows into a map, keeping what has not changed, and takes out those that
/// are there no more. Rows come in the order of their keys, in several parts.
#[derive(Debug)]
pub struct Renewal<R> {
    map: OrdMap<Arc<str>, Arc<R>>,
    /// Up to where the map is new.
    done: Option<Arc<str>>,
}

impl<R: PartialEq + Clone> Renewal<R> {
    /// Begins with the map as it was.
    #[must_use]
    pub fn of(before: &OrdMap<Arc<str>, Arc<R>>) -> Self {
        Self {
            map: before.clone(),
            done: None,
        }
    }

    /// Takes the next row in.
    pub fn put(&mut self, key: &str, row: R) {
        self.remove_up_to(Some(key));
        let same = self.map.get(key).is_some_and(|before| **before == row);
        if !same {
            self.map.insert(key.into(), Arc::new(row));
        }
        self.done = Some(key.into());
    }

    /// What lies between the last row and this key is gone.
    fn remove_up_to(&mut self, key: Option<&str>) {
        let from = self.done.as_deref().map_or(Unbounded, Excluded);
        let to = key.map_or(Unbounded, Excluded);
        let range = self
            .map
            .range::<(Bound<&str>, Bound<&str>), str>((from, to));
        let gone: Vec<Arc<str>> = range.map(|(k, _)| k.clone()).collect();
        for key in gone {
            self.map.remove(&*key);
        }
    }

    /// All rows are in.
    #[must_use]
    pub fn finish(mut self) -> OrdMap<Arc<str>, Arc<R>> {
        self.remove_up_to(None);
        self.map
    }
}

/// Walks a map after a key until a page is full. Returns the rows, and where
/// the next page starts after.
fn page<R: Clone>(
    map: &OrdMap<Arc<str>, Arc<R>>,
    after: Option<&str>,
    most: usize,
    wanted: impl Fn(&R) -> bool,
) -> (Vec<R>, Option<String>) {
    let from = after.map_or(Unbounded, Excluded);
    let mut out = Vec::new();
    let mut last: Option<&Arc<str>> = None;
    let range = map.range::<(Bound<&str>, Bound<&str>), str>((from, Unbounded));
    for (seen, (key, row)) in range.enumerate() {
        if out.len() >= most || seen >= LOOKED_THROUGH {
            return (out, last.map(|k| k.to_string()));
        }
        if wanted(row) {
            out.push((**row).clone());
        }
        last = Some(key);
    }
    (out, None)
}

fn is<T: PartialEq>(wanted: &Option<T>, have: Option<&T>) -> bool {
    wanted.as_ref().is_none_or(|w| have == Some(w))
}

impl Snapshot {
    /// Begins the next snapshot's jobs.
    #[must_use]
    pub fn renew_jobs(&self) -> Renewal<JobRow> {
        Renewal::of(&self.jobs)
    }

    /// Begins the next snapshot's machines.
    #[must_use]
    pub fn renew_machines(&self) -> Renewal<MachineRow> {
        Renewal::of(&self.machines)
    }

    /// A page of open jobs.
    #[must_use]
    pub fn jobs(&self, query: &JobQuery) -> JobPage {
        let wanted = |row: &JobRow| {
            is(&query.team, row.team.as_ref())
                && is(&query.class, row.class.as_ref())
                && is(&query.status, Some(&row.status))
        };
        let (jobs, next) = page(
            &self.jobs,
            query.after.as_deref(),
            rows(query.limit),
            wanted,
        );
        JobPage {
            as_of: self.as_of.clone(),
            jobs,
            next,
        }
    }

    /// A page of machines.
    #[must_use]
    pub fn machines(&self, query: &MachineQuery) -> MachinePage {
        let wanted = |row: &MachineRow| {
            is(&query.zone, Some(&row.zone))
                && is(&query.machine_type, Some(&row.machine_type))
                && is(&query.state, Some(&row.state))
        };
        let after = query.after.as_deref();
        let (machines, next) = page(&self.machines, after, rows(query.limit), wanted);
        MachinePage {
            as_of: self.as_of.clone(),
            machines,
            next,
        }
    }
}

/// The snapshot that is served now. Readers take it without a lock.
#[derive(Debug, Default)]
pub struct Published(ArcSwapOption<Snapshot>);

impl Published {
    /// The snapshot, if there is one.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Snapshot>> {
        self.0.load_full()
    }

    /// Replaces it; `None`: there is nothing to be served any more.
    pub fn set(&self, snapshot: Option<Arc<Snapshot>>) {
        self.0.store(snapshot);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::{BTreeMap, BTreeSet};
    use tallygauge_wire::users::JobStatus;

    fn row(number: u32, done: u32) -> JobRow {
        JobRow {
            id: format!("req-{number:06}"),
            status: JobStatus::Running,
            team: Some(
                if number.is_multiple_of(3) {
                    "red"
                } else {
                    "blue"
                }
                .into(),
            ),
            class: None,
            priority: None,
            shape: None,
            tasks: None,
            done,
            running: 0,
            waiting: 0,
            errors: 0,
            accepted: None,
            due: None,
            ended: None,
        }
    }

    fn renewed(before: &Snapshot, rows: &BTreeMap<u32, u32>) -> Snapshot {
        let mut renewal = before.renew_jobs();
        for (number, done) in rows {
            let row = row(*number, *done);
            renewal.put(&row.id.clone(), row);
        }
        Snapshot {
            jobs: renewal.finish(),
            ..before.clone()
        }
    }

    proptest! {
        /// Whatever came before, a renewed map holds the new rows, and shares
        /// those that have not changed.
        #[test]
        fn a_renewed_map_is_the_plain_one(
            first in proptest::collection::btree_map(0u32..40, 0u32..3, 0..30),
            second in proptest::collection::btree_map(0u32..40, 0u32..3, 0..30),
        ) {
            let one = renewed(&Snapshot::default(), &first);
            let two = renewed(&one, &second);
            let plain: Vec<JobRow> = second.iter().map(|(n, d)| row(*n, *d)).collect();
            let held: Vec<JobRow> = two.jobs.values().map(|r| (**r).clone()).collect();
            prop_assert_eq!(held, plain);
            for (number, done) in &second {
                if first.get(number) == Some(done) {
                    let key = row(*number, 0).id;
                    let (a, b) = (&one.jobs[&*key], &two.jobs[&*key]);
                    prop_assert!(Arc::ptr_eq(a, b));
                }
            }
        }

        /// Jobs come and go between pages: those that stood throughout are
        /// listed, once, and none of another team.
        #[test]
        fn pages_miss_nothing_that_stood_throughout(
            stay in proptest::collection::btree_set(0u32..200, 0..60),
            turns in proptest::collection::vec(
                proptest::collection::btree_set(0u32..200, 0..60), 1..40),
            limit in 1usize..20,
        ) {
            let mut seen: Vec<String> = Vec::new();
            let mut query = JobQuery { team: Some("blue".into()), limit: Some(limit), ..JobQuery::default() };
            let mut snapshot = Snapshot::default();
            for turn in turns.iter().cycle() {
                let rows = stay.union(turn).map(|n| (*n, 0)).collect();
                snapshot = renewed(&snapshot, &rows);
                let page = snapshot.jobs(&query);
                prop_assert!(page.jobs.len() <= limit);
                seen.extend(page.jobs.into_iter().map(|j| j.id));
                query.after = page.next;
                if query.after.is_none() {
                    break;
                }
            }
            let once: BTreeSet<&String> = seen.iter().collect();
            prop_assert_eq!(once.len(), seen.len());
            for number in stay {
                let id = row(number, 0).id;
                prop_assert_eq!(seen.contains(&id), number % 3 != 0, "{}", id);
            }
        }
    }

    #[test]
    fn ten_thousand_jobs_are_listed_whole_in_bounded_pages() {
        let rows = (0..10_000).map(|n| (n, 0)).collect();
        let snapshot = renewed(&Snapshot::default(), &rows);
        let mut query = JobQuery {
            team: Some("red".into()),
            limit: Some(usize::MAX),
            ..JobQuery::default()
        };
        let (mut pages, mut jobs) = (0, 0);
        loop {
            let page = snapshot.jobs(&query);
            assert!(page.jobs.len() <= tallygauge_wire::ops::MAX_PAGE);
            pages += 1;
            jobs += page.jobs.len();
            query.after = page.next;
            if query.after.is_none() {
                break;
            }
        }
        assert_eq!((jobs, pages), (3334, 7));
    }
}
