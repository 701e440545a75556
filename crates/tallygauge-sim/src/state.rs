//! The state that all stand-ins share: machines, jobs, faults in force and what the
//! checkers have recorded.

use crate::{
    TEAM_QUOTA_CPUS, fault_settings::FaultSettings, machines::SimWorker, store::Store,
    users::JobShape,
};
use rand::{SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Seconds that a machine takes to boot unless a test sets another time.
const DEFAULT_BOOT_TIME_S: f64 = 2.0;

/// Seed of the random numbers unless a test sets another one.
const DEFAULT_SEED: u64 = 1;

/// A machine that was rented from the cloud.
pub(crate) struct RentedMachine {
    /// When it was rented, in seconds of simulated time.
    pub(crate) rented_at: f64,
    /// The zone in which it is.
    pub(crate) zone: String,
}

/// A task that was started on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// When it started, in seconds of simulated time.
    pub started_at: f64,
    /// Name of the task: the job's id, a slash and the task's number.
    pub task: String,
    /// Name of the worker.
    pub worker: String,
}

/// A message that will be delivered later.
pub(crate) struct DelayedMessage {
    /// When it is due, in seconds of simulated time.
    pub(crate) due_at: f64,
    /// The message.
    pub(crate) body: Vec<u8>,
}

/// Direct commands that will be delivered to a worker later.
pub(crate) struct DelayedCommands {
    /// Name of the worker.
    pub(crate) worker: String,
    /// The request that carries the commands.
    pub(crate) message: DelayedMessage,
}

/// What is known to the stand-ins of store, cloud, workers and users, and to the
/// checkers.
pub struct SimState {
    /// Faults in force. Tests set them.
    pub faults: FaultSettings,
    pub(crate) store: Store,
    /// Rented machines by name, booted or not.
    pub(crate) machines: BTreeMap<String, RentedMachine>,
    /// Workers of booted machines, by the machine's name.
    pub(crate) workers: BTreeMap<String, SimWorker>,
    /// Shapes of jobs by the job's id.
    pub(crate) job_shapes: HashMap<String, JobShape>,
    /// Names of the machines that each rental request rented.
    pub(crate) rentals: HashMap<String, Vec<String>>,
    /// The first request made under each request id.
    pub(crate) rental_requests: HashMap<String, String>,
    pub(crate) next_machine: u32,
    /// Seconds that a machine takes to boot.
    pub boot_time_s: f64,
    /// Zones in which the cloud offers machines.
    pub zones: Vec<&'static str>,
    /// CPUs that the tasks of one team may use together.
    pub team_quota_cpus: f64,
    /// Addresses at which workers accept direct commands; a worker that has none here is
    /// addressed by its name.
    pub endpoints: HashMap<String, String>,
    /// Direct commands on their way.
    pub(crate) delayed_commands: Vec<DelayedCommands>,
    /// Copies of heartbeats on their way.
    pub(crate) delayed_heartbeats: Vec<DelayedMessage>,
    /// Copies kept for [`crate::Simulation::replay_captured_heartbeats`].
    pub(crate) captured_heartbeats: Vec<Vec<u8>>,
    /// When users were first told that a job is cancelled, by the job's id.
    pub(crate) cancelled_at: HashMap<String, f64>,
    /// Tasks that completed.
    pub(crate) completed_tasks: BTreeSet<String>,
    /// The worker that each attempt, by task and number, was started on.
    pub(crate) attempt_workers: HashMap<(String, u64), String>,
    /// Task starts so far, in order.
    pub starts: Vec<TaskStart>,
    /// Tasks that were running on machines when these were returned to the cloud.
    pub returned_running_tasks: u32,
    /// Direct commands that workers rejected for an old fencing token or incarnation.
    pub rejected_commands: u32,
    /// Invariants that were violated, in words.
    pub violations: Vec<String>,
    /// Random numbers for faults and for the controllers' seeds.
    pub(crate) random: StdRng,
}

impl Default for SimState {
    fn default() -> Self {
        Self {
            faults: FaultSettings::default(),
            store: Store::default(),
            machines: BTreeMap::new(),
            workers: BTreeMap::new(),
            job_shapes: HashMap::new(),
            rentals: HashMap::new(),
            rental_requests: HashMap::new(),
            next_machine: 0,
            boot_time_s: DEFAULT_BOOT_TIME_S,
            zones: vec!["a"],
            team_quota_cpus: TEAM_QUOTA_CPUS,
            endpoints: HashMap::new(),
            delayed_commands: Vec::new(),
            delayed_heartbeats: Vec::new(),
            captured_heartbeats: Vec::new(),
            cancelled_at: HashMap::new(),
            completed_tasks: BTreeSet::new(),
            attempt_workers: HashMap::new(),
            starts: Vec::new(),
            returned_running_tasks: 0,
            rejected_commands: 0,
            violations: Vec::new(),
            random: StdRng::seed_from_u64(DEFAULT_SEED),
        }
    }
}

impl SimState {
    /// Violations found by all checkers: those of workers and cloud, and keys of the
    /// store that were used twice.
    pub fn all_violations(&self) -> Vec<String> {
        let reused = self.store.reused_keys.iter();
        let reused = reused.map(|key| format!("{key} is written anew"));
        self.violations.iter().cloned().chain(reused).collect()
    }

    /// The address at which a worker accepts direct commands.
    pub(crate) fn endpoint<'a>(&'a self, worker: &'a str) -> &'a str {
        self.endpoints.get(worker).map_or(worker, String::as_str)
    }

    /// Names the next machine.
    pub(crate) fn next_machine_name(&mut self) -> String {
        let name = format!("host-{:06}", self.next_machine);
        self.next_machine += 1;
        name
    }
}
