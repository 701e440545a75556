//! How finished tasks are kept: many jobs' ranges share a few records, so that
//! the progress of a hundred jobs costs a handful of writes.

use crate::range_set::RangeSet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A part of a job's finished tasks: job, and number of the chunk.
pub type ChunkId = (String, u32);

/// A page's content as it is kept: ranges by `JOB/CHUNK`.
pub type CompletionPageRecord = BTreeMap<String, RangeSet>;

#[derive(Debug, Clone, Default)]
struct CompletionPage {
    version: u64,
    /// An unanswered write may have changed it: its version must be read.
    in_doubt: bool,
    /// Parts and their content as last put here: what a write takes along of parts
    /// that it does not change must have the size that was reckoned with.
    chunks: BTreeMap<ChunkId, RangeSet>,
    bytes: usize,
}

impl CompletionPage {
    /// Holds a part with this content, and no other of it.
    fn insert_chunk(&mut self, part: &ChunkId, ranges: RangeSet) {
        self.remove_chunk(part);
        self.bytes += size(part, &ranges);
        self.chunks.insert(part.clone(), ranges);
    }

    fn remove_chunk(&mut self, part: &ChunkId) {
        if let Some(ranges) = self.chunks.remove(part) {
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
    pub record: CompletionPageRecord,
}

/// Pages to be written together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageFlush {
    /// The pages.
    pub writes: Vec<PageWrite>,
    /// Changed parts on them.
    pub chunks: BTreeSet<ChunkId>,
    /// Parts that this moves, with the pages they come from and what these held.
    moved: Vec<(ChunkId, u32, RangeSet)>,
}

/// Which part is on which page.
#[derive(Debug, Default)]
pub struct CompletionPages {
    pages: BTreeMap<u32, CompletionPage>,
    place: HashMap<ChunkId, u32>,
    /// Further pages that a part may be on: it was to move, and nobody knows if it
    /// did. It stays on both until the new page was surely written.
    also: HashMap<ChunkId, BTreeSet<u32>>,
    limit: usize,
}

fn name((job, chunk): &ChunkId) -> String {
    format!("{job}/{chunk}")
}

fn size(part: &ChunkId, ranges: &RangeSet) -> usize {
    // Quotes, colon and comma; every range two numbers in brackets.
    part.0.len() + 16 + ranges.encoded_len()
}

impl CompletionPages {
    /// No pages yet; each is to take at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Takes up a page that is kept. Returns its parts.
    pub fn restore(
        &mut self,
        page: u32,
        version: u64,
        record: CompletionPageRecord,
    ) -> Vec<(ChunkId, RangeSet)> {
        let mut out = Vec::new();
        let entry = self.pages.entry(page).or_default();
        entry.version = version;
        for (key, ranges) in record {
            let Some((job, chunk)) = key.rsplit_once('/') else {
                continue;
            };
            let Ok(chunk) = chunk.parse() else { continue };
            let part: ChunkId = (job.to_string(), chunk);
            entry.insert_chunk(&part, ranges.clone());
            if let Some(other) = self.place.insert(part.clone(), page) {
                self.also.entry(part.clone()).or_default().insert(other);
            }
            out.push((part, ranges));
        }
        out
    }

    fn drop_part(&mut self, part: &ChunkId) {
        if let Some(at) = self.place.remove(part) {
            self.remove_chunk_from(at, part);
        }
    }

    fn remove_chunk_from(&mut self, page: u32, part: &ChunkId) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.remove_chunk(part);
        }
    }

    /// Drops a part from the further pages that it may be on.
    fn remove_chunk_elsewhere(&mut self, part: &ChunkId) {
        for page in self.also.remove(part).unwrap_or_default() {
            self.remove_chunk_from(page, part);
        }
    }

    /// Drops a part from all pages that it may be on.
    fn remove_chunk_everywhere(&mut self, part: &ChunkId) {
        self.drop_part(part);
        self.remove_chunk_elsewhere(part);
    }

    /// A job is over: its parts are left out of the next write of their pages.
    pub fn forget_job(&mut self, job: &str, chunks: u32) {
        for chunk in 0..chunks {
            self.remove_chunk_everywhere(&(job.to_string(), chunk));
        }
    }

    /// Gives changed parts their places and returns the pages to write, at
    /// most `most` of them and `bytes` in all. `ranges` tells a part's present content.
    pub fn prepare_flush(
        &mut self,
        changed: &[ChunkId],
        most: usize,
        bytes: usize,
        ranges: impl Fn(&ChunkId) -> RangeSet,
    ) -> PageFlush {
        let mut flush = PageFlush::default();
        let mut chosen = BTreeSet::new();
        let mut total = 0;
        for part in changed {
            let content = ranges(part);
            let need = size(part, &content);
            let here = self.place.get(part).copied();
            let fits = |page: &CompletionPage, had: usize| page.bytes - had + need <= self.limit;
            let at = here
                .filter(|at| {
                    fits(&self.pages[at], size(part, &self.pages[at].chunks[part]))
                        || self.pages[at].chunks.len() == 1
                })
                .or_else(|| {
                    let better = |p: &(&u32, &CompletionPage)| !p.1.in_doubt && fits(p.1, 0);
                    self.pages.iter().find(better).map(|p| *p.0)
                })
                .unwrap_or_else(|| (0..).find(|n| !self.pages.contains_key(n)).unwrap_or(0));
            // Moved, the part goes from both pages in one transaction.
            let touched: BTreeSet<u32> = here.into_iter().chain([at]).collect();
            let unsure = |n: &u32| self.pages.get(n).is_some_and(|p| p.in_doubt);
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
                let held = self.pages[&from].chunks[part].clone();
                flush.moved.push((part.clone(), from, held));
            }
            self.place_chunk(part, at, content);
            flush.chunks.insert(part.clone());
        }
        flush.writes = chosen
            .into_iter()
            .map(|n| PageWrite {
                page: n,
                version: self.pages[&n].version,
                record: self.pages[&n]
                    .chunks
                    .iter()
                    .map(|(p, ranges)| (name(p), ranges.clone()))
                    .collect(),
            })
            .collect();
        flush
    }

    fn place_chunk(&mut self, part: &ChunkId, at: u32, ranges: RangeSet) {
        self.drop_part(part);
        if let Some(others) = self.also.get_mut(part) {
            others.remove(&at);
        }
        self.pages.entry(at).or_default().insert_chunk(part, ranges);
        self.place.insert(part.clone(), at);
    }

    /// Pages that hold nothing any more, to be removed.
    #[must_use]
    pub fn empty_pages(&self, most: usize) -> Vec<PageWrite> {
        self.pages
            .iter()
            .filter(|(_, p)| p.chunks.is_empty() && p.version > 0 && !p.in_doubt)
            .take(most)
            .map(|(n, p)| PageWrite {
                page: *n,
                version: p.version,
                record: CompletionPageRecord::new(),
            })
            .collect()
    }

    /// A write was made at `revision`.
    pub fn mark_written(&mut self, write: &PageWrite, revision: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else {
            return;
        };
        page.version = if write.record.is_empty() { 0 } else { revision };
        if page.version == 0 && page.chunks.is_empty() {
            self.pages.remove(&write.page);
        }
        let settled = |p: &&ChunkId| self.place.get(*p) == Some(&write.page);
        let settled: Vec<ChunkId> = self.also.keys().filter(settled).cloned().collect();
        for part in settled {
            self.remove_chunk_elsewhere(&part);
        }
    }

    /// The flush was not made: what it moved stays where it was. Or (`doubt`) it
    /// may have been, or failed for a page's version: then what it moved is on both
    /// pages, lest the next write of either drop what the other has not.
    pub fn mark_flush_failed(&mut self, flush: &PageFlush, doubt: bool) {
        for (part, from, held) in &flush.moved {
            if !self.place.contains_key(part) {
                continue;
            }
            if doubt {
                let page = self.pages.entry(*from).or_default();
                page.insert_chunk(part, held.clone());
                self.also.entry(part.clone()).or_default().insert(*from);
            } else {
                self.place_chunk(part, *from, held.clone());
            }
        }
        if doubt {
            self.mark_in_doubt(&flush.writes);
        }
    }

    /// These writes may have been made, or failed for a page's version.
    pub fn mark_in_doubt(&mut self, writes: &[PageWrite]) {
        for write in writes {
            if let Some(page) = self.pages.get_mut(&write.page) {
                page.in_doubt = true;
            }
        }
    }

    /// Keeps only the parts of jobs that are open.
    pub fn retain_jobs(&mut self, open: impl Fn(&str) -> bool) {
        let over: Vec<ChunkId> = self.place.keys().filter(|p| !open(&p.0)).cloned().collect();
        for part in over {
            self.remove_chunk_everywhere(&part);
        }
    }

    /// Pages whose version must be read.
    #[must_use]
    pub fn pages_in_doubt(&self) -> Vec<u32> {
        let unsure = self.pages.iter().filter(|p| p.1.in_doubt);
        unsure.map(|p| *p.0).collect()
    }

    /// A page's version was read. A late write of the old one can't land after
    /// the next, since both are conditioned on the version.
    pub fn resolve_version(&mut self, page: u32, version: u64) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.version = version;
            page.in_doubt = false;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMIT: usize = 220;

    /// What the state service has: record and version by page.
    type Kept = BTreeMap<u32, (CompletionPageRecord, u64)>;

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
            let mut pages = CompletionPages::new(LIMIT);
            let mut kept = Kept::new();
            let mut finished: BTreeMap<ChunkId, RangeSet> = BTreeMap::new();
            let mut dirty: BTreeSet<ChunkId> = BTreeSet::new();
            let mut durable: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
            let mut revision = 10;
            for (job, task, what) in steps {
                let part: ChunkId = (format!("req-{job}"), 0);
                finished.entry(part.clone()).or_default().insert(task * 2);
                dirty.insert(part);
                let changed: Vec<ChunkId> = dirty.iter().cloned().collect();
                let flush = pages.prepare_flush(&changed, 3, if task % 2 == 0 { 300 } else { 10_000 }, |p| finished[p].clone());
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
                    0 => pages.mark_flush_failed(&flush, false),
                    1 => {
                        pages.mark_flush_failed(&flush, true);
                        for page in pages.pages_in_doubt() {
                            let version = kept.get(&page).map_or(0, |k| k.1);
                            pages.resolve_version(page, version);
                        }
                    }
                    _ => {
                        for write in &flush.writes { pages.mark_written(write, revision); }
                        for part in &flush.chunks {
                            durable.insert(name(part), finished[part].iter().collect());
                            dirty.remove(part);
                        }
                    }
                }
                for page in pages.pages.values() {
                    let bytes: usize = page.chunks.iter().map(|(p, r)| size(p, r)).sum();
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
        let mut pages = CompletionPages::new(LIMIT);
        let part: ChunkId = ("req-1".into(), 0);
        let flush =
            pages.prepare_flush(std::slice::from_ref(&part), 3, 1000, |_| RangeSet::first(3));
        pages.mark_written(&flush.writes[0], 7);
        assert!(pages.empty_pages(9).is_empty());
        pages.forget_job("req-1", 1);
        let empty = pages.empty_pages(9);
        assert_eq!((empty.len(), empty[0].version), (1, 7));
        pages.mark_written(&empty[0], 8);
        assert!(pages.empty_pages(9).is_empty());
    }
}
