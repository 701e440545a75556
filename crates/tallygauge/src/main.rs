//! The `tallygauge` program.

use clap::Parser;
use std::{path::PathBuf, process::ExitCode};
use tallygauge::{
    operator_settings::OperatorSettings, settings::Settings, settings_error::SettingsFileError,
};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::{Layer, filter::Targets, layer::SubscriberExt, util::SubscriberInitExt};

/// Environment variable of the log level: `debug`, `info` or `error`.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";

/// Exit code if a settings file can't be read or is invalid.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

/// A controller of the tallygauge cluster scheduler.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings (JSON).
    #[arg(long, value_name = "PATH")]
    config: PathBuf,
    /// The operators' settings (XML); defaults apply if absent.
    #[arg(long, value_name = "PATH")]
    settings: Option<PathBuf>,
    /// Validates the settings and exits.
    #[arg(long)]
    check: bool,
}

/// Reads and validates both settings files.
fn load_settings(arguments: &Arguments) -> Result<(Settings, OperatorSettings), SettingsFileError> {
    let settings = Settings::load(&arguments.config)?;
    let operator_settings = match &arguments.settings {
        Some(path) => OperatorSettings::load(path)?,
        None => OperatorSettings::default(),
    };
    Ok((settings, operator_settings))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (settings, operator_settings) = match load_settings(&arguments) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("tallygauge: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    init_logging();
    match run(settings, operator_settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "controller failed");
            ExitCode::FAILURE
        }
    }
}

/// Installs logging to standard error, at the level given by the environment.
/// Libraries log only errors, since operators follow the scheduler and not its
/// connections.
fn init_logging() {
    let level = match std::env::var(LOG_LEVEL_VARIABLE).as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    let targets = Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("tallygauge", level)
        .with_target("warp", LevelFilter::OFF);
    let format = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry()
        .with(format.with_filter(targets))
        .init();
}

/// Runs the controller on a single-threaded Tokio runtime until it fails.
fn run(
    settings: Settings,
    operator_settings: OperatorSettings,
) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(tallygauge::run(settings, operator_settings))
}
