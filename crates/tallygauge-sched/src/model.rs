//! The parts of the cluster picture.

use crate::ranges::RangeSet;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_calendar::Due;
use tallygauge_judge::{Hearing, Limits, Order};
use tallygauge_weights::Spread;
use tallygauge_wire::{
    cloud::MachineType,
    users::{JobSpec, Priority, Shape},
    workers::{EndCause, TaskState},
};

/// A team's guarantee and limit.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Most CPUs; infinite where there is no limit.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Most GPUs; infinite where there is no limit.
    pub gpus_max: f64,
}

/// What the picture and the mapping are governed by.
#[derive(Debug, Clone)]
pub struct Config {
    /// Teams.
    pub teams: Vec<TeamConfig>,
    /// Time between a worker's reports.
    pub report_s: f64,
    /// A worker's lease.
    pub lease_s: f64,
    /// Time a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
    /// How long a leader that can't confirm its term goes on answering workers.
    pub fence_s: f64,
    /// Nominal lag of the machine list.
    pub list_lag_s: f64,
    /// Most that two steady clocks drift apart, as a ratio.
    pub drift: f64,
    /// Least remaining time that UPT is worked out with.
    pub floor_s: f64,
    /// Worth of each priority, lowest first.
    pub worth: [f64; 4],
    /// Part of its worth that a job keeps after its deadline.
    pub late_worth: f64,
    /// Idle time before a machine is returned, in boot times of its type.
    pub idle_boots: f64,
    /// Boot times that waiting work is spread over when machines are asked for.
    pub horizon_boots: f64,
    /// Time within which jobs of a class should be finished.
    pub class_due_s: HashMap<String, f64>,
    /// The loosest aims of classes.
    pub aims: HashMap<String, Aim>,
    /// The floor.
    pub floor: FloorConfig,
    /// Replicas at risk against seconds of fetch.
    pub spread: Spread,
    /// Most tasks on one machine, so that its record fits the state service.
    pub tasks_per_worker: usize,
    /// Most direct messages under way at a time.
    pub most_direct: usize,
    /// The leader's term.
    pub term: u64,
}

/// The loosest aims of a class of jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Aim {
    /// Done within so many times the job's own deadline.
    pub times: Option<f64>,
    /// Done within this time.
    pub within_s: Option<f64>,
}

/// The floor under what each class of jobs and each team gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FloorConfig {
    /// Part of the jobs that are done or overdue which is to be done; 0: none.
    pub share: f64,
    /// Seconds after its acceptance by which every job has begun; 0: no bound.
    pub begin_within_s: f64,
}

impl Config {
    /// An allowance for the jitter of timers and messages.
    #[must_use]
    pub fn margin_s(&self) -> f64 {
        self.report_s * 0.2
    }

    /// Seconds after which a worker that said nothing is out of reach.
    #[must_use]
    pub fn quiet_s(&self) -> f64 {
        self.report_s * 2.5
    }

    /// `seconds` of another machine's clock, at most, on ours.
    #[must_use]
    pub fn stretched(&self, seconds: f64) -> f64 {
        seconds * (1.0 + 2.0 * self.drift) + self.margin_s()
    }

    /// What speaks against a machine's hearing, and from when on it counts. A
    /// lost answer is told from a deaf machine by the next ones: within a
    /// lease, and no sooner than three reports.
    #[must_use]
    pub fn hearing(&self) -> Limits {
        Limits {
            doubted: 2,
            deaf: 3,
            apart_s: self.report_s * 0.5,
            memory_s: self.lease_s,
        }
    }

    /// The team's place in the configuration.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }
}

/// Why a job can never run.
///
/// # Errors
/// A sentence for the user.
pub fn check_feasible(
    spec: &JobSpec,
    teams: &[TeamConfig],
    types: &[MachineType],
) -> Result<(), String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("no team is called '{}'", spec.team));
    };
    let count = if spec.shape == Shape::Service {
        f64::from(spec.tasks)
    } else {
        1.0
    };
    if spec.cpus * count > team.cpus_max + EPS || spec.gpus * count > team.gpus_max + EPS {
        return Err(format!("needs more than the limit of team '{}'", spec.team));
    }
    let mut zones: BTreeSet<&str> = BTreeSet::new();
    for t in types {
        let named = spec
            .types
            .as_ref()
            .is_none_or(|names| names.contains(&t.name));
        if named && fits(spec, t.cpus, t.gpus, t.memory_gb) {
            zones.extend(t.zones.iter().map(String::as_str));
        }
    }
    if let Some(zone) = &spec.zone {
        zones.retain(|z| z == zone);
    }
    if zones.is_empty() {
        return Err("a task fits no allowed machine type and zone".into());
    }
    if spec.spread && spec.tasks > 1 && spec.one_zone && spec.shape == Shape::Service {
        return Err("all tasks in one zone and at most half of them there can't both be".into());
    }
    if spec.spread && spec.tasks > 1 && zones.len() < 2 && spec.shape == Shape::Service {
        return Err("spread over zones, but only one zone is allowed".into());
    }
    Ok(())
}

/// Slack for sums of decimal amounts.
pub(crate) const EPS: f64 = 1e-6;

/// How many times `need` goes into what there is.
pub(crate) fn fit(have: f64, need: f64) -> u32 {
    if need > 0.0 {
        ((have + EPS) / need).max(0.0) as u32
    } else {
        u32::MAX
    }
}

pub(crate) fn fits(spec: &JobSpec, cpus: f64, gpus: f64, memory_gb: f64) -> bool {
    spec.cpus <= cpus + EPS && spec.gpus <= gpus + EPS && spec.memory_gb <= memory_gb + EPS
}

/// An amount of a machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Room {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Room {
    /// All of a machine type.
    #[must_use]
    pub fn of_type(t: &MachineType) -> Self {
        Self {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub(crate) fn holds(&self, spec: &JobSpec) -> bool {
        fits(spec, self.cpus, self.gpus, self.memory_gb)
    }

    pub(crate) fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Mapped in this round, not durable yet.
    Planned,
    /// Durable; its start goes out, or went out, and was not seen yet.
    Recorded,
    /// Seen on the machine.
    On(TaskState),
    /// Over; kept until the worker has forgotten it.
    Ended(EndCause),
}

/// Why a task is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its job was cancelled or is over.
    Cancelled,
    /// To make room.
    Preempted,
    /// Its machine is about to go.
    Notice,
    /// Its machine is given up.
    Drained,
    /// Another attempt of the task counts.
    Duplicate,
}

/// A stop that was decided on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// Why.
    pub reason: StopReason,
    /// When.
    pub at: f64,
}

/// An attempt of a task on a worker, from plan to forgotten.
#[derive(Debug, Clone)]
pub struct Held {
    /// Its job.
    pub spec: Arc<JobSpec>,
    /// Number of the task.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
    /// Session of the worker it was placed in.
    pub session: u64,
    /// Where it stands.
    pub phase: Phase,
    /// When it was placed.
    pub placed_at: f64,
    /// When it was first known to run.
    pub running_since: Option<f64>,
    /// Progress it began with.
    pub saved_s: f64,
    /// Stop decided on.
    pub stop: Option<Stop>,
    /// Recorded by an earlier leader.
    pub inherited: bool,
    /// Its start went out in some way.
    pub sent: bool,
    /// Direct messages with its start that wait for an answer.
    pub direct_pending: u32,
    /// Since when a direct message with its start was given up that may yet
    /// arrive: in this session the attempt must stay known to the worker.
    pub uncertain_since: Option<f64>,
    /// What its end means is durable.
    pub end_durable: bool,
    /// The batch of placements that it is on record in.
    pub batch: Option<Arc<str>>,
    /// The answer to the last check-in carried its start, or that it is to be
    /// forgotten: the next one must show that.
    pub carried: bool,
}

impl Held {
    /// An attempt that nothing more is known of than where it is.
    #[must_use]
    pub fn new(spec: Arc<JobSpec>, index: u32, attempt: u64, session: u64, now: f64) -> Self {
        Self {
            spec,
            index,
            attempt,
            session,
            phase: Phase::Planned,
            placed_at: now,
            running_since: None,
            saved_s: 0.0,
            stop: None,
            inherited: false,
            sent: false,
            direct_pending: 0,
            uncertain_since: None,
            end_durable: false,
            batch: None,
            carried: false,
        }
    }

    /// Whether it counts as being on the machine.
    #[must_use]
    pub fn occupies(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }

    /// Whether it is on record in no batch.
    #[must_use]
    pub(crate) fn unrecorded(&self) -> bool {
        self.occupies() && self.batch.is_none()
    }

    /// Whether the worker may be told to forget it.
    #[must_use]
    pub fn may_clear(&self) -> bool {
        matches!(self.phase, Phase::Ended(_)) && self.end_durable && !self.may_yet_start()
    }

    /// Whether a direct message with its start may still be on its way.
    #[must_use]
    pub fn may_yet_start(&self) -> bool {
        self.direct_pending > 0 || self.uncertain_since.is_some()
    }

    /// When it is over at the latest, its worker's session ending as given. Where
    /// its start may still be on its way, the worker may have begun again unheard:
    /// in the session of the same number such a start is carried out, and what it
    /// starts lives for a lease more. What is held up for longer than a lease, on
    /// a machine that has begun again meanwhile, is not covered.
    #[must_use]
    pub fn surely_over(&self, session_end: f64, lease: f64) -> f64 {
        match self.uncertain_since {
            _ if self.direct_pending > 0 => f64::INFINITY,
            Some(at) => session_end.max(at + 2.0 * lease),
            None => session_end,
        }
    }

    /// `req-000412/3`.
    #[must_use]
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.spec.id, self.index)
    }

    /// Whether this is its task's name.
    #[must_use]
    pub fn is_called(&self, name: &str) -> bool {
        name.strip_prefix(self.spec.id.as_str())
            .and_then(|rest| rest.strip_prefix('/'))
            .is_some_and(|index| index.parse() == Ok(self.index))
    }

    /// Run time in this attempt so far.
    #[must_use]
    pub fn ran_s(&self, now: f64) -> f64 {
        self.running_since.map_or(0.0, |t| (now - t).max(0.0))
    }
}

/// A task that waits with something of its own: progress, or a reason to wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Resume {
    /// Number of the task.
    pub index: u32,
    /// Saved progress.
    pub saved_s: f64,
    /// Machine type that the progress is for.
    pub machine_type: Option<String>,
    /// Not before this time.
    pub not_before: f64,
    /// A machine it failed on.
    pub avoid: Option<String>,
}

/// An open job.
#[derive(Debug, Clone)]
pub struct Job {
    /// As submitted.
    pub spec: Arc<JobSpec>,
    /// Version of its record: every placement is conditioned on it.
    pub version: u64,
    /// When it was accepted.
    pub accepted_at: f64,
    /// Its team's place in the configuration.
    pub team: usize,
    /// Places of its class and its team in the floor's book.
    pub places: [usize; 2],
    /// A task of it has run.
    pub started: bool,
    /// Tasks that are done.
    pub finished: RangeSet,
    /// Chunks of `finished` that are not durable yet.
    pub dirty: BTreeSet<u32>,
    /// Ends that wait to be made durable: task and worker.
    pub unsaved: Vec<(u32, String)>,
    /// Tasks that wait and have nothing of their own.
    pub waiting: RangeSet,
    /// Tasks that wait and have, by number.
    pub resumes: BTreeMap<u32, Resume>,
    /// How many attempts occupy a machine, by task.
    pub holds: BTreeMap<u32, u32>,
    /// How many attempts occupy a machine, by zone.
    pub zones: BTreeMap<String, u32>,
    /// How many attempts each worker knows, ended ones too.
    pub on: BTreeMap<String, u32>,
    /// Failures since the last success.
    pub errors: u32,
    /// Run times of its tasks by machine: sum and number.
    pub measured: BTreeMap<String, (f64, u32)>,
    /// Tasks of which no attempt has run for long enough to count, as far as
    /// this leader knows.
    pub fresh: RangeSet,
    /// The cutoff that it counts for.
    pub due: Option<Due>,
    /// Time of day when it was accepted, as its record says.
    pub accepted_day: Option<f64>,
    /// How far it is raised within the step of its urgency, 0 to 1.
    pub rise: f64,
}

impl Job {
    /// Whether all its tasks are done.
    #[must_use]
    pub fn complete(&self) -> bool {
        self.spec.shape == Shape::Array && self.finished.len() == self.spec.tasks
    }

    /// Whether a task of it waits.
    pub(crate) fn waits(&self) -> bool {
        !self.waiting.is_empty() || !self.resumes.is_empty()
    }

    /// Tasks that are not done.
    #[must_use]
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.finished.len()
    }

    /// Whether a task of the job may be on such a machine, given how many of its
    /// tasks are in each zone.
    pub(crate) fn allows(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        zones: &BTreeMap<String, u32>,
    ) -> bool {
        let types = self.spec.types.as_ref();
        (self.spec.spot || !spot)
            && types.is_none_or(|t| t.iter().any(|name| name == machine_type))
            && self.zone_allowed(zone, zones)
    }

    /// Whether another task may start in a zone, given how many are in each.
    fn zone_allowed(&self, zone: &str, zones: &BTreeMap<String, u32>) -> bool {
        if self.spec.zone.as_ref().is_some_and(|z| z != zone) {
            return false;
        }
        if self.spec.one_zone && zones.keys().any(|z| z != zone) {
            return false;
        }
        if self.spec.spread {
            let there = zones.get(zone).copied().unwrap_or(0);
            if there + 1 > self.spec.tasks.div_ceil(2) {
                return false;
            }
        }
        true
    }
}

/// Why a machine is to be returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveReason {
    /// Nothing to do for it.
    Idle,
    /// It did not come up.
    NoBoot,
    /// It stopped by itself.
    Failed,
    /// Tasks fail on it.
    Faulty,
    /// It runs its tasks slowly.
    Slow,
    /// It can't confirm that cancelled work has stopped.
    Unconfirmed,
    /// Nothing was heard of it for long.
    Silent,
    /// An operator wants it gone.
    Drained,
    /// It reports, but what is sent to it does not reach it.
    Deaf,
}

/// What drains mean for one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Drained {
    /// Time by which nothing may run there any more.
    pub stop_at: Option<f64>,
    /// It stays when it is empty.
    pub keep: bool,
}

/// A machine, and the worker on it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Where it takes direct commands; empty until known.
    pub endpoint: String,
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// When its rental was asked for, as far as known.
    pub rented_at: f64,
    /// Since when it is known to exist.
    pub known_at: f64,
    /// Session of the newest report; 0 before the first.
    pub session: u64,
    /// Its messages so far.
    pub order: Order,
    /// Highest token that it has shown.
    pub token: u64,
    /// Whether what is sent to it reaches it.
    pub hearing: Hearing,
    /// Since when it has been heard without a pause of some report intervals.
    pub steady_since: f64,
    /// The answer to its last check-in carried something that the next one must
    /// show: our token, or what is `carried`.
    pub owes: bool,
    /// When the session was first heard of.
    pub session_at: f64,
    /// When the list first called the machine running: its worker may be out
    /// of reach, but it has come up.
    pub booted_at: Option<f64>,
    /// Sessions up to this one are surely over.
    pub dead_session: u64,
    /// When a report first showed our token.
    pub fenced_at: Option<f64>,
    /// When a report was last answered.
    pub answered_at: f64,
    /// When anything was last heard.
    pub heard_at: f64,
    /// When the cloud takes it.
    pub notice_until: Option<f64>,
    /// Attempts on it.
    pub held: Vec<Held>,
    /// Attempts on it that nobody placed: stopped and cleared.
    pub strays: Vec<(String, u64, bool)>,
    /// Free room.
    pub free: Room,
    /// Images that it has or fetches.
    pub images: Images,
    /// To be returned, and since when.
    pub leaving: Option<(LeaveReason, f64)>,
    /// An operator wants it empty.
    pub drained: Option<Drained>,
    /// More than open work needs: the last choice for new tasks, and returned
    /// as soon as it is empty.
    pub surplus: bool,
    /// The return was sent; the machine may go at any time.
    pub return_sent: bool,
    /// A direct message waits for an answer.
    pub direct_busy: bool,
    /// Direct messages that went unanswered in a row.
    pub direct_failures: u32,
    /// No direct message before this time.
    pub direct_after: f64,
    /// Since when it has nothing on it.
    pub idle_since: f64,
    /// Jobs that failed on it since the last success.
    pub error_jobs: BTreeSet<String>,
    /// Sum of measured over expected run times, and their number.
    pub pace: (f64, u32),
}

impl Worker {
    /// Whether tasks may be placed on it.
    #[must_use]
    pub fn usable(&self, now: f64, cfg: &Config) -> bool {
        self.session > self.dead_session
            && self.fenced_at.is_some()
            && self.leaving.is_none()
            && self.notice_until.is_none()
            && self.drained.is_none()
            && now - self.heard_at < cfg.quiet_s()
            && self.hearing.trusted(now, &cfg.hearing())
    }

    /// Whether it has reported to this leader.
    #[must_use]
    pub fn up(&self) -> bool {
        self.session > 0
    }
}

/// Images on a machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Images {
    /// Those it should hold, least recently used first.
    pub cached: Vec<(String, f64)>,
    /// Those it fetches now, and when each should be there.
    pub fetching: BTreeMap<String, f64>,
}

impl Images {
    /// Marks an image as used now, dropping the least used above the cache.
    pub(crate) fn touch(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.cached.retain(|i| i.0 != image);
        self.cached.push((image.to_string(), gb));
        let mut total: f64 = self.cached.iter().map(|i| i.1).sum();
        while total > cache_gb && self.cached.len() > 1 {
            total -= self.cached.remove(0).1;
        }
    }

    /// Time until an image would be there, were it asked for now. Fetches
    /// share the rate, so one waits for those under way.
    pub(crate) fn fetch_s(&self, image: &str, gb: f64, gb_per_s: f64, now: f64) -> f64 {
        if let Some(at) = self.fetching.get(image) {
            return (at - now).max(0.0);
        }
        if self.cached.iter().any(|i| i.0 == image) {
            return 0.0;
        }
        let busy = self.fetching.values().fold(now, |a, b| a.max(*b)) - now;
        busy + gb / gb_per_s.max(1e-3)
    }

    /// A task that needs an image is placed: the image is fetched if it is not
    /// there.
    pub(crate) fn want(&mut self, spec: &JobSpec, t: &MachineType, now: f64) {
        let fetch = self.fetch_s(&spec.image, spec.image_gb, t.fetch_gb_per_s, now);
        if fetch > 0.0 {
            self.fetching
                .entry(spec.image.clone())
                .or_insert(now + fetch);
        }
        self.touch(&spec.image, spec.image_gb, t.cache_gb);
    }

    /// A task waits for an image: if it was believed to be there, it is fetched
    /// all the same, and there at that time at the earliest.
    pub(crate) fn lacks(&mut self, image: &str, at: f64) {
        if !self.fetching.contains_key(image) {
            self.fetching.insert(image.to_string(), at);
        }
    }

    /// A fetch that no task waits for any more is given up.
    pub(crate) fn drop_fetch(&mut self, image: &str, held: &[Held]) {
        let wanted = held.iter().any(|h| h.occupies() && h.spec.image == image);
        if !wanted && self.fetching.remove(image).is_some() {
            self.cached.retain(|i| i.0 != image);
        }
    }
}

/// A durable batch of placements, as one round made them. It is written once,
/// never changed, and removed when all its attempts are over.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct BatchRecord {
    /// Time of day of the placements, seconds.
    #[serde(rename = "t")]
    pub placed: u64,
    /// Least attempt; the others are told from it.
    #[serde(rename = "a")]
    pub base: u64,
    /// Jobs.
    #[serde(rename = "j")]
    pub jobs: Vec<JobRecord>,
    /// Workers with their attempts.
    #[serde(rename = "w")]
    pub workers: Vec<WorkerRecord>,
}

/// What a batch keeps of a job: enough to count its tasks when it is over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Id.
    #[serde(rename = "j")]
    pub id: String,
    /// Team.
    #[serde(rename = "o")]
    pub team: String,
    /// CPUs, GPUs and memory of a task.
    #[serde(rename = "r")]
    pub room: (f64, f64, f64),
}

/// A worker in a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Name.
    #[serde(rename = "n")]
    pub name: String,
    /// Where it takes direct commands.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "m")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "p")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "s")]
    pub session: u64,
    /// Attempts: place of the job in the batch, number of the task, attempt
    /// above the least, progress it began with in whole seconds.
    #[serde(rename = "t")]
    pub tasks: Vec<(usize, u32, u64, u32)>,
}

/// Attempts are numbered within the term, so that they never repeat; tokens
/// and attempts stay whole numbers in any JSON reader.
pub(crate) const ATTEMPT_BITS: u32 = 28;

/// The attempt before the first of a term.
pub(crate) fn before_first(term: u64) -> u64 {
    (term << ATTEMPT_BITS) + 1
}

/// Place of a priority in the worth steps.
#[must_use]
pub fn step(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}
