//! Simulated machines: what their agents run and report.

use super::{Facts, HEARTBEAT_INTERVAL_S, LEASE_S, settings::machine_type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_protocol::workers::{Command, EndCause, Heartbeat, TaskState, TaskStatus};

/// Saved run time by task.
pub(super) type Checkpoints = HashMap<String, f64>;

/// An attempt on a machine.
struct RunningTask {
    status: TaskStatus,
    job: String,
    /// When the state it is in ends.
    state_ends_at: f64,
    started_at: f64,
    checkpointed_s: f64,
    run_s: f64,
}

/// A time from which and until which a machine can't be reached.
#[derive(Clone, Copy)]
pub(super) struct Partition {
    pub(super) from: f64,
    pub(super) until: f64,
}

pub(super) struct Machine {
    pub(super) name: String,
    zone: &'static str,
    sequence: u64,
    incarnation: u64,
    tasks: Vec<RunningTask>,
    images: BTreeSet<String>,
    next_heartbeat_at: f64,
    last_answer_at: f64,
    partition: Option<Partition>,
}

/// How many attempts a batch of commands started and stopped.
#[derive(Default)]
pub(super) struct Executed {
    pub(super) started: usize,
    pub(super) stopped: usize,
}

impl Machine {
    pub(super) fn new(number: usize, zone: &'static str, partition: Option<Partition>) -> Self {
        Self {
            name: format!("host-{number:06}"),
            zone,
            sequence: 0,
            incarnation: 1,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            next_heartbeat_at: number as f64 % 10.0 * 0.5,
            last_answer_at: 0.0,
            partition,
        }
    }

    pub(super) fn is_reachable(&self, now: f64) -> bool {
        !self
            .partition
            .is_some_and(|p| now >= p.from && now < p.until)
    }

    pub(super) fn is_heartbeat_due(&self, now: f64) -> bool {
        self.next_heartbeat_at <= now
    }

    /// The next heartbeat, if the machine can be reached. An agent without an answer for
    /// a lease has ended its tasks and starts over.
    pub(super) fn periodic_heartbeat(&mut self, now: f64) -> Option<Heartbeat> {
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S;
        if now - self.last_answer_at > LEASE_S && self.last_answer_at > 0.0 {
            self.incarnation += 1;
            self.tasks.clear();
            self.last_answer_at = now;
        }
        if !self.is_reachable(now) {
            return None;
        }
        self.last_answer_at = now;
        Some(self.heartbeat())
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: self.zone.into(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: 1,
            spot_notice_s: None,
            tasks: self.tasks.iter().map(|t| t.status.clone()).collect(),
        }
    }

    /// Advances tasks whose state has ended. Returns whether any has.
    pub(super) fn advance_tasks(&mut self, checkpoints: &mut Checkpoints, now: f64) -> bool {
        let mut changed = false;
        for task in &mut self.tasks {
            if task.state_ends_at <= now {
                changed |= task.advance(checkpoints, now);
            }
        }
        changed
    }

    pub(super) fn execute(
        &mut self,
        commands: Vec<Command>,
        jobs: &BTreeMap<String, Facts>,
        checkpoints: &Checkpoints,
        now: f64,
    ) -> Executed {
        let mut executed = Executed::default();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if !self.tasks.iter().any(|t| t.status.attempt == attempt) {
                        self.start(task, attempt, jobs, checkpoints, now);
                        executed.started += 1;
                    }
                }
                Command::Stop {
                    attempt, grace_s, ..
                } => {
                    let running = self.tasks.iter_mut().filter(|t| {
                        t.status.attempt == attempt && t.status.state != TaskState::Ended
                    });
                    for task in running {
                        task.stop(jobs, grace_s, now);
                        executed.stopped += 1;
                    }
                }
                Command::Clear { attempt, .. } => {
                    self.tasks.retain(|t| t.status.attempt != attempt);
                }
            }
        }
        executed
    }

    fn start(
        &mut self,
        task: String,
        attempt: u64,
        jobs: &BTreeMap<String, Facts>,
        checkpoints: &Checkpoints,
        now: f64,
    ) {
        let (id, _) = task.rsplit_once('/').expect("a task's name");
        let facts = &jobs[id];
        let fetch_s = if self.images.insert(facts.spec.image.clone()) {
            facts.spec.image_gb / machine_type().fetch_gb_per_s
        } else {
            0.0
        };
        self.tasks.push(RunningTask {
            job: id.to_string(),
            state_ends_at: now + fetch_s,
            started_at: now,
            checkpointed_s: checkpoints.get(&task).copied().unwrap_or(0.0),
            run_s: facts.run_s,
            status: TaskStatus {
                task,
                attempt,
                state: TaskState::Fetching,
                cause: None,
                checkpointed: None,
            },
        });
    }
}

impl RunningTask {
    /// Goes on to the next state. Returns whether there is one.
    fn advance(&mut self, checkpoints: &mut Checkpoints, now: f64) -> bool {
        match self.status.state {
            TaskState::Fetching => {
                self.status.state = TaskState::Running;
                self.started_at = now;
                self.state_ends_at = now + (self.run_s - self.checkpointed_s).max(0.0);
            }
            TaskState::Running => {
                self.end(EndCause::Done);
                self.status.checkpointed = None;
            }
            TaskState::Saving => {
                let ran_s = (self.state_ends_at - self.started_at).max(0.0);
                checkpoints.insert(self.status.task.clone(), self.checkpointed_s + ran_s);
                self.end(EndCause::Halted);
                self.status.checkpointed = Some(true);
            }
            _ => return false,
        }
        true
    }

    /// Stops it: with a checkpoint, if it can save one.
    fn stop(&mut self, jobs: &BTreeMap<String, Facts>, grace_s: f64, now: f64) {
        let spec = &jobs[&self.job].spec;
        let saves = spec.checkpoint_every_s > 0.0;
        if self.status.state == TaskState::Running && saves && grace_s > 0.0 {
            self.status.state = TaskState::Saving;
            self.state_ends_at = now + spec.checkpoint_s;
        } else if self.status.state != TaskState::Saving || grace_s == 0.0 {
            self.end(EndCause::Halted);
        }
    }

    fn end(&mut self, cause: EndCause) {
        self.status.state = TaskState::Ended;
        self.status.cause = Some(cause);
        self.state_ends_at = f64::MAX;
    }
}
