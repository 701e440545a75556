//! The platform's settings (JSON), checked field by field.

use serde::Deserialize;
use std::{collections::HashMap, net::SocketAddr, path::Path};
use tallygauge_scheduler::{ServiceLevelObjective, TeamConfig};

/// Settings as the platform hands them over.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node.
    pub node_name: String,
    /// Its zone.
    #[serde(rename = "area")]
    pub zone: String,
    /// Where users, workers and health checks connect.
    pub client_listen: SocketAddr,
    /// Where the other controllers connect.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds")]
    pub peers: Vec<Peer>,
    /// Services of the region.
    pub services: Services,
    /// What is deployed.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// Where it takes peers' calls.
    pub addr: SocketAddr,
}

/// Addresses of the region's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// The deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Controllers.
    pub count: u32,
    /// Teams.
    pub teams: Vec<TeamQuota>,
    /// Aims on starting and finishing.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' times.
    pub workers: WorkerTimeouts,
    /// State service's limits.
    #[serde(rename = "state")]
    pub store: StoreLimits,
    /// Cloud's limits.
    pub cloud: CloudLimits,
    /// This process's limits.
    #[serde(rename = "quota")]
    pub resource_limits: ResourceLimits,
}

/// A team.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamQuota {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(rename = "cpus")]
    pub guaranteed_cpus: f64,
    /// Most CPUs; 0: no limit.
    #[serde(rename = "cpus_max")]
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    #[serde(rename = "gpus")]
    pub guaranteed_gpus: f64,
    /// Most GPUs; 0: no limit.
    #[serde(default)]
    #[serde(rename = "gpus_max")]
    pub max_gpus: f64,
}

/// An aim. Kinds that this version does not know are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind.
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// Within this time.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Within so many times the job's own deadline.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Workers' times, seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimeouts {
    /// Between reports.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease.
    pub lease_s: f64,
    /// Until a cancelled job's tasks are gone.
    #[serde(rename = "cancel_s")]
    pub cancel_timeout_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second, all nodes together.
    pub rps: f64,
    /// Writes a second, all nodes together.
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    /// Largest value, KiB.
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Most writes in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_writes_per_transaction: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// Lag of the machine list.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ResourceLimits {
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory_mb: f64,
    /// Connections.
    #[serde(rename = "sockets")]
    pub connections: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// One line naming the field and what is wrong.
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| format!("settings {}: can't be read: {e}", path.display()))?;
        Self::parse(&text).map_err(|e| format!("settings {}: {e}", path.display()))
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    /// One line naming the field and what is wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        let d = &self.deployment;
        let above_zero = [
            (
                "deployment.workers.report_s",
                d.workers.heartbeat_interval_s,
            ),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_timeout_s),
            ("deployment.state.rps", d.store.rps),
            ("deployment.state.write_rps", d.store.writes_per_s),
            ("deployment.state.value_kb", d.store.max_value_kib),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.quota.cores", d.resource_limits.cores),
            ("deployment.quota.memory_mb", d.resource_limits.memory_mb),
        ];
        for (name, value) in above_zero {
            if !value.is_finite() || value <= 0.0 {
                return Err(format!("{name} must be above 0, not {value}"));
            }
        }
        if !(d.cloud.list_lag_s.is_finite() && d.cloud.list_lag_s >= 0.0) {
            return Err("deployment.cloud.list_lag_s must not be negative".into());
        }
        if d.workers.heartbeat_interval_s * 2.0 > d.workers.lease_s {
            return Err("deployment.workers.lease_s must be at least twice report_s".into());
        }
        if d.workers.cancel_timeout_s <= d.workers.lease_s {
            return Err("deployment.workers.cancel_s must be above lease_s".into());
        }
        if d.store.max_writes_per_transaction < 4 {
            return Err("deployment.state.txn_ops must be at least 4".into());
        }
        if d.resource_limits.connections == 0 {
            return Err("deployment.quota.sockets must be above 0".into());
        }
        for (i, team) in d.teams.iter().enumerate() {
            let amounts = [
                team.guaranteed_cpus,
                team.max_cpus,
                team.guaranteed_gpus,
                team.max_gpus,
            ];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return Err(format!(
                    "deployment.teams[{i}]: amounts must not be negative"
                ));
            }
            if d.teams[..i].iter().any(|t| t.name == team.name) {
                return Err(format!(
                    "deployment.teams[{i}].name '{}' is there twice",
                    team.name
                ));
            }
        }
        let mut addresses = vec![
            ("client_listen", self.client_listen),
            ("back", self.peer_listen),
        ];
        addresses.extend(self.peers.iter().map(|p| ("seeds", p.addr)));
        for (i, (name, addr)) in addresses.iter().enumerate() {
            if let Some((other, _)) = addresses[..i].iter().find(|a| a.1 == *addr) {
                return Err(format!("{name}: address {addr} is also that of {other}"));
            }
        }
        let mut names = vec![&self.node_name];
        for peer in &self.peers {
            if names.contains(&&peer.node_name) {
                return Err(format!(
                    "seeds: node_name '{}' is there twice",
                    peer.node_name
                ));
            }
            names.push(&peer.node_name);
        }
        Ok(())
    }

    /// The loosest aim of each class on being done.
    #[must_use]
    pub fn loosest_aims(&self) -> HashMap<String, ServiceLevelObjective> {
        let mut aims: HashMap<String, ServiceLevelObjective> = HashMap::new();
        for objective in &self.deployment.objectives {
            let Some(class) = &objective.class else {
                continue;
            };
            let loosest = |a: Option<f64>, b: Option<f64>| a.into_iter().chain(b).reduce(f64::max);
            match objective.kind.as_str() {
                "deadline" => {
                    let aim = aims.entry(class.clone()).or_default();
                    aim.deadline_factor =
                        loosest(aim.deadline_factor, objective.deadline_factor.or(Some(1.0)));
                }
                "finished" => {
                    let aim = aims.entry(class.clone()).or_default();
                    aim.within_s = loosest(aim.within_s, objective.within_s);
                }
                _ => {}
            }
        }
        aims
    }

    /// Teams as the scheduler takes them. Where a limit is 0 there is none: guests
    /// have neither guarantee nor limit.
    #[must_use]
    pub fn teams(&self) -> Vec<TeamConfig> {
        let limit = |most: f64| if most > 0.0 { most } else { f64::INFINITY };
        self.deployment
            .teams
            .iter()
            .map(|t| TeamConfig {
                name: t.name.clone(),
                guaranteed_cpus: t.guaranteed_cpus,
                max_cpus: limit(t.max_cpus),
                guaranteed_gpus: t.guaranteed_gpus,
                max_gpus: limit(t.max_gpus),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
