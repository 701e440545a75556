//! Messages of the cloud, from which the leader rents machines (HTTP with JSON bodies).
//!
//! The cloud defines the JSON names (`benches`, `build`, `booking`, ...), which differ from
//! the terms of this code. Only this module maps between the two, with serde attributes.

use serde::{Deserialize, Serialize};

/// Machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs per machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs per machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory per machine, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, GB.
    #[serde(rename = "cacheGb")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, GB/s.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Current spot price per hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Typical boot time, seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// Response to `GET /catalog`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Machine types that the cloud offers.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines (scale out).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key of the request, never reused.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machines are to be spot instances.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_RENTAL`].
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Maximum number of machines in one rental request.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Maximum number of machines in one return request (scale in).
pub const MAX_MACHINES_PER_RETURN: usize = 100;

/// Names of machines: in the response to a rental the rented ones, in a return request those
/// to return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Machine names.
    #[serde(rename = "benches")]
    pub names: Vec<String>,
}

/// State of a machine in the machine list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine was still booting when the cloud built the list.
    Booting,
    /// The machine was up when the cloud built the list, which was some seconds ago.
    Running,
    /// The machine stopped without being returned.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

/// Entry of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine.
    #[serde(rename = "nameId")]
    pub name: String,
    /// Address on which the machine's worker receives direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Time since the machine was requested, seconds.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in ascending order of name.
    #[serde(rename = "benches")]
    pub machines: Vec<Machine>,
    /// Whether more pages follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}

/// Maximum number of machines on one page of the machine list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
