//! Serves HTTP connections: accepts them, closes idle ones, and reads request
//! bodies of bounded size.

mod listen;

pub use listen::{accept, bounded_body};
