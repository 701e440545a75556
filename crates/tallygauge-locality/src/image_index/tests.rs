use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn names(count: u32) -> Vec<String> {
    (0..count).map(|n| format!("host-{n:06}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_is_left_is_what_the_successor_believes(
        held in prop::collection::btree_set((0u32..200, 0u8..20), 0..400), bytes in 400usize..8000, most in 1usize..5,
    ) {
        let names = names(200);
        let images: Vec<String> = (0..20).map(|n| format!("img-{n}")).collect();
        let holdings: Vec<CachedImage> = held.iter().map(|(m, i)| CachedImage {
            machine: &names[*m as usize], image: &images[usize::from(*i)],
            gb: f64::from(*i) + 0.5, fetch_s: f64::from(*i) * 2.0,
        }).collect();
        let parts = ImageIndex::shards(&holdings, 5.0, bytes, most);
        prop_assert!(parts.len() <= most);
        let mut atlas = ImageIndex::default();
        for part in &parts {
            let text = serde_json::to_string(part).unwrap();
            prop_assert!(text.len() <= bytes, "{} of {}", text.len(), bytes);
            prop_assert_eq!(atlas.restore(&serde_json::from_str(&text).unwrap()), 0);
        }
        let mut believed = BTreeSet::new();
        for (n, name) in names.iter().enumerate() {
            for (image, gb) in atlas.take_images_of(name) {
                let i: u8 = image[4..].parse().unwrap();
                prop_assert_eq!(gb, f64::from(i) + 0.5);
                believed.insert((n as u32, i));
            }
        }
        // Nothing is made up, whole images are left out at most, and with
        // room enough only those not worth it are.
        prop_assert!(believed.is_subset(&held));
        for i in 0..20u8 {
            let all: Vec<_> = held.iter().filter(|h| h.1 == i).collect();
            let some = believed.iter().filter(|h| h.1 == i).count();
            prop_assert!(some == 0 || some == all.len());
            if bytes * most > 20_000 { prop_assert_eq!(some == all.len() || all.is_empty(), i > 2 || all.is_empty()); }
        }
    }
}

#[test]
fn torn_parts_and_odd_names_are_passed_over() {
    let holdings = ["host-7", "host-8", "odd", "rack-1"].map(|machine| CachedImage {
        machine,
        image: "llm",
        gb: 60.0,
        fetch_s: 120.0,
    });
    let mut parts = ImageIndex::shards(&holdings, 1.0, 4000, 2);
    assert_eq!(parts.len(), 1);
    let mut atlas = ImageIndex::default();
    assert_eq!(atlas.restore(&parts[0]), 0);
    assert_eq!(atlas.machine_count(), 2, "those with the usual names");
    parts[0].images[0].2 = "AAAA".into();
    parts[0].images.push(("x".into(), f64::NAN, String::new()));
    let mut atlas = ImageIndex::default();
    assert_eq!((atlas.restore(&parts[0]), atlas.machine_count()), (2, 0));
    assert!(ImageIndex::shards(&[], 1.0, 4000, 2).is_empty());
}
