//! The tables of `docs/CAPACITY.md`.

use crate::{
    fit::Line,
    measured::{CLUSTER_STATE, PROGRAM, ProgramPoint, StatePoint},
    target::Target,
};
use std::fmt::Write as _;
use tallygauge_protocol::workers::{Heartbeat, TaskState, TaskStatus};

/// Bytes of the head of a check-in's request and of its answer with no command.
const HEAD_BYTES: f64 = 160.0 + 190.0;

/// Check-ins that a start brings beside those at intervals: when the task runs,
/// and when it has ended.
const CHECK_INS_A_START: f64 = 2.0;

/// Part of a leader's time that rounds may take.
const ROUND_SHARE: f64 = 0.25;

/// Part of the lease that the leader's own lease at the state service lasts.
const TERM_SHARE: f64 = 1.0 / 6.0;

/// One measured cost, and its line.
#[derive(Debug, Clone, Copy)]
pub struct Slope {
    /// What it is.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Cost by number of machines.
    pub line: Line,
}

/// Lines through the measured points of the cluster state.
#[must_use]
pub fn slopes() -> Vec<Slope> {
    let slope = |name, unit, cost: fn(&StatePoint) -> f64| {
        let points: Vec<(f64, f64)> = CLUSTER_STATE
            .iter()
            .map(|p| (p.machines, cost(p)))
            .collect();
        Line::through(&points).map(|line| Slope { name, unit, line })
    };
    let program = |name, unit, cost: fn(&ProgramPoint) -> f64| {
        let points: Vec<(f64, f64)> = PROGRAM.iter().map(|p| (p.machines, cost(p))).collect();
        Line::through(&points).map(|line| Slope { name, unit, line })
    };
    [
        slope("round, mean", "ms", |p| p.round_us / 1e3),
        slope("round, longest", "ms", |p| p.longest_round_us / 1e3),
        slope("report", "us", |p| p.report_us),
        slope("record of placements", "bytes", |p| p.record_bytes),
        slope("take-over, state rebuilt", "ms", |p| p.take_over_us / 1e3),
        program("memory of a leader", "MB", |p| p.memory_mb),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// The slopes as a table.
#[must_use]
pub fn slope_table(target: &Target) -> String {
    let mut out = String::from(
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
            out,
            "| {}, {} | {fixed:.2} | {:.2} | {:.0}% | {:.1} |",
            slope.name,
            slope.unit,
            each * 1e3,
            residual * 100.0,
            slope.line.at(target.workers)
        );
    }
    out
}

/// Bytes of a check-in with so many tasks, its body alone, as the wire format has it.
#[must_use]
pub fn check_in_bytes(tasks: usize) -> usize {
    let task = |n| TaskStatus {
        task: format!("req-{:06}/{n}", 412_000 + n),
        attempt: 41_u64 << 28,
        state: TaskState::Running,
        cause: None,
        checkpointed: None,
    };
    let report = Heartbeat {
        machine: "host-007100".into(),
        endpoint: "10.1.27.188:9000".into(),
        machine_type: "bureau-node".into(),
        zone: "region-1-zone-4".into(),
        spot: false,
        incarnation: 1,
        sequence: 17_280,
        token: 41,
        spot_notice_s: None,
        tasks: (0..tasks).map(task).collect(),
    };
    serde_json::to_string(&report).map_or(0, |text| text.len())
}

/// What one leader alone would have to do, at rest and at the peak.
#[derive(Debug, Clone, Copy)]
pub struct Leader {
    /// Check-ins a second.
    pub check_ins: [f64; 2],
    /// Bytes a second of control for each worker.
    pub worker_bytes: [f64; 2],
    /// Bytes a second at the leader.
    pub leader_bytes: [f64; 2],
    /// Processor time of reports in the cluster state alone, of a core.
    pub report_core: [f64; 2],
    /// Microseconds that a core has for each check-in beside rounds.
    pub us_left: [f64; 2],
}

impl Leader {
    /// Works it out.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        let rest = target.workers / target.report_s;
        let peak = rest + target.starts_per_s * CHECK_INS_A_START;
        let check_ins = [rest, peak];
        let bytes = check_in_bytes(target.tasks_on_a_worker().round() as usize) as f64 + HEAD_BYTES;
        let slopes = slopes();
        let report_us = slopes
            .iter()
            .find(|s| s.name == "report")
            .map_or(0.0, |s| s.line.at(target.workers));
        Self {
            check_ins,
            worker_bytes: check_ins.map(|n| n * bytes / target.workers),
            leader_bytes: check_ins.map(|n| n * bytes),
            report_core: check_ins.map(|n| n * report_us / 1e6),
            us_left: check_ins.map(|n| (1.0 - ROUND_SHARE) * 1e6 / n),
        }
    }
}

/// What one leader alone has to do, as a table.
#[must_use]
pub fn leader_table(target: &Target) -> String {
    let l = Leader::of(target);
    let row = |name: &str, [rest, peak]: [f64; 2], digits: usize| {
        format!("| {name} | {rest:.digits$} | {peak:.digits$} |\n")
    };
    let mut out =
        String::from("| one leader for all | at rest | at the peak |\n| --- | --- | --- |\n");
    out += &row("check-ins a second", l.check_ins, 0);
    out += &row("control bytes a second for a worker", l.worker_bytes, 0);
    out += &row(
        "bytes a second at the leader, MB",
        l.leader_bytes.map(|b| b / 1e6),
        2,
    );
    out += &row("reports in the cluster state, of a core", l.report_core, 3);
    out += &row("microseconds left for a check-in in all", l.us_left, 0);
    out
}

/// What failures cost, as a table.
#[must_use]
pub fn failure_table(target: &Target) -> String {
    let on = target.tasks_on_a_worker();
    let zone = target.workers / target.zones;
    let region = target.workers / target.regions;
    let mut out = String::from(
        "| what fails | machines | tasks that run again | seconds of starts at the peak's pace |\n\
         | --- | --- | --- | --- |\n",
    );
    for (name, machines) in [
        (
            "failures and restarts of a day",
            target.failures_a_day + target.restarts_a_day,
        ),
        ("a zone", zone),
        ("a region, if its leases run out", region),
        (
            "all but the leader's region, cut for longer than a lease",
            target.workers - region,
        ),
    ] {
        let tasks = machines * on;
        let starts_s = tasks / target.starts_per_s;
        let _ = writeln!(
            out,
            "| {name} | {machines:.0} | {tasks:.0} | {starts_s:.1} |"
        );
    }
    out
}

/// Seconds from a leader's death until the next may place work, at the least: its
/// lease at the state service runs out, and its successor rebuilds the state.
#[must_use]
pub fn leader_loss_s(target: &Target) -> f64 {
    let slopes = slopes();
    let rebuilt_ms = slopes
        .iter()
        .find(|s| s.name.starts_with("take-over"))
        .map_or(0.0, |s| s.line.at(target.workers));
    target.lease_s * TERM_SHARE + rebuilt_ms / 1e3
}

/// All tables, as they stand on the page.
#[must_use]
pub fn tables(target: &Target) -> [String; 3] {
    [
        slope_table(target),
        leader_table(target),
        failure_table(target),
    ]
}
