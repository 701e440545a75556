//! The program under measurement.

use serde_json::Value;
use std::{
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
};

/// Clock ticks per second, the unit of CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Index of the user time in `/proc/<pid>/stat`, counted from the field after the process's
/// name.
const USER_TIME_FIELD: usize = 11;

/// Index of the system time, counted in the same way.
const SYSTEM_TIME_FIELD: usize = 12;

/// The process under measurement. It is kept here so that the panic hook can kill it.
static PROCESS: Mutex<Option<Child>> = Mutex::new(None);

/// The program's path and its settings file, which is deleted on drop.
pub struct ProgramConfig {
    program: PathBuf,
    settings_path: PathBuf,
}

impl ProgramConfig {
    /// Writes the settings file.
    pub fn write(program: &Path, settings: &Value) -> Self {
        let file_name = format!("tallygauge-load-{}.json", std::process::id());
        let settings_path = std::env::temp_dir().join(file_name);
        std::fs::write(&settings_path, settings.to_string()).expect("settings");
        Self {
            program: program.to_path_buf(),
            settings_path,
        }
    }
}

impl Drop for ProgramConfig {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

/// A running process of the program, which is killed on drop.
pub struct Program {
    process_id: u32,
}

/// CPU time and memory of a process.
#[derive(Clone, Copy, Default)]
pub struct Usage {
    /// CPU time in user mode, in seconds.
    pub user_s: f64,
    /// CPU time in kernel mode, in seconds.
    pub system_s: f64,
    /// Resident memory, in MiB.
    pub memory_mb: f64,
}

impl Program {
    /// Starts the program.
    pub fn start(config: &ProgramConfig) -> Self {
        let log_level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into());
        let child = Command::new(&config.program)
            .arg("--config")
            .arg(&config.settings_path)
            .stdout(Stdio::null())
            .env("LOG_LEVEL", log_level)
            .spawn()
            .expect("the program, as cargo build --release makes it");
        let process_id = child.id();
        *PROCESS.lock().unwrap() = Some(child);
        Self { process_id }
    }

    /// Resource usage of the process so far, as counted by the kernel.
    pub fn usage(&self) -> Usage {
        let id = self.process_id;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let seconds = |field: usize| fields[field].parse::<f64>().expect("ticks") / TICKS_PER_S;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("status");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory_kb = memory.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        Usage {
            user_s: seconds(USER_TIME_FIELD),
            system_s: seconds(SYSTEM_TIME_FIELD),
            memory_mb: memory_kb.unwrap_or_default() / 1024.0,
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        kill_process();
    }
}

/// Kills the program when this process panics.
pub fn kill_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        kill_process();
    }));
}

fn kill_process() {
    if let Ok(Some(mut child)) = PROCESS.try_lock().map(|mut process| process.take()) {
        let _ = child.kill();
        let _ = child.wait();
    }
}
