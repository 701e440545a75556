//! What the cloud offers and is asked.

use serde::{Deserialize, Serialize};

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name.
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Memory, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Image cache, GB.
    #[serde(rename = "cacheGb")]
    pub cache_gb: f64,
    /// Image fetch rate, GB a second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Spot price an hour, as of now.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones that may have it.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// Answer of `GET /catalog`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Machine types.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// A rental request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Name of the request, never reused.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Most machines that one rental request may ask for.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Most names in one return.
pub const MAX_MACHINES_PER_RETURN: usize = 100;

/// Names of machines: rented, or to be returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names.
    #[serde(rename = "benches")]
    pub names: Vec<String>,
}

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet, or the list is old.
    Booting,
    /// Up, or up until some seconds ago.
    Running,
    /// Stopped by itself.
    Failed,
    /// A word this version does not know.
    #[serde(other)]
    Unknown,
}

/// A listed machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name.
    #[serde(rename = "nameId")]
    pub name: String,
    /// Where its worker takes direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Age since the rental request.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in the order of their names.
    #[serde(rename = "benches")]
    pub machines: Vec<Machine>,
    /// Whether more follow.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}

/// Largest page of the machine list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
