//! Runs randomized scenarios and prints for each a digest of all messages exchanged between
//! controllers, store, cloud, workers and users. Two revisions that print the same lines
//! behave identically in these scenarios.
//!
//! `cargo run --release -p tallygauge-sim --example digest_days -- --first-seed 1
//! --seeds 200`

use clap::Parser;
use tallygauge_sim::scenario::{run_each_seed, scenario_digest, scenario_messages};

#[derive(Parser)]
#[command(about = "Prints seed, digest and number of requests of drawn days")]
struct Options {
    /// Seed of the first day; the next has the next seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Days to play.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
    /// Days played at once; as many as there are processors if not given.
    #[arg(long)]
    threads: Option<usize>,
    /// Prints every message of the first day instead, to be compared line by line.
    #[arg(long)]
    messages: bool,
}

fn main() {
    let options = Options::parse();
    if options.messages {
        print_messages(options.first_seed);
    } else {
        print_digests(&options);
    }
}

/// Prints every message of the scenario with this seed.
fn print_messages(seed: u64) {
    let scenarios = run_each_seed(seed..=seed, 1, scenario_messages);
    for (_, messages) in scenarios {
        for message in messages {
            println!("{message}");
        }
    }
}

/// Prints the seed, the digest and the number of requests of each scenario, one per line.
fn print_digests(options: &Options) {
    let processors = std::thread::available_parallelism().map_or(4, usize::from);
    let threads = options.threads.unwrap_or(processors).max(1);
    let last_seed = options.first_seed + options.seeds - 1;
    let scenarios = run_each_seed(options.first_seed..=last_seed, threads, scenario_digest);
    for (seed, (digest, requests)) in scenarios {
        println!("{seed} {digest} {requests}");
    }
}
