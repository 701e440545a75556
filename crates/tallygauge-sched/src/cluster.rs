//! The leader's picture of jobs, workers and teams.

use crate::{model::*, ranges::RangeSet};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};
use tallygauge_wire::{
    cloud::{Machine, MachineState, MachineType},
    users::{JobSpec, Shape},
    workers::{Command, EndCause, Report, TaskReport, TaskState},
};

/// What a report means for this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Taken up; it may be answered.
    Taken,
    /// Older than what is known; a check-in may still be answered.
    Stale,
    /// From a session that is over: answering would serve nobody.
    Dead,
    /// A higher token is about: this node leads no more.
    Deposed(u64),
}

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// As a check-in. The worker sends one only when it has taken or given up
    /// the answer to the one before.
    CheckIn,
    /// With the answer to a direct message. An answer to a check-in, with
    /// starts in it, may still be on its way to the worker.
    Direct,
}

/// A worker's record to be written, and what it is conditioned on.
#[derive(Debug, Clone)]
pub struct PlacementWrite {
    /// Worker.
    pub worker: String,
    /// New value; `None` to remove the record.
    pub record: Option<WorkerRecord>,
    /// Version that the record must have.
    pub version: u64,
    /// Jobs whose records must be unchanged, with their versions.
    pub jobs: Vec<(String, u64)>,
    /// Attempts in the new value.
    pub attempts: BTreeSet<u64>,
    /// Whether starts depend on it.
    pub urgent: bool,
}

/// Progress of a job to be made durable.
#[derive(Debug, Clone)]
pub struct Finish {
    /// Job.
    pub job: String,
    /// Version of its record.
    pub version: u64,
    /// Whether all is done.
    pub complete: bool,
    /// Changed chunks with their finished tasks.
    pub chunks: Vec<(u32, RangeSet)>,
    /// Tasks whose end this makes durable.
    pub tasks: Vec<u32>,
}

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    /// Worker.
    pub worker: String,
    /// Its address.
    pub endpoint: String,
    /// Session it is meant for.
    pub session: u64,
    /// Commands; empty to fence only.
    pub commands: Vec<Command>,
    /// Attempts whose start is in it.
    pub starts: Vec<u64>,
}

/// Resources that a team's attempts occupy.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ledger {
    pub(crate) cpus: f64,
    pub(crate) gpus: f64,
}

/// How long the tasks of a class run, against what their owners said.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    ratio_sum: f64,
    count: f64,
}

/// The picture. Times are seconds of one steady clock.
pub struct Cluster {
    /// Settings.
    pub cfg: Config,
    /// When the term began.
    pub term_at: f64,
    pub(crate) types: HashMap<String, MachineType>,
    /// Open jobs.
    pub jobs: BTreeMap<String, Job>,
    /// Machines.
    pub workers: BTreeMap<String, Worker>,
    pub(crate) ledgers: Vec<Ledger>,
    paces: HashMap<String, Pace>,
    pub(crate) next_attempt: u64,
    chunk: u32,
    pub(crate) blocked: HashMap<(String, String, bool), (f64, u32)>,
    /// Workers that are gone and whose records are to be removed.
    pub orphans: BTreeSet<String>,
    /// Chunks of finished tasks whose job is over, to be removed.
    pub garbage: Vec<(String, u32)>,
    /// What happened and an operator may want to know, for the log: whether it
    /// weighs much, and the words.
    pub events: Vec<(bool, String)>,
    /// Something changed that a round should look at.
    pub changed: bool,
    /// Machines that went, and when: an old list may still show them.
    departed: BTreeMap<String, f64>,
}

/// Attempts are numbered within the term, so that they never repeat; tokens
/// and attempts stay whole numbers in any JSON reader.
const ATTEMPT_BITS: u32 = 28;

impl Cluster {
    /// An empty picture at the start of a term. A chunk of finished tasks has
    /// `chunk` task numbers.
    #[must_use]
    pub fn new(cfg: Config, now: f64, chunk: u32) -> Self {
        let ledgers = vec![Ledger::default(); cfg.teams.len()];
        let next_attempt = (cfg.term << ATTEMPT_BITS) + 1;
        Self {
            cfg,
            term_at: now,
            types: HashMap::new(),
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            ledgers,
            paces: HashMap::new(),
            next_attempt,
            chunk: chunk.max(1),
            blocked: HashMap::new(),
            orphans: BTreeSet::new(),
            garbage: Vec::new(),
            events: Vec::new(),
            changed: true,
            departed: BTreeMap::new(),
        }
    }

    /// Takes up the machine types on offer and their prices.
    pub fn set_types(&mut self, types: &[MachineType]) {
        for t in types {
            self.types.insert(t.name.clone(), t.clone());
        }
        // Machines may be known before their types are, as after a take-over
        // by a node that has just begun.
        for worker in self.workers.values_mut() {
            let Some(t) = self.types.get(&worker.machine_type) else {
                continue;
            };
            worker.free = Room::of_type(t);
            for held in worker.held.iter().filter(|h| h.occupies()) {
                worker.free.add(&held.spec, -1.0);
            }
        }
        self.changed = true;
    }

    /// Adds an open job with the tasks known to be done.
    pub fn add_job(&mut self, spec: JobSpec, version: u64, accepted_at: f64, done: &RangeSet) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let Some(team) = self.cfg.team(&spec.team) else {
            return;
        };
        let mut waiting = RangeSet::first(spec.tasks);
        let mut finished = RangeSet::default();
        finished.extend(done, spec.tasks);
        for n in finished.iter() {
            waiting.remove(n);
        }
        let job = Job {
            version,
            accepted_at,
            team,
            kept_chunks: finished.iter().map(|n| n / self.chunk).collect(),
            finished,
            dirty: BTreeSet::new(),
            waiting,
            resumes: Vec::new(),
            holds: BTreeMap::new(),
            zones: BTreeMap::new(),
            errors: 0,
            measured: BTreeMap::new(),
            spec: Arc::new(spec),
        };
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Drops a job that is over; what still runs of it is stopped.
    pub fn remove_job(&mut self, id: &str, now: f64) -> bool {
        let Some(job) = self.jobs.remove(id) else {
            return false;
        };
        self.garbage
            .extend(job.kept_chunks.into_iter().map(|c| (id.to_string(), c)));
        for worker in self.workers.values_mut() {
            for held in worker.held.iter_mut().filter(|h| h.spec.id == id) {
                match held.phase {
                    Phase::Ended(_) => held.end_durable = true,
                    _ => {
                        held.stop = Some(Stop {
                            reason: StopReason::Cancelled,
                            at: now,
                        });
                    }
                }
            }
        }
        true
    }

    /// Takes up a worker's record that an earlier leader left. `specs` has the
    /// jobs of its tasks, open or not.
    pub fn inherit(
        &mut self,
        name: &str,
        record: &WorkerRecord,
        version: u64,
        specs: &HashMap<String, Arc<JobSpec>>,
        now: f64,
        time_of_day: f64,
    ) {
        self.know(
            name,
            &record.machine_type,
            &record.zone,
            record.spot,
            &record.endpoint,
            now,
        );
        let open = |id: &str| self.jobs.contains_key(id);
        let mut inherited = Vec::new();
        for task in &record.tasks {
            let Some(spec) = specs.get(&task.job) else {
                continue;
            };
            let ago = (time_of_day - task.placed as f64).max(0.0);
            let stop = (!open(&task.job)).then_some(Stop {
                reason: StopReason::Cancelled,
                at: now,
            });
            inherited.push(Held {
                spec: spec.clone(),
                index: task.index,
                attempt: task.attempt,
                session: task.session,
                phase: Phase::Recorded,
                placed_at: now - ago,
                running_since: None,
                saved_s: f64::from(task.saved_s),
                stop,
                inherited: true,
                sent: true,
                direct_pending: 0,
                uncertain: false,
                end_durable: false,
            });
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.record_version = version;
            worker.recorded = record.tasks.iter().map(|t| t.attempt).collect();
            worker.images.clone_from(&record.images);
        }
        for held in inherited {
            self.occupy(name, held);
        }
    }

    /// Makes sure that a machine is in the picture.
    pub fn know(
        &mut self,
        name: &str,
        machine_type: &str,
        zone: &str,
        spot: bool,
        endpoint: &str,
        now: f64,
    ) {
        let free = self
            .types
            .get(machine_type)
            .map(Room::of_type)
            .unwrap_or_default();
        let worker = self
            .workers
            .entry(name.to_string())
            .or_insert_with(|| Worker {
                name: name.to_string(),
                endpoint: String::new(),
                machine_type: machine_type.to_string(),
                zone: zone.to_string(),
                spot,
                rented_at: now,
                known_at: now,
                session: 0,
                seq: 0,
                session_at: now,
                dead_session: 0,
                fenced_at: None,
                answered_at: f64::NEG_INFINITY,
                heard_at: f64::NEG_INFINITY,
                notice_until: None,
                held: Vec::new(),
                strays: Vec::new(),
                free,
                images: Vec::new(),
                fetching: BTreeMap::new(),
                leaving: None,
                return_sent: false,
                direct_busy: false,
                direct_failures: 0,
                direct_after: f64::NEG_INFINITY,
                idle_since: now,
                error_jobs: BTreeSet::new(),
                pace: (0.0, 0),
                record_version: 0,
                record_unsure: false,
                recorded: BTreeSet::new(),
            });
        if worker.endpoint.is_empty() {
            worker.endpoint = endpoint.to_string();
        }
    }

    /// Takes up a whole machine list that was asked for at `asked_at`. A
    /// machine known well before that, counting the list's lag, and not in it,
    /// is gone: once listed it would stay listed until then. Returns the names
    /// of those that went.
    pub fn on_list(&mut self, machines: &[Machine], asked_at: f64, now: f64) -> Vec<String> {
        // The list shows all that was known by then, and nothing gone by then.
        let sure = asked_at - 2.0 * self.cfg.list_lag_s - self.cfg.margin_s();
        self.departed.retain(|_, at| *at > sure);
        let mut listed = BTreeSet::new();
        for m in machines {
            listed.insert(m.name.as_str());
            if self.departed.contains_key(&m.name) {
                continue;
            }
            self.know(&m.name, &m.machine_type, &m.zone, m.spot, &m.endpoint, now);
            let Some(worker) = self.workers.get_mut(&m.name) else {
                continue;
            };
            worker.rented_at = worker.rented_at.min(now - m.age_s);
            if m.state == MachineState::Failed && worker.leaving.is_none() {
                worker.leaving = Some((LeaveReason::Failed, now));
                worker.dead_session = worker.dead_session.max(worker.session);
                self.end_session(&m.name, u64::MAX, now);
            }
        }
        let gone: Vec<String> = self
            .workers
            .values()
            .filter(|w| w.known_at < sure && !listed.contains(w.name.as_str()))
            .map(|w| w.name.clone())
            .collect();
        for name in &gone {
            self.gone(name, now);
        }
        gone
    }

    /// A machine is surely gone, and everything on it.
    pub fn gone(&mut self, name: &str, now: f64) {
        self.end_session(name, u64::MAX, now);
        self.departed.insert(name.to_string(), now);
        if let Some(worker) = self.workers.remove(name)
            && (worker.record_version > 0 || worker.record_unsure)
        {
            self.orphans.insert(worker.name);
        }
    }

    /// Ends all attempts of sessions up to `last` on a worker.
    fn end_session(&mut self, name: &str, last: u64, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let (over, stay): (Vec<Held>, Vec<Held>) = std::mem::take(&mut worker.held)
            .into_iter()
            .partition(|h| h.session <= last);
        worker.held = stay;
        worker.strays.clear();
        for held in over {
            if held.occupies() {
                let saved = self.saved_after_loss(&held, now);
                self.vacate(name, &held, now);
                self.requeue(&held, saved, name, 0.0);
                self.events.push((
                    false,
                    format!("{} is lost with a session of {name}", held.task_name()),
                ));
            }
            // An end that was not durable yet stands in the picture: a done
            // task counts as soon as its worker has said so.
        }
    }

    /// Progress that is left when an attempt is lost without a word.
    fn saved_after_loss(&self, held: &Held, now: f64) -> f64 {
        let every = held.spec.checkpoint_every_s;
        if every <= 0.0 {
            return 0.0;
        }
        held.saved_s + (held.ran_s(now) / every).floor() * every
    }

    /// Adds an attempt to a worker, and to all ledgers.
    pub(crate) fn occupy(&mut self, name: &str, held: Held) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.free.add(&held.spec, -1.0);
        if let Some(team) = self.cfg.team(&held.spec.team) {
            self.ledgers[team].cpus += held.spec.cpus;
            self.ledgers[team].gpus += held.spec.gpus;
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            *job.holds.entry(held.index).or_default() += 1;
            *job.zones.entry(worker.zone.clone()).or_default() += 1;
            job.waiting.remove(held.index);
            job.resumes.retain(|r| r.index != held.index);
        }
        worker.held.push(held);
    }

    /// Takes an attempt off all ledgers, once.
    fn vacate(&mut self, name: &str, held: &Held, now: f64) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.changed = true;
        worker.free.add(&held.spec, 1.0);
        worker.drop_fetch(&held.spec.image);
        if !worker.held.iter().any(Held::occupies) {
            worker.idle_since = now;
        }
        if let Some(team) = self.cfg.team(&held.spec.team) {
            self.ledgers[team].cpus -= held.spec.cpus;
            self.ledgers[team].gpus -= held.spec.gpus;
        }
        if let Some(job) = self.jobs.get_mut(&held.spec.id) {
            decrement(&mut job.holds, &held.index);
            decrement(&mut job.zones, &worker.zone);
        }
    }

    /// Puts a task back among those that wait, unless it is done or also held
    /// elsewhere.
    fn requeue(&mut self, held: &Held, saved_s: f64, worker: &str, not_before: f64) {
        let machine_type = self.workers.get(worker).map(|w| w.machine_type.clone());
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        if job.finished.contains(held.index) || job.holds.contains_key(&held.index) {
            return;
        }
        job.resumes.retain(|r| r.index != held.index);
        if saved_s > 0.0 || not_before > 0.0 {
            job.resumes.push(Resume {
                index: held.index,
                saved_s,
                machine_type: if saved_s > 0.0 { machine_type } else { None },
                not_before,
                avoid: (not_before > 0.0).then(|| worker.to_string()),
            });
        } else {
            job.waiting.insert(held.index);
        }
    }

    /// Takes up a worker's report.
    pub fn on_report(&mut self, now: f64, report: &Report, source: Source) -> Verdict {
        if report.token > self.cfg.term {
            return Verdict::Deposed(report.token);
        }
        self.know(
            &report.machine,
            &report.machine_type,
            &report.zone,
            report.spot,
            &report.endpoint,
            now,
        );
        let term = self.cfg.term;
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return Verdict::Stale;
        };
        if report.session <= worker.dead_session {
            return Verdict::Dead;
        }
        if (report.session, report.seq) <= (worker.session, worker.seq) {
            return Verdict::Stale;
        }
        worker.endpoint.clone_from(&report.endpoint);
        worker.heard_at = now;
        worker.direct_failures = 0;
        // It lives after all.
        if matches!(
            worker.leaving,
            Some((LeaveReason::NoBoot | LeaveReason::Silent, _))
        ) && !worker.return_sent
        {
            worker.leaving = None;
        }
        if report.session > worker.session {
            self.changed = true;
            worker.session_at = now;
        }
        worker.session = report.session;
        worker.seq = report.seq;
        if report.token == term && worker.fenced_at.is_none() {
            self.changed = true;
            worker.fenced_at = Some(now);
        }
        if report.notice_s.is_some() && worker.notice_until.is_none() {
            self.changed = true;
            self.events
                .push((true, format!("{} will be taken back", report.machine)));
        }
        match (report.notice_s, worker.notice_until) {
            (Some(s), None) => worker.notice_until = Some(now + s),
            (Some(s), Some(t)) => worker.notice_until = Some(t.min(now + s)),
            (None, _) => worker.notice_until = None,
        }
        if report.session > 1 {
            self.end_session(&report.machine, report.session - 1, now);
        }
        self.take_tasks(now, report, source);
        Verdict::Taken
    }

    fn take_tasks(&mut self, now: f64, report: &Report, source: Source) {
        let name = report.machine.as_str();
        let fenced = report.token == self.cfg.term;
        let mut seen: HashMap<u64, &TaskReport> = HashMap::new();
        for task in &report.tasks {
            seen.insert(task.attempt, task);
        }
        // Absent attempts. Before the fence a report proves nothing: an older
        // start may still be under way.
        let mut absent = Vec::new();
        if let Some(worker) = self.workers.get_mut(name) {
            let mut at = 0;
            while at < worker.held.len() {
                let h = &worker.held[at];
                let there = seen.get(&h.attempt).is_some_and(|t| h.is_called(&t.task));
                let gone = !there
                    && fenced
                    && h.session == report.session
                    && h.direct_pending == 0
                    && !h.uncertain
                    && match h.phase {
                        Phase::Planned => false,
                        // A start of this term is sent again until it is
                        // seen, unless it is not wanted any more.
                        Phase::Recorded => {
                            h.inherited || (h.stop.is_some() && source == Source::CheckIn)
                        }
                        Phase::On(_) | Phase::Ended(_) => true,
                    };
                if gone {
                    absent.push(worker.held.remove(at));
                } else {
                    at += 1;
                }
            }
        }
        for held in absent {
            if held.occupies() {
                let saved = self.saved_after_loss(&held, now);
                self.vacate(name, &held, now);
                self.requeue(&held, saved, name, 0.0);
            }
        }
        let mut strays = Vec::new();
        for task in &report.tasks {
            self.take_task(now, name, report.session, task, &mut strays);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.strays = strays;
        }
    }

    fn take_task(
        &mut self,
        now: f64,
        name: &str,
        session: u64,
        task: &TaskReport,
        strays: &mut Vec<(String, u64, bool)>,
    ) {
        let ended = task.state == TaskState::Ended;
        let Some((id, index)) = split_task(&task.task) else {
            strays.push((task.task.clone(), task.attempt, ended));
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let known = worker
            .held
            .iter()
            .position(|h| h.attempt == task.attempt && h.spec.id == id && h.index == index);
        let at = match known {
            Some(at) => at,
            None => {
                // Not placed by anyone on record. Of an open job it is taken
                // in, so that it is counted; else it is stopped and cleared.
                let Some(job) = self.jobs.get(id).filter(|j| index < j.spec.tasks) else {
                    strays.push((task.task.clone(), task.attempt, ended));
                    return;
                };
                let held = Held {
                    spec: job.spec.clone(),
                    index,
                    attempt: task.attempt,
                    session,
                    phase: Phase::Recorded,
                    placed_at: now,
                    running_since: None,
                    saved_s: 0.0,
                    stop: None,
                    inherited: true,
                    sent: true,
                    direct_pending: 0,
                    uncertain: false,
                    end_durable: false,
                };
                self.occupy(name, held);
                match self.workers.get(name) {
                    Some(w) => w.held.len() - 1,
                    None => return,
                }
            }
        };
        let cache = self
            .types
            .get(self.workers[name].machine_type.as_str())
            .map_or(0.0, |t| t.cache_gb);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let held = &mut worker.held[at];
        held.session = session;
        held.sent = true;
        if matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        if !ended {
            held.phase = Phase::On(task.state);
            if matches!(task.state, TaskState::Running | TaskState::Saving)
                && held.running_since.is_none()
            {
                // After a take-over the start is known from the placement.
                held.running_since = Some(if held.inherited { held.placed_at } else { now });
                let spec = held.spec.clone();
                worker.fetching.remove(&spec.image);
                worker.use_image(&spec.image, spec.image_gb, cache);
            }
            let done = self
                .jobs
                .get(id)
                .is_some_and(|j| j.finished.contains(index));
            let held = &mut worker.held[at];
            if done && held.stop.is_none() {
                held.stop = Some(Stop {
                    reason: StopReason::Duplicate,
                    at: now,
                });
            }
            return;
        }
        let cause = task.cause.unwrap_or(EndCause::Unknown);
        held.phase = Phase::Ended(cause);
        let held = held.clone();
        if cause != EndCause::Done {
            self.events.push((
                cause == EndCause::Error,
                format!(
                    "{} ended on {name}: {cause:?}, kept {:?}",
                    task.task, task.kept
                ),
            ));
        }
        self.vacate(name, &held, now);
        self.on_end(now, name, at, &held, cause, task.kept.unwrap_or(false));
    }

    fn on_end(
        &mut self,
        now: f64,
        name: &str,
        at: usize,
        held: &Held,
        cause: EndCause,
        kept: bool,
    ) {
        let open = self.jobs.contains_key(&held.spec.id);
        if cause == EndCause::Done && open && held.spec.shape == Shape::Array {
            self.learn(held, name, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.error_jobs.clear();
            }
            let chunk = held.index / self.chunk;
            if let Some(job) = self.jobs.get_mut(&held.spec.id) {
                job.errors = 0;
                job.waiting.remove(held.index);
                job.resumes.retain(|r| r.index != held.index);
                if job.finished.insert(held.index) {
                    job.dirty.insert(chunk);
                }
            }
            for worker in self.workers.values_mut() {
                for other in &mut worker.held {
                    if other.occupies()
                        && other.index == held.index
                        && other.spec.id == held.spec.id
                        && other.stop.is_none()
                    {
                        other.stop = Some(Stop {
                            reason: StopReason::Duplicate,
                            at: now,
                        });
                    }
                }
            }
            return;
        }
        // Any other end needs nothing durable: the task simply waits again.
        if let Some(worker) = self.workers.get_mut(name) {
            worker.held[at].end_durable = true;
        }
        match cause {
            EndCause::Halted | EndCause::Done => {
                let saved = if kept {
                    held.saved_s + held.ran_s(now)
                } else {
                    self.saved_after_loss(held, now)
                };
                self.requeue(held, saved, name, 0.0);
            }
            EndCause::Error | EndCause::NoSuch | EndCause::Unknown => {
                let errors = match self.jobs.get_mut(&held.spec.id) {
                    Some(job) => {
                        job.errors = (job.errors + 1).min(64);
                        job.errors
                    }
                    None => 1,
                };
                // The first failures are likely the machine's fault and cost
                // little; a job that fails everywhere must not keep machines
                // busy.
                let doublings = (errors / 4).min(4);
                let wait = self.cfg.report_s * f64::from(1u32 << doublings);
                let saved = self.saved_after_loss(held, now);
                self.requeue(held, saved, name, now + wait);
                if cause == EndCause::Error
                    && let Some(worker) = self.workers.get_mut(name)
                {
                    worker.error_jobs.insert(held.spec.id.clone());
                    if worker.error_jobs.len() >= 2 && worker.leaving.is_none() {
                        worker.leaving = Some((LeaveReason::Faulty, now));
                    }
                }
            }
            EndCause::NoRoom | EndCause::Busy => {
                self.requeue(held, held.saved_s, name, now + self.cfg.report_s * 0.5);
            }
        }
    }

    fn learn(&mut self, held: &Held, name: &str, now: f64) {
        let whole = held.saved_s + held.ran_s(now);
        if held.spec.expected_s <= 0.0 || held.inherited || held.running_since.is_none() {
            return;
        }
        let ratio = (whole / held.spec.expected_s).clamp(0.1, 10.0);
        let pace = self.paces.entry(held.spec.class.clone()).or_default();
        // Old days fade: the last fifty or so tasks count.
        pace.ratio_sum = pace.ratio_sum * 0.98 + ratio;
        pace.count = pace.count * 0.98 + 1.0;
        // A machine is judged against others by tasks of the same job: owners'
        // estimates are wrong for whole jobs, and machines are not to blame.
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        let here = job.measured.entry(name.to_string()).or_default();
        here.0 += whole;
        here.1 += 1;
        let (sum, count) = job
            .measured
            .iter()
            .filter(|(other, _)| *other != name)
            .fold((0.0, 0), |a, (_, m)| (a.0 + m.0, a.1 + m.1));
        if count >= 2
            && sum > 0.0
            && let Some(worker) = self.workers.get_mut(name)
        {
            worker.pace.0 += whole / (sum / f64::from(count));
            worker.pace.1 += 1;
        }
    }

    /// Measured over expected run time of a class, leaning on 1 while little
    /// is known.
    #[must_use]
    pub fn class_ratio(&self, class: &str) -> f64 {
        let pace = self.paces.get(class).copied().unwrap_or_default();
        ((pace.ratio_sum + 5.0) / (pace.count + 5.0)).clamp(0.4, 2.5)
    }

    /// Marks that a check-in of the worker was answered with our token.
    pub fn answered(&mut self, name: &str, now: f64) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.answered_at = now;
        }
    }

    /// When the worker's present session is over at the latest, if it is not
    /// answered again.
    #[must_use]
    pub fn session_end(&self, worker: &Worker) -> f64 {
        let lease = self.cfg.stretched(self.cfg.lease_s);
        match worker.fenced_at {
            Some(at) => worker.answered_at.max(at).max(worker.session_at) + lease,
            // An earlier leader may have gone on answering until it had to
            // stop for want of a confirmed term.
            None => {
                (self.term_at + self.cfg.stretched(self.cfg.fence_s))
                    .max(worker.answered_at)
                    .max(worker.session_at)
                    + lease
            }
        }
    }

    /// Lets time pass: sessions end, notices run out, machines are given up.
    pub fn tick(&mut self, now: f64) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let worker = &self.workers[&name];
            if !worker.held.is_empty() && now > self.session_end(worker) {
                let last = worker
                    .held
                    .iter()
                    .map(|h| h.session)
                    .max()
                    .unwrap_or(0)
                    .max(worker.session);
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.dead_session = worker.dead_session.max(last);
                }
                self.end_session(&name, last, now);
            }
            self.drain(&name, now);
        }
    }

    /// Stops what should not stay on a machine.
    fn drain(&mut self, name: &str, now: f64) {
        let cfg = &self.cfg;
        let boot_s = self
            .types
            .get(&self.workers[name].machine_type)
            .map_or(60.0, |t| t.boot_s);
        // Few machines are about to go: only for those is more looked at.
        let ratios: HashMap<String, f64> = match &self.workers[name].notice_until {
            Some(_) => self.workers[name]
                .held
                .iter()
                .map(|h| (h.spec.class.clone(), self.class_ratio(&h.spec.class)))
                .collect(),
            None => HashMap::new(),
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.leaving.is_none() {
            // A leader new in office has not heard of any worker yet: that
            // alone does not make an old machine one that never came up.
            let reason = if !worker.up()
                && now - worker.rented_at > boot_s * 4.0
                && now - self.term_at > cfg.lease_s
            {
                Some(LeaveReason::NoBoot)
            } else if worker.up()
                && now - worker.heard_at > cfg.lease_s * 2.0
                && worker.held.is_empty()
            {
                Some(LeaveReason::Silent)
            } else if worker.pace.1 >= 3 && worker.pace.0 / f64::from(worker.pace.1) > 1.8 {
                Some(LeaveReason::Slow)
            } else if worker.held.iter().any(|h| {
                h.occupies()
                    && h.stop.is_some_and(|s| {
                        s.reason == StopReason::Cancelled && now - s.at > cfg.cancel_s * 0.7
                    })
            }) {
                Some(LeaveReason::Unconfirmed)
            } else {
                None
            };
            worker.leaving = reason.map(|r| (r, now));
            if let Some(reason) = reason {
                self.events
                    .push((true, format!("{name} is given up: {reason:?}")));
            }
        }
        let until = worker.notice_until;
        let leaving = worker.leaving;
        for held in &mut worker.held {
            if held.stop.is_some() || !held.occupies() || held.phase == Phase::Planned {
                continue;
            }
            if let Some(until) = until {
                let left = until - now;
                let ratio = ratios.get(&held.spec.class).copied().unwrap_or(1.0);
                let to_go =
                    (held.spec.expected_s * ratio - held.saved_s - held.ran_s(now)).max(0.0);
                // Tasks that can save are stopped while there is time to save
                // twice over, unless they will have ended by then. The notice
                // may be half as long as said, so it is acted on early.
                let saves = held.spec.checkpoint_every_s > 0.0;
                let starting = held.running_since.is_none();
                if (saves && to_go > left * 0.5) || starting {
                    held.stop = Some(Stop {
                        reason: StopReason::Notice,
                        at: now,
                    });
                }
            } else if let Some((reason, _)) = leaving {
                let saves = held.spec.checkpoint_every_s > 0.0;
                let at_once = matches!(reason, LeaveReason::Unconfirmed | LeaveReason::Faulty);
                if saves
                    || at_once
                    || held.running_since.is_none()
                    || held.spec.shape == Shape::Service
                {
                    held.stop = Some(Stop {
                        reason: StopReason::Drained,
                        at: now,
                    });
                }
            }
        }
    }

    /// Commands that a worker should execute now.
    #[must_use]
    pub fn commands(&self, name: &str, now: f64) -> Vec<Command> {
        let mut out = Vec::new();
        let Some(worker) = self.workers.get(name) else {
            return out;
        };
        for (task, attempt, ended) in &worker.strays {
            out.push(if *ended {
                Command::Clear {
                    task: task.clone(),
                    attempt: *attempt,
                }
            } else {
                Command::Stop {
                    task: task.clone(),
                    attempt: *attempt,
                    grace_s: 0.0,
                }
            });
        }
        for held in worker.held.iter().filter(|h| h.session == worker.session) {
            let (task, attempt) = (held.task_name(), held.attempt);
            match (held.phase, held.stop) {
                (Phase::Recorded, None) if !held.inherited => {
                    out.push(Command::Start { task, attempt });
                }
                (Phase::Recorded | Phase::On(_), Some(stop)) if held.sent => {
                    let grace_s = grace(held, stop, now);
                    if held.phase != Phase::On(TaskState::Saving) || grace_s == 0.0 {
                        out.push(Command::Stop {
                            task,
                            attempt,
                            grace_s,
                        });
                    }
                }
                (Phase::Ended(_), _) if held.may_clear() => {
                    out.push(Command::Clear { task, attempt });
                }
                _ => {}
            }
        }
        // Room is made before it is used.
        out.sort_by_key(|c| match c {
            Command::Clear { .. } => 0,
            Command::Stop { .. } => 1,
            Command::Start { .. } => 2,
        });
        out
    }

    /// Notes that starts went out, in the answer to a check-in.
    pub fn sent(&mut self, name: &str, commands: &[Command]) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for command in commands {
            if let Command::Start { attempt, .. } = command {
                for held in worker.held.iter_mut().filter(|h| h.attempt == *attempt) {
                    held.sent = true;
                }
            }
        }
    }

    /// Direct messages that should go out now: fences, starts that were not
    /// sent yet, and stops. Marks them as under way.
    pub fn direct_messages(&mut self, now: f64) -> Vec<DirectMessage> {
        let names: Vec<String> = self
            .workers
            .values()
            .filter(|w| {
                let reachable = !w.endpoint.is_empty()
                    && !w.direct_busy
                    && !w.return_sent
                    && now >= w.direct_after;
                let fence = w.fenced_at.is_none() && (w.up() || !w.recorded.is_empty());
                let act = w.fenced_at.is_some()
                    && w.session > w.dead_session
                    && w.held.iter().any(|h| {
                        h.session == w.session
                            && match (h.phase, h.stop) {
                                (Phase::Recorded, None) => !h.sent,
                                (
                                    Phase::Recorded
                                    | Phase::On(TaskState::Fetching | TaskState::Running),
                                    Some(s),
                                ) => h.sent && s.at >= w.heard_at,
                                _ => false,
                            }
                    });
                reachable && (fence || act)
            })
            .map(|w| w.name.clone())
            .collect();
        let mut out = Vec::new();
        for name in names {
            let fence = self.workers[&name].fenced_at.is_none();
            let commands = if fence {
                Vec::new()
            } else {
                self.commands(&name, now)
                    .into_iter()
                    .filter(|c| !matches!(c, Command::Clear { .. }))
                    .collect()
            };
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            let mut starts = Vec::new();
            for command in &commands {
                if let Command::Start { attempt, .. } = command {
                    starts.push(*attempt);
                    for held in worker.held.iter_mut().filter(|h| h.attempt == *attempt) {
                        held.sent = true;
                        held.direct_pending += 1;
                    }
                }
            }
            worker.direct_busy = true;
            let session = if worker.session > 0 {
                worker.session
            } else {
                worker.held.iter().map(|h| h.session).max().unwrap_or(1)
            };
            out.push(DirectMessage {
                worker: name,
                endpoint: worker.endpoint.clone(),
                session,
                commands,
                starts,
            });
        }
        out
    }

    /// A direct message was answered, or given up (`answered` false). When
    /// given up, its starts may yet be executed. `never_sent` tells that no
    /// connection came about.
    pub fn direct_done(
        &mut self,
        message: &DirectMessage,
        answered: bool,
        never_sent: bool,
        now: f64,
    ) {
        let report_s = self.cfg.report_s;
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        worker.direct_busy = false;
        if answered {
            worker.direct_failures = 0;
        } else {
            worker.direct_failures += 1;
            let doublings = worker.direct_failures.min(4) - 1;
            worker.direct_after = now + report_s * 0.5 * f64::from(1u32 << doublings);
        }
        for held in &mut worker.held {
            if message.starts.contains(&held.attempt) {
                held.direct_pending = held.direct_pending.saturating_sub(1);
                held.uncertain |= !answered && !never_sent;
            }
        }
    }

    /// Attempt numbers never repeat: the term is part of them.
    pub(crate) fn attempt(&mut self) -> u64 {
        self.next_attempt += 1;
        self.next_attempt
    }

    /// Whether the attempts of this term are used up: the leader must give up
    /// its term.
    #[must_use]
    pub fn out_of_attempts(&self) -> bool {
        self.next_attempt >> ATTEMPT_BITS > self.cfg.term
    }

    /// Worker records that differ from what is durable. `all` takes those too
    /// whose difference can wait.
    #[must_use]
    pub fn placement_writes(&self, all: bool, time_of_day: f64, now: f64) -> Vec<PlacementWrite> {
        let mut out = Vec::new();
        for worker in self.workers.values().filter(|w| !w.record_unsure) {
            let urgent = worker.held.iter().any(|h| h.phase == Phase::Planned);
            if !urgent && !all {
                continue;
            }
            let mut jobs = BTreeMap::new();
            let mut tasks = Vec::new();
            let mut attempts = BTreeSet::new();
            for held in worker.held.iter().filter(|h| h.occupies()) {
                if held.phase == Phase::Planned
                    && let Some(job) = self.jobs.get(&held.spec.id)
                {
                    jobs.insert(held.spec.id.clone(), job.version);
                }
                attempts.insert(held.attempt);
                tasks.push(TaskRecord {
                    job: held.spec.id.clone(),
                    index: held.index,
                    attempt: held.attempt,
                    session: held.session,
                    saved_s: held.saved_s as u32,
                    placed: (time_of_day - (now - held.placed_at)).max(0.0) as u64,
                });
            }
            if attempts == worker.recorded {
                continue;
            }
            let record = (!tasks.is_empty()).then(|| WorkerRecord {
                endpoint: worker.endpoint.clone(),
                machine_type: worker.machine_type.clone(),
                zone: worker.zone.clone(),
                spot: worker.spot,
                tasks,
                images: worker.images.clone(),
            });
            out.push(PlacementWrite {
                worker: worker.name.clone(),
                record,
                version: worker.record_version,
                jobs: jobs.into_iter().collect(),
                attempts,
                urgent,
            });
        }
        out
    }

    /// A record was written at `revision`: its starts may go out.
    pub fn written(&mut self, write: &PlacementWrite, revision: u64) {
        let Some(worker) = self.workers.get_mut(&write.worker) else {
            if write.record.is_some() {
                self.orphans.insert(write.worker.clone());
            }
            return;
        };
        worker.record_version = if write.record.is_some() { revision } else { 0 };
        worker.recorded.clone_from(&write.attempts);
        for held in &mut worker.held {
            if held.phase == Phase::Planned && write.attempts.contains(&held.attempt) {
                held.phase = Phase::Recorded;
            }
        }
        // What was stopped while it was being written never went out.
        self.drop_unsent(&write.worker);
    }

    /// Drops attempts that are to stop and whose start was never sent.
    fn drop_unsent(&mut self, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let (drop, stay): (Vec<Held>, Vec<Held>) = std::mem::take(&mut worker.held)
            .into_iter()
            .partition(|h| h.phase == Phase::Recorded && h.stop.is_some() && !h.sent);
        worker.held = stay;
        for held in drop {
            let idle = held.placed_at;
            self.vacate(name, &held, idle);
            self.requeue(&held, held.saved_s, name, 0.0);
        }
    }

    /// A record was surely not written, or (`unsure`) may have been: nothing
    /// planned in it starts, and an unsure record must be read again.
    pub fn unwritten(&mut self, write: &PlacementWrite, unsure: bool) {
        let Some(worker) = self.workers.get_mut(&write.worker) else {
            return;
        };
        worker.record_unsure |= unsure;
        let (drop, stay): (Vec<Held>, Vec<Held>) = std::mem::take(&mut worker.held)
            .into_iter()
            .partition(|h| h.phase == Phase::Planned);
        worker.held = stay;
        for held in drop {
            let placed = held.placed_at;
            self.vacate(&write.worker, &held, placed);
            self.requeue(&held, held.saved_s, &write.worker, 0.0);
        }
    }

    /// Workers whose record must be read again.
    #[must_use]
    pub fn unsure_records(&self) -> Vec<String> {
        self.workers
            .values()
            .filter(|w| w.record_unsure)
            .map(|w| w.name.clone())
            .collect()
    }

    /// A record was read again: version and attempts as they are. A late write
    /// of the old version can't land any more once the next one has, since
    /// both are conditioned on the version.
    pub fn reread(&mut self, name: &str, version: u64, attempts: BTreeSet<u64>) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.record_version = version;
            worker.recorded = attempts;
            worker.record_unsure = false;
        }
    }

    /// Progress that is not durable: whole jobs, or all.
    #[must_use]
    pub fn finishes(&self, only_complete: bool) -> Vec<Finish> {
        self.jobs
            .values()
            .filter(|j| !j.dirty.is_empty() || j.complete())
            .filter(|j| j.complete() || !only_complete)
            .map(|j| Finish {
                job: j.spec.id.clone(),
                version: j.version,
                complete: j.complete(),
                chunks: j
                    .dirty
                    .iter()
                    .map(|&c| (c, j.finished.within(c * self.chunk, (c + 1) * self.chunk)))
                    .collect(),
                tasks: j
                    .dirty
                    .iter()
                    .flat_map(|&c| {
                        j.finished
                            .within(c * self.chunk, (c + 1) * self.chunk)
                            .iter()
                            .collect::<Vec<_>>()
                    })
                    .collect(),
            })
            .collect()
    }

    /// Progress was made durable: its tasks may be cleared.
    pub fn finish_written(&mut self, finish: &Finish, now: f64) {
        if let Some(job) = self.jobs.get_mut(&finish.job) {
            for (chunk, written) in &finish.chunks {
                if !finish.complete {
                    job.kept_chunks.insert(*chunk);
                }
                let present = job
                    .finished
                    .within(chunk * self.chunk, (chunk + 1) * self.chunk);
                if present == *written {
                    job.dirty.remove(chunk);
                }
            }
        }
        let tasks: BTreeSet<u32> = finish.tasks.iter().copied().collect();
        for worker in self.workers.values_mut() {
            for held in &mut worker.held {
                if matches!(held.phase, Phase::Ended(_))
                    && held.spec.id == finish.job
                    && (finish.complete || tasks.contains(&held.index))
                {
                    held.end_durable = true;
                }
            }
        }
        if finish.complete {
            self.remove_job(&finish.job, now);
        }
    }

    /// Done and running tasks of an open job.
    #[must_use]
    pub fn counts(&self, id: &str) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        let running = u32::try_from(job.holds.len()).unwrap_or(u32::MAX);
        Some((job.finished.len(), running))
    }

    /// CPUs of machines that are up: starting or stopping a task, fetching an
    /// image, running, free.
    #[must_use]
    pub fn use_of_cpus(&self) -> [f64; 4] {
        let mut sums = [0.0; 4];
        for worker in self.workers.values().filter(|w| w.up()) {
            sums[3] += worker.free.cpus;
            for held in worker.held.iter().filter(|h| h.occupies()) {
                let at = match held.phase {
                    Phase::On(TaskState::Fetching) => 1,
                    Phase::On(TaskState::Running) => 2,
                    _ => 0,
                };
                sums[at] += held.spec.cpus;
            }
        }
        sums
    }
}

/// Grace that a stop gives: enough to save, or none.
fn grace(held: &Held, stop: Stop, now: f64) -> f64 {
    let saves = held.spec.checkpoint_every_s > 0.0;
    let wanted = !matches!(stop.reason, StopReason::Cancelled | StopReason::Duplicate);
    // A save that takes many times what was said is ended.
    let overdue = now - stop.at > held.spec.save_s * 4.0 + 5.0;
    if saves && wanted && !overdue {
        held.spec.save_s.max(0.001)
    } else {
        0.0
    }
}

fn decrement<K: Ord + Clone>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(n) = counts.get_mut(key) {
        *n -= 1;
        if *n == 0 {
            counts.remove(key);
        }
    }
}

/// Job id and task number.
fn split_task(name: &str) -> Option<(&str, u32)> {
    let (id, index) = name.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}
