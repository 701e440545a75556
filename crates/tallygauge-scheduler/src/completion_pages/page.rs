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
    /// Key of the chunk in the record of a page, `JOB/CHUNK`.
    pub(super) fn record_key(&self) -> String {
        format!("{}/{}", self.job, self.chunk)
    }

    /// Parses a key of the record of a page; `None` if it is not of the form `JOB/CHUNK`.
    pub(super) fn from_record_key(key: &str) -> Option<Self> {
        let (job, chunk) = key.rsplit_once('/')?;
        Some(Self {
            job: job.to_string(),
            chunk: chunk.parse().ok()?,
        })
    }

    /// Upper bound of the bytes that the chunk takes in the JSON of a page.
    pub(super) fn max_encoded_len(&self, completed: &RangeSet) -> usize {
        // 16 bytes for the slash, the chunk number, the quotes, the colon and the comma.
        self.job.len() + 16 + completed.max_encoded_len()
    }
}

/// Content of a page as it is stored: completed tasks by `JOB/CHUNK`.
pub type CompletionPageRecord = BTreeMap<String, RangeSet>;

/// A page as the leader knows it.
#[derive(Debug, Clone, Default)]
pub(super) struct CompletionPage {
    /// Version of the stored record; 0: no record is stored.
    pub(super) version: u64,
    /// Whether a write with an indeterminate outcome may have changed the stored record.
    /// Its version must be read before the next write.
    pub(super) indeterminate: bool,
    /// Completed tasks of each chunk as of the last time it was placed on this page, not
    /// its present ones: a write also includes chunks that it does not change, and their
    /// size must be the one that `bytes` counts.
    pub(super) chunks: BTreeMap<ChunkId, RangeSet>,
    /// Sum of the maximum encoded lengths of the chunks.
    pub(super) bytes: usize,
}

impl CompletionPage {
    /// Adds a chunk, or replaces its content if it is on the page.
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
