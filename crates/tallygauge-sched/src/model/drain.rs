//! A drain: machines that get no new work until it is lifted.

use super::Worker;

/// What a drain is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// One machine.
    Machine(String),
    /// All machines in a zone, also those to come.
    Zone(String),
    /// All machines of a type, also those to come.
    Type(String),
}

impl Scope {
    /// Whether it covers a machine.
    #[must_use]
    pub fn covers(&self, worker: &Worker) -> bool {
        match self {
            Scope::Machine(name) => *name == worker.name,
            Scope::Zone(zone) => *zone == worker.zone,
            Scope::Type(machine_type) => *machine_type == worker.machine_type,
        }
    }
}

/// A drain that is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// Which machines.
    pub scope: Scope,
    /// Time by which nothing may run there any more; `None`: what runs ends by
    /// itself.
    pub stop_at: Option<f64>,
    /// Empty machines stay, instead of being returned.
    pub keep: bool,
}

/// How far a drain has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainProgress {
    /// Machines that it covers.
    pub machines: usize,
    /// Those with nothing on them.
    pub empty: usize,
    /// Tasks that are still on them.
    pub tasks: usize,
}
