//! How finished tasks are kept: many jobs' ranges share a few records, so that
//! the progress of a hundred jobs costs a handful of writes.

use crate::range_set::RangeSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A part of a job's finished tasks: job, and number of the chunk.
pub type Part = (String, u32);

/// A page's content as it is kept: ranges by `JOB/CHUNK`.
pub type PageRecord = BTreeMap<String, RangeSet>;

#[derive(Debug, Clone, Default)]
struct Page {
    version: u64,
    /// An unanswered write may have changed it: its version must be read.
    unsure: bool,
    /// Parts and their content as last put here: what a write takes along of parts
    /// that it does not change must have the size that was reckoned with.
    parts: BTreeMap<Part, RangeSet>,
    bytes: usize,
}

impl Page {
    /// Holds a part with this content, and no other of it.
    fn hold(&mut self, part: &Part, ranges: RangeSet) {
        self.drop_part(part);
        self.bytes += size(part, &ranges);
        self.parts.insert(part.clone(), ranges);
    }

    fn drop_part(&mut self, part: &Part) {
        if let Some(ranges) = self.parts.remove(part) {
            self.bytes -= size(part, &ranges);
        }
    }
}

/// A page to be written, and what it is conditioned on.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// Number of the page.
    pub page: u32,
    /// Version that it must have.
    pub version: u64,
    /// New content; empty: to be removed.
    pub record: PageRecord,
}

/// Pages to be written together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageFlush {
    /// The pages.
    pub writes: Vec<PageWrite>,
    /// Changed parts on them.
    pub parts: BTreeSet<Part>,
    /// Parts that this moves, with the pages they come from and what these held.
    moved: Vec<(Part, u32, RangeSet)>,
}

/// Which part is on which page.
#[derive(Debug, Default)]
pub struct Pages {
    pages: BTreeMap<u32, Page>,
    place: HashMap<Part, u32>,
    /// Further pages that a part may be on: it was to move, and nobody knows if it
    /// did. It stays on both until the new page was surely written.
    also: HashMap<Part, BTreeSet<u32>>,
    limit: usize,
}

fn name((job, chunk): &Part) -> String {
    format!("{job}/{chunk}")
}

fn size(part: &Part, ranges: &RangeSet) -> usize {
    // Quotes, colon and comma; every range two numbers in brackets.
    part.0.len() + 16 + ranges.text_len()
}

impl Pages {
    /// No pages yet; each is to take at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Takes up a page that is kept. Returns its parts.
    pub fn load(&mut self, page: u32, version: u64, record: PageRecord) -> Vec<(Part, RangeSet)> {
        let mut out = Vec::new();
        let entry = self.pages.entry(page).or_default();
        entry.version = version;
        for (key, ranges) in record {
            let Some((job, chunk)) = key.rsplit_once('/') else {
                continue;
            };
            let Ok(chunk) = chunk.parse() else { continue };
            let part: Part = (job.to_string(), chunk);
            entry.hold(&part, ranges.clone());
            if let Some(other) = self.place.insert(part.clone(), page) {
                self.also.entry(part.clone()).or_default().insert(other);
            }
            out.push((part, ranges));
        }
        out
    }

    fn drop_part(&mut self, part: &Part) {
        if let Some(at) = self.place.remove(part) {
            self.drop_from(at, part);
        }
    }

    fn drop_from(&mut self, page: u32, part: &Part) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.drop_part(part);
        }
    }

    /// Drops a part from the further pages that it may be on.
    fn drop_others(&mut self, part: &Part) {
        for page in self.also.remove(part).unwrap_or_default() {
            self.drop_from(page, part);
        }
    }

    /// Drops a part from all pages that it may be on.
    fn drop_everywhere(&mut self, part: &Part) {
        self.drop_part(part);
        self.drop_others(part);
    }

    /// A job is over: its parts are left out of the next write of their pages.
    pub fn forget(&mut self, job: &str, chunks: u32) {
        for chunk in 0..chunks {
            self.drop_everywhere(&(job.to_string(), chunk));
        }
    }

    /// Gives changed parts their places and returns the pages to write, at
    /// most `most` of them and `bytes` in all. `ranges` tells a part's present content.
    pub fn write(
        &mut self,
        changed: &[Part],
        most: usize,
        bytes: usize,
        ranges: impl Fn(&Part) -> RangeSet,
    ) -> PageFlush {
        let mut flush = PageFlush::default();
        let mut chosen = BTreeSet::new();
        let mut total = 0;
        for part in changed {
            let content = ranges(part);
            let need = size(part, &content);
            let here = self.place.get(part).copied();
            let fits = |page: &Page, had: usize| page.bytes - had + need <= self.limit;
            let at = here
                .filter(|at| {
                    fits(&self.pages[at], size(part, &self.pages[at].parts[part]))
                        || self.pages[at].parts.len() == 1
                })
                .or_else(|| {
                    let better = |p: &(&u32, &Page)| !p.1.unsure && fits(p.1, 0);
                    self.pages.iter().find(better).map(|p| *p.0)
                })
                .unwrap_or_else(|| (0..).find(|n| !self.pages.contains_key(n)).unwrap_or(0));
            // Moved, the part goes from both pages in one transaction.
            let touched: BTreeSet<u32> = here.into_iter().chain([at]).collect();
            let unsure = |n: &u32| self.pages.get(n).is_some_and(|p| p.unsure);
            if touched.iter().any(unsure) {
                continue;
            }
            let new: Vec<u32> = touched.difference(&chosen).copied().collect();
            let more: usize = new
                .iter()
                .map(|n| self.pages.get(n).map_or(0, |p| p.bytes))
                .sum::<usize>()
                + need;
            if !chosen.is_empty() && (chosen.len() + new.len() > most || total + more > bytes) {
                continue;
            }
            total += more;
            chosen.extend(new);
            if let Some(from) = here.filter(|from| *from != at) {
                let held = self.pages[&from].parts[part].clone();
                flush.moved.push((part.clone(), from, held));
            }
            self.put(part, at, content);
            flush.parts.insert(part.clone());
        }
        flush.writes = chosen
            .into_iter()
            .map(|n| PageWrite {
                page: n,
                version: self.pages[&n].version,
                record: self.pages[&n]
                    .parts
                    .iter()
                    .map(|(p, ranges)| (name(p), ranges.clone()))
                    .collect(),
            })
            .collect();
        flush
    }

    fn put(&mut self, part: &Part, at: u32, ranges: RangeSet) {
        self.drop_part(part);
        if let Some(others) = self.also.get_mut(part) {
            others.remove(&at);
        }
        self.pages.entry(at).or_default().hold(part, ranges);
        self.place.insert(part.clone(), at);
    }

    /// Pages that hold nothing any more, to be removed.
    #[must_use]
    pub fn empty(&self, most: usize) -> Vec<PageWrite> {
        self.pages
            .iter()
            .filter(|(_, p)| p.parts.is_empty() && p.version > 0 && !p.unsure)
            .take(most)
            .map(|(n, p)| PageWrite {
                page: *n,
                version: p.version,
                record: PageRecord::new(),
            })
            .collect()
    }

    /// A write was made at `revision`.
    pub fn written(&mut self, write: &PageWrite, revision: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else {
            return;
        };
        page.version = if write.record.is_empty() { 0 } else { revision };
        if page.version == 0 && page.parts.is_empty() {
            self.pages.remove(&write.page);
        }
        let settled = |p: &&Part| self.place.get(*p) == Some(&write.page);
        let settled: Vec<Part> = self.also.keys().filter(settled).cloned().collect();
        for part in settled {
            self.drop_others(&part);
        }
    }

    /// The flush was not made: what it moved stays where it was. Or (`doubt`) it
    /// may have been, or failed for a page's version: then what it moved is on both
    /// pages, lest the next write of either drop what the other has not.
    pub fn failed(&mut self, flush: &PageFlush, doubt: bool) {
        for (part, from, held) in &flush.moved {
            if !self.place.contains_key(part) {
                continue;
            }
            if doubt {
                let page = self.pages.entry(*from).or_default();
                page.hold(part, held.clone());
                self.also.entry(part.clone()).or_default().insert(*from);
            } else {
                self.put(part, *from, held.clone());
            }
        }
        if doubt {
            self.doubt(&flush.writes);
        }
    }

    /// These writes may have been made, or failed for a page's version.
    pub fn doubt(&mut self, writes: &[PageWrite]) {
        for write in writes {
            if let Some(page) = self.pages.get_mut(&write.page) {
                page.unsure = true;
            }
        }
    }

    /// Keeps only the parts of jobs that are open.
    pub fn retain(&mut self, open: impl Fn(&str) -> bool) {
        let over: Vec<Part> = self.place.keys().filter(|p| !open(&p.0)).cloned().collect();
        for part in over {
            self.drop_everywhere(&part);
        }
    }

    /// Pages whose version must be read.
    #[must_use]
    pub fn unsure(&self) -> Vec<u32> {
        let unsure = self.pages.iter().filter(|p| p.1.unsure);
        unsure.map(|p| *p.0).collect()
    }

    /// A page's version was read. A late write of the old one can't land after
    /// the next, since both are conditioned on the version.
    pub fn read(&mut self, page: u32, version: u64) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.version = version;
            page.unsure = false;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMIT: usize = 220;

    /// What the state service has: record and version by page.
    type Kept = BTreeMap<u32, (PageRecord, u64)>;

    fn keep(kept: &mut Kept, write: &PageWrite, revision: u64) {
        if write.record.is_empty() {
            kept.remove(&write.page);
        } else {
            kept.insert(write.page, (write.record.clone(), revision));
        }
    }

    fn union(kept: &Kept) -> BTreeMap<String, BTreeSet<u32>> {
        let mut out: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
        for (record, _) in kept.values() {
            for (part, ranges) in record {
                out.entry(part.clone()).or_default().extend(ranges.iter());
            }
        }
        out
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
        // What was once durable stays so, whatever becomes of later writes and
        // wherever parts move; a page never outgrows its limit while it holds
        // several parts, also when not all that has changed is written at once: with
        // an array of 25,000 tasks a page was too large for the state service.
        #[test]
        fn what_is_durable_stays_so(steps in prop::collection::vec((0usize..6, 0u32..60, 0u8..5), 1..80)) {
            let mut pages = Pages::new(LIMIT);
            let mut kept = Kept::new();
            let mut finished: BTreeMap<Part, RangeSet> = BTreeMap::new();
            let mut dirty: BTreeSet<Part> = BTreeSet::new();
            let mut durable: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
            let mut revision = 10;
            for (job, task, what) in steps {
                let part: Part = (format!("req-{job}"), 0);
                finished.entry(part.clone()).or_default().insert(task * 2);
                dirty.insert(part);
                let changed: Vec<Part> = dirty.iter().cloned().collect();
                let flush = pages.write(&changed, 3, if task % 2 == 0 { 300 } else { 10_000 }, |p| finished[p].clone());
                prop_assert!(flush.writes.len() <= 3);
                for write in &flush.writes {
                    let bytes = serde_json::to_string(&write.record).unwrap().len();
                    prop_assert!(bytes <= LIMIT + 8 || write.record.len() == 1, "{bytes} bytes");
                    let version = kept.get(&write.page).map_or(0, |k| k.1);
                    prop_assert_eq!(write.version, version, "conditioned on what is there");
                }
                revision += 1;
                // 0: refused. 1: made, but the answer is lost. Else made.
                if what > 0 {
                    for write in &flush.writes { keep(&mut kept, write, revision); }
                }
                match what {
                    0 => pages.failed(&flush, false),
                    1 => {
                        pages.failed(&flush, true);
                        for page in pages.unsure() {
                            let version = kept.get(&page).map_or(0, |k| k.1);
                            pages.read(page, version);
                        }
                    }
                    _ => {
                        for write in &flush.writes { pages.written(write, revision); }
                        for part in &flush.parts {
                            durable.insert(name(part), finished[part].iter().collect());
                            dirty.remove(part);
                        }
                    }
                }
                for page in pages.pages.values() {
                    let bytes: usize = page.parts.iter().map(|(p, r)| size(p, r)).sum();
                    prop_assert_eq!(page.bytes, bytes);
                }
                let there = union(&kept);
                for (part, tasks) in &durable {
                    prop_assert!(there.get(part).is_some_and(|t| t.is_superset(tasks)), "{part} lost tasks");
                }
            }
        }
    }

    #[test]
    fn pages_of_jobs_that_are_over_are_removed() {
        let mut pages = Pages::new(LIMIT);
        let part: Part = ("req-1".into(), 0);
        let flush = pages.write(std::slice::from_ref(&part), 3, 1000, |_| RangeSet::first(3));
        pages.written(&flush.writes[0], 7);
        assert!(pages.empty(9).is_empty());
        pages.forget("req-1", 1);
        let empty = pages.empty(9);
        assert_eq!((empty.len(), empty[0].version), (1, 7));
        pages.written(&empty[0], 8);
        assert!(pages.empty(9).is_empty());
    }
}
