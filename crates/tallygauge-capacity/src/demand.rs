//! Computes the tables of `docs/CAPACITY.md`: the load and the costs of a deployment of the
//! target size.

use crate::{
    fit::Line,
    measured::{CLUSTER_STATE_POINTS, ClusterStatePoint, PROGRAM_POINTS, ProgramPoint},
    target::Target,
};
use std::fmt::Write as _;
use tallygauge_protocol::workers::{Heartbeat, TaskState, TaskStatus};

/// Bytes of a heartbeat besides its request body: the HTTP head of the request, and a response
/// without commands.
const HEARTBEAT_OVERHEAD_BYTES: f64 = 160.0 + 190.0;

/// Heartbeats that each task start causes in addition to the periodic ones: one when the task
/// is running, and one when it has ended.
const HEARTBEATS_PER_START: f64 = 2.0;

/// Maximum fraction of the leader's time that scheduling rounds may take.
const MAX_ROUND_TIME_FRACTION: f64 = 0.25;

/// Duration of the leader's lease in the key-value store, as a fraction of the duration of a
/// worker's lease.
const LEADER_LEASE_FRACTION: f64 = 1.0 / 6.0;

/// Name, as on the page, of the cost of processing a heartbeat in the cluster state.
const HEARTBEAT_COST: &str = "report";

/// Name, as on the page, of the cost of recovering the cluster state at a failover.
const RECOVERY_COST: &str = "take-over, state rebuilt";

/// A cost, with the line fitted through its measured values.
#[derive(Debug, Clone, Copy)]
pub struct FittedCost {
    /// Name of the cost, as on the page.
    pub name: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Cost as a function of the number of machines.
    pub line: Line,
}

/// Fits the measured costs of the cluster state and of the whole program.
#[must_use]
pub fn fitted_costs() -> Vec<FittedCost> {
    let fit_state_cost = |name, unit, cost: fn(&ClusterStatePoint) -> f64| {
        let points: Vec<(f64, f64)> = CLUSTER_STATE_POINTS
            .iter()
            .map(|point| (point.machines, cost(point)))
            .collect();
        Line::through(&points).map(|line| FittedCost { name, unit, line })
    };
    let fit_program_cost = |name, unit, cost: fn(&ProgramPoint) -> f64| {
        let points: Vec<(f64, f64)> = PROGRAM_POINTS
            .iter()
            .map(|point| (point.machines, cost(point)))
            .collect();
        Line::through(&points).map(|line| FittedCost { name, unit, line })
    };
    [
        fit_state_cost("round, mean", "ms", |point| point.round_us / 1e3),
        fit_state_cost("round, longest", "ms", |point| point.longest_round_us / 1e3),
        fit_state_cost(HEARTBEAT_COST, "us", |point| point.heartbeat_us),
        fit_state_cost("record of placements", "bytes", |point| point.record_bytes),
        fit_state_cost(RECOVERY_COST, "ms", |point| point.recovery_us / 1e3),
        fit_program_cost("memory of a leader", "MB", |point| point.memory_mb),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Cost called `name` at the target size, in the unit of its [`FittedCost`]; 0 if there is no
/// such cost.
fn cost_at_target(name: &str, target: &Target) -> f64 {
    fitted_costs()
        .iter()
        .find(|cost| cost.name == name)
        .map_or(0.0, |cost| cost.line.at(target.workers))
}

/// Formats the fitted costs as a Markdown table.
#[must_use]
pub fn cost_table(target: &Target) -> String {
    let mut table = String::from(
        "| cost | fixed | each 1,000 machines | largest error | at the target |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for cost in fitted_costs() {
        let Line {
            intercept,
            slope,
            max_relative_error,
        } = cost.line;
        let _ = writeln!(
            table,
            "| {}, {} | {intercept:.2} | {:.2} | {:.0}% | {:.1} |",
            cost.name,
            cost.unit,
            slope * 1e3,
            max_relative_error * 100.0,
            cost.line.at(target.workers)
        );
    }
    table
}

/// Size of the body of a heartbeat with the status of `tasks` tasks, bytes.
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

/// Load of a single leader that serves all workers. Each array has the value without task
/// starts, then the value at peak load.
#[derive(Debug, Clone, Copy)]
pub struct LeaderLoad {
    /// Heartbeats per second.
    pub heartbeats_per_s: [f64; 2],
    /// Control traffic of each worker, bytes/s.
    pub worker_bytes_per_s: [f64; 2],
    /// Control traffic of the leader, bytes/s.
    pub leader_bytes_per_s: [f64; 2],
    /// CPU time for processing heartbeats in the cluster state alone, cores.
    pub heartbeat_cores: [f64; 2],
    /// Time that one core has for each heartbeat, apart from scheduling rounds, microseconds.
    pub us_per_heartbeat: [f64; 2],
}

impl LeaderLoad {
    /// Computes the load at the target size.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        let at_rest = target.workers / target.heartbeat_interval_s;
        let at_peak = at_rest + target.peak_starts_per_s * HEARTBEATS_PER_START;
        let heartbeats_per_s = [at_rest, at_peak];
        let tasks = target.tasks_per_worker().round() as usize;
        let bytes = heartbeat_bytes(tasks) as f64 + HEARTBEAT_OVERHEAD_BYTES;
        let heartbeat_us = cost_at_target(HEARTBEAT_COST, target);
        Self {
            heartbeats_per_s,
            worker_bytes_per_s: heartbeats_per_s.map(|n| n * bytes / target.workers),
            leader_bytes_per_s: heartbeats_per_s.map(|n| n * bytes),
            heartbeat_cores: heartbeats_per_s.map(|n| n * heartbeat_us / 1e6),
            us_per_heartbeat: heartbeats_per_s.map(|n| (1.0 - MAX_ROUND_TIME_FRACTION) * 1e6 / n),
        }
    }
}

/// Formats the load of a single leader as a Markdown table.
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

/// Computes the cost of failures as a Markdown table.
#[must_use]
pub fn failure_table(target: &Target) -> String {
    let tasks_per_worker = target.tasks_per_worker();
    let machines_per_zone = target.workers / target.zones;
    let machines_per_region = target.workers / target.regions;
    let mut table = String::from(
        "| what fails | machines | tasks that run again | seconds of starts at the peak's pace |\n\
         | --- | --- | --- | --- |\n",
    );
    for (name, machines) in [
        (
            "failures and restarts of a day",
            target.failures_per_day + target.restarts_per_day,
        ),
        ("a zone", machines_per_zone),
        ("a region, if its leases run out", machines_per_region),
        (
            "all but the leader's region, cut for longer than a lease",
            target.workers - machines_per_region,
        ),
    ] {
        let tasks = machines * tasks_per_worker;
        let restart_s = tasks / target.peak_starts_per_s;
        let _ = writeln!(
            table,
            "| {name} | {machines:.0} | {tasks:.0} | {restart_s:.1} |"
        );
    }
    table
}

/// Minimum time from the failure of a leader until the next leader can place tasks, seconds:
/// the lease of the failed leader in the key-value store expires, then its successor recovers
/// the state.
#[must_use]
pub fn failover_s(target: &Target) -> f64 {
    let recovery_ms = cost_at_target(RECOVERY_COST, target);
    target.lease_s * LEADER_LEASE_FRACTION + recovery_ms / 1e3
}

/// Formats all tables, exactly as they are on the page.
#[must_use]
pub fn tables(target: &Target) -> [String; 3] {
    [
        cost_table(target),
        leader_table(target),
        failure_table(target),
    ]
}
