use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn machine_names(count: u32) -> Vec<String> {
    (0..count).map(|n| format!("host-{n:06}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn next_leader_restores_stored_images(
        held_images in prop::collection::btree_set((0u32..200, 0u8..20), 0..400), max_bytes in 400usize..8000, max_shards in 1usize..5,
    ) {
        let machine_names = machine_names(200);
        let images: Vec<String> = (0..20).map(|n| format!("img-{n}")).collect();
        let cached: Vec<CachedImage> = held_images.iter().map(|(m, i)| CachedImage {
            machine: &machine_names[*m as usize], image: &images[usize::from(*i)],
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
        for (n, name) in machine_names.iter().enumerate() {
            for image in index.take_images_of(name) {
                let i: u8 = image.name[4..].parse().unwrap();
                prop_assert_eq!(image.gb, f64::from(i) + 0.5);
                restored.insert((n as u32, i));
            }
        }
        // Only cached images are restored, each either for all its machines or for none. If the
        // shards have enough bytes, only images below the minimum fetch time are missing.
        prop_assert!(restored.is_subset(&held_images));
        for i in 0..20u8 {
            let held_on: Vec<_> = held_images.iter().filter(|held| held.1 == i).collect();
            let restored_count = restored.iter().filter(|held| held.1 == i).count();
            prop_assert!(restored_count == 0 || restored_count == held_on.len());
            if max_bytes * max_shards > 20_000 { prop_assert_eq!(restored_count == held_on.len() || held_on.is_empty(), i > 2 || held_on.is_empty()); }
        }
    }
}

#[test]
fn corrupt_entries_and_uncommon_machine_names_are_skipped() {
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
        "only machines with the most common name format are included"
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
