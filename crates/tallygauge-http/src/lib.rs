//! Server side of HTTP connections: accepts connections, closes idle ones, and reads request
//! bodies up to a maximum size. The daemon serves its user and worker interfaces with it.

mod body;
mod connections;

pub use body::bounded_body;
pub use connections::serve_clients;
