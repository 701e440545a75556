//! The `tallygauge` program.

use clap::Parser;
use std::{path::PathBuf, process::ExitCode};
use tallygauge::{
    operator_settings::OperatorSettings, settings::Settings, settings_error::SettingsFileError,
};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::{Layer, filter::Targets, layer::SubscriberExt, util::SubscriberInitExt};

/// A controller of the tallygauge cluster scheduler.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// The platform's settings (JSON).
    #[arg(long, value_name = "PATH")]
    config: PathBuf,
    /// Operators' own settings (XML); defaults where absent.
    #[arg(long, value_name = "PATH")]
    settings: Option<PathBuf>,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

/// Reads and checks both settings files.
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
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    // Libraries are heard only when something is wrong: an operator follows
    // the scheduler, not its connections.
    let ours = Targets::new()
        .with_default(LevelFilter::ERROR)
        .with_target("tallygauge", level)
        .with_target("warp", LevelFilter::OFF);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    tracing_subscriber::registry()
        .with(lines.with_filter(ours))
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(tallygauge::run(settings, operator_settings)),
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "ends");
            ExitCode::FAILURE
        }
    }
}
