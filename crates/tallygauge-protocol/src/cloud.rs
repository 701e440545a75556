//! Messages of the cloud, which rents out machines to the leader (HTTP with JSON
//! bodies).
//!
//! The JSON names are given by the cloud and are not this code's terms (`benches`,
//! `build`, `booking`, ...). They are mapped to the field's terms here, once, by serde.

use serde::{Deserialize, Serialize};

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of a machine, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of a machine's image cache, GB.
    #[serde(rename = "cacheGb")]
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, GB a second.
    #[serde(rename = "pullGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Spot price an hour, as of now.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual boot time, seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "sites")]
    pub zones: Vec<String>,
}

/// Answer of `GET /catalog`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Machine types on offer.
    #[serde(rename = "builds")]
    pub types: Vec<MachineType>,
}

/// Request for new machines (scale out).
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
    /// Whether spot instances are asked for.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of machines, at most [`MAX_MACHINES_PER_RENTAL`].
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Most machines that one rental request may ask for.
pub const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Most machines that one request may return (scale in).
pub const MAX_MACHINES_PER_RETURN: usize = 100;

/// Names of machines: those that were rented, or those to return.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "benches")]
    pub names: Vec<String>,
}

/// State of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Not up yet when the list was made.
    Booting,
    /// Up when the list was made, some seconds ago.
    Running,
    /// It stopped without being returned.
    Failed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

/// A machine in the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine.
    #[serde(rename = "nameId")]
    pub name: String,
    /// Address on which its worker takes direct commands.
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Time since it was asked for, seconds.
    #[serde(rename = "ageS")]
    pub age_s: f64,
}

/// One page of the machine list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines in ascending order of their names.
    #[serde(rename = "benches")]
    pub machines: Vec<Machine>,
    /// Whether there are further pages.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}

/// Most machines on one page of the machine list.
pub const MAX_MACHINES_PER_PAGE: u32 = 500;
