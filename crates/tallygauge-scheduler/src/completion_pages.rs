//! Durable records of completed tasks.
//!
//! The completed tasks of many jobs share a few records ("pages"), so that saving the
//! progress of a hundred jobs takes a handful of writes:
//!
//! - The tasks of a job are divided into chunks of consecutive task numbers. Each chunk
//!   is on one page.
//! - Every write of a page is conditioned on the version of the stored page.
//! - After a write of which the outcome is indeterminate (it was sent, but its result is
//!   not known), its pages are not written again until their versions were read.

mod page;

use crate::range_set::RangeSet;
use page::CompletionPage;
pub use page::{ChunkId, CompletionPageRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A write of a page, conditioned on the version of the stored page.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// Number of the page.
    pub page: u32,
    /// Version that the stored record must have; 0: there must be none.
    pub version: u64,
    /// New content; if empty, the write removes the record.
    pub record: CompletionPageRecord,
}

/// A chunk that a flush moves to another page.
#[derive(Debug, Clone, PartialEq)]
struct MovedChunk {
    chunk: ChunkId,
    from_page: u32,
    /// Completed tasks of the chunk as they were on `from_page`.
    completed: RangeSet,
}

/// Writes of pages that are to be committed in one transaction.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageFlush {
    /// Writes of the changed pages.
    pub writes: Vec<PageWrite>,
    /// Changed chunks whose present content these writes save.
    pub chunks: BTreeSet<ChunkId>,
    /// Chunks that these writes move from one page to another.
    moved: Vec<MovedChunk>,
}

/// Pages and bytes of a flush that is being prepared, with their limits.
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

    /// Adds pages and bytes to the flush unless they would exceed a limit. While the flush
    /// has no pages, the limits do not apply. Returns whether they were added.
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
/// Invariants:
///
/// - A page is empty, or within the size limit, or has a single chunk.
/// - `page_by_chunk` has every chunk that is on a page.
/// - A chunk is on pages other than its own only as long as `possible_pages` lists them.
#[derive(Debug, Default)]
pub struct CompletionPages {
    pages: BTreeMap<u32, CompletionPage>,
    page_by_chunk: HashMap<ChunkId, u32>,
    /// Pages that a chunk may be on besides the one in `page_by_chunk`, because the outcome
    /// of a flush that moves it is indeterminate. The chunk stays on all of them until its
    /// page in `page_by_chunk` was certainly written.
    possible_pages: HashMap<ChunkId, BTreeSet<u32>>,
    max_page_bytes: usize,
}

impl CompletionPages {
    /// Creates an assignment without pages. A page takes at most `max_page_bytes` unless it
    /// has a single chunk that is larger.
    #[must_use]
    pub fn new(max_page_bytes: usize) -> Self {
        Self {
            max_page_bytes,
            ..Self::default()
        }
    }

    /// Adds a stored page when a new leader recovers the cluster state. Returns the chunks
    /// of the page with their completed tasks.
    pub fn restore(
        &mut self,
        page: u32,
        version: u64,
        record: CompletionPageRecord,
    ) -> Vec<(ChunkId, RangeSet)> {
        let mut restored_chunks = Vec::new();
        let restored_page = self.pages.entry(page).or_default();
        restored_page.version = version;
        for (key, completed) in record {
            let Some(chunk) = ChunkId::from_record_key(&key) else {
                continue;
            };
            restored_page.insert_chunk(&chunk, completed.clone());
            if let Some(other_page) = self.page_by_chunk.insert(chunk.clone(), page) {
                self.possible_pages
                    .entry(chunk.clone())
                    .or_default()
                    .insert(other_page);
            }
            restored_chunks.push((chunk, completed));
        }
        restored_chunks
    }

    /// Assigns changed chunks to pages and returns the pages to write.
    ///
    /// These are at most `max_pages` pages with `max_bytes` in all; the pages of the first
    /// chunk that can be written are included even if they exceed these limits. `content_of`
    /// gives the completed tasks of a chunk. Chunks that would exceed the limits are left
    /// for a later flush, and so are those on pages of which the version is indeterminate.
    pub fn prepare_flush(
        &mut self,
        changed: &[ChunkId],
        max_pages: usize,
        max_bytes: usize,
        content_of: impl Fn(&ChunkId) -> RangeSet,
    ) -> PageFlush {
        let mut flush = PageFlush::default();
        let mut budget = FlushBudget::new(max_pages, max_bytes);
        for chunk in changed {
            let content = content_of(chunk);
            let bytes = chunk.max_encoded_len(&content);
            let source = self.page_by_chunk.get(chunk).copied();
            let target = self.choose_page(chunk, source, bytes);
            // The transaction that writes a moved chunk also removes it from its former page.
            let affected_pages: BTreeSet<u32> = source.into_iter().chain([target]).collect();
            if self.is_any_indeterminate(&affected_pages)
                || !self.try_reserve_for_chunk(&mut budget, &affected_pages, bytes)
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

    /// Chooses a page for a chunk that takes at most `bytes`: the page `source` that it is
    /// on if the chunk still fits or is alone there, else the first page with enough space,
    /// else a new page.
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
        pages
            .iter()
            .any(|page| self.pages.get(page).is_some_and(|page| page.indeterminate))
    }

    /// Adds the pages that the write of a chunk changes to a flush, if its limits allow.
    fn try_reserve_for_chunk(
        &self,
        budget: &mut FlushBudget,
        affected_pages: &BTreeSet<u32>,
        chunk_bytes: usize,
    ) -> bool {
        let new_pages: Vec<u32> = affected_pages.difference(&budget.pages).copied().collect();
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
        self.remove_chunk_from_assigned_page(chunk);
        if let Some(possible_pages) = self.possible_pages.get_mut(chunk) {
            possible_pages.remove(&page);
        }
        self.pages
            .entry(page)
            .or_default()
            .insert_chunk(chunk, completed);
        self.page_by_chunk.insert(chunk.clone(), page);
    }

    fn remove_chunk_from_assigned_page(&mut self, chunk: &ChunkId) {
        if let Some(page) = self.page_by_chunk.remove(chunk) {
            self.remove_chunk_from(page, chunk);
        }
    }

    fn remove_chunk_from(&mut self, page: u32, chunk: &ChunkId) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.remove_chunk(chunk);
        }
    }

    /// Removes a chunk from the pages that it may be on besides its assigned page.
    fn remove_chunk_from_possible_pages(&mut self, chunk: &ChunkId) {
        for page in self.possible_pages.remove(chunk).unwrap_or_default() {
            self.remove_chunk_from(page, chunk);
        }
    }

    /// Removes a chunk from its assigned page and all others that it may be on.
    fn remove_chunk_everywhere(&mut self, chunk: &ChunkId) {
        self.remove_chunk_from_assigned_page(chunk);
        self.remove_chunk_from_possible_pages(chunk);
    }

    /// Removes the first `chunks` chunks of a job that has ended. The next write of their
    /// pages leaves them out.
    pub fn remove_job(&mut self, job: &str, chunks: u32) {
        for chunk in 0..chunks {
            self.remove_chunk_everywhere(&ChunkId {
                job: job.to_string(),
                chunk,
            });
        }
    }

    /// Removes the chunks of jobs for which `is_open` is false.
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

    /// Returns at most `limit` writes that remove stored pages without chunks.
    #[must_use]
    pub fn empty_page_removals(&self, limit: usize) -> Vec<PageWrite> {
        self.pages
            .iter()
            .filter(|(_, page)| page.chunks.is_empty() && page.version > 0 && !page.indeterminate)
            .take(limit)
            .map(|(number, _)| self.page_write(*number))
            .collect()
    }

    /// Records that a write was committed at `revision`.
    pub fn mark_written(&mut self, write: &PageWrite, revision: u64) {
        let Some(page) = self.pages.get_mut(&write.page) else {
            return;
        };
        page.version = if write.record.is_empty() { 0 } else { revision };
        if page.version == 0 && page.chunks.is_empty() {
            self.pages.remove(&write.page);
        }
        let is_on_written_page =
            |chunk: &&ChunkId| self.page_by_chunk.get(*chunk) == Some(&write.page);
        let written_chunks: Vec<ChunkId> = self
            .possible_pages
            .keys()
            .filter(is_on_written_page)
            .cloned()
            .collect();
        for chunk in written_chunks {
            self.remove_chunk_from_possible_pages(&chunk);
        }
    }

    /// Records that a flush failed or that its outcome is `indeterminate`.
    ///
    /// If it failed, the chunks that it was to move are assigned to their former pages
    /// again. An `indeterminate` flush may have succeeded, or failed because the version of
    /// a page differed: the chunks are kept on both pages, so that the next write of one
    /// page does not drop a chunk that is not stored on the other.
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

    /// Records that writes may have succeeded, or may have failed because the version of a
    /// page differed.
    pub fn mark_indeterminate(&mut self, writes: &[PageWrite]) {
        for write in writes {
            if let Some(page) = self.pages.get_mut(&write.page) {
                page.indeterminate = true;
            }
        }
    }

    /// Returns the pages of which the version must be read before they are written again.
    #[must_use]
    pub fn indeterminate_pages(&self) -> Vec<u32> {
        self.pages
            .iter()
            .filter(|(_, page)| page.indeterminate)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Records the version of a page that was read from the store.
    ///
    /// The next write is conditioned on this version. After it, a delayed write that is
    /// conditioned on the old version can't succeed.
    pub fn resolve_version(&mut self, page: u32, version: u64) {
        if let Some(page) = self.pages.get_mut(&page) {
            page.version = version;
            page.indeterminate = false;
        }
    }
}

#[cfg(test)]
mod tests;
