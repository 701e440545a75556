//! Points that were measured, by number of machines. Work machine, beside other work:
//! absolute times are noisy.

/// `cargo run --release -p tallygauge-scheduler --example scale -- --machines
/// 500,1000,2000,4000,7100`, 2026-12-02: 120 simulated seconds on one core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatePoint {
    /// Machines.
    pub machines: f64,
    /// Mean time of a round, microseconds.
    pub round_us: f64,
    /// Longest round, microseconds.
    pub longest_round_us: f64,
    /// Taking up and answering a report, microseconds.
    pub report_us: f64,
    /// Bytes of a record of placements.
    pub record_bytes: f64,
    /// Rebuilding the state from records, microseconds.
    pub take_over_us: f64,
}

/// The cluster state alone, without network or state service.
pub const CLUSTER_STATE: [StatePoint; 5] = [
    state(500.0, 294.0, 1_014.0, 10.6, 690.0, 8_077.0),
    state(1_000.0, 1_021.0, 5_171.0, 11.2, 1_024.0, 17_896.0),
    state(2_000.0, 2_208.0, 6_170.0, 10.4, 1_700.0, 39_444.0),
    state(4_000.0, 5_300.0, 13_018.0, 12.0, 2_825.0, 112_517.0),
    state(7_100.0, 11_648.0, 63_935.0, 8.5, 3_095.0, 169_016.0),
];

const fn state(
    machines: f64,
    round_us: f64,
    longest_round_us: f64,
    report_us: f64,
    record_bytes: f64,
    take_over_us: f64,
) -> StatePoint {
    StatePoint {
        machines,
        round_us,
        longest_round_us,
        report_us,
        record_bytes,
        take_over_us,
    }
}

/// `cargo run --release -p tallygauge-sim --example load -- --machines N --report 5
/// --steady 10`, 2026-12-02: the whole program as one process, four tasks a machine,
/// stand-ins beside it on the same machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgramPoint {
    /// Machines.
    pub machines: f64,
    /// Seconds until four tasks had started on each, meeting included.
    pub start_s: f64,
    /// Processor time of a request in the meeting and starting phase, microseconds.
    pub start_us: f64,
    /// The same in the steady phase.
    pub steady_us: f64,
    /// Memory in the steady phase, MB.
    pub memory_mb: f64,
}

/// The whole program. The first second of a start is the example's own pause.
pub const PROGRAM: [ProgramPoint; 4] = [
    program(250.0, 2.5, 65.0, 270.0, 19.3),
    program(500.0, 2.5, 66.0, 209.0, 29.6),
    program(1_000.0, 2.8, 69.0, 168.0, 51.0),
    program(1_800.0, 11.7, 127.0, 174.0, 88.5),
];

const fn program(
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
