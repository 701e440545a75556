//! Which jobs are kept from a machine by its reservations. The mapping and the rental plan ask
//! the same question.

use crate::{cluster_state::ClusterState, minimum_share::state::Reservation, model::*};

/// Why a job is placed ahead of others.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Precedence {
    /// The job has a priority claim.
    pub(crate) has_claim: bool,
    /// Its first task is overdue.
    pub(crate) is_start_overdue: bool,
}

impl Precedence {
    /// Whether the job is placed ahead of those ordered by utility per time.
    pub(crate) fn is_any(self) -> bool {
        self.has_claim || self.is_start_overdue
    }
}

/// What a machine is reserved for.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MachineReservations {
    /// The reservation for jobs with a priority claim, if any.
    pub(crate) for_claims: Option<Reservation>,
    /// CPUs of the smallest task that may start on the machine, if it is reserved for jobs
    /// whose first task is overdue.
    pub(crate) for_starts: Option<f64>,
}

impl MachineReservations {
    /// Whether a job with this precedence may place a task of `cpus` CPUs on the machine.
    pub(crate) fn allow(&self, cpus: f64, precedence: Precedence) -> bool {
        let claims_allow = self
            .for_claims
            .is_none_or(|reservation| precedence.is_any() && cpus >= reservation.min_task_cpus);
        let starts_allow = self
            .for_starts
            .is_none_or(|min_cpus| precedence.is_start_overdue && cpus >= min_cpus);
        claims_allow && starts_allow
    }
}

impl ClusterState {
    /// What a machine is reserved for.
    pub(crate) fn reservations_on(&self, machine: &str) -> MachineReservations {
        MachineReservations {
            for_claims: self.minimum_share.reserved.get(machine).copied(),
            for_starts: self.start_deadlines.reserved.get(machine).copied(),
        }
    }

    /// Why a job is placed ahead of others at this time.
    pub(crate) fn precedence_of(&self, job: &Job) -> Precedence {
        let id = job.spec.id.as_str();
        Precedence {
            has_claim: self.minimum_share.claims.contains_key(id),
            is_start_overdue: self.start_claim_order(id).is_some(),
        }
    }
}
