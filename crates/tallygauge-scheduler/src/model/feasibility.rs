//! Whether a submitted job can ever run with the configured teams and machine types.

use super::{EPSILON, TeamConfig, task_fits};
use std::collections::BTreeSet;
use tallygauge_protocol::{
    cloud::MachineType,
    users::{JobSpec, Shape},
};

/// Why a job can never run. The message is shown to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InfeasibleJob {
    /// The job names a team that is not configured.
    #[error("no team is called '{0}'")]
    UnknownTeam(String),
    /// One task of an array job, or all tasks of a service, exceed the quota of the team.
    #[error("needs more than the limit of team '{0}'")]
    ExceedsTeamQuota(String),
    /// No machine type that fits a task is both allowed by the job and offered in a zone
    /// that the job allows.
    #[error("a task fits no allowed machine type and zone")]
    NoFittingMachine,
    /// The job asks both for a single zone and for a spread over zones.
    #[error("all tasks in one zone and at most half of them there can't both be")]
    SpreadInOneZone,
    /// The job asks for a spread over zones but fits only one.
    #[error("spread over zones, but only one zone is allowed")]
    SpreadWithoutZones,
}

impl InfeasibleJob {
    /// Whether the job could run if the cloud offered other machine types.
    #[must_use]
    pub fn depends_on_machine_types(&self) -> bool {
        match self {
            Self::NoFittingMachine | Self::SpreadWithoutZones => true,
            Self::UnknownTeam(_) | Self::ExceedsTeamQuota(_) | Self::SpreadInOneZone => false,
        }
    }
}

/// Checks whether a job can ever run with these teams and machine types.
///
/// # Errors
/// Returns the reason if the job can never run.
pub fn check_feasible(
    spec: &JobSpec,
    teams: &[TeamConfig],
    machine_types: &[MachineType],
) -> Result<(), InfeasibleJob> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(InfeasibleJob::UnknownTeam(spec.team.clone()));
    };
    if exceeds_quota(spec, team) {
        return Err(InfeasibleJob::ExceedsTeamQuota(spec.team.clone()));
    }
    let zones = fitting_zones(spec, machine_types);
    if zones.is_empty() {
        return Err(InfeasibleJob::NoFittingMachine);
    }
    let must_spread = spec.spread && spec.tasks > 1 && spec.shape == Shape::Service;
    if must_spread && spec.one_zone {
        return Err(InfeasibleJob::SpreadInOneZone);
    }
    if must_spread && zones.len() < 2 {
        return Err(InfeasibleJob::SpreadWithoutZones);
    }
    Ok(())
}

/// Whether the resources that the job needs at the same time (for one task of an array
/// job, for all tasks of a service) exceed the team's quota.
fn exceeds_quota(spec: &JobSpec, team: &TeamConfig) -> bool {
    let concurrent_tasks = if spec.shape == Shape::Service {
        f64::from(spec.tasks)
    } else {
        1.0
    };
    spec.cpus * concurrent_tasks > team.max_cpus + EPSILON
        || spec.gpus * concurrent_tasks > team.max_gpus + EPSILON
}

/// Zones that the job allows and that offer a machine type which the job allows and one
/// of its tasks fits.
fn fitting_zones<'a>(spec: &JobSpec, machine_types: &'a [MachineType]) -> BTreeSet<&'a str> {
    let mut zones: BTreeSet<&str> = BTreeSet::new();
    for machine_type in machine_types {
        let is_allowed = spec
            .machine_types
            .as_ref()
            .is_none_or(|names| names.contains(&machine_type.name));
        let (cpus, gpus) = (machine_type.cpus, machine_type.gpus);
        if is_allowed && task_fits(spec, cpus, gpus, machine_type.memory_gb) {
            zones.extend(machine_type.zones.iter().map(String::as_str));
        }
    }
    if let Some(zone) = &spec.zone {
        zones.retain(|candidate| candidate == zone);
    }
    zones
}
