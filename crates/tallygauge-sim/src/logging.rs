//! Log output with simulated timestamps.

use tokio::time::Instant;
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};

/// Prefixes each log line with the simulated time since this value was created, in seconds.
struct SimulatedTime(Instant);

impl FormatTime for SimulatedTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> std::fmt::Result {
        write!(writer, "{:8.3}", self.0.elapsed().as_secs_f64())
    }
}

/// Prints the log of the simulation and its controllers from now on, with simulated timestamps
/// and the names of the controllers. The environment variable `LOG_LEVEL` sets the level
/// (default: info). Use it only in a process that runs a single simulation, as the subscriber
/// is global.
pub fn show_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let result = tracing_subscriber::fmt()
        .with_max_level(level.parse().unwrap_or(tracing::Level::INFO))
        .with_timer(SimulatedTime(Instant::now()))
        .with_ansi(false)
        .with_target(false)
        .try_init();
    if let Err(error) = result {
        eprintln!("cannot show the log: {error}");
    }
}
