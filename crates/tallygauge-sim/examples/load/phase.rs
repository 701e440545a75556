//! Phases of the measurement, and the table in which they are printed.

use crate::program::{Program, Usage};
use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Instant,
};

/// Numbers of requests so far between the program and the simulated components.
#[derive(Default)]
pub struct RequestCounts {
    pub heartbeats: AtomicU64,
    pub direct_commands: AtomicU64,
    pub store: AtomicU64,
    pub cloud: AtomicU64,
}

impl RequestCounts {
    /// The counts in the order of the table's columns.
    fn by_column(&self) -> [u64; 4] {
        let counts = [
            &self.heartbeats,
            &self.direct_commands,
            &self.store,
            &self.cloud,
        ];
        counts.map(|count| count.load(Relaxed))
    }
}

/// Resource usage, request counts and time at the start of a phase.
pub struct Phase {
    usage: Usage,
    counts: [u64; 4],
    started_at: Instant,
}

impl Phase {
    /// Starts a phase; `usage` is the program's resource usage so far.
    pub fn start(usage: Usage, counts: &RequestCounts) -> Self {
        Self {
            usage,
            counts: counts.by_column(),
            started_at: Instant::now(),
        }
    }

    /// Prints the table row of the phase: CPU time and requests since its start, and the
    /// current memory.
    pub fn print(&self, name: &str, program: &Program, counts: &RequestCounts) {
        let usage = program.usage();
        let user_s = usage.user_s - self.usage.user_s;
        let system_s = usage.system_s - self.usage.system_s;
        let now = counts.by_column();
        let [heartbeats, direct_commands, store, cloud] =
            std::array::from_fn(|column| now[column] - self.counts[column]);
        let seconds = self.started_at.elapsed().as_secs_f64();
        let requests = (heartbeats + direct_commands + store + cloud).max(1) as f64;
        println!(
            "| {name} | {seconds:.1} | {:.0} + {:.0} | {heartbeats} | {direct_commands} | {store} | {cloud} | {:.0} | {:.2}% | {:.1} |",
            user_s * 1e3,
            system_s * 1e3,
            (user_s + system_s) * 1e6 / requests,
            (user_s + system_s) / seconds * 100.0,
            usage.memory_mb,
        );
    }
}

/// Prints the header of the table.
pub fn print_header() {
    println!(
        "| phase | s | user + system, ms | reports | direct | state | cloud | us a request | of a core | MB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
}
