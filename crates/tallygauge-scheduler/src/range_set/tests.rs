//! Test of range sets against a `BTreeSet` as the reference.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn range_set_matches_a_btree_set(steps in prop::collection::vec((any::<bool>(), 0u32..40), 0..120)) {
        let (mut reference, mut range_set) = (BTreeSet::new(), RangeSet::default());
        for (is_insert, number) in steps {
            if is_insert {
                prop_assert_eq!(range_set.insert(number), reference.insert(number));
            } else {
                prop_assert_eq!(range_set.remove(number), reference.remove(&number));
            }
            prop_assert_eq!(range_set.iter().collect::<Vec<_>>(), reference.iter().copied().collect::<Vec<_>>());
            prop_assert_eq!(range_set.len() as usize, reference.len());
            prop_assert_eq!(range_set.within(10, 20).iter().collect::<Vec<_>>(), reference.range(10..20).copied().collect::<Vec<_>>());
            prop_assert_eq!(range_set.nth(number), reference.iter().nth(number as usize).copied());
            prop_assert!(serde_json::to_string(&range_set).unwrap().len() <= range_set.max_encoded_len());
            prop_assert_eq!(range_set.contains(number), reference.contains(&number));
        }
    }
}
