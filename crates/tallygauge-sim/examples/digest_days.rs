//! Plays drawn days and prints for each a digest of all messages that pass between
//! controllers, state service, cloud, workers and users. Two revisions that print
//! the same lines behave alike on these days.
//!
//! `cargo run --release -p tallygauge-sim --example digest_days -- --first-seed 1
//! --seeds 200`

use clap::Parser;
use tallygauge_sim::drawn_days::{digest_of_day, messages_of_day, play_each};

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
    let processors = std::thread::available_parallelism().map_or(4, usize::from);
    let threads = options.threads.unwrap_or(processors).max(1);
    if options.messages {
        let days = play_each(options.first_seed..=options.first_seed, 1, messages_of_day);
        for message in days.iter().flat_map(|day| &day.1) {
            println!("{message}");
        }
        return;
    }
    let last_seed = options.first_seed + options.seeds - 1;
    let days = play_each(options.first_seed..=last_seed, threads, digest_of_day);
    for (seed, (digest, requests)) in days {
        println!("{seed} {digest} {requests}");
    }
}
