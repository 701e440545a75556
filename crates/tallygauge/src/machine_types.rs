//! The machine types: what a machine of each type provides, costs and in which zones the
//! cloud offers it.
//!
//! The cloud alone defines them. So that the cluster goes on while the cloud cannot be
//! asked, the leader records them in the key-value store, and a controller that has no
//! types from the cloud uses the recorded ones.
//!
//! - [`MachineCatalogue`] holds the types that this controller knows.
//! - `loader` reads them, from the cloud or from the record, and keeps them current.
//! - `record` is the stored form, `shards` distributes the types over several records.
//! - `recorder` writes the record while this controller leads.

mod catalogue;
mod loader;
mod record;
mod recorder;
mod shards;
#[cfg(test)]
mod tests;

pub use catalogue::{MachineCatalogue, ReadTime};
pub(crate) use loader::{are_current, refresh_interval, run as keep_types_current};
pub use record::MachineTypesRecord;
pub(crate) use record::RecordedType;
pub(crate) use recorder::run as record_types;
pub(crate) use shards::StoredTypes;
