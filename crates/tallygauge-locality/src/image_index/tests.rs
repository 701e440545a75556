use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn names(count: u32) -> Vec<String> {
    (0..count).map(|n| format!("host-{n:06}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_next_leader_restores_what_was_stored(
        held in prop::collection::btree_set((0u32..200, 0u8..20), 0..400), max_bytes in 400usize..8000, max_shards in 1usize..5,
    ) {
        let names = names(200);
        let images: Vec<String> = (0..20).map(|n| format!("img-{n}")).collect();
        let cached: Vec<CachedImage> = held.iter().map(|(m, i)| CachedImage {
            machine: &names[*m as usize], image: &images[usize::from(*i)],
            gb: f64::from(*i) + 0.5, fetch_s: f64::from(*i) * 2.0,
        }).collect();
        let shards = ImageIndex::build_shards(&cached, 5.0, max_bytes, max_shards);
        prop_assert!(shards.len() <= max_shards);
        let mut index = ImageIndex::default();
        for shard in &shards {
            let text = serde_json::to_string(shard).unwrap();
            prop_assert!(text.len() <= max_bytes, "{} of {}", text.len(), max_bytes);
            prop_assert_eq!(index.restore(&serde_json::from_str(&text).unwrap()), 0);
        }
        let mut restored = BTreeSet::new();
        for (n, name) in names.iter().enumerate() {
            for (image, gb) in index.take_images_of(name) {
                let i: u8 = image[4..].parse().unwrap();
                prop_assert_eq!(gb, f64::from(i) + 0.5);
                restored.insert((n as u32, i));
            }
        }
        // Only what was cached is restored, an image with all its machines or not at
        // all, and with enough bytes only images below the least fetch time are missing.
        prop_assert!(restored.is_subset(&held));
        for i in 0..20u8 {
            let all: Vec<_> = held.iter().filter(|h| h.1 == i).collect();
            let some = restored.iter().filter(|h| h.1 == i).count();
            prop_assert!(some == 0 || some == all.len());
            if max_bytes * max_shards > 20_000 { prop_assert_eq!(some == all.len() || all.is_empty(), i > 2 || all.is_empty()); }
        }
    }
}

#[test]
fn corrupt_entries_and_uncommon_names_are_skipped() {
    let cached = ["host-7", "host-8", "odd", "rack-1"].map(|machine| CachedImage {
        machine,
        image: "llm",
        gb: 60.0,
        fetch_s: 120.0,
    });
    let mut shards = ImageIndex::build_shards(&cached, 1.0, 4000, 2);
    assert_eq!(shards.len(), 1);
    let mut index = ImageIndex::default();
    assert_eq!(index.restore(&shards[0]), 0);
    assert_eq!(
        index.machine_count(),
        2,
        "those with the most common form of name"
    );
    shards[0].images[0].machines = "AAAA".into();
    shards[0].images.push(ImageEntry {
        name: "x".into(),
        gb: f64::NAN,
        machines: String::new(),
    });
    let mut index = ImageIndex::default();
    assert_eq!((index.restore(&shards[0]), index.machine_count()), (2, 0));
    assert!(ImageIndex::build_shards(&[], 1.0, 4000, 2).is_empty());
}
