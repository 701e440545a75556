//! Entities of the cluster state (jobs, workers, attempts), their durable records, and
//! the settings of the scheduler.

mod attempt;
mod capacity;
mod config;
mod feasibility;
mod image_cache;
mod job;
mod records;
mod return_decisions;
mod room;
mod worker;

pub use attempt::*;
pub use capacity::*;
pub use config::*;
pub use feasibility::*;
pub use image_cache::*;
pub use job::*;
pub use records::*;
pub use return_decisions::*;
pub(crate) use room::*;
pub use worker::*;
