//! Completed tasks as durable records: the completed ranges of many jobs share a
//! few records ("pages"), so that saving the progress of a hundred jobs takes a
//! handful of writes.
//!
//! A job's tasks are divided into chunks of consecutive task numbers; each chunk is
//! on one page. Every write of a page is conditioned on its version. While a write
//! is in doubt (sent, but its result unknown) its pages are not written again until
//! their versions were read.

mod page;

use crate::range_set::RangeSet;
use page::CompletionPage;
pub use page::{ChunkId, CompletionPageRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A page to be written, with its condition.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// Number of the page.
    pub page: u32,
    /// Version that the stored record must have.
    pub version: u64,
    /// New content; empty: the record is removed.
    pub record: CompletionPageRecord,
}

/// A chunk that a flush moves to another page.
#[derive(Debug, Clone, PartialEq)]
struct MovedChunk {
    chunk: ChunkId,
    from_page: u32,
    /// Its content on that page.
    completed: RangeSet,
}

/// Pages to be written in one transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageFlush {
    /// The pages.
    pub writes: Vec<PageWrite>,
    /// Changed chunks on them.
    pub chunks: BTreeSet<ChunkId>,
    moved: Vec<MovedChunk>,
}

/// Pages and bytes that a flush being prepared takes, and their limits.
struct FlushBudget {
    max_pages: usize,
    max_bytes: usize,
    pages: BTreeSet<u32>,
    bytes: usize,
}

impl FlushBudget {
    fn new(max_pages: usize, max_bytes: usize) -> Self {
        Self {
            max_pages,
            max_bytes,
            pages: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Adds these pages and bytes if they are within the limits; the first ones
    /// always are. Returns whether they were added.
    fn try_reserve(&mut self, new_pages: &[u32], bytes: usize) -> bool {
        let exceeds_limits = self.pages.len() + new_pages.len() > self.max_pages
            || self.bytes + bytes > self.max_bytes;
        if !self.pages.is_empty() && exceeds_limits {
            return false;
        }
        self.bytes += bytes;
        self.pages.extend(new_pages);
        true
    }
}

/// The assignment of chunks to pages, as the leader knows it.
///
/// Invariants: a page is empty or within the size limit or has a single chunk;
/// `page_by_chunk` has every chunk that is on a page; a chunk is on further pages
/// only as long as `possible_pages` lists them.
#[derive(Debug, Default)]
pub struct CompletionPages {
    pages: BTreeMap<u32, CompletionPage>,
    page_by_chunk: HashMap<ChunkId, u32>,
    /// Further pages that a chunk may be on: a flush that was to move it is in
    /// doubt. It stays on both until the new page was certainly written.
    possible_pages: HashMap<ChunkId, BTreeSet<u32>>,
    max_page_bytes: usize,
}

impl CompletionPages {
    /// No pages yet; each takes at most `max_page_bytes` unless a single chunk is
    /// larger.
    #[must_use]
    pub fn new(max_page_bytes: usize) -> Self {
        Self {
            max_page_bytes,
            ..Self::default()
        }
    }

    /// Adds a stored page, at the start of a term. Returns its chunks.
    pub fn restore(
        &mut self,
        page: u32,
        version: u64,
        record: CompletionPageRecord,
    ) -> Vec<(ChunkId, RangeSet)> {
        let mut restored = Vec::new();
        let entry = self.pages.entry(page).or_default();
        entry.version = version;
        for (key, completed) in record {
            let Some(chunk) = ChunkId::from_record_key(&key) else {
                continue;
            };
            entry.insert_chunk(&chunk, completed.clone());
            if let Some(other) = self.page_by_chunk.insert(chunk.clone(), page) {
                self.possible_pages
                    .entry(chunk.clone())
                    .or_default()
                    .insert(other);
            }
            restored.push((chunk, completed));
        }
        restored
    }

    /// Chooses pages for changed chunks and returns the pages to write: at most
    /// `max_pages` with `max_bytes` in all, but always those of the first chunk.
    /// `completed` gives a chunk's present content. Chunks that exceed the limits,
    /// and those on pages that are in doubt, are left for a later flush.
    pub fn prepare_flush(
        &mut self,
        changed: &[ChunkId],
        max_pages: usize,
        max_bytes: usize,
        completed: impl Fn(&ChunkId) -> RangeSet,
    ) -> PageFlush {
        let mut flush = PageFlush::default();
        let mut budget = FlushBudget::new(max_pages, max_bytes);
        for chunk in changed {
            let content = completed(chunk);
            let bytes = chunk.max_encoded_len(&content);
            let source = self.page_by_chunk.get(chunk).copied();
            let target = self.choose_page(chunk, source, bytes);
            // A chunk that moves is removed from its page in the same transaction.
            let touched: BTreeSet<u32> = source.into_iter().chain([target]).collect();
            if self.is_any_indeterminate(&touched)
                || !self.try_reserve(&mut budget, &touched, bytes)
            {
                continue;
            }
            if let Some(from_page) = source.filter(|page| *page != target) {
                flush.moved.push(MovedChunk {
                    chunk: chunk.clone(),
                    from_page,
                    completed: self.pages[&from_page].chunks[chunk].clone(),
                });
            }
            self.place_chunk(chunk, target, content);
            flush.chunks.insert(chunk.clone());
        }
        flush.writes = budget
            .pages
            .into_iter()
            .map(|page| self.page_write(page))
            .collect();
        flush
    }

    /// The page for a chunk of this encoded length: the one it is on if it still
    /// fits or is alone there, else the first with enough space, else a new one.
    fn choose_page(&self, chunk: &ChunkId, source: Option<u32>, bytes: usize) -> u32 {
        let fits = |page: &CompletionPage, replaced_bytes: usize| {
            page.bytes - replaced_bytes + bytes <= self.max_page_bytes
        };
        let can_stay = |number: &u32| {
            let page = &self.pages[number];
            fits(page, chunk.max_encoded_len(&page.chunks[chunk])) || page.chunks.len() == 1
        };
        source
            .filter(can_stay)
            .or_else(|| {
                let mut pages = self.pages.iter();
                let has_space =
                    |(_, page): &(&u32, &CompletionPage)| !page.indeterminate && fits(page, 0);
                pages.find(has_space).map(|(number, _)| *number)
            })
            .unwrap_or_else(|| self.first_unused_page())
    }

    fn first_unused_page(&self) -> u32 {
        (0..)
            .find(|number| !self.pages.contains_key(number))
            .unwrap_or(0)
    }

    fn is_any_indeterminate(&self, pages: &BTreeSet<u32>) -> bool {
        pages.iter().any(|number| {
            self.pages
                .get(number)
                .is_some_and(|page| page.indeterminate)
        })
    }

    /// Adds the pages that a chunk touches to a flush, if its limits allow.
    fn try_reserve(
        &self,
        budget: &mut FlushBudget,
        touched: &BTreeSet<u32>,
        chunk_bytes: usize,
    ) -> bool {
        let new_pages: Vec<u32> = touched.difference(&budget.pages).copied().collect();
        let page_bytes: usize = new_pages
            .iter()
            .map(|number| self.pages.get(number).map_or(0, |page| page.bytes))
            .sum();
        budget.try_reserve(&new_pages, page_bytes + chunk_bytes)
    }

    fn page_write(&self, number: u32) -> PageWrite {
        let page = &self.pages[&number];
        PageWrite {
            page: number,
            version: page.version,
            record: page.record(),
        }
    }

    fn place_chunk(&mut self, chunk: &ChunkId, page: u32, completed: RangeSet) {
        self.remove_chunk_from_its_page(chunk);
        if let Some(others) = self.possible_pages.get_mut(chunk) {
            others.remove(&page);
        }
        self.pages
            .entry(page)
            .or_default()
            .insert_chunk(chunk, completed);
        self.page_by_chunk.insert(chunk.clone(), page);
    }

    fn remove_chunk_from_its_page(&mut self, chunk: &ChunkId) {
        if let Some(page) = self.page_by_chunk.remove(chunk) {
            self.remove_chunk_from(page, chunk);
        }
    }

    fn remove_chunk_from(&mut self, page: u32, chunk: &ChunkId) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.remove_chunk(chunk);
        }
    }

    /// Removes a chunk from the further pages that it may be on.
    fn remove_chunk_elsewhere(&mut self, chunk: &ChunkId) {
        for page in self.possible_pages.remove(chunk).unwrap_or_default() {
            self.remove_chunk_from(page, chunk);
        }
    }

    /// Removes a chunk from all pages that it may be on.
    fn remove_chunk_everywhere(&mut self, chunk: &ChunkId) {
        self.remove_chunk_from_its_page(chunk);
        self.remove_chunk_elsewhere(chunk);
    }

    /// A job is over: its first `chunks` chunks are left out of the next write of
    /// their pages.
    pub fn forget_job(&mut self, job: &str, chunks: u32) {
        for chunk in 0..chunks {
            self.remove_chunk_everywhere(&ChunkId {
                job: job.to_string(),
                chunk,
            });
        }
    }

    /// Keeps only the chunks of jobs that are open.
    pub fn retain_jobs(&mut self, is_open: impl Fn(&str) -> bool) {
        let closed: Vec<ChunkId> = self
            .page_by_chunk
            .keys()
            .filter(|chunk| !is_open(&chunk.job))
            .cloned()
            .collect();
        for chunk in closed {
            self.remove_chunk_everywhere(&chunk);
        }
    }

    /// Writes that remove pages without chunks, at most `limit`.
    #[must_use]
    pub fn empty_page_removals(&self, limit: usize) -> Vec<PageWrite> {
        self.pages
            .iter()
            .filter(|(_, page)| page.chunks.is_empty() && page.version > 0 && !page.indeterminate)
            .take(limit)
            .map(|(number, _)| self.page_write(*number))
            .collect()
    }

    /// A write succeeded at `revision`.
    pub fn mark_written(&mut self, write: &PageWrite, revision: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else {
            return;
        };
        page.version = if write.record.is_empty() { 0 } else { revision };
        if page.version == 0 && page.chunks.is_empty() {
            self.pages.remove(&write.page);
        }
        let is_settled = |chunk: &&ChunkId| self.page_by_chunk.get(*chunk) == Some(&write.page);
        let settled: Vec<ChunkId> = self
            .possible_pages
            .keys()
            .filter(is_settled)
            .cloned()
            .collect();
        for chunk in settled {
            self.remove_chunk_elsewhere(&chunk);
        }
    }

    /// A flush failed: the chunks that it moved go back to their pages. If it is
    /// `indeterminate` (it may have succeeded, or failed for a page's version) they are
    /// kept on both pages, so that the next write of neither drops what the other
    /// does not have.
    pub fn mark_flush_failed(&mut self, flush: &PageFlush, indeterminate: bool) {
        for moved in &flush.moved {
            let chunk = &moved.chunk;
            if !self.page_by_chunk.contains_key(chunk) {
                continue;
            }
            if indeterminate {
                let page = self.pages.entry(moved.from_page).or_default();
                page.insert_chunk(chunk, moved.completed.clone());
                self.possible_pages
                    .entry(chunk.clone())
                    .or_default()
                    .insert(moved.from_page);
            } else {
                self.place_chunk(chunk, moved.from_page, moved.completed.clone());
            }
        }
        if indeterminate {
            self.mark_indeterminate(&flush.writes);
        }
    }

    /// These writes may have succeeded, or failed for a page's version.
    pub fn mark_indeterminate(&mut self, writes: &[PageWrite]) {
        for write in writes {
            if let Some(page) = self.pages.get_mut(&write.page) {
                page.indeterminate = true;
            }
        }
    }

    /// Pages whose version must be read.
    #[must_use]
    pub fn indeterminate_pages(&self) -> Vec<u32> {
        self.pages
            .iter()
            .filter(|(_, page)| page.indeterminate)
            .map(|(number, _)| *number)
            .collect()
    }

    /// A page's version was read. A late write conditioned on the old version can't
    /// succeed after the next one, which is conditioned on this version.
    pub fn resolve_version(&mut self, page: u32, version: u64) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.version = version;
            page.indeterminate = false;
        }
    }
}

#[cfg(test)]
mod tests;
