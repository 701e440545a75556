//! State shared by all simulated components: machines, jobs, active faults, and the records
//! of the checkers.

use crate::{
    TEAM_QUOTA_CPUS, fault_settings::FaultSettings, machines::SimWorker,
    repeated_requests::RepeatedRequests, store::Store, users::JobShape,
};
use rand::{SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_protocol::workers::DirectCommands;

/// Default boot time of a machine, in seconds.
const DEFAULT_BOOT_TIME_S: f64 = 2.0;

/// Default seed of the random number generator.
const DEFAULT_SEED: u64 = 1;

/// Name of the machine type that the cloud offers by default.
pub(crate) const DEFAULT_MACHINE_TYPE: &str = "c8";

/// A machine rented from the cloud.
pub(crate) struct RentedMachine {
    /// When it was rented, in seconds of simulated time.
    pub(crate) rented_at: f64,
    /// Name of its machine type.
    pub(crate) machine_type: String,
    /// Zone of the machine.
    pub(crate) zone: String,
}

/// The start of a task on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// When it started, in seconds of simulated time.
    pub started_at: f64,
    /// Name of the task: `<job id>/<task number>`.
    pub task: String,
    /// Name of the worker.
    pub worker: String,
}

/// A message whose delivery is delayed.
pub(crate) struct DelayedMessage {
    /// When it is delivered, in seconds of simulated time.
    pub(crate) due_at: f64,
    /// Body of the message.
    pub(crate) body: Vec<u8>,
}

/// Direct commands to a worker whose delivery is delayed.
pub(crate) struct DelayedCommands {
    /// Name of the worker.
    pub(crate) worker: String,
    /// The request that carries the commands.
    pub(crate) message: DelayedMessage,
}

impl DelayedCommands {
    /// The request that carries the commands, decoded.
    pub(crate) fn decode(&self) -> DirectCommands {
        serde_json::from_slice(&self.message.body).unwrap()
    }
}

/// State of the simulated store, cloud, workers and users, and of the checkers.
pub struct SimState {
    /// Active faults, which tests set.
    pub faults: FaultSettings,
    pub(crate) store: Store,
    /// Rented machines by name, including those that are still booting.
    pub(crate) machines: BTreeMap<String, RentedMachine>,
    /// Workers on booted machines, by name of the machine.
    pub(crate) workers: BTreeMap<String, SimWorker>,
    /// Shapes of jobs, by job id.
    pub(crate) job_shapes: HashMap<String, JobShape>,
    /// Names of the rented machines, by id of the rental request.
    pub(crate) rentals: HashMap<String, Vec<String>>,
    /// The first rental request made under each request id.
    pub(crate) rental_requests: HashMap<String, String>,
    /// Number of the next machine.
    pub(crate) next_machine_number: u32,
    /// Boot time of a machine, in seconds.
    pub boot_time_s: f64,
    /// Names of the machine types that the cloud offers, cheapest first. They differ in
    /// nothing but the price.
    pub machine_types: Vec<String>,
    /// Zones in which the cloud offers machines.
    pub zones: Vec<&'static str>,
    /// Quota of each team: total CPUs that its running tasks may use.
    pub team_quota_cpus: f64,
    /// Addresses at which workers accept direct commands, by worker; a worker without an
    /// entry is addressed by its name.
    pub endpoints: HashMap<String, String>,
    /// Direct commands that are not delivered yet.
    pub(crate) delayed_commands: Vec<DelayedCommands>,
    /// Duplicates of heartbeats that are not delivered yet.
    pub(crate) delayed_heartbeats: Vec<DelayedMessage>,
    /// Number of the last heartbeat that a worker sent.
    pub(crate) last_heartbeat_number: u64,
    /// Copies of requests that were executed and answered.
    pub(crate) repeated_requests: RepeatedRequests,
    /// Copies of heartbeats for [`crate::Simulation::replay_captured_heartbeats`].
    pub(crate) captured_heartbeats: Vec<Vec<u8>>,
    /// When users were first told that a job is cancelled, by job id, in seconds of
    /// simulated time.
    pub(crate) cancelled_at: HashMap<String, f64>,
    /// Names of completed tasks.
    pub(crate) completed_tasks: BTreeSet<String>,
    /// The worker on which an attempt was first started, by task and attempt number.
    pub(crate) attempt_workers: HashMap<(String, u64), String>,
    /// All task starts so far, in order.
    pub starts: Vec<TaskStart>,
    /// Number of tasks that were running on machines when these were returned to the cloud.
    pub returned_running_tasks: u32,
    /// Number of direct command requests that workers rejected because of an old fencing
    /// token or another incarnation.
    pub rejected_commands: u32,
    /// Descriptions of the violations of invariants found so far, except those that the
    /// store found.
    pub violations: Vec<String>,
    /// Random number generator for faults and for the controllers' seeds.
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
            next_machine_number: 0,
            boot_time_s: DEFAULT_BOOT_TIME_S,
            machine_types: vec![DEFAULT_MACHINE_TYPE.into()],
            zones: vec!["a"],
            team_quota_cpus: TEAM_QUOTA_CPUS,
            endpoints: HashMap::new(),
            delayed_commands: Vec::new(),
            delayed_heartbeats: Vec::new(),
            last_heartbeat_number: 0,
            repeated_requests: RepeatedRequests::default(),
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
    /// Violations found by all checkers: those of the workers and the cloud, and the
    /// placement batches that the store found to be written incorrectly.
    pub fn all_violations(&self) -> Vec<String> {
        let batches = self.store.invalid_batches.iter();
        let batches =
            batches.map(|batch| format!("placement batch reused or in a wrong term: {batch}"));
        self.violations.iter().cloned().chain(batches).collect()
    }

    /// Address at which a worker accepts direct commands.
    pub(crate) fn endpoint<'a>(&'a self, worker: &'a str) -> &'a str {
        self.endpoints.get(worker).map_or(worker, String::as_str)
    }

    /// Returns the name for a new machine.
    pub(crate) fn next_machine_name(&mut self) -> String {
        let name = format!("host-{:06}", self.next_machine_number);
        self.next_machine_number += 1;
        name
    }
}
