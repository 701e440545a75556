//! Draws days for the operators' bench on which faults meet: clusters of a few
//! faults within two seconds of each other. The seed fixes every day.
//!
//! `cargo run --release -p tallygauge-sim --example draw_days -- --seed 1
//! --count 20 --zone seoul-rack --class exam-rush --out days`

use clap::Parser;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{fmt::Write as _, path::PathBuf, process::ExitCode};

/// Seconds within which the faults of one cluster begin.
const CLUSTER_S: f64 = 2.0;

/// Seconds of the day before the first cluster.
const QUIET_S: f64 = 50.0;

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

/// One fault, as the bench's pages write it, without the time at which it begins.
fn fault(random: &mut StdRng, zone: &str) -> String {
    let spell = random.random_range(8.0..65.0);
    let short = random.random_range(4.0..30.0);
    let share = random.random_range(0.1..0.6);
    let machines = random.random_range(4..150);
    let modes = ["hold", "reset"];
    let mode = modes[random.random_range(0..modes.len())];
    let leader = "count = 1, busiest = true";
    match random.random_range(0..24) {
        0 => format!(r#"kind = "late_writes", share = {share:.2}, for_s = {spell:.1}"#),
        1 => format!(
            r#"kind = "late_writes", share = {share:.2}, at_once = true, for_s = {spell:.1}"#
        ),
        2 => format!(r#"kind = "late_reports", share = {share:.2}, for_s = {spell:.1}"#),
        3 => format!(
            r#"kind = "late_reports", share = {share:.2}, for_next = true, for_s = {spell:.1}"#
        ),
        4 => format!(r#"kind = "machine_deaf", count = {machines}, for_s = {spell:.1}"#),
        5 => format!(r#"kind = "machine_deaf", zone = "{zone}", for_s = {spell:.1}"#),
        6 => format!(r#"kind = "machine_mute", share = {share:.2}, for_s = {spell:.1}"#),
        7 => format!(r#"kind = "machine_mute", zone = "{zone}", for_s = {spell:.1}"#),
        8 => format!(
            r#"kind = "node_cut", {leader}, from_state = true, from_peers = true, for_s = {spell:.1}, mode = "{mode}""#
        ),
        9 => format!(
            r#"kind = "node_cut", {leader}, from_state = true, for_s = {short:.1}, mode = "refuse""#
        ),
        10 => format!(
            r#"kind = "node_cut", {leader}, from_workers = true, for_s = {spell:.1}, mode = "{mode}""#
        ),
        11 => format!(
            r#"kind = "cancel_now", count = {}"#,
            random.random_range(3..25)
        ),
        12 => format!(
            r#"kind = "cancel_now", count = {}, hang_s = {spell:.1}"#,
            random.random_range(3..25)
        ),
        13 => format!(r#"kind = "cancel_at_end", share = {share:.2}, for_s = {spell:.1}"#),
        14 => format!(r#"kind = "odd_requests", for_s = {spell:.1}"#),
        15 => format!(r#"kind = "close_looks", for_s = {spell:.1}"#),
        16 => format!(r#"kind = "late_commands", share = {share:.2}, for_s = {spell:.1}"#),
        17 => format!(r#"kind = "node_crash", {leader}"#),
        18 => r#"kind = "node_crash", count = 9, busiest = true"#.to_string(),
        19 => format!(r#"kind = "node_freeze", {leader}, for_s = {short:.1}"#),
        20 => format!(r#"kind = "state_outage", for_s = {spell:.1}"#),
        21 => format!(r#"kind = "zone_cut", zone = "{zone}", for_s = {spell:.1}, mode = "{mode}""#),
        22 => format!(r#"kind = "machine_hang", count = {machines}, for_s = {short:.1}"#),
        _ => format!(
            r#"kind = "node_roll", every_s = {:.1}"#,
            random.random_range(1.0..12.0)
        ),
    }
}

/// One day as a TOML file.
fn day(options: &Options, seed: u64) -> String {
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
    let step = (options.duration - QUIET_S) / f64::from(options.clusters);
    for cluster in 0..options.clusters {
        let begins = QUIET_S + step * (f64::from(cluster) + random.random_range(0.0..0.4));
        for _ in 0..random.random_range(1..=options.most) {
            let at = begins + random.random_range(0.0..CLUSTER_S);
            let fault = fault(&mut random, &options.zone);
            let _ = writeln!(text, "  {{ at_s = {at:.2}, {fault} }},");
        }
    }
    text.push_str("]\n");
    text
}

fn main() -> ExitCode {
    let options = Options::parse();
    if options.duration <= QUIET_S {
        eprintln!("draw_days: --duration must be more than {QUIET_S} seconds");
        return ExitCode::from(2);
    }
    for seed in options.seed..options.seed + options.count {
        let path = options.out.join(format!("drawn-{seed}.toml"));
        if let Err(error) = std::fs::write(&path, day(&options, seed)) {
            eprintln!("draw_days: {}: {error}", path.display());
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
