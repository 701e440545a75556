//! Where the leader's records are in the key-value store.

use super::*;

#[test]
fn leader_records_have_the_stored_key_prefix() {
    assert_eq!(KEY_PREFIX, "s/");
}
