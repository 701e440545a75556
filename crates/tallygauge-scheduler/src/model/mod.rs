//! The entities that the cluster state is made of: jobs, workers, attempts, their
//! durable records, and the settings.

mod attempt;
mod capacity;
mod config;
mod feasibility;
mod job;
mod records;
mod worker;

pub use attempt::*;
pub use capacity::*;
pub use config::*;
pub use feasibility::*;
pub use job::*;
pub use records::*;
pub use worker::*;
