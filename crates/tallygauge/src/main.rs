//! The `tallygauge` program.

use clap::Parser;
use std::{path::PathBuf, process::ExitCode};
use tallygauge::{settings::Settings, tuning::Tuning};
use tracing::level_filters::LevelFilter;

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

fn load(arguments: &Arguments) -> Result<(Settings, Tuning), String> {
    let settings = Settings::load(&arguments.config)?;
    let tuning = match &arguments.settings {
        Some(path) => Tuning::load(path)?,
        None => Tuning::default(),
    };
    Ok((settings, tuning))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (settings, tuning) = match load(&arguments) {
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
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level)
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(tallygauge::run(settings, tuning)),
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
