//! Keys of the leader's records in the key-value store.

use super::stored::KEY_PREFIX;

#[test]
fn key_prefix_of_the_stored_leader_records_is_unchanged() {
    assert_eq!(KEY_PREFIX, "s/");
}
