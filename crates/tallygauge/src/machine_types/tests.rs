//! Machine types for the tests of this module.

use tallygauge_protocol::cloud::MachineType;

/// A machine type that is offered in one zone.
pub(super) fn machine_type(name: &str, cpus: f64) -> MachineType {
    MachineType {
        name: name.to_string(),
        cpus,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 25.0,
        zones: vec!["a".into()],
    }
}
