//! Tests of completion pages with failed, indeterminate and successful writes.

use super::*;
use proptest::prelude::*;

const MAX_PAGE_BYTES: usize = 220;

/// Simulated key-value store: record and version by page number.
type StoredPages = BTreeMap<u32, (CompletionPageRecord, u64)>;

fn apply_write(stored: &mut StoredPages, write: &PageWrite, revision: u64) {
    if write.record.is_empty() {
        stored.remove(&write.page);
    } else {
        stored.insert(write.page, (write.record.clone(), revision));
    }
}

fn stored_tasks_by_chunk(stored: &StoredPages) -> BTreeMap<String, BTreeSet<u32>> {
    let mut tasks_by_chunk: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
    for (record, _) in stored.values() {
        for (chunk_key, ranges) in record {
            tasks_by_chunk
                .entry(chunk_key.clone())
                .or_default()
                .extend(ranges.iter());
        }
    }
    tasks_by_chunk
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]
    // Completed tasks that were stored must stay stored, whatever the outcome of later
    // writes and whichever pages their chunks move to.
    //
    // A page with several chunks must stay within its size limit, also if a flush writes
    // only some of the changed chunks. Regression: with an array of 25,000 tasks, a page
    // became too large for the key-value store.
    #[test]
    fn durable_completions_survive_failed_and_indeterminate_flushes(steps in prop::collection::vec((0usize..6, 0u32..60, 0u8..5), 1..80)) {
        let mut pages = CompletionPages::new(MAX_PAGE_BYTES);
        let mut stored = StoredPages::new();
        let mut completed: BTreeMap<ChunkId, RangeSet> = BTreeMap::new();
        let mut unsaved: BTreeSet<ChunkId> = BTreeSet::new();
        let mut durable: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
        let mut revision = 10;
        for (job, task, outcome) in steps {
            let chunk = ChunkId { job: format!("req-{job}"), chunk: 0 };
            completed.entry(chunk.clone()).or_default().insert(task * 2);
            unsaved.insert(chunk);
            let changed: Vec<ChunkId> = unsaved.iter().cloned().collect();
            let flush = pages.prepare_flush(&changed, 3, if task % 2 == 0 { 300 } else { 10_000 }, |chunk| completed[chunk].clone());
            prop_assert!(flush.writes.len() <= 3);
            for write in &flush.writes {
                let bytes = serde_json::to_string(&write.record).unwrap().len();
                prop_assert!(bytes <= MAX_PAGE_BYTES + 8 || write.record.len() == 1, "{bytes} bytes");
                let version = stored.get(&write.page).map_or(0, |page| page.1);
                prop_assert_eq!(write.version, version, "the write is not conditioned on the stored version");
            }
            revision += 1;
            // Outcome 0: the write fails. 1: it succeeds, but its response is lost. Others: it
            // succeeds.
            if outcome > 0 {
                for write in &flush.writes { apply_write(&mut stored, write, revision); }
            }
            match outcome {
                0 => pages.mark_flush_failed(&flush, false),
                1 => {
                    pages.mark_flush_failed(&flush, true);
                    for page in pages.indeterminate_pages() {
                        let version = stored.get(&page).map_or(0, |page| page.1);
                        pages.resolve_version(page, version);
                    }
                }
                _ => {
                    for write in &flush.writes { pages.mark_written(write, revision); }
                    for chunk in &flush.chunks {
                        durable.insert(chunk.record_key(), completed[chunk].iter().collect());
                        unsaved.remove(chunk);
                    }
                }
            }
            for page in pages.pages.values() {
                let bytes: usize = page.chunks.iter().map(|(chunk, completed)| chunk.max_encoded_len(completed)).sum();
                prop_assert_eq!(page.bytes, bytes);
            }
            let stored_tasks = stored_tasks_by_chunk(&stored);
            for (chunk_key, tasks) in &durable {
                prop_assert!(stored_tasks.get(chunk_key).is_some_and(|stored| stored.is_superset(tasks)), "completed tasks of {chunk_key} are no longer stored");
            }
        }
    }
}

#[test]
fn pages_without_chunks_are_removed_after_their_job_is_forgotten() {
    let mut pages = CompletionPages::new(MAX_PAGE_BYTES);
    let id = ChunkId {
        job: "req-1".into(),
        chunk: 0,
    };
    let flush = pages.prepare_flush(std::slice::from_ref(&id), 3, 1000, |_| RangeSet::first(3));
    pages.mark_written(&flush.writes[0], 7);
    assert!(pages.empty_page_removals(9).is_empty());
    pages.remove_job("req-1", 1);
    let removals = pages.empty_page_removals(9);
    assert_eq!((removals.len(), removals[0].version), (1, 7));
    pages.mark_written(&removals[0], 8);
    assert!(pages.empty_page_removals(9).is_empty());
}
