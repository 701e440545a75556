//! Where kept records lie at the state service.

use super::*;

#[test]
fn kept_records_lie_under_the_stored_prefix() {
    assert_eq!(PREFIX, "s/");
}
