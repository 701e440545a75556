//! Server side of HTTP connections: accepts them, closes idle ones, and reads request
//! bodies of bounded size. The daemon's user and worker interfaces are served through it.

mod body;
mod connections;

pub use body::bounded_body;
pub use connections::serve_clients;
