//! The parts of the cluster picture.

mod attempt;
mod capacity;
mod config;
mod drain;
mod job;
mod records;
mod worker;

pub use attempt::*;
pub use capacity::*;
pub use config::*;
pub use drain::*;
pub use job::*;
pub use records::*;
pub use worker::*;
