//! Completion pages under refused, in-doubt and successful writes.

use super::*;
use proptest::prelude::*;

const LIMIT: usize = 220;

/// What the key-value store has: record and version by page.
type StoredPages = BTreeMap<u32, (CompletionPageRecord, u64)>;

fn apply_write(stored: &mut StoredPages, write: &PageWrite, revision: u64) {
    if write.record.is_empty() {
        stored.remove(&write.page);
    } else {
        stored.insert(write.page, (write.record.clone(), revision));
    }
}

fn union(stored: &StoredPages) -> BTreeMap<String, BTreeSet<u32>> {
    let mut out: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
    for (record, _) in stored.values() {
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
    // an array of 25,000 tasks a page was too large for the key-value store.
    #[test]
    fn durable_completions_survive_failed_and_indeterminate_flushes(steps in prop::collection::vec((0usize..6, 0u32..60, 0u8..5), 1..80)) {
        let mut pages = CompletionPages::new(LIMIT);
        let mut stored = StoredPages::new();
        let mut finished: BTreeMap<ChunkId, RangeSet> = BTreeMap::new();
        let mut unsaved: BTreeSet<ChunkId> = BTreeSet::new();
        let mut durable: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
        let mut revision = 10;
        for (job, task, what) in steps {
            let part = ChunkId { job: format!("req-{job}"), chunk: 0 };
            finished.entry(part.clone()).or_default().insert(task * 2);
            unsaved.insert(part);
            let changed: Vec<ChunkId> = unsaved.iter().cloned().collect();
            let flush = pages.prepare_flush(&changed, 3, if task % 2 == 0 { 300 } else { 10_000 }, |p| finished[p].clone());
            prop_assert!(flush.writes.len() <= 3);
            for write in &flush.writes {
                let bytes = serde_json::to_string(&write.record).unwrap().len();
                prop_assert!(bytes <= LIMIT + 8 || write.record.len() == 1, "{bytes} bytes");
                let version = stored.get(&write.page).map_or(0, |k| k.1);
                prop_assert_eq!(write.version, version, "conditioned on what is there");
            }
            revision += 1;
            // 0: refused. 1: made, but the answer is lost. Else made.
            if what > 0 {
                for write in &flush.writes { apply_write(&mut stored, write, revision); }
            }
            match what {
                0 => pages.mark_flush_failed(&flush, false),
                1 => {
                    pages.mark_flush_failed(&flush, true);
                    for page in pages.indeterminate_pages() {
                        let version = stored.get(&page).map_or(0, |k| k.1);
                        pages.resolve_version(page, version);
                    }
                }
                _ => {
                    for write in &flush.writes { pages.mark_written(write, revision); }
                    for part in &flush.chunks {
                        durable.insert(part.record_key(), finished[part].iter().collect());
                        unsaved.remove(part);
                    }
                }
            }
            for page in pages.pages.values() {
                let bytes: usize = page.chunks.iter().map(|(p, r)| p.max_encoded_len(r)).sum();
                prop_assert_eq!(page.bytes, bytes);
            }
            let there = union(&stored);
            for (part, tasks) in &durable {
                prop_assert!(there.get(part).is_some_and(|t| t.is_superset(tasks)), "{part} lost tasks");
            }
        }
    }
}

#[test]
fn pages_without_chunks_are_removed_after_their_job_is_forgotten() {
    let mut pages = CompletionPages::new(LIMIT);
    let part = ChunkId {
        job: "req-1".into(),
        chunk: 0,
    };
    let flush = pages.prepare_flush(std::slice::from_ref(&part), 3, 1000, |_| RangeSet::first(3));
    pages.mark_written(&flush.writes[0], 7);
    assert!(pages.empty_page_removals(9).is_empty());
    pages.forget_job("req-1", 1);
    let empty = pages.empty_page_removals(9);
    assert_eq!((empty.len(), empty[0].version), (1, 7));
    pages.mark_written(&empty[0], 8);
    assert!(pages.empty_page_removals(9).is_empty());
}
