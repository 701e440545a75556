//! Message types of all interfaces of tallygauge.
//!
//! There is one module for each party that a controller communicates with: [`users`],
//! [`workers`], the [`cloud`], the key-value store ([`state`]) and other controllers
//! ([`peer`]).
//!
//! - Rust identifiers use standard terms. Only these modules map them to the names in the
//!   JSON, with `serde(rename)`.
//! - Durations are in seconds and amounts are decimal numbers unless the name says
//!   otherwise.
//! - Unknown fields are ignored in every message, and optional fields may be omitted.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// Messages, client and server of the gRPC service between controllers, generated from
/// `proto/peer.proto`.
#[allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "generated code has no documentation beyond the comments of the proto file"
)]
pub mod peer {
    tonic::include_proto!("tallygauge.peer.v1");
}

/// Maximum size of a request body on every interface, bytes.
pub const MAX_REQUEST_BODY_BYTES: usize = 64 * 1024;
