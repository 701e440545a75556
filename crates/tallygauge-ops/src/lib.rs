//! The operators' interface: who may ask, what they may ask, how much of the
//! process that may take, and the listings that are served.
//!
//! [`Operation`] is a request that was understood, [`Backend`] carries it out,
//! [`serve`] is what callers meet. Listings come from a [`Snapshot`] that is
//! published now and then and shares its structure with the one before, so that
//! nobody who lists holds a lock that the scheduler needs.

mod access;
mod listen;
mod metrics;
mod operation;
mod server;
mod share;
mod snapshot;

pub use access::{Access, Caller};
pub use listen::{accept, bounded_body};
pub use metrics::Metrics;
pub use operation::{JobQuery, MachineQuery, Operation, Refusal};
pub use server::{Answer, Backend, Performing, serve};
pub use share::Share;
pub use snapshot::{Published, Snapshot};
