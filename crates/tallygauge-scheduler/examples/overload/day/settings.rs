//! Scheduler configuration and machine type of the simulated cluster.

use super::{CPUS, Class, HEARTBEAT_INTERVAL_S, LEASE_S, Setup};
use tallygauge_protocol::cloud::MachineType;
use tallygauge_scheduler::{
    Config, MinimumShareConfig, ReplicaSpread, ServiceLevelObjective, TeamConfig,
};

pub(super) fn config(setup: &Setup) -> Config {
    let capacity_cpus = setup.machines as f64 * CPUS;
    let team = |index| TeamConfig {
        name: format!("team-{index}"),
        guaranteed_cpus: capacity_cpus / setup.teams as f64,
        max_cpus: capacity_cpus,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    let objective = |class: &Class| {
        let objective = ServiceLevelObjective {
            deadline_factor: class.deadline_run_times.map(|_| 1.5),
            within_s: Some(class.within_s),
        };
        (class.name.to_string(), objective)
    };
    let class_deadline = |class: &Class| (class.name.to_string(), class.within_s * 0.7);
    Config {
        teams: (0..setup.teams).map(team).collect(),
        heartbeat_interval_s: HEARTBEAT_INTERVAL_S,
        lease_s: LEASE_S,
        cancel_timeout_s: 50.0,
        fencing_timeout_s: 20.0,
        list_lag_s: 5.0,
        clock_drift: 0.0005,
        min_remaining_s: 5.0,
        utility_by_priority: [1.0, 2.0, 8.0, 16.0],
        late_utility_factor: 0.1,
        idle_timeout_boot_times: 1.5,
        rental_horizon_boot_times: 1.0,
        class_deadline_s: setup.classes.iter().map(class_deadline).collect(),
        objectives: setup.classes.iter().map(objective).collect(),
        minimum_share: MinimumShareConfig {
            share: setup.minimum_share,
            start_within_s: if setup.minimum_share > 0.0 {
                240.0
            } else {
                0.0
            },
        },
        replica_spread: ReplicaSpread { risk_s: 30.0 },
        max_attempts_per_worker: 400,
        max_direct_messages: 150,
        term: 1,
    }
}

pub(super) fn machine_type() -> MachineType {
    MachineType {
        name: "node".into(),
        cpus: CPUS,
        gpus: 0.0,
        memory_gb: CPUS * 4.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 0.2,
        price: 2.0,
        spot_price: 0.8,
        boot_s: 35.0,
        zones: vec!["a".into(), "b".into()],
    }
}
