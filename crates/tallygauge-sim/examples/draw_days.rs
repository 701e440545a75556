//! Generates random scenarios with coinciding faults for the operators' benchmark: clusters of
//! a few faults that begin within two seconds. Each scenario is fully determined by its seed.
//!
//! `cargo run --release -p tallygauge-sim --example draw_days -- --seed 1
//! --count 20 --zone seoul-rack --class exam-rush --out days`

use clap::Parser;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{fmt::Write as _, ops::Range, path::PathBuf, process::ExitCode};

/// Time within which the faults of a cluster begin, in seconds.
const CLUSTER_S: f64 = 2.0;

/// Time before the first cluster of faults, in seconds.
const FAULT_FREE_START_S: f64 = 50.0;

/// Duration of most faults, in seconds.
const DURATION_S: Range<f64> = 8.0..65.0;

/// Duration of faults that stop a controller or a machine, in seconds.
const SHORT_DURATION_S: Range<f64> = 4.0..30.0;

/// How partitions treat connections, in the benchmark's terms.
const PARTITION_MODES: [&str; 2] = ["hold", "reset"];

/// Fields of a fault that make the benchmark select the leader.
const LEADER_SELECTOR: &str = "count = 1, busiest = true";

/// Number of kinds of faults.
const FAULT_KIND_COUNT: i32 = 24;

#[derive(Parser)]
#[command(about = "Draws days on which troubles meet, as TOML files")]
struct Options {
    /// Seed of the first day; the next has the next seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days to draw.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    count: u64,
    /// Seconds during which jobs come.
    #[arg(long, default_value_t = 320.0)]
    duration: f64,
    /// Clusters of faults in a day.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=20))]
    clusters: u32,
    /// Faults in a cluster, at most.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=8))]
    most: u32,
    /// A zone of the site, for faults that befall a whole zone.
    #[arg(long)]
    zone: String,
    /// A class of jobs of the site: on a third of the days it comes as one-task
    /// jobs, four a second.
    #[arg(long)]
    class: String,
    /// Directory for the files.
    #[arg(long)]
    out: PathBuf,
}

/// Parameters of a fault. All are drawn before the fault's kind, whichever of them it uses.
struct FaultParameters<'a> {
    /// Duration of most faults, in seconds.
    duration_s: f64,
    /// Duration of faults that stop a controller or a machine, in seconds.
    short_duration_s: f64,
    /// Fraction of the messages or machines that are affected.
    share: f64,
    /// Number of machines that are affected.
    machines: i32,
    /// How a partition treats connections; one of [`PARTITION_MODES`].
    mode: &'static str,
    /// The zone that is affected.
    zone: &'a str,
}

impl<'a> FaultParameters<'a> {
    fn draw(random: &mut StdRng, zone: &'a str) -> Self {
        Self {
            duration_s: random.random_range(DURATION_S),
            short_duration_s: random.random_range(SHORT_DURATION_S),
            share: random.random_range(0.1..0.6),
            machines: random.random_range(4..150),
            mode: PARTITION_MODES[random.random_range(0..PARTITION_MODES.len())],
            zone,
        }
    }
}

/// Draws a fault in the benchmark's TOML format, without the time at which it begins.
fn draw_fault(random: &mut StdRng, zone: &str) -> String {
    let parameters = FaultParameters::draw(random, zone);
    match random.random_range(0..FAULT_KIND_COUNT) {
        kind @ 0..4 => message_fault(kind, &parameters),
        kind @ 4..8 => machine_partition(kind, &parameters),
        kind @ 8..11 => controller_partition(kind, &parameters),
        kind @ 11..17 => request_fault(kind, &parameters, random),
        kind => outage(kind, &parameters, random),
    }
}

/// Writes or heartbeats are delivered late.
fn message_fault(kind: i32, parameters: &FaultParameters) -> String {
    let FaultParameters {
        duration_s, share, ..
    } = parameters;
    match kind {
        0 => format!(r#"kind = "late_writes", share = {share:.2}, for_s = {duration_s:.1}"#),
        1 => format!(
            r#"kind = "late_writes", share = {share:.2}, at_once = true, for_s = {duration_s:.1}"#
        ),
        2 => format!(r#"kind = "late_reports", share = {share:.2}, for_s = {duration_s:.1}"#),
        _ => format!(
            r#"kind = "late_reports", share = {share:.2}, for_next = true, for_s = {duration_s:.1}"#
        ),
    }
}

/// Machines are partitioned in one direction.
fn machine_partition(kind: i32, parameters: &FaultParameters) -> String {
    let FaultParameters {
        duration_s,
        share,
        machines,
        zone,
        ..
    } = parameters;
    match kind {
        4 => format!(r#"kind = "machine_deaf", count = {machines}, for_s = {duration_s:.1}"#),
        5 => format!(r#"kind = "machine_deaf", zone = "{zone}", for_s = {duration_s:.1}"#),
        6 => format!(r#"kind = "machine_mute", share = {share:.2}, for_s = {duration_s:.1}"#),
        _ => format!(r#"kind = "machine_mute", zone = "{zone}", for_s = {duration_s:.1}"#),
    }
}

/// The leader is partitioned from the store, its peers or its workers.
fn controller_partition(kind: i32, parameters: &FaultParameters) -> String {
    let FaultParameters {
        duration_s,
        short_duration_s,
        mode,
        ..
    } = parameters;
    match kind {
        8 => format!(
            r#"kind = "node_cut", {LEADER_SELECTOR}, from_state = true, from_peers = true, for_s = {duration_s:.1}, mode = "{mode}""#
        ),
        9 => format!(
            r#"kind = "node_cut", {LEADER_SELECTOR}, from_state = true, for_s = {short_duration_s:.1}, mode = "refuse""#
        ),
        _ => format!(
            r#"kind = "node_cut", {LEADER_SELECTOR}, from_workers = true, for_s = {duration_s:.1}, mode = "{mode}""#
        ),
    }
}

/// Jobs are cancelled, users send invalid requests or frequent polls, or direct commands are
/// delivered late.
fn request_fault(kind: i32, parameters: &FaultParameters, random: &mut StdRng) -> String {
    let FaultParameters {
        duration_s, share, ..
    } = parameters;
    match kind {
        11 => format!(
            r#"kind = "cancel_now", count = {}"#,
            random.random_range(3..25)
        ),
        12 => format!(
            r#"kind = "cancel_now", count = {}, hang_s = {duration_s:.1}"#,
            random.random_range(3..25)
        ),
        13 => format!(r#"kind = "cancel_at_end", share = {share:.2}, for_s = {duration_s:.1}"#),
        14 => format!(r#"kind = "odd_requests", for_s = {duration_s:.1}"#),
        15 => format!(r#"kind = "close_looks", for_s = {duration_s:.1}"#),
        _ => format!(r#"kind = "late_commands", share = {share:.2}, for_s = {duration_s:.1}"#),
    }
}

/// Controllers crash, pause or restart one after the other, the store is down, a zone is
/// partitioned, or machines hang.
fn outage(kind: i32, parameters: &FaultParameters, random: &mut StdRng) -> String {
    let FaultParameters {
        duration_s,
        short_duration_s,
        machines,
        mode,
        zone,
        ..
    } = parameters;
    match kind {
        17 => format!(r#"kind = "node_crash", {LEADER_SELECTOR}"#),
        18 => r#"kind = "node_crash", count = 9, busiest = true"#.to_string(),
        19 => format!(r#"kind = "node_freeze", {LEADER_SELECTOR}, for_s = {short_duration_s:.1}"#),
        20 => format!(r#"kind = "state_outage", for_s = {duration_s:.1}"#),
        21 => format!(
            r#"kind = "zone_cut", zone = "{zone}", for_s = {duration_s:.1}, mode = "{mode}""#
        ),
        22 => {
            format!(r#"kind = "machine_hang", count = {machines}, for_s = {short_duration_s:.1}"#)
        }
        _ => format!(
            r#"kind = "node_roll", every_s = {:.1}"#,
            random.random_range(1.0..12.0)
        ),
    }
}

/// Draws a scenario and returns it as the text of a TOML file.
fn draw_scenario(options: &Options, seed: u64) -> String {
    let mut random = StdRng::seed_from_u64(seed);
    let mut text = format!(
        "name = \"drawn-{seed}\"\nseed = {seed}\nduration_s = {:.1}\n",
        options.duration
    );
    if random.random_range(0..3) == 0 {
        let _ = writeln!(
            text,
            "jobs = [{{ name = \"{}\", cancelled = 0.25, arrivals = {{ rate = 4.0 }}, \
             tasks = {{ median = 1.0, p95 = 1.0, max = 1.0 }} }}]",
            options.class
        );
    }
    text.push_str("faults = [\n");
    let cluster_interval_s = (options.duration - FAULT_FREE_START_S) / f64::from(options.clusters);
    for cluster in 0..options.clusters {
        let cluster_at_s = FAULT_FREE_START_S
            + cluster_interval_s * (f64::from(cluster) + random.random_range(0.0..0.4));
        for _ in 0..random.random_range(1..=options.most) {
            let fault_at_s = cluster_at_s + random.random_range(0.0..CLUSTER_S);
            let fault = draw_fault(&mut random, &options.zone);
            let _ = writeln!(text, "  {{ at_s = {fault_at_s:.2}, {fault} }},");
        }
    }
    text.push_str("]\n");
    text
}

fn main() -> ExitCode {
    let options = Options::parse();
    if options.duration <= FAULT_FREE_START_S {
        eprintln!("draw_days: --duration must be more than {FAULT_FREE_START_S} seconds");
        return ExitCode::from(2);
    }
    for seed in options.seed..options.seed + options.count {
        let path = options.out.join(format!("drawn-{seed}.toml"));
        if let Err(error) = std::fs::write(&path, draw_scenario(&options, seed)) {
            eprintln!("draw_days: {}: {error}", path.display());
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
