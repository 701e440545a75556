//! Days with more work than capacity: what part of each class and team is served, with
//! and without a minimum share, against what is possible at all.
//!
//! `cargo run --release -p tallygauge-scheduler --example overload -- --help`
//!
//! The cluster state is the real one; machines, tasks and time are simulated. Jobs
//! arrive in the first two fifths of the day.

mod day;

use clap::Parser;
use day::{BULK, CPUS, Class, Day, FIX, Facts, RUSH, Setup, draw};

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

/// Part of the day in which jobs arrive.
const ARRIVAL_PART: f64 = 0.4;

fn classes(args: &Args) -> Vec<Class> {
    let (urgent, rest) = (args.load * args.urgent, args.load * (1.0 - args.urgent));
    let with = |class: Class, load: f64| Class { load, ..class };
    let mut out = vec![
        with(BULK, rest),
        with(RUSH, urgent * 0.6),
        with(FIX, urgent * 0.4),
    ];
    if args.hard {
        out[0].load *= 0.6;
        out.push(Class {
            name: "whole",
            cpus: CPUS,
            tasks: 20.0,
            team: Some(0),
            load: rest * 0.2,
            ..BULK
        });
        out.push(Class {
            name: "bound",
            cpus: 8.0,
            zone: Some("a"),
            load: rest * 0.2,
            ..BULK
        });
    }
    out
}

fn main() {
    let args = Args::parse();
    let setup = Setup {
        machines: args.machines,
        teams: args.teams,
        seconds: args.seconds,
        share: args.share,
        cut: args.cut,
        classes: classes(&args),
    };
    for seed in 1..=args.seeds {
        let mut day = Day::new(&setup);
        day.run(draw(&setup, args.seconds * ARRIVAL_PART, seed), |_, _| {});
        print!("seed {seed}: {:5} jobs |", day.jobs.len());
        for (n, class) in setup.classes.iter().enumerate() {
            let (_, done, timely) = day.served(|f| f.class == n);
            print!(" {} {done:.2} ({timely:.2} in time)", class.name);
        }
        let teams = (0..args.teams).map(|n| day.served(|f| f.team == n).1);
        let done: f64 = day
            .jobs
            .values()
            .filter(|f| f.done_at.is_some())
            .map(Facts::work)
            .sum();
        let capacity = args.machines as f64 * CPUS * args.seconds * (1.0 - args.cut * 0.1);
        let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64 * 1e3;
        let max = |all: &[f64]| all.iter().copied().fold(0.0, f64::max) * 1e3;
        println!(
            " | least team {:.2} | possible {:.2} of classes, {:.2} of teams | done {:.2} of the CPU time | {} starts, {} stops | round {:.2} ms, at most {:.1}; election {:.2}, at most {:.1}",
            teams.fold(1.0, f64::min),
            day.possible(setup.classes.len(), |f| f.class),
            day.possible(args.teams, |f| f.team),
            done / capacity,
            day.started,
            day.stopped,
            mean(&day.rounds),
            max(&day.rounds),
            mean(&day.elections),
            max(&day.elections),
        );
    }
}
