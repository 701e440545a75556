//! Message types of all interfaces of tallygauge.
//!
//! One module for each counterpart: [`users`], [`workers`], the [`cloud`], the
//! key-value store ([`state`]) and other controllers ([`peer`]). Rust names are the
//! field's standard terms; the names in the JSON are mapped in these modules alone,
//! by `serde(rename)`. Durations are seconds and amounts are decimal numbers unless
//! the name says otherwise. Unknown fields are ignored everywhere, and an optional
//! field may be left out.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// Messages, client and server of the service between controllers (gRPC), generated
/// from `proto/peer.proto`.
#[allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "generated code has only the comments of the proto file"
)]
pub mod peer {
    tonic::include_proto!("tallygauge.peer.v1");
}

/// Largest request body that any interface takes, bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
