//! Points that were measured, by number of machines, on a work machine with other load:
//! absolute times are noisy.

/// Costs of the cluster state alone, by `cargo run --release -p tallygauge-scheduler
/// --example scale -- --machines 500,1000,2000,4000,7100`, 2026-12-02: 120 simulated
/// seconds on one core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatePoint {
    /// Number of machines.
    pub machines: f64,
    /// Mean time of a scheduling round, microseconds.
    pub round_us: f64,
    /// Longest time of a scheduling round, microseconds.
    pub longest_round_us: f64,
    /// Time to handle and answer a heartbeat, microseconds.
    pub heartbeat_us: f64,
    /// Size of a record of placements, bytes.
    pub record_bytes: f64,
    /// Time to recover the state from records at a failover, microseconds.
    pub recovery_us: f64,
}

/// Points of the cluster state alone, without network or key-value store.
pub const CLUSTER_STATE: [StatePoint; 5] = [
    state_point(500.0, 294.0, 1_014.0, 10.6, 690.0, 8_077.0),
    state_point(1_000.0, 1_021.0, 5_171.0, 11.2, 1_024.0, 17_896.0),
    state_point(2_000.0, 2_208.0, 6_170.0, 10.4, 1_700.0, 39_444.0),
    state_point(4_000.0, 5_300.0, 13_018.0, 12.0, 2_825.0, 112_517.0),
    state_point(7_100.0, 11_648.0, 63_935.0, 8.5, 3_095.0, 169_016.0),
];

const fn state_point(
    machines: f64,
    round_us: f64,
    longest_round_us: f64,
    heartbeat_us: f64,
    record_bytes: f64,
    recovery_us: f64,
) -> StatePoint {
    StatePoint {
        machines,
        round_us,
        longest_round_us,
        heartbeat_us,
        record_bytes,
        recovery_us,
    }
}

/// Costs of the whole program, by `cargo run --release -p tallygauge-sim --example load --
/// --machines N --report 5 --steady 10`, 2026-12-02: one process, four tasks on each
/// machine, with the simulated services on the same machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgramPoint {
    /// Number of machines.
    pub machines: f64,
    /// Seconds until four tasks had started on each machine, with its registration.
    pub start_s: f64,
    /// Processor time of a request while machines register and tasks start, microseconds.
    pub start_us: f64,
    /// Processor time of a request in the steady phase, microseconds.
    pub steady_us: f64,
    /// Memory in the steady phase, MB.
    pub memory_mb: f64,
}

/// Points of the whole program. The first second of each start is the example's pause.
pub const PROGRAM: [ProgramPoint; 4] = [
    program_point(250.0, 2.5, 65.0, 270.0, 19.3),
    program_point(500.0, 2.5, 66.0, 209.0, 29.6),
    program_point(1_000.0, 2.8, 69.0, 168.0, 51.0),
    program_point(1_800.0, 11.7, 127.0, 174.0, 88.5),
];

const fn program_point(
    machines: f64,
    start_s: f64,
    start_us: f64,
    steady_us: f64,
    memory_mb: f64,
) -> ProgramPoint {
    ProgramPoint {
        machines,
        start_s,
        start_us,
        steady_us,
        memory_mb,
    }
}
