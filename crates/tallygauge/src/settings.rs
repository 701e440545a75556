//! The platform's settings (JSON): the deployment that this controller belongs to,
//! parsed and validated field by field.
//!
//! The platform determines the keys of the file. Serde attributes in this module map
//! them to this project's terms, and no other module uses the platform's keys.
//! Durations are in seconds. Unknown keys are ignored.

use crate::settings_error::{SettingsError, SettingsFile, SettingsFileError, require_positive};
use serde::Deserialize;
use std::{collections::HashMap, net::SocketAddr, path::Path};
use tallygauge_scheduler::{ServiceLevelObjective, TeamConfig};

/// Smallest valid limit on the writes in one transaction of the store.
const MIN_TRANSACTION_WRITE_LIMIT: usize = 4;

/// The platform's settings for one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node_name: String,
    /// Availability zone that this controller runs in.
    #[serde(rename = "area")]
    pub zone: String,
    /// Listen address for users, workers and health checks (HTTP).
    pub client_listen: SocketAddr,
    /// Listen address for the other controllers (gRPC).
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers of the deployment.
    #[serde(rename = "seeds")]
    pub peers: Vec<Peer>,
    /// Addresses of the services that controllers call.
    pub services: Services,
    /// Settings that all controllers of the deployment have in common.
    pub deployment: Deployment,
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name, unique in the deployment.
    pub node_name: String,
    /// Address at which it serves other controllers (gRPC).
    pub addr: SocketAddr,
}

/// Addresses of the services that controllers call.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud provider, from which machines are rented.
    pub cloud: SocketAddr,
    /// The consensus-backed key-value store; the platform calls it the state service.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings that all controllers of a deployment have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers in the deployment.
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
    /// Limits of the cloud provider.
    pub cloud: CloudLimits,
    /// Resource limits of the controller's process.
    #[serde(rename = "quota")]
    pub resource_limits: ResourceLimits,
}

/// Guaranteed resources and limits of a team. All amounts are 0 or more.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamQuota {
    /// Name of the team, unique in the deployment.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Limit on CPUs in use; 0 means no limit.
    #[serde(rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    #[serde(rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Limit on GPUs in use; 0 means no limit.
    #[serde(default)]
    #[serde(rename = "gpus_max")]
    pub max_gpus: f64,
}

/// A service-level objective. Objectives of an unknown kind are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind: `deadline` or `finished`; any other kind is ignored.
    pub kind: String,
    /// Class of jobs that it applies to; without a class, the objective is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// For `finished`: the time within which a job must complete, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For `deadline`: the multiple of its own deadline within which a job must
    /// complete; 1 if absent.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Timeouts of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimeouts {
    /// Time between two heartbeats of a worker, in seconds.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease, in seconds; at least twice the heartbeat interval.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must have ended, in seconds;
    /// longer than the lease.
    #[serde(rename = "cancel_s")]
    pub cancel_timeout_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests per second, for all controllers together.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Writes per second, for all controllers together.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// Maximum size of a value, in KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Maximum number of writes in one transaction; at least 4.
    #[serde(rename = "txn_ops")]
    pub max_writes_per_transaction: usize,
}

/// Limits of the cloud provider.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Maximum time by which the machine list may lag behind the provider's actual
    /// machines, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of the controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct ResourceLimits {
    /// CPU cores.
    pub cores: f64,
    /// Memory, in MiB.
    #[serde(rename = "memory_mb")]
    pub memory_mib: f64,
    /// Number of open connections.
    #[serde(rename = "sockets")]
    pub connections: u32,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// A [`SettingsFileError`], whose one-line text names the file, the field and the fault.
    pub fn load(path: &Path) -> Result<Self, SettingsFileError> {
        SettingsFile::Platform.load(path, Self::parse)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// A [`SettingsError`], whose one-line text names the field and the fault.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the rules that the types don't enforce; reports the first fault.
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

    /// The loosest completion objective of each class of jobs, by the name of the
    /// class. Objectives without a class are ignored.
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
                    entry.deadline_factor = looser_bound(entry.deadline_factor, factor);
                }
                "finished" => {
                    let entry = loosest.entry(class.clone()).or_default();
                    entry.within_s = looser_bound(entry.within_s, objective.within_s);
                }
                _ => {}
            }
        }
        loosest
    }

    /// The teams in the scheduler's form. A limit of 0 becomes infinite: a guest team
    /// has neither a guarantee nor a limit.
    #[must_use]
    pub fn teams(&self) -> Vec<TeamConfig> {
        let infinite_if_zero = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        self.deployment
            .teams
            .iter()
            .map(|team| TeamConfig {
                name: team.name.clone(),
                guaranteed_cpus: team.guaranteed_cpus,
                max_cpus: infinite_if_zero(team.max_cpus),
                guaranteed_gpus: team.guaranteed_gpus,
                max_gpus: infinite_if_zero(team.max_gpus),
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
        if self.store.max_writes_per_transaction < MIN_TRANSACTION_WRITE_LIMIT {
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

/// The larger of two optional bounds; a missing one is ignored.
fn looser_bound(first: Option<f64>, second: Option<f64>) -> Option<f64> {
    first.into_iter().chain(second).reduce(f64::max)
}

#[cfg(test)]
mod tests;
