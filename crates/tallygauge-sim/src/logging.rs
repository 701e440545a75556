//! Shows the log of controllers with simulated time.

use tokio::time::Instant;
use tracing_subscriber::fmt::{format::Writer, time::FormatTime};

/// Prefixes each log line with the seconds of simulated time since the start.
struct SimulatedTime(Instant);

impl FormatTime for SimulatedTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> std::fmt::Result {
        write!(writer, "{:8.3}", self.0.elapsed().as_secs_f64())
    }
}

/// Shows what controllers log from here on, with simulated time and their names, at the
/// level of the environment variable `LOG_LEVEL`. Meant for a process that runs one
/// simulation, as the subscriber is global.
pub fn show_log() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_default();
    let result = tracing_subscriber::fmt()
        .with_max_level(level.parse().unwrap_or(tracing::Level::INFO))
        .with_timer(SimulatedTime(Instant::now()))
        .with_ansi(false)
        .with_target(false)
        .try_init();
    if let Err(error) = result {
        eprintln!("the log is not shown: {error}");
    }
}
