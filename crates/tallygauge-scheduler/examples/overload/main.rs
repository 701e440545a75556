//! Simulates days with more work than capacity and prints which fraction of the jobs of
//! each class and team is served, next to the upper bound of what can be reached. Compare
//! runs with and without a minimum share (`--share 0`).
//!
//! `cargo run --release -p tallygauge-scheduler --example overload -- --help`
//!
//! The cluster state is the real one; machines, tasks and time are simulated. All jobs
//! are submitted in the first two fifths of the day.

mod day;

use clap::Parser;
use day::{BULK, CPUS, Class, Day, FIX, RUSH, Setup, SubmittedJob, draw_jobs};

/// Simulates days with more work than capacity.
#[derive(Parser, Debug, Clone)]
struct Args {
    /// Machines of 32 CPUs
    #[arg(long, default_value_t = 400)]
    machines: usize,
    /// Work that comes, against what the machines can do
    #[arg(long, default_value_t = 2.0)]
    load: f64,
    /// Part of the work that is urgent
    #[arg(long, default_value_t = 0.7)]
    urgent: f64,
    /// Teams
    #[arg(long, default_value_t = 16)]
    teams: usize,
    /// Seconds of the day
    #[arg(long, default_value_t = 1000.0)]
    seconds: f64,
    /// Seeds, simulated in turn
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Minimum share; 0: none
    #[arg(long, default_value_t = 0.65)]
    share: f64,
    /// Part of the machines that is cut off for a tenth of the day
    #[arg(long, default_value_t = 0.0)]
    cut: f64,
    /// Hard cases besides: a team with large jobs only, jobs of one zone
    #[arg(long)]
    hard: bool,
}

/// Fraction of the day, from its start, in which jobs are submitted.
const ARRIVAL_FRACTION: f64 = 0.4;

fn classes(args: &Args) -> Vec<Class> {
    let (urgent_load, normal_load) = (args.load * args.urgent, args.load * (1.0 - args.urgent));
    let with_load = |class: Class, load: f64| Class { load, ..class };
    let mut classes = vec![
        with_load(BULK, normal_load),
        with_load(RUSH, urgent_load * 0.6),
        with_load(FIX, urgent_load * 0.4),
    ];
    if args.hard {
        classes[0].load *= 0.6;
        classes.push(Class {
            name: "whole",
            cpus: CPUS,
            median_tasks: 20.0,
            team: Some(0),
            load: normal_load * 0.2,
            ..BULK
        });
        classes.push(Class {
            name: "bound",
            cpus: 8.0,
            zone: Some("a"),
            load: normal_load * 0.2,
            ..BULK
        });
    }
    classes
}

fn main() {
    let args = Args::parse();
    let setup = Setup {
        machines: args.machines,
        teams: args.teams,
        duration_s: args.seconds,
        minimum_share: args.share,
        partitioned_fraction: args.cut,
        classes: classes(&args),
    };
    for seed in 1..=args.seeds {
        let mut day = Day::new(&setup);
        day.run(
            draw_jobs(&setup, args.seconds * ARRIVAL_FRACTION, seed),
            |_, _| {},
        );
        print!("seed {seed}: {:5} jobs |", day.jobs.len());
        for (index, class) in setup.classes.iter().enumerate() {
            let (_, done_fraction, in_time_fraction) = day.served(|job| job.class == index);
            print!(
                " {} {done_fraction:.2} ({in_time_fraction:.2} in time)",
                class.name
            );
        }
        let team_shares = (0..args.teams).map(|index| day.served(|job| job.team == index).1);
        let done_cpu_s: f64 = day
            .jobs
            .values()
            .filter(|job| job.done_at.is_some())
            .map(SubmittedJob::cpu_seconds)
            .sum();
        let capacity_cpu_s = args.machines as f64 * CPUS * args.seconds * (1.0 - args.cut * 0.1);
        let mean_ms =
            |times_s: &[f64]| times_s.iter().sum::<f64>() / times_s.len().max(1) as f64 * 1e3;
        let max_ms = |times_s: &[f64]| times_s.iter().copied().fold(0.0, f64::max) * 1e3;
        println!(
            " | least team {:.2} | possible {:.2} of classes, {:.2} of teams | done {:.2} of the CPU time | {} starts, {} stops | round {:.2} ms, at most {:.1}; election {:.2}, at most {:.1}",
            team_shares.fold(1.0, f64::min),
            day.attainable_share(setup.classes.len(), |job| job.class),
            day.attainable_share(args.teams, |job| job.team),
            done_cpu_s / capacity_cpu_s,
            day.started,
            day.stopped,
            mean_ms(&day.round_times_s),
            max_ms(&day.round_times_s),
            mean_ms(&day.selection_times_s),
            max_ms(&day.selection_times_s),
        );
    }
}
