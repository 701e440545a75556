//! Wire formats of tallygauge.
//!
//! One module per counterpart. Rust names are the field's standard terms; the
//! words on the wire are given by `serde(rename)`. Durations are seconds and
//! amounts are decimal numbers unless the name says otherwise. Unknown fields
//! are ignored everywhere, and a nullable field may be left out.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// The peer service between controllers (gRPC).
#[allow(missing_docs)]
pub mod peer {
    tonic::include_proto!("tallygauge.peer.v1");
}

/// Largest request body that any interface takes, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;
