//! Errors for stored records that cannot be decoded.

use super::*;

#[test]
fn decoding_a_malformed_record_fails_with_an_error_that_contains_its_key() {
    let row = KeyValue {
        key: "o/req-1".into(),
        value: serde_json::json!("text"),
        version: 1,
    };
    let error = decode_value::<u64>(row).unwrap_err();
    assert!(matches!(&error, ReadError::MalformedRecord { key, .. } if key == "o/req-1"));
    assert!(error.to_string().contains("o/req-1"));
}
