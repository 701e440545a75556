//! Stored form of the machine types. The fields of a type keep the names that the cloud
//! gives them.

use serde::{Deserialize, Serialize};
use tallygauge_protocol::cloud::MachineType;
use tallygauge_records::{Durability, Record};

/// One shard of the machine types that a leader records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    /// Machine types. One that is no longer offered has no zones.
    #[serde(rename = "t")]
    pub types: Vec<MachineType>,
}

impl Record for MachineTypesRecord {
    const NAME: &'static str = "types";
    const VERSION: u32 = 1;
    const DURABILITY: Durability = Durability::WriteAhead;
}

/// A machine type as a leader recorded it.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RecordedType {
    pub(crate) machine_type: MachineType,
    /// Unix time in seconds at which it was recorded.
    pub(crate) written_at: f64,
}

/// Whether a recorded type still describes a type. Prices may differ: they move all the time,
/// and nothing can be rented while the record is needed.
pub(super) fn is_up_to_date(recorded: &MachineType, current: &MachineType) -> bool {
    // A type is compared with many others, of which it can only match its namesake.
    if recorded.name != current.name {
        return false;
    }
    let with_current_prices = MachineType {
        price: current.price,
        spot_price: current.spot_price,
        ..recorded.clone()
    };
    with_current_prices == *current
}
