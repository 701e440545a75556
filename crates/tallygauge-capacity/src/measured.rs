//! Costs measured for several numbers of machines. They were measured on a work machine with
//! other load, so absolute times are noisy.

/// Costs of the cluster state alone. Measured on 2026-12-02 with `cargo run --release -p
/// tallygauge-scheduler --example scale -- --machines 500,1000,2000,4000,7100`: 120 simulated
/// seconds on one core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClusterStatePoint {
    /// Number of machines.
    pub machines: f64,
    /// Mean duration of a scheduling round, microseconds.
    pub round_us: f64,
    /// Longest duration of a scheduling round, microseconds.
    pub longest_round_us: f64,
    /// Time to process a heartbeat and build the response, microseconds.
    pub heartbeat_us: f64,
    /// Size of a placement record, bytes.
    pub record_bytes: f64,
    /// Time that a new leader takes at a failover to recover the state from records,
    /// microseconds.
    pub recovery_us: f64,
}

/// Measured costs of the cluster state alone, without network or key-value store.
pub const CLUSTER_STATE_POINTS: [ClusterStatePoint; 5] = [
    cluster_state_point(500.0, 294.0, 1_014.0, 10.6, 690.0, 8_077.0),
    cluster_state_point(1_000.0, 1_021.0, 5_171.0, 11.2, 1_024.0, 17_896.0),
    cluster_state_point(2_000.0, 2_208.0, 6_170.0, 10.4, 1_700.0, 39_444.0),
    cluster_state_point(4_000.0, 5_300.0, 13_018.0, 12.0, 2_825.0, 112_517.0),
    cluster_state_point(7_100.0, 11_648.0, 63_935.0, 8.5, 3_095.0, 169_016.0),
];

const fn cluster_state_point(
    machines: f64,
    round_us: f64,
    longest_round_us: f64,
    heartbeat_us: f64,
    record_bytes: f64,
    recovery_us: f64,
) -> ClusterStatePoint {
    ClusterStatePoint {
        machines,
        round_us,
        longest_round_us,
        heartbeat_us,
        record_bytes,
        recovery_us,
    }
}

/// Costs of the whole program. Measured on 2026-12-02 with `cargo run --release -p
/// tallygauge-sim --example load -- --machines N --report 5 --steady 10`: one process, four
/// tasks per machine, and the simulated services on the same machine as the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgramPoint {
    /// Number of machines.
    pub machines: f64,
    /// Time for all machines to register and to start four tasks each, seconds.
    pub start_phase_s: f64,
    /// CPU time per request while machines register and tasks start, microseconds.
    pub start_cpu_us_per_request: f64,
    /// CPU time per request in the steady phase, microseconds.
    pub steady_cpu_us_per_request: f64,
    /// Memory used in the steady phase, MB.
    pub memory_mb: f64,
}

/// Measured costs of the whole program. Each `start_phase_s` includes a pause of one second
/// that the example makes first.
pub const PROGRAM_POINTS: [ProgramPoint; 4] = [
    program_point(250.0, 2.5, 65.0, 270.0, 19.3),
    program_point(500.0, 2.5, 66.0, 209.0, 29.6),
    program_point(1_000.0, 2.8, 69.0, 168.0, 51.0),
    program_point(1_800.0, 11.7, 127.0, 174.0, 88.5),
];

const fn program_point(
    machines: f64,
    start_phase_s: f64,
    start_cpu_us_per_request: f64,
    steady_cpu_us_per_request: f64,
    memory_mb: f64,
) -> ProgramPoint {
    ProgramPoint {
        machines,
        start_phase_s,
        start_cpu_us_per_request,
        steady_cpu_us_per_request,
        memory_mb,
    }
}
