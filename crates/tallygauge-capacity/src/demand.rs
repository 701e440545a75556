//! The tables of `docs/CAPACITY.md`: what a deployment of the target's size demands.

use crate::{
    fit::Line,
    measured::{CLUSTER_STATE, PROGRAM, ProgramPoint, StatePoint},
    target::Target,
};
use std::fmt::Write as _;
use tallygauge_protocol::workers::{Heartbeat, TaskState, TaskStatus};

/// Bytes of the HTTP head of a heartbeat's request and of a response without commands.
const HEARTBEAT_OVERHEAD_BYTES: f64 = 160.0 + 190.0;

/// Heartbeats that a task start causes besides those at intervals: when the task runs, and
/// when it has ended.
const HEARTBEATS_PER_START: f64 = 2.0;

/// Fraction of a leader's time that scheduling rounds may take.
const ROUND_FRACTION: f64 = 0.25;

/// Length of the leader's own lease in the key-value store, as a fraction of a worker's.
const LEADER_LEASE_FRACTION: f64 = 1.0 / 6.0;

/// Name of the cost of a heartbeat in the cluster state, as on the page.
const HEARTBEAT_COST: &str = "report";

/// Name of the cost of recovering the cluster state at a failover, as on the page.
const RECOVERY_COST: &str = "take-over, state rebuilt";

/// A measured cost, and the line fitted through it.
#[derive(Debug, Clone, Copy)]
pub struct Slope {
    /// Name of the cost.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Cost by number of machines.
    pub line: Line,
}

/// Lines through the measured points of the cluster state and of the whole program.
#[must_use]
pub fn slopes() -> Vec<Slope> {
    let state = |name, unit, cost: fn(&StatePoint) -> f64| {
        let points: Vec<(f64, f64)> = CLUSTER_STATE
            .iter()
            .map(|point| (point.machines, cost(point)))
            .collect();
        Line::through(&points).map(|line| Slope { name, unit, line })
    };
    let program = |name, unit, cost: fn(&ProgramPoint) -> f64| {
        let points: Vec<(f64, f64)> = PROGRAM
            .iter()
            .map(|point| (point.machines, cost(point)))
            .collect();
        Line::through(&points).map(|line| Slope { name, unit, line })
    };
    [
        state("round, mean", "ms", |p| p.round_us / 1e3),
        state("round, longest", "ms", |p| p.longest_round_us / 1e3),
        state(HEARTBEAT_COST, "us", |p| p.heartbeat_us),
        state("record of placements", "bytes", |p| p.record_bytes),
        state(RECOVERY_COST, "ms", |p| p.recovery_us / 1e3),
        program("memory of a leader", "MB", |p| p.memory_mb),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Cost of this name at the target's size, in the unit of its slope; 0 if there is none.
fn cost_at_target(name: &str, target: &Target) -> f64 {
    slopes()
        .iter()
        .find(|slope| slope.name == name)
        .map_or(0.0, |slope| slope.line.at(target.workers))
}

/// The slopes as a Markdown table.
#[must_use]
pub fn slope_table(target: &Target) -> String {
    let mut table = String::from(
        "| cost | fixed | each 1,000 machines | largest error | at the target |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for slope in slopes() {
        let Line {
            fixed,
            each,
            residual,
        } = slope.line;
        let _ = writeln!(
            table,
            "| {}, {} | {fixed:.2} | {:.2} | {:.0}% | {:.1} |",
            slope.name,
            slope.unit,
            each * 1e3,
            residual * 100.0,
            slope.line.at(target.workers)
        );
    }
    table
}

/// Size of the body of a heartbeat with so many tasks, bytes.
#[must_use]
pub fn heartbeat_bytes(tasks: usize) -> usize {
    let task_status = |n| TaskStatus {
        task: format!("req-{:06}/{n}", 412_000 + n),
        attempt: 41_u64 << 28,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    let heartbeat = Heartbeat {
        machine: "host-007100".into(),
        endpoint: "10.1.27.188:9000".into(),
        machine_type: "bureau-node".into(),
        zone: "region-1-zone-4".into(),
        spot: false,
        incarnation: 1,
        sequence: 17_280,
        token: 41,
        spot_reclaim_in_s: None,
        tasks: (0..tasks).map(task_status).collect(),
    };
    serde_json::to_string(&heartbeat).map_or(0, |text| text.len())
}

/// Load of one leader that has all workers, each figure at rest and at peak load.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLoad {
    /// Heartbeats a second.
    pub heartbeats_per_s: [f64; 2],
    /// Control traffic of each worker, bytes a second.
    pub worker_bytes_per_s: [f64; 2],
    /// Control traffic of the leader, bytes a second.
    pub leader_bytes_per_s: [f64; 2],
    /// Processor time of heartbeats in the cluster state alone, cores.
    pub heartbeat_cores: [f64; 2],
    /// Time that a core has for each heartbeat besides scheduling rounds, microseconds.
    pub us_per_heartbeat: [f64; 2],
}

impl LeaderLoad {
    /// Computes the load for a target.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        let at_rest = target.workers / target.heartbeat_interval_s;
        let at_peak = at_rest + target.starts_per_s * HEARTBEATS_PER_START;
        let heartbeats_per_s = [at_rest, at_peak];
        let tasks = target.tasks_per_worker().round() as usize;
        let bytes = heartbeat_bytes(tasks) as f64 + HEARTBEAT_OVERHEAD_BYTES;
        let heartbeat_us = cost_at_target(HEARTBEAT_COST, target);
        Self {
            heartbeats_per_s,
            worker_bytes_per_s: heartbeats_per_s.map(|n| n * bytes / target.workers),
            leader_bytes_per_s: heartbeats_per_s.map(|n| n * bytes),
            heartbeat_cores: heartbeats_per_s.map(|n| n * heartbeat_us / 1e6),
            us_per_heartbeat: heartbeats_per_s.map(|n| (1.0 - ROUND_FRACTION) * 1e6 / n),
        }
    }
}

/// The load of one leader as a Markdown table.
#[must_use]
pub fn leader_table(target: &Target) -> String {
    let load = LeaderLoad::of(target);
    let row = |name: &str, [at_rest, at_peak]: [f64; 2], digits: usize| {
        format!("| {name} | {at_rest:.digits$} | {at_peak:.digits$} |\n")
    };
    let mut table =
        String::from("| one leader for all | at rest | at the peak |\n| --- | --- | --- |\n");
    table += &row("check-ins a second", load.heartbeats_per_s, 0);
    table += &row(
        "control bytes a second for a worker",
        load.worker_bytes_per_s,
        0,
    );
    table += &row(
        "bytes a second at the leader, MB",
        load.leader_bytes_per_s.map(|bytes| bytes / 1e6),
        2,
    );
    table += &row(
        "reports in the cluster state, of a core",
        load.heartbeat_cores,
        3,
    );
    table += &row(
        "microseconds left for a check-in in all",
        load.us_per_heartbeat,
        0,
    );
    table
}

/// The cost of failures as a Markdown table.
#[must_use]
pub fn failure_table(target: &Target) -> String {
    let tasks_per_worker = target.tasks_per_worker();
    let zone = target.workers / target.zones;
    let region = target.workers / target.regions;
    let mut table = String::from(
        "| what fails | machines | tasks that run again | seconds of starts at the peak's pace |\n\
         | --- | --- | --- | --- |\n",
    );
    for (name, machines) in [
        (
            "failures and restarts of a day",
            target.failures_per_day + target.restarts_per_day,
        ),
        ("a zone", zone),
        ("a region, if its leases run out", region),
        (
            "all but the leader's region, cut for longer than a lease",
            target.workers - region,
        ),
    ] {
        let tasks = machines * tasks_per_worker;
        let starts_s = tasks / target.starts_per_s;
        let _ = writeln!(
            table,
            "| {name} | {machines:.0} | {tasks:.0} | {starts_s:.1} |"
        );
    }
    table
}

/// Time from a leader's failure until the next can place work, seconds, at the least: its
/// lease in the key-value store expires, and its successor recovers the state.
#[must_use]
pub fn failover_s(target: &Target) -> f64 {
    let recovery_ms = cost_at_target(RECOVERY_COST, target);
    target.lease_s * LEADER_LEASE_FRACTION + recovery_ms / 1e3
}

/// All tables, as they are on the page.
#[must_use]
pub fn tables(target: &Target) -> [String; 3] {
    [
        slope_table(target),
        leader_table(target),
        failure_table(target),
    ]
}
