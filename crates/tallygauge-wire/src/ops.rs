//! What operators' clients and controllers say to each other: HTTP/1.1 with
//! JSON, version 1, beside the users' interface.
//!
//! Times are seconds since 1970 (UTC), durations seconds, amounts decimal
//! numbers. Readers ignore fields that they do not know. `docs/operators.md`
//! lists the paths.

use crate::users::{JobSpec, JobStatus, Priority, Shape};
use serde::{Deserialize, Serialize};

/// Most rows of one page.
pub const MAX_PAGE: usize = 500;

/// What a caller may do, least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// See everything.
    See,
    /// Also submit and cancel jobs.
    Submit,
    /// Also drain and release.
    Operate,
}

impl Role {
    /// All roles, least first.
    pub const ALL: [Role; 3] = [Role::See, Role::Submit, Role::Operate];

    /// The word for it.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Role::See => "see",
            Role::Submit => "submit",
            Role::Operate => "operate",
        }
    }

    /// The role of a word.
    #[must_use]
    pub fn of_word(word: &str) -> Option<Self> {
        Role::ALL.into_iter().find(|r| r.word() == word)
    }
}

/// Body of every answer that is no success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// A sentence for people.
    pub error: String,
}

/// How old a listing is, and whose.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AsOf {
    /// When the leader published it.
    pub time: f64,
    /// Its term.
    pub term: u64,
    /// Its name.
    pub leader: String,
}

/// A job in a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Id.
    pub id: String,
    /// State.
    pub status: JobStatus,
    /// Team; `None`: over, and not known any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Priority; `None`: over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// Array or service; `None`: over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shape: Option<Shape>,
    /// Tasks; `None`: over, and not known any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
    /// Tasks done.
    pub done: u32,
    /// Tasks on a machine.
    pub running: u32,
    /// Tasks without a machine.
    pub waiting: u32,
    /// Failures since the last success.
    pub errors: u32,
    /// When it was accepted; `None`: over, and not known any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<f64>,
    /// When it should be complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due: Option<f64>,
    /// When it was over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<f64>,
}

/// A page of jobs, by id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    /// How old.
    pub as_of: AsOf,
    /// Jobs.
    pub jobs: Vec<JobRow>,
    /// Where the next page starts after, if there is one. A page may be short,
    /// even empty, and still have a next one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A task that is on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Its job.
    pub job: String,
    /// Its number.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
    /// Machine.
    pub machine: String,
    /// `starting`, `fetching`, `running`, `saving`, `stopping` or `lost` (on a
    /// machine that nothing is heard of).
    pub state: String,
    /// When it was placed.
    pub placed: f64,
    /// Seconds that it has run in this attempt.
    pub ran_s: f64,
    /// Progress that it began with, seconds.
    pub saved_s: f64,
}

/// One job with its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// The job.
    pub job: JobRow,
    /// As submitted; `None`: over.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Tasks that are on machines, by machine.
    pub tasks: Vec<TaskRow>,
    /// Whether there are more than these.
    pub more_tasks: bool,
}

/// One reason why tasks of a job do not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WhyReason {
    /// `team_limit`, `no_room`, `no_capacity`, `behind`, `room`, `retry`,
    /// `out_of_reach`, `fetching`, `starting` or `stopping`.
    pub code: String,
    /// The same as a sentence.
    pub text: String,
}

/// Why tasks of a job do not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WhyAnswer {
    /// The job.
    pub job: JobRow,
    /// Whether it fits its team's guarantee.
    pub within_guarantee: bool,
    /// Reasons, the most telling first; empty when all its tasks run.
    pub reasons: Vec<WhyReason>,
}

/// A machine in a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRow {
    /// Name.
    pub name: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// `booting`, `up`, `quiet` (not heard for a while), `noticed` (the cloud
    /// takes it), `draining`, `drained` (empty, and kept) or `leaving`.
    pub state: String,
    /// Why it leaves, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// CPUs; 0 while its type is unknown.
    pub cpus: f64,
    /// CPUs that nothing is on.
    pub cpus_free: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Memory that nothing is on, GB.
    pub memory_free_gb: f64,
    /// Tasks on it.
    pub tasks: u32,
    /// When it was rented, as far as known.
    pub rented: f64,
    /// When anything was last heard of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard: Option<f64>,
}

/// A page of machines, by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// How old.
    pub as_of: AsOf,
    /// Machines.
    pub machines: Vec<MachineRow>,
    /// Where the next page starts after, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// One machine with what is on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineDetail {
    /// The machine.
    pub machine: MachineRow,
    /// Session of its worker; 0: not heard of by this leader.
    pub session: u64,
    /// Whether its worker has shown the leader's token.
    pub fenced: bool,
    /// Images that it should have.
    pub images: Vec<String>,
    /// What is on it.
    pub tasks: Vec<TaskRow>,
}

/// A team's ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Name.
    pub name: String,
    /// CPUs that its tasks use.
    pub cpus_used: f64,
    /// CPUs that it is guaranteed.
    pub cpus: f64,
    /// CPUs that it may use at most.
    pub cpus_max: f64,
    /// GPUs that its tasks use.
    pub gpus_used: f64,
    /// GPUs that it is guaranteed.
    pub gpus: f64,
    /// GPUs that it may use at most.
    pub gpus_max: f64,
    /// Open jobs.
    pub jobs: u32,
    /// Tasks on machines.
    pub running: u32,
    /// Tasks without a machine.
    pub waiting: u32,
}

/// All teams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Teams {
    /// How old.
    pub as_of: AsOf,
    /// Teams, as configured.
    pub teams: Vec<TeamRow>,
}

/// A controller.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name.
    pub name: String,
    /// Whether it answered.
    pub reached: bool,
    /// Whether it leads.
    pub leads: bool,
    /// Highest term that it knows of.
    pub term: u64,
    /// Who leads, as far as it knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<String>,
    /// Seconds that it has led.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leads_for_s: Option<f64>,
    /// Seconds that it has run.
    pub up_s: f64,
    /// Whether it takes users.
    pub ready: bool,
    /// How late its answers are of late, milliseconds.
    pub lag_ms: f64,
    /// Connections that are open.
    pub sockets: u64,
    /// Connections that may yet be opened.
    pub sockets_free: u64,
    /// Seconds that the state service has not served it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state_failing_s: Option<f64>,
    /// Version of the program.
    pub version: String,
}

/// All controllers, as the one that was asked sees them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    /// Controllers, by name.
    pub nodes: Vec<NodeRow>,
}

/// Sums over everything, for an overview.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Overview {
    /// How old.
    pub as_of: AsOf,
    /// Open jobs.
    pub jobs: u64,
    /// Tasks on machines.
    pub running: u64,
    /// Tasks without a machine.
    pub waiting: u64,
    /// Machines.
    pub machines: u64,
    /// Machines whose worker is heard.
    pub up: u64,
    /// Machines that are drained or being drained.
    pub draining: u64,
    /// CPUs of machines that are up: tasks that start or stop, that fetch their
    /// image, that run; free.
    pub cpus: [f64; 4],
}

/// What a drain is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainScope {
    /// One machine.
    Machine,
    /// A zone.
    Zone,
    /// A machine type.
    Type,
}

impl DrainScope {
    /// The word for it.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            DrainScope::Machine => "machine",
            DrainScope::Zone => "zone",
            DrainScope::Type => "type",
        }
    }

    /// The scope of a word.
    #[must_use]
    pub fn of_word(word: &str) -> Option<Self> {
        [DrainScope::Machine, DrainScope::Zone, DrainScope::Type]
            .into_iter()
            .find(|s| s.word() == word)
    }
}

/// What a drain should be: body of `PUT /v1/drains/{scope}/{name}`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Why, for others to read.
    #[serde(default)]
    pub why: String,
    /// Seconds after which nothing may run there any more; tasks save in time
    /// if they can, others lose their work. `None`: what runs ends by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// Seconds after which the drain ends by itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Empty machines stay.
    #[serde(default)]
    pub keep: bool,
    /// Version of the drain that is replaced, as it was seen; 0: there was
    /// none. `None`: whatever is there is replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
}

/// A drain on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainRow {
    /// What for.
    pub scope: DrainScope,
    /// Name of the machine, zone or type.
    pub name: String,
    /// Who set it.
    pub by: String,
    /// When.
    pub at: f64,
    /// Why.
    pub why: String,
    /// Nothing may run there after this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop_at: Option<f64>,
    /// It ends by itself at this time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until: Option<f64>,
    /// Empty machines stay.
    pub keep: bool,
    /// Version of the record.
    pub version: u64,
    /// How far it has come, if a leader could be asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<DrainProgress>,
}

/// How far a drain has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainProgress {
    /// Whether the leader goes by this record already.
    pub in_force: bool,
    /// Machines that it covers.
    pub machines: u64,
    /// Those with nothing on them.
    pub empty: u64,
    /// Tasks that are still on them.
    pub tasks: u64,
}

/// All drains on record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    /// Drains, by scope and name.
    pub drains: Vec<DrainRow>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_of_later_versions_are_read() {
        let text = r#"{"id":"req-1","status":"done","done":3,"running":0,"waiting":0,"errors":0,"colour":"red"}"#;
        let row: JobRow = serde_json::from_str(text).unwrap();
        assert_eq!((row.done, row.team), (3, None));
        let request: DrainRequest = serde_json::from_str("{}").unwrap();
        assert_eq!(request, DrainRequest::default());
        for role in Role::ALL {
            assert_eq!(Role::of_word(role.word()), Some(role));
        }
        assert!(Role::See < Role::Submit && Role::Submit < Role::Operate);
    }
}
