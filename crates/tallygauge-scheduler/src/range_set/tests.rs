//! A range set against a plain set of numbers.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn range_set_matches_a_btree_set(steps in prop::collection::vec((any::<bool>(), 0u32..40), 0..120)) {
        let (mut plain, mut real) = (BTreeSet::new(), RangeSet::default());
        for (add, n) in steps {
            if add {
                prop_assert_eq!(real.insert(n), plain.insert(n));
            } else {
                prop_assert_eq!(real.remove(n), plain.remove(&n));
            }
            prop_assert_eq!(real.iter().collect::<Vec<_>>(), plain.iter().copied().collect::<Vec<_>>());
            prop_assert_eq!(real.len() as usize, plain.len());
            prop_assert_eq!(real.within(10, 20).iter().collect::<Vec<_>>(), plain.range(10..20).copied().collect::<Vec<_>>());
            prop_assert_eq!(real.nth(n), plain.iter().nth(n as usize).copied());
            prop_assert!(serde_json::to_string(&real).unwrap().len() <= real.max_encoded_len());
            prop_assert_eq!(real.contains(n), plain.contains(&n));
        }
    }
}
