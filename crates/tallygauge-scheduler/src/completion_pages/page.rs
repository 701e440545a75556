//! Chunks of completed tasks, and the pages that hold them.

use crate::range_set::RangeSet;
use std::collections::BTreeMap;

/// A chunk of consecutive tasks of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChunkId {
    /// Id of the job.
    pub job: String,
    /// Number of the chunk within the job, from 0.
    pub chunk: u32,
}

impl ChunkId {
    /// The chunk's key in a page's record, `JOB/CHUNK`.
    pub(super) fn record_key(&self) -> String {
        format!("{}/{}", self.job, self.chunk)
    }

    /// Reads a key of a page's record.
    pub(super) fn from_record_key(key: &str) -> Option<Self> {
        let (job, chunk) = key.rsplit_once('/')?;
        Some(Self {
            job: job.to_string(),
            chunk: chunk.parse().ok()?,
        })
    }

    /// Upper bound of the bytes that the chunk takes in a page's record.
    pub(super) fn max_encoded_len(&self, completed: &RangeSet) -> usize {
        // Quotes, colon and comma; every range two numbers in brackets.
        self.job.len() + 16 + completed.max_encoded_len()
    }
}

/// A page's content as it is stored: completed ranges by `JOB/CHUNK`.
pub type CompletionPageRecord = BTreeMap<String, RangeSet>;

/// A page as the leader knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct CompletionPage {
    /// Version of the stored record; 0: there is none.
    pub(super) version: u64,
    /// A write whose result is unknown may have changed it: its version must be
    /// read before the next write.
    pub(super) indeterminate: bool,
    /// Chunks with the content they had when they were last placed here. A write
    /// includes chunks that it does not change, and those must have the size that
    /// was accounted for.
    pub(super) chunks: BTreeMap<ChunkId, RangeSet>,
    /// Sum of the encoded lengths of the chunks.
    pub(super) bytes: usize,
}

impl CompletionPage {
    /// Puts a chunk with this content here, in place of what it had.
    pub(super) fn insert_chunk(&mut self, chunk: &ChunkId, completed: RangeSet) {
        self.remove_chunk(chunk);
        self.bytes += chunk.max_encoded_len(&completed);
        self.chunks.insert(chunk.clone(), completed);
    }

    pub(super) fn remove_chunk(&mut self, chunk: &ChunkId) {
        if let Some(completed) = self.chunks.remove(chunk) {
            self.bytes -= chunk.max_encoded_len(&completed);
        }
    }

    pub(super) fn record(&self) -> CompletionPageRecord {
        self.chunks
            .iter()
            .map(|(chunk, completed)| (chunk.record_key(), completed.clone()))
            .collect()
    }
}
