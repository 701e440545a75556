//! The platform's settings (JSON): the deployment that this controller is part of,
//! parsed and checked field by field.
//!
//! The names and forms in the file are the platform's. They are mapped to the
//! field's terms here, once, by serde. Durations are seconds; unknown fields are
//! ignored.

use crate::settings_error::{SettingsError, SettingsFile, SettingsFileError, require_positive};
use serde::Deserialize;
use std::{collections::HashMap, net::SocketAddr, path::Path};
use tallygauge_scheduler::{ServiceLevelObjective, TeamConfig};

/// Fewest writes that a transaction must be allowed.
const MIN_WRITES_PER_TRANSACTION: usize = 4;

/// The platform's settings for one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node_name: String,
    /// Zone that this controller runs in.
    #[serde(rename = "area")]
    pub zone: String,
    /// Address on which users, workers and health checks are served (HTTP).
    pub client_listen: SocketAddr,
    /// Address on which the other controllers are served (gRPC).
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds")]
    pub peers: Vec<Peer>,
    /// Addresses of the services that controllers call.
    pub services: Services,
    /// What all controllers of the deployment share.
    pub deployment: Deployment,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// Address on which it serves the other controllers (gRPC).
    pub addr: SocketAddr,
}

/// Addresses of the services that controllers call.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud, which rents out machines.
    pub cloud: SocketAddr,
    /// The consensus-backed key-value store ("state service").
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// What all controllers of a deployment share.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    #[serde(rename = "count")]
    pub controller_count: u32,
    /// Quotas of the teams.
    pub teams: Vec<TeamQuota>,
    /// Service-level objectives on starting and finishing jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timeouts of workers.
    pub workers: WorkerTimeouts,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What this process may use.
    #[serde(rename = "quota")]
    pub resource_limits: ResourceLimits,
}

/// Guaranteed share and limit of a team. All amounts are 0 or more.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamQuota {
    /// Name of the team, unique in the deployment.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Limit on CPUs in use; 0: no limit.
    #[serde(rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    #[serde(rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Limit on GPUs in use; 0: no limit.
    #[serde(default)]
    #[serde(rename = "gpus_max")]
    pub max_gpus: f64,
}

/// A service-level objective. Kinds that this version does not know are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind: `deadline`, `finished`, or one that is ignored.
    pub kind: String,
    /// Class of jobs that it is for; `None`: it is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// Bound of a `finished` objective, seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Bound of a `deadline` objective, as a multiple of the job's own deadline;
    /// `None`: 1.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Timeouts of workers, seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimeouts {
    /// Time between two heartbeats, seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Length of a worker's lease, seconds; at least twice the heartbeat interval.
    pub lease_s: f64,
    /// Time until the tasks of a cancelled job must be gone, seconds; above the
    /// lease.
    #[serde(rename = "cancel_s")]
    pub cancel_timeout_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second, of all controllers together.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Writes a second, of all controllers together.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// Largest value, KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Most writes in one transaction, at least 4.
    #[serde(rename = "txn_ops")]
    pub max_writes_per_transaction: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Seconds by which the machine list may be out of date.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct ResourceLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory, MiB.
    #[serde(rename = "memory_mb")]
    pub memory_mib: f64,
    /// Open connections.
    #[serde(rename = "sockets")]
    pub connections: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsFileError`], whose one line names the file, the field and what is wrong.
    pub fn load(path: &Path) -> Result<Self, SettingsFileError> {
        SettingsFile::Platform.load(path, Self::parse)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    /// [`SettingsError`], whose one line names the field and what is wrong.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks what the types alone don't rule out; the first fault is reported.
    fn validate(&self) -> Result<(), SettingsError> {
        self.deployment.validate_limits()?;
        self.deployment.validate_worker_timeouts()?;
        self.deployment.validate_counts()?;
        self.deployment.validate_teams()?;
        self.validate_addresses()?;
        self.validate_controller_names()
    }

    fn validate_addresses(&self) -> Result<(), SettingsError> {
        let mut addresses = vec![
            ("client_listen", self.client_listen),
            ("back", self.peer_listen),
        ];
        addresses.extend(self.peers.iter().map(|peer| ("seeds", peer.addr)));
        for (index, (field, address)) in addresses.iter().enumerate() {
            let mut earlier = addresses[..index].iter();
            if let Some((other_field, _)) = earlier.find(|other| other.1 == *address) {
                return Err(SettingsError::DuplicateAddress {
                    field,
                    address: *address,
                    other_field,
                });
            }
        }
        Ok(())
    }

    fn validate_controller_names(&self) -> Result<(), SettingsError> {
        let mut names = vec![&self.node_name];
        for peer in &self.peers {
            if names.contains(&&peer.node_name) {
                return Err(SettingsError::DuplicateName {
                    field: "seeds: node_name".into(),
                    name: peer.node_name.clone(),
                });
            }
            names.push(&peer.node_name);
        }
        Ok(())
    }

    /// The loosest service-level objective on completion of each class of jobs, by
    /// the class's name. Objectives without a class don't count.
    #[must_use]
    pub fn loosest_completion_objectives(&self) -> HashMap<String, ServiceLevelObjective> {
        let mut loosest: HashMap<String, ServiceLevelObjective> = HashMap::new();
        for objective in &self.deployment.objectives {
            let Some(class) = &objective.class else {
                continue;
            };
            match objective.kind.as_str() {
                "deadline" => {
                    let entry = loosest.entry(class.clone()).or_default();
                    let factor = objective.deadline_factor.or(Some(1.0));
                    entry.deadline_factor = larger_of(entry.deadline_factor, factor);
                }
                "finished" => {
                    let entry = loosest.entry(class.clone()).or_default();
                    entry.within_s = larger_of(entry.within_s, objective.within_s);
                }
                _ => {}
            }
        }
        loosest
    }

    /// Teams as the scheduler takes them. Where a limit is 0 there is none: guests
    /// have neither guarantee nor limit.
    #[must_use]
    pub fn teams(&self) -> Vec<TeamConfig> {
        let unlimited_if_zero = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        self.deployment
            .teams
            .iter()
            .map(|team| TeamConfig {
                name: team.name.clone(),
                guaranteed_cpus: team.guaranteed_cpus,
                max_cpus: unlimited_if_zero(team.max_cpus),
                guaranteed_gpus: team.guaranteed_gpus,
                max_gpus: unlimited_if_zero(team.max_gpus),
            })
            .collect()
    }
}

impl Deployment {
    fn validate_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.resource_limits;
        require_positive(&[
            (
                "deployment.workers.report_s",
                self.workers.heartbeat_interval_s,
            ),
            ("deployment.workers.lease_s", self.workers.lease_s),
            ("deployment.workers.cancel_s", self.workers.cancel_timeout_s),
            ("deployment.state.rps", self.store.requests_per_s),
            ("deployment.state.write_rps", self.store.writes_per_s),
            ("deployment.state.value_kb", self.store.max_value_kib),
            ("deployment.cloud.rps", self.cloud.requests_per_s),
            ("deployment.quota.cores", limits.cores),
            ("deployment.quota.memory_mb", limits.memory_mib),
        ])?;
        if !self.cloud.list_lag_s.is_finite() || self.cloud.list_lag_s < 0.0 {
            return Err(SettingsError::requirement(
                "deployment.cloud.list_lag_s",
                "not be negative",
            ));
        }
        Ok(())
    }

    fn validate_worker_timeouts(&self) -> Result<(), SettingsError> {
        let workers = &self.workers;
        if workers.heartbeat_interval_s * 2.0 > workers.lease_s {
            return Err(SettingsError::requirement(
                "deployment.workers.lease_s",
                "be at least twice report_s",
            ));
        }
        if workers.cancel_timeout_s <= workers.lease_s {
            return Err(SettingsError::requirement(
                "deployment.workers.cancel_s",
                "be above lease_s",
            ));
        }
        Ok(())
    }

    fn validate_counts(&self) -> Result<(), SettingsError> {
        if self.store.max_writes_per_transaction < MIN_WRITES_PER_TRANSACTION {
            return Err(SettingsError::requirement(
                "deployment.state.txn_ops",
                "be at least 4",
            ));
        }
        if self.resource_limits.connections == 0 {
            return Err(SettingsError::requirement(
                "deployment.quota.sockets",
                "be above 0",
            ));
        }
        Ok(())
    }

    fn validate_teams(&self) -> Result<(), SettingsError> {
        for (index, team) in self.teams.iter().enumerate() {
            if !team.has_valid_amounts() {
                return Err(SettingsError::requirement(
                    format!("deployment.teams[{index}]: amounts"),
                    "not be negative",
                ));
            }
            let mut earlier = self.teams[..index].iter();
            if earlier.any(|other| other.name == team.name) {
                return Err(SettingsError::DuplicateName {
                    field: format!("deployment.teams[{index}].name"),
                    name: team.name.clone(),
                });
            }
        }
        Ok(())
    }
}

impl TeamQuota {
    fn has_valid_amounts(&self) -> bool {
        let amounts = [
            self.guaranteed_cpus,
            self.max_cpus,
            self.guaranteed_gpus,
            self.max_gpus,
        ];
        amounts
            .iter()
            .all(|amount| amount.is_finite() && *amount >= 0.0)
    }
}

/// The larger of two bounds, where there are two.
fn larger_of(first: Option<f64>, second: Option<f64>) -> Option<f64> {
    first.into_iter().chain(second).reduce(f64::max)
}

#[cfg(test)]
mod tests;
